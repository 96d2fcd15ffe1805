"""In-memory store of the chunks of the block tables in an agent.

It keeps the chunks of the newest list and of the previous one, since other processes
may not have the newest list yet.
"""

from collections.abc import Mapping

from knapweeddock import blockchunks
from knapweeddock.model import BlockChunk


class ChunkStore:
    """Chunks by digest.

    Attributes:
        chunks: The newest list of chunks, by address range.
        size_bytes: Total size of the stored chunks.
    """

    def __init__(self) -> None:
        self.chunks: dict[str, BlockChunk] = {}
        self.size_bytes = 0
        self._listed: set[str] = set()
        self._previously_listed: set[str] = set()
        self._data: dict[str, bytes] = {}

    def set_list(self, chunks: Mapping[str, BlockChunk]) -> None:
        """Switch to a newer list and delete chunks that neither it nor the previous one lists."""
        if self.chunks == chunks:
            return
        self.chunks = dict(chunks)
        self._previously_listed = self._listed
        self._listed = {chunk.digest for chunk in chunks.values()}
        for digest in self._data.keys() - self._listed - self._previously_listed:
            self.size_bytes -= len(self._data.pop(digest))

    def missing(self) -> list[str]:
        """Return the digests of the newest list whose chunks are missing."""
        return blockchunks.missing(self.chunks, self._data)

    def add(self, digest: str, data: bytes) -> None:
        """Store a chunk if it is in the newest list.

        Raises:
            ConfigError: The data does not match the digest.
        """
        blockchunks.verify(data, digest=digest)
        if digest in self._listed and digest not in self._data:
            self._data[digest] = data
            self.size_bytes += len(data)

    def get(self, digest: str) -> bytes | None:
        """Return the data of a chunk, or None if it is missing."""
        return self._data.get(digest)

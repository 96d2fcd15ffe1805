"""The chunks of the block tables that an agent holds.

Chunks of the newest list and of the one before are kept, the latter for
processes that have not seen the newest list yet.
"""

from collections.abc import Mapping

from knapweeddock import blockchunks
from knapweeddock.model import BlockChunk


class ChunkStore:
    """Chunks by digest.

    Attributes:
        chunks: The newest list, by address range.
        size_bytes: Size of all chunks held.
    """

    def __init__(self) -> None:
        self.chunks: dict[str, BlockChunk] = {}
        self.size_bytes = 0
        self._listed: set[str] = set()
        self._previously_listed: set[str] = set()
        self._data: dict[str, bytes] = {}

    def set_list(self, chunks: Mapping[str, BlockChunk]) -> None:
        """Follow a newer list and drop the chunks that are not needed any more."""
        if self.chunks == chunks:
            return
        self.chunks = dict(chunks)
        self._previously_listed = self._listed
        self._listed = {chunk.digest for chunk in chunks.values()}
        for digest in self._data.keys() - self._listed - self._previously_listed:
            self.size_bytes -= len(self._data.pop(digest))

    def missing(self) -> list[str]:
        """Return the digests of the newest list that are not held."""
        return blockchunks.missing(self.chunks, self._data)

    def add(self, digest: str, data: bytes) -> None:
        """Keep a chunk if the newest list still names it.

        Raises:
            ConfigError: The content has another digest.
        """
        blockchunks.verify(data, digest=digest)
        if digest in self._listed and digest not in self._data:
            self._data[digest] = data
            self.size_bytes += len(data)

    def get(self, digest: str) -> bytes | None:
        """Return a chunk, or None when it is not held."""
        return self._data.get(digest)

"""Keeps the chunks of the block tables on the platform.

Chunks are created before the head that names them and deleted after a head
that retires them.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

import structlog

from knapweeddock import blockchunks
from knapweeddock.blockchunks import KEY_PREFIX, Plan, key_of
from knapweeddock.blockfiles import SortedBlocks
from knapweeddock.changes import Document
from knapweeddock.checks import config_of
from knapweeddock.clock import Clock, SystemClock
from knapweeddock.errors import RateLimited, StoreError, StoreUnavailable, VersionConflict
from knapweeddock.model import BlockChunk
from knapweeddock.objectstore import ABSENT, ObjectStore
from knapweeddock.publish import Companion, Current

MAX_CALLS = 8
"""Concurrent calls of one writer; the platform takes several hundred writes/s."""

RATE_LIMIT_TRIES = 10
CLEAN_S = 60.0
"""Longest time spent on deleting, well below ``blockchunks.FORGET_AFTER_S``."""

log = structlog.get_logger(__name__)


class ChunkWriter(Companion):
    """Publishes the block tables of one folder together with its document.

    Attributes:
        plan: The plan for the newest head.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        families: Sequence[SortedBlocks],
        clock: Clock | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.store = store
        self.families = families
        self.clock = clock or SystemClock()
        self.sleep = sleep
        self.plan = Plan(chunks={}, retired={}, uploads={})
        self._stored: set[str] = set()

    async def before(self, current: Current) -> None:
        """Learn which chunks are stored."""
        has_blocks = any(family.prefixes for family in self.families)
        if has_blocks or current.document.get("block_chunks"):
            keys = await self.store.list(KEY_PREFIX)
            self._stored = {key.removeprefix(KEY_PREFIX) for key in keys}

    def with_chunks(self, current: Document, document: Document) -> Document:
        """Plan the change and return ``document`` with its list of chunks."""
        config = config_of(current)
        self.plan = blockchunks.plan_change(
            self.families,
            chunks=config.block_chunks,
            retired=config.retired_chunks,
            stored=self._stored,
            now_s=int(self.clock.wall()),
        )
        found = dict(document)
        if self.plan.chunks:
            found["block_chunks"] = {
                name: _to_document(chunk) for name, chunk in self.plan.chunks.items()
            }
        if self.plan.retired:
            found["retired_chunks"] = dict(self.plan.retired)
        return found

    async def prepare(self) -> None:
        """Create the objects that the planned list needs.

        Raises:
            StoreError: An object may be missing; the list must not be published.
        """
        uploads = {
            digest: data for digest, data in self.plan.uploads.items() if digest not in self._stored
        }
        await _each(uploads, lambda digest: self._create(digest, uploads[digest]))

    async def _create(self, digest: str, data: bytes) -> None:
        for _ in range(RATE_LIMIT_TRIES):
            try:
                await self.store.put(key_of(digest), data, expected_version=ABSENT)
            except VersionConflict:
                # The key is the digest of the content, so the object is this chunk.
                return
            except RateLimited as error:
                await self.sleep(error.retry_after_s)
            else:
                return
        raise StoreUnavailable(f"{key_of(digest)} was not written: over the rate limit")

    async def finish(self) -> None:
        """Delete the chunks that no kept list names; a failure is only logged."""
        if not self._stored:
            return
        digests = blockchunks.deletable(self.plan.retired, self._stored)
        try:
            async with asyncio.timeout(CLEAN_S):
                await _each(
                    dict.fromkeys(digests), lambda digest: self.store.delete(key_of(digest))
                )
        except (StoreError, TimeoutError) as error:
            log.warning("old block chunks were not deleted", error=str(error))


def _to_document(chunk: BlockChunk) -> Document:
    found: Document = {"digest": chunk.digest, "count": chunk.count}
    if chunk.generation:
        found["generation"] = chunk.generation
    return found


async def _each(digests: Mapping[str, object], call: Callable[[str], Awaitable[None]]) -> None:
    """Call for each digest, several at a time, and raise the first error."""
    waiting = iter(digests)

    async def work() -> None:
        for digest in waiting:
            await call(digest)

    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(min(MAX_CALLS, len(digests))):
                group.create_task(work())
    except* StoreError as errors:
        raise errors.exceptions[0] from errors

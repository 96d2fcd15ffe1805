"""Keeps the block table of a look-up daemon up to date with the list of chunks.

The previous table stays in use until all parts of the new one are built. Parts are
built in a thread, one at a time. Unchanged parts of the previous table are reused.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import structlog

from knapweeddock.blocktable import ChunkedTable, Layout, Part, PartKey, build_part, plan_layout
from knapweeddock.errors import ConfigError, PeerUnavailable
from knapweeddock.lookup import Lookup
from knapweeddock.model import Config

CHECK_INTERVAL_S = 0.1
"""Time between two checks for a newer configuration, in seconds."""

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

FetchChunk = Callable[[str], Awaitable[bytes | None]]
"""Function that returns the chunk with a digest, or None if the agent lacks it.

It raises ``PeerUnavailable`` if no agent responds.
"""

log = structlog.get_logger(__name__)


class BlockTableUpdater:
    """Builds block tables and swaps them into a ``Lookup``.

    Attributes:
        lookup: The look-up that uses the tables.
        fetch: Function that fetches a chunk.
        parts_built: Number of parts built so far.
    """

    def __init__(self, *, lookup: Lookup, fetch: FetchChunk, rng: random.Random) -> None:
        self.lookup = lookup
        self.fetch = fetch
        self.rng = rng
        self.parts_built = 0
        self._table_config: Config | None = None
        self._checked_config: Config | None = None
        self._parts: dict[PartKey, Part] = {}
        self._backoff_s = MIN_BACKOFF_S

    async def run(self) -> None:
        """Follow the configuration of the look-up until cancelled."""
        while True:
            is_current = await self.update()
            await asyncio.sleep(CHECK_INTERVAL_S if is_current else self._next_delay_s())

    def _next_delay_s(self) -> float:
        delay_s = self._backoff_s * self.rng.uniform(0.5, 1.5)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        return delay_s

    async def update(self) -> bool:
        """Update the table to the newest configuration.

        Parts are built as far as their chunks are available. The table is swapped in
        once all parts are built.

        Returns:
            Whether the table is that of the newest configuration.
        """
        state = self.lookup.state
        if state is None or not self._needs_table(state.config):
            return True
        config = state.config
        layout = plan_layout(config.block_chunks, config.client_blocks)
        part_keys = dict.fromkeys(layout.parts)
        self._parts = {
            key: part for key, part in self._available_parts().items() if key in part_keys
        }
        for key in part_keys:
            if key in self._parts:
                continue
            if self._is_superseded(config):
                # Continue with the newer list: chunks of the old one may have been deleted.
                return False
            if not await self._build_part(key):
                break
        if len(self._parts) < len(part_keys):
            return False
        try:
            await self._swap_table(config, layout)
        except ConfigError as error:
            log.warning("block table rejected", code=int(error.code), error=str(error))
            return False
        return not self._is_superseded(config)

    def _needs_table(self, config: Config) -> bool:
        if config is self._checked_config:
            return False
        if self._table_config is None:
            return bool(config.block_chunks)
        if _have_same_blocks(config, self._table_config):
            self._checked_config = config
            return False
        return True

    def _is_superseded(self, config: Config) -> bool:
        state = self.lookup.state
        return state is not None and not _have_same_blocks(state.config, config)

    def _available_parts(self) -> Mapping[PartKey, Part]:
        blocks = self.lookup.blocks
        in_use = blocks.parts if isinstance(blocks, ChunkedTable) else {}
        return in_use | self._parts

    async def _build_part(self, key: PartKey) -> bool:
        """Fetch a chunk and build its part if available; return whether to try other parts."""
        try:
            data = await self.fetch(key.digest)
            if data is not None:
                self._parts[key] = await asyncio.to_thread(build_part, key, data)
                self.parts_built += 1
                self._backoff_s = MIN_BACKOFF_S
        except PeerUnavailable as error:
            log.info("block chunk not fetched", digest=key.digest, error=str(error))
            return False
        except ConfigError as error:
            log.warning("block chunk rejected", code=int(error.code), error=str(error))
        return True

    async def _swap_table(self, config: Config, layout: Layout) -> None:
        table = await asyncio.to_thread(ChunkedTable, layout, self._parts)
        self.lookup.use_blocks(table)
        self._table_config = config
        self._checked_config = config
        self._parts = {}
        log.info("block table in use", chunks=len(table.parts), ranges=table.ranges)


def _have_same_blocks(one: Config, other: Config) -> bool:
    return one is other or (
        one.block_chunks == other.block_chunks and one.client_blocks == other.client_blocks
    )

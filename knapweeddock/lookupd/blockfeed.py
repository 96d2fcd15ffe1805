"""Keeps the block table of a look-up process up to date with the list of chunks.

The table before stays in use until all parts of the new one are built. Parts
are built in a thread, one after the other, and parts of the table before are
used again.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import structlog

from knapweeddock.blocktable import ChunkedTable, Layout, Part, PartKey, build_part, plan_layout
from knapweeddock.errors import ConfigError, PeerUnavailable
from knapweeddock.lookup import Lookup
from knapweeddock.model import Config

CHECK_S = 0.1
"""Time between two checks for a newer configuration."""

RETRY_S = 0.1
MAX_RETRY_S = 2.0

Fetch = Callable[[str], Awaitable[bytes | None]]
"""Returns the chunk with a digest, or None when the agent does not have it.

It raises ``PeerUnavailable`` when no agent answers.
"""

log = structlog.get_logger(__name__)


class BlockFeed:
    """Builds and swaps the tables of one ``Lookup``.

    Attributes:
        lookup: The look-up that gets the tables.
        built: Number of parts built so far.
    """

    def __init__(self, *, lookup: Lookup, fetch: Fetch, rng: random.Random) -> None:
        self.lookup = lookup
        self.fetch = fetch
        self.rng = rng
        self.built = 0
        self._config: Config | None = None
        self._seen: Config | None = None
        self._parts: dict[PartKey, Part] = {}
        self._retry_s = RETRY_S

    async def run(self) -> None:
        """Follow the look-up's configuration until cancelled."""
        while True:
            is_current = await self.step()
            await asyncio.sleep(CHECK_S if is_current else self._wait_s())

    def _wait_s(self) -> float:
        wait = self._retry_s * self.rng.uniform(0.5, 1.5)
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        return wait

    async def step(self) -> bool:
        """Bring the table up to date with the configuration as far as possible.

        Returns:
            Whether the table is the one of the newest configuration.
        """
        state = self.lookup.state
        if state is None or not self._needs_table(state.config):
            return True
        config = state.config
        layout = plan_layout(config.block_chunks, config.client_blocks)
        wanted = dict.fromkeys(layout.parts)
        self._parts = {key: part for key, part in self._held().items() if key in wanted}
        for key in wanted:
            if key in self._parts:
                continue
            if self._is_newer_than(config):
                # A newer list may name other chunks, and these may be gone.
                return False
            if not await self._build(key):
                break
        if len(self._parts) < len(wanted):
            return False
        try:
            await self._swap(config, layout)
        except ConfigError as error:
            log.warning("block table not used", code=int(error.code), error=str(error))
            return False
        return not self._is_newer_than(config)

    def _needs_table(self, config: Config) -> bool:
        if config is self._seen:
            return False
        if self._config is None:
            return bool(config.block_chunks)
        if _have_same_blocks(config, self._config):
            self._seen = config
            return False
        return True

    def _is_newer_than(self, config: Config) -> bool:
        state = self.lookup.state
        return state is not None and not _have_same_blocks(state.config, config)

    def _held(self) -> Mapping[PartKey, Part]:
        blocks = self.lookup.blocks
        in_use = blocks.parts if isinstance(blocks, ChunkedTable) else {}
        return in_use | self._parts

    async def _build(self, key: PartKey) -> bool:
        """Fetch and build one part if its chunk is to be had; return whether to go on."""
        try:
            data = await self.fetch(key.digest)
            if data is not None:
                self._parts[key] = await asyncio.to_thread(build_part, key, data)
                self.built += 1
                self._retry_s = RETRY_S
        except PeerUnavailable as error:
            log.info("block chunk not fetched", digest=key.digest, error=str(error))
            return False
        except ConfigError as error:
            log.warning("block chunk not used", code=int(error.code), error=str(error))
        return True

    async def _swap(self, config: Config, layout: Layout) -> None:
        table = await asyncio.to_thread(ChunkedTable, layout, self._parts)
        self.lookup.use_blocks(table)
        self._config = config
        self._seen = config
        self._parts = {}
        log.info("block table in use", chunks=len(table.parts), ranges=table.ranges)


def _have_same_blocks(one: Config, other: Config) -> bool:
    return one is other or (
        one.block_chunks == other.block_chunks and one.client_blocks == other.client_blocks
    )

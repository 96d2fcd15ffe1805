"""Fetches missing chunks of the block tables from peers and from the platform.

Peers of the agent's own domain come first, then, for watchers only, the platform. In
the first pass over a chunk only one watcher, chosen by hash, calls the platform, so
that a new chunk costs about one call per domain. If the platform does not supply the
chunk, the watcher tries a member of another domain, which helps a domain that lost
all of its chunks during an outage of the platform.
"""

import asyncio
import random

import structlog

from knapweeddock import blockchunks
from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.platformwatch import CALL_TIMEOUT_S, PlatformCallLog, is_watcher
from knapweeddock.errors import (
    ConfigError,
    KnapweedError,
    MessageError,
    PeerUnavailable,
    StoreError,
    StoreUnavailable,
)
from knapweeddock.ids import VmId
from knapweeddock.objectstore import ObjectStore
from knapweeddock.proto.knapweed_pb2 import FetchChunkRequest
from knapweeddock.rendezvous import hash_parts
from knapweeddock.replication import select_watchers

MAX_CONCURRENT_FETCHES = 4
"""Largest number of concurrent chunk fetches of an agent."""

RANDOM_PEERS_PER_CHUNK = 2
"""Random peers tried for a chunk in one pass, in addition to one watcher of the domain."""

log = structlog.get_logger(__name__)


class ChunkFetcher:
    """Fetches the chunks that the newest configuration lists.

    Attributes:
        made_progress: Whether the last pass fetched a chunk or used a new list.
        last_error: The most recent error.
    """

    def __init__(self, *, core: AgentCore, store: ObjectStore, rng: random.Random) -> None:
        self.core = core
        self.store = store
        self.rng = rng
        self.made_progress = False
        self.last_error: KnapweedError = PeerUnavailable("no source has the chunk yet")
        self._calls = PlatformCallLog(what="block chunks")
        self._list_version = 0
        self._attempted_digests: set[str] = set()
        self._platform_error: StoreError | None = None
        self._unreachable: set[VmId] = set()

    async def fetch_missing(self) -> bool:
        """Make one pass over the missing chunks, fetching several at a time.

        Returns:
            Whether chunks are still missing.
        """
        self._platform_error = None
        self._unreachable.clear()
        self.made_progress = self._update_list()
        missing = self.core.chunks.missing()
        if not missing:
            self._attempted_digests.clear()
            return False
        self.rng.shuffle(missing)
        pending = iter(missing)

        async def fetch_pending() -> None:
            for digest in pending:
                if self.core.node.history.version != self._list_version:
                    # Switch to a newer list at once, even if chunks of this one are missing.
                    return
                await self._fetch(digest)

        async with asyncio.TaskGroup() as group:
            for _ in range(min(MAX_CONCURRENT_FETCHES, len(missing))):
                group.create_task(fetch_pending())
        return bool(self.core.chunks.missing())

    def _update_list(self) -> bool:
        history = self.core.node.history
        if history.version == self._list_version:
            return False
        self._list_version = history.version
        previous = self.core.chunks.chunks
        try:
            self.core.chunks.set_list(blockchunks.chunks_of(history.document))
        except ConfigError as error:
            log.warning("list of block chunks rejected", code=int(error.code), error=str(error))
        return self.core.chunks.chunks is not previous

    async def _fetch(self, digest: str) -> None:
        domain_peers = self._domain_peers()
        if await self._fetch_from_peers(digest, domain_peers):
            return
        is_first_pass = digest not in self._attempted_digests
        self._attempted_digests.add(digest)
        if not is_watcher(self.core) or (is_first_pass and not self._is_first_watcher(digest)):
            return
        if await self._fetch_from_platform(digest):
            return
        await self._fetch_from_peers(digest, self._remote_peer())

    def _remote_peer(self) -> list[VmId]:
        members = self.core.node.members
        domains = sorted(members.by_domain.keys() - {self.core.node.failure_domain})
        if not domains:
            return []
        vms = members.remote_members(self.rng.choice(domains))
        return self.rng.sample(vms, min(1, len(vms)))

    def _domain_peers(self) -> list[VmId]:
        """Return random peers of the domain and one of its watchers, without duplicates."""
        node = self.core.node
        peers = sorted(node.members.responsive_peers())
        chosen = self.rng.sample(peers, min(RANDOM_PEERS_PER_CHUNK, len(peers)))
        watchers = [vm for vm in self._watchers() if vm != node.vm]
        chosen += self.rng.sample(watchers, min(1, len(watchers)))
        return list(dict.fromkeys(chosen))

    def _watchers(self) -> list[VmId]:
        node = self.core.node
        return list(
            select_watchers(node.failure_domain, [*node.members.responsive_peers(), node.vm])
        )

    def _is_first_watcher(self, digest: str) -> bool:
        first = min(self._watchers(), key=lambda vm: hash_parts(digest, vm))
        return first == self.core.node.vm

    async def _fetch_from_peers(self, digest: str, vms: list[VmId]) -> bool:
        request = FetchChunkRequest(vm=self.core.node.vm, digest=digest)
        for vm in vms:
            address = self.core.node.members.agent_address(vm)
            if not address or vm in self._unreachable:
                continue
            try:
                reply = await self.core.peers.fetch_chunk(address, request)
                if reply.found:
                    self._store_chunk(digest, reply.data)
                    return True
            except PeerUnavailable as error:
                # Skip the peer for the rest of the pass, so that the other chunks, which may be
                # hundreds, do not each wait for the timeout.
                self._unreachable.add(vm)
                log.debug("chunk not fetched", peer=vm, error=str(error))
                self.last_error = error
            except (MessageError, ConfigError) as error:
                self.core.once_log.peer_error(address, error)
                self.last_error = error
        return False

    async def _fetch_from_platform(self, digest: str) -> bool:
        if self._platform_error is not None:
            # After a failed call the platform is skipped for the rest of the pass, so that
            # the other chunks, which may be hundreds, do not each wait for the timeout.
            return False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                found = await self.store.get(blockchunks.key_of(digest))
            if found is None:
                raise ConfigError(f"block chunk {digest} is not on the platform")
            self._store_chunk(digest, found.value)
        except TimeoutError:
            self._record_failure(StoreUnavailable(f"no response within {CALL_TIMEOUT_S} s"))
        except (ConfigError, StoreError) as error:
            self._record_failure(error)
        else:
            self._calls.record_success()
            return True
        return False

    def _record_failure(self, error: KnapweedError) -> None:
        self.last_error = error
        self._calls.record_failure(error)
        if isinstance(error, StoreError):
            self._platform_error = error

    def _store_chunk(self, digest: str, data: bytes) -> None:
        self.core.chunks.add(digest, data)
        self.made_progress = True

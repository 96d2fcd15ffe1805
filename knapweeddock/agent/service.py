"""The agent service: its gRPC server and its periodic tasks."""

import random
import socket

import structlog
from grpclib.server import Server
from mode import Service

from knapweeddock.agent.chunkfetch import ChunkFetcher
from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.entryprober import EntryProber
from knapweeddock.agent.handlers import NodeHandler, PeerHandler
from knapweeddock.agent.localmember import REPORT_TIMEOUT_S, LocalMember
from knapweeddock.agent.metrics import AgentMetrics
from knapweeddock.agent.platformwatch import (
    VM_LIST_INTERVAL_S,
    Backoff,
    ConfigWatcher,
    PlatformCallLog,
    VmListWatcher,
    is_watcher,
)
from knapweeddock.clock import Clock, SystemClock
from knapweeddock.errors import ConfigError, StoreError
from knapweeddock.ids import Incarnation, new_id
from knapweeddock.objectstore import ObjectStore
from knapweeddock.replication import ReplicationNode
from knapweeddock.settings import AgentSettings
from knapweeddock.state import MemberState
from knapweeddock.vmlist import VmList

EXCHANGE_INTERVAL_S = 1.0
"""Time between two ticks, in seconds. Each tick increments this agent's
heartbeat counter and starts exchanges."""

SYNC_TIMEOUT_S = 3.0
"""Longest time after the start for which the agent waits for an exchange with a synced
peer, in seconds. Before, it neither sends state to local processes nor publishes that
its entry is joining."""

ROLE_CHECK_INTERVAL_S = 0.5
"""Time after which an agent that is not a watcher checks again whether it is one, in
seconds."""

PROBE_INTERVAL_S = 0.5
"""Longest time between two checks for entries to probe, in seconds."""

CHUNK_CHECK_INTERVAL_S = 5.0
"""Longest time between two checks for missing chunks while none is missing, in seconds;
a change of the list ends the wait. While chunks are missing, the backoff applies."""

SEED_PROBABILITY = 1 / 30
"""Probability per tick of an additional exchange with a seed although members are known.
It reconnects two parts of the system that have expired each other's members."""

SEEDS_PER_TICK = 3
"""Seeds contacted in each tick while the agent is not synced or has no other peer for
the tick. Several are contacted since some may have been removed."""

MAX_TICK_GAP_S = 2.0
"""Time between two ticks, in seconds, above which the process counts as paused. The
suspicion timeouts are restarted then, because heartbeats could not arrive meanwhile."""

LEAVE_REPORT_TIMEOUT_S = 1.0
"""Time within which the local entry reports that it is leaving, in seconds, if all
processes of the VM are stopped together."""

DRAIN_CHECK_INTERVAL_S = 0.1
"""Time between two checks whether the local entry is still leaving, in seconds."""

DRAIN_TIMEOUT_S = 45.0
"""Longest wait for the leaving entry, in seconds. It covers the time for which callers
cache look-up responses and the entry's time limit for running requests."""

FINAL_PUSH_TIMEOUT_S = 0.5
"""Time within which the last state of the entry reaches the peers, in seconds."""

log = structlog.get_logger(__name__)


class AgentService(Service):
    """The agent of one VM.

    Attributes:
        core: State of the agent and its traffic with peers.
        address: ``host:port`` of the gRPC server, known after the start.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        store: ObjectStore,
        vm_list: VmList,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.store = store
        self.vm_list = vm_list
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.address = ""
        self.core: AgentCore
        self.handler: NodeHandler
        self.metrics = AgentMetrics(settings=settings)

    async def on_start(self) -> None:
        """Build the state and start the gRPC and metrics servers."""
        listen = self.settings.listen
        listener = socket.create_server((listen.host, listen.port), backlog=1024)
        self.address = f"{listen.host}:{listener.getsockname()[1]}"
        self.core = self._build_core()
        self.handler = NodeHandler(core=self.core)
        self.server = Server([self.handler, PeerHandler(core=self.core)])
        await self.server.start(sock=listener)
        await self.metrics.start(self.core)
        log.info("agent listening", address=self.address)

    def _build_core(self) -> AgentCore:
        vm = self.settings.vm
        domain = self.settings.failure_domain
        own = LocalMember(
            vm=vm,
            failure_domain=domain,
            incarnation=Incarnation(new_id()),
            start_ms=int(self.clock.wall() * 1000),
            agent_address=self.address,
            now=self.clock.monotonic(),
        )
        node = ReplicationNode(vm=vm, failure_domain=domain)
        return AgentCore(node=node, local_member=own, clock=self.clock, rng=self.rng)

    async def on_shutdown(self) -> None:
        """Close the servers and all connections after the tasks have ended."""
        self.server.close()
        await self.server.wait_closed()
        await self.core.close()
        await self.metrics.stop()
        await self.store.close()
        await self.vm_list.close()

    async def drain(self) -> None:
        """Wait while the local entry shuts down, before the agent stops.

        Only the agent tells peers that the entry is leaving. Otherwise a VM whose
        processes are all stopped together would stay in look-up responses.
        """
        await self.sleep(LEAVE_REPORT_TIMEOUT_S)
        deadline = self.clock.monotonic() + DRAIN_TIMEOUT_S
        was_leaving = False
        while self._is_entry_leaving() and self.clock.monotonic() < deadline:
            was_leaving = True
            await self.sleep(DRAIN_CHECK_INTERVAL_S)
        if was_leaving:
            await self.sleep(FINAL_PUSH_TIMEOUT_S)

    def _is_entry_leaving(self) -> bool:
        own = self.core.local_member
        is_silent = own.entry_report_age_s(self.clock.monotonic()) > REPORT_TIMEOUT_S
        leaving = MemberState.LEAVING.value
        return own.entry is not None and own.entry.state == leaving and not is_silent

    @Service.task
    async def _exchange_loop(self) -> None:
        started_at = self.clock.monotonic()
        last_tick = started_at
        tick = self.rng.randrange(2)
        while not self.should_stop:
            now = self.clock.monotonic()
            was_paused = now - last_tick > MAX_TICK_GAP_S
            last_tick = now
            members = self.core.node.members
            if was_paused:
                members.reset_heartbeat_timeouts(now)
            members.update_suspicion(now)
            members.expire(now)
            self._start_exchanges(tick)
            if now - started_at >= SYNC_TIMEOUT_S or not self._seeds():
                self.core.mark_synced()
            self.core.publish_and_notify()
            self.metrics.update(self.core)
            tick += 1
            await self.sleep(EXCHANGE_INTERVAL_S * self.rng.uniform(0.9, 1.1))

    def _seeds(self) -> list[str]:
        return [seed for seed in self.settings.seeds if seed != self.address]

    def _start_exchanges(self, tick: int) -> None:
        node = self.core.node
        addresses = [node.members.agent_address(vm) for vm in node.exchange_peers(tick, self.rng)]
        seeds = self._seeds()
        if not addresses or not self.core.node.is_synced:
            addresses.extend(self.rng.sample(seeds, min(SEEDS_PER_TICK, len(seeds))))
        elif seeds and self.rng.random() < SEED_PROBABILITY:
            addresses.append(self.rng.choice(seeds))
        for address in addresses:
            self.core.start_exchange(address)

    @Service.task
    async def _config_loop(self) -> None:
        watcher = ConfigWatcher(core=self.core, store=self.store)
        calls = PlatformCallLog(what="configuration")
        backoff = Backoff(rng=self.rng)
        while not self.should_stop:
            if not is_watcher(self.core):
                await self.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await watcher.poll()
                backoff.reset()
                calls.record_success()
            except (StoreError, ConfigError) as error:
                calls.record_failure(error)
                self.metrics.count_platform_error()
                await self.sleep(backoff.next_delay_s(error))

    @Service.task
    async def _chunk_loop(self) -> None:
        fetcher = ChunkFetcher(core=self.core, store=self.store, rng=self.rng)
        backoff = Backoff(rng=self.rng)
        while not self.should_stop:
            self.core.config_changed.clear()
            missing = await fetcher.fetch_missing()
            if fetcher.made_progress:
                backoff.reset()
            wait = backoff.next_delay_s(fetcher.last_error) if missing else CHUNK_CHECK_INTERVAL_S
            await self.wait_first(self.core.config_changed.wait(), timeout=wait)

    @Service.task
    async def _vm_list_loop(self) -> None:
        watcher = VmListWatcher(core=self.core, vm_list=self.vm_list)
        calls = PlatformCallLog(what="VM list")
        backoff = Backoff(rng=self.rng)
        while not self.should_stop:
            wait = VM_LIST_INTERVAL_S
            if is_watcher(self.core):
                try:
                    await watcher.poll()
                    backoff.reset()
                    calls.record_success()
                except StoreError as error:
                    calls.record_failure(error)
                    self.metrics.count_platform_error()
                    wait = max(wait, backoff.next_delay_s(error))
            await self.sleep(wait * self.rng.uniform(0.9, 1.1))

    @Service.task
    async def _probe_loop(self) -> None:
        prober = EntryProber(core=self.core)
        while not self.should_stop:
            is_disconnected = self.handler.entry_disconnected.is_set()
            self.handler.entry_disconnected.clear()
            await prober.probe_entries(is_disconnected=is_disconnected)
            await self._wait_for_disconnect()

    async def _wait_for_disconnect(self) -> None:
        await self.wait_first(self.handler.entry_disconnected.wait(), timeout=PROBE_INTERVAL_S)

"""The entry process: its components, their start-up and the graceful shutdown."""

import asyncio
import random
from dataclasses import dataclass

import structlog
from mode import Service

from knapweeddock.clock import MAX_CLOCK_DRIFT_FRACTION, Clock, SystemClock
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.dispatchsettings import DispatchSettings, KeyLimits
from knapweeddock.entry.agentlink import AgentLink
from knapweeddock.entry.dispatchloop import IDLE_TICK_INTERVAL_S, DispatchLoop
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.httpclient import HttpClient
from knapweeddock.entry.httpserver import HttpServer
from knapweeddock.entry.lendingservice import LendingClient, LendingServer
from knapweeddock.entry.ports import BoundPort, bind_port
from knapweeddock.entry.prober import Prober
from knapweeddock.entry.proxyhandler import ProxyHandler
from knapweeddock.entry.requestreader import RequestReader
from knapweeddock.entry.sender import Sender
from knapweeddock.events import DrainStarted
from knapweeddock.handover import TAKEOVER_DELAY_S
from knapweeddock.idempotency import KeyTable
from knapweeddock.ids import Incarnation, new_id
from knapweeddock.metricsweb import MetricsHandler
from knapweeddock.model import DEFAULT_LOOKUP_LIFETIME_MS
from knapweeddock.settings import EntrySettings
from knapweeddock.slotcapacity import SlotCapacity
from knapweeddock.state import MemberState, NodeState
from knapweeddock.tracing import Tracing

log = structlog.get_logger(__name__)

LOOKUP_MARGIN_S = 1.0
"""Margin added to the TTL of look-up responses before new requests are rejected."""

FIRST_PROBES_TIMEOUT_S = 2.0
"""Maximum time to wait for the first probes before requests are accepted."""

STATE_CHECK_INTERVAL_S = 0.2
IDLE_CHECK_INTERVAL_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPorts:
    """The bound ports of the process."""

    public: BoundPort
    internal: BoundPort
    lending: BoundPort
    metrics: BoundPort


class EntryService(Service):
    """The entry process.

    Attributes:
        takeover_delay_s: Time in seconds after the start before which no slot is used.
        incarnation: Identifier of this run of the process.
        marked_down: Set when peers have marked this incarnation down.
        ports: The bound ports; set at start-up.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        takeover_delay_s: float = TAKEOVER_DELAY_S,
    ) -> None:
        super().__init__()
        self.takeover_delay_s = takeover_delay_s
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.incarnation = Incarnation(new_id())
        self.marked_down = asyncio.Event()
        self.ports: EntryPorts | None = None

    async def on_start(self) -> None:
        """Bind the ports, then create and start the components."""
        self.ports = self._bind()
        self.metrics = EntryMetrics(vm=self.settings.vm)
        self.tracing = Tracing(
            settings=self.settings.tracing, process="knapweed-entry", vm=self.settings.vm
        )
        self._build_dispatch()
        self._build_clients()
        self._build_servers()
        for component in self.components:
            await self.add_runtime_dependency(component)
        log.info(
            "entry started",
            incarnation=self.incarnation,
            public=self.ports.public.address,
            internal=self.ports.internal.address,
        )

    async def on_shutdown(self) -> None:
        """Close the connections to other processes and export the remaining spans."""
        await self.sender.close()
        await self.http_client.close()
        self.lending_client.close()
        await asyncio.to_thread(self.tracing.close)

    def _bind(self) -> EntryPorts:
        listen = self.settings.listen
        return EntryPorts(
            public=bind_port(listen.host, listen.public),
            internal=bind_port(listen.host, listen.internal),
            lending=bind_port(listen.host, listen.lending),
            metrics=bind_port(listen.host, listen.metrics),
        )

    def _build_dispatch(self) -> None:
        limits = self.settings.limits
        keys = KeyLimits(
            max_keys=limits.key_limit,
            max_key_life_s=limits.max_key_life_s,
            max_response_bytes=limits.kept_answer_limit,
        )
        self.capacity = SlotCapacity(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            internal_address=self.ports.internal.address,
            now=self.clock.monotonic(),
            rng=self.rng,
            takeover_delay_s=self.takeover_delay_s,
        )
        dispatcher = Dispatcher(
            settings=DispatchSettings(max_queue_length=limits.queue_limit, keys=keys),
            capacity=self.capacity,
            key_table=KeyTable(incarnation=self.incarnation, clock=self.clock, limits=keys),
            rng=self.rng,
            vm=self.settings.vm,
            failure_domain=self.settings.failure_domain,
        )
        self.dispatch_loop = DispatchLoop(
            dispatcher=dispatcher, clock=self.clock, metrics=self.metrics
        )

    def _build_clients(self) -> None:
        limits = self.settings.limits
        self.http_client = HttpClient(
            buffer_limit=limits.buffer_limit,
            header_limit=limits.header_limit,
            connect_timeout_s=limits.connect_timeout_s,
            spare_idle_timeout_s=limits.spare_idle_s,
        )
        self.lending_client = LendingClient(timeout_s=limits.borrow_timeout_s)
        self.sender = Sender(
            dispatch_loop=self.dispatch_loop,
            http_client=self.http_client,
            lending_client=self.lending_client,
            clock=self.clock,
            tracing=self.tracing,
            metrics=self.metrics,
        )
        self.dispatch_loop.executor = self.sender
        self.prober = Prober(
            dispatch_loop=self.dispatch_loop,
            failure_domain=self.settings.failure_domain,
            interval_s=limits.probe_interval_s,
            timeout_s=limits.probe_timeout_s,
            clock=self.clock,
        )
        self.agent_link = AgentLink(
            dispatch_loop=self.dispatch_loop,
            vm=self.settings.vm,
            incarnation=self.incarnation,
            agent_address=self.settings.agent,
            silence_timeout_s=limits.agent_silence_s,
            rng=self.rng,
            listeners=[self.prober.update, self._close_unneeded_connections],
        )
        self.agent_link.public_address = self.ports.public.address
        self.agent_link.internal_address = self.ports.internal.address
        self.agent_link.lending_address = self.ports.lending.address

    def _build_servers(self) -> None:
        limits = self.settings.limits
        self.proxy_handler = ProxyHandler(
            dispatch_loop=self.dispatch_loop,
            reader=RequestReader(limits=limits),
            tracing=self.tracing,
            metrics=self.metrics,
            clock=self.clock,
            incarnation=self.incarnation,
            request_limit=limits.request_limit,
        )
        self.lending_server = LendingServer(
            port=self.ports.lending, dispatch_loop=self.dispatch_loop
        )
        handlers = {
            self.ports.public: self.proxy_handler.handle_public,
            self.ports.internal: self.proxy_handler.handle_internal,
            self.ports.metrics: MetricsHandler(metrics=self.metrics.process).handle,
        }
        servers = [
            HttpServer(port=port, handler=handler, header_limit=limits.header_limit)
            for port, handler in handlers.items()
        ]
        # Components stop in reverse order: the servers before the dispatch loop.
        self.components = [
            self.dispatch_loop,
            self.prober,
            self.lending_server,
            *servers,
            self.agent_link,
        ]

    def _close_unneeded_connections(self, state: NodeState) -> None:
        servers = {
            server.address
            for site in state.config.sites.values()
            for server in site.servers.values()
        }
        entries = {member.internal_address for member in state.members.values()}
        self.http_client.keep_only(servers | entries)
        self.lending_client.keep_only({member.lending_address for member in state.members.values()})

    @Service.task
    async def join(self) -> None:
        """Accept requests once there is a configuration and the servers were probed.

        The slot accounting uses no slot before ``takeover_delay_s`` has passed since
        the start. Changing to ``serving`` earlier would only take slots away from other
        members while no member may use them.
        """
        usable_at = self.clock.monotonic() + self.takeover_delay_s * (1 + MAX_CLOCK_DRIFT_FRACTION)
        await self.dispatch_loop.configured.wait()
        try:
            async with asyncio.timeout(FIRST_PROBES_TIMEOUT_S):
                await self.prober.first_round.wait()
        except TimeoutError:
            log.warning("first probes timed out; accepting requests without them")
        await asyncio.sleep(usable_at - self.clock.monotonic())
        if self.proxy_handler.member_state is MemberState.JOINING:
            self._set_state(MemberState.SERVING)

    @Service.task
    async def watch_own_record(self) -> None:
        """Set ``marked_down`` when peers have marked this process down."""
        while True:
            if self.capacity.marked_down:
                break
            await asyncio.sleep(STATE_CHECK_INTERVAL_S)
        log.error("this incarnation is marked down; finishing running requests")
        self.marked_down.set()

    # Graceful shutdown

    async def drain(self) -> None:
        """Shut down gracefully, in the order of section 5.4 of the design page.

        Look-ups stop naming the entry, their TTL passes, running requests finish, and
        the entry reports that it left. The service must be stopped afterwards.
        """
        was_serving = self.proxy_handler.member_state is MemberState.SERVING
        self._set_state(MemberState.LEAVING)
        self.lending_server.stopping = True
        if was_serving:
            await asyncio.sleep(self._lookup_ttl_s() + LOOKUP_MARGIN_S)
        await self.finish_requests()
        self._set_state(MemberState.LEFT)
        await self.agent_link.report_now()

    async def finish_requests(self) -> None:
        """Reject new requests and wait, with a timeout, for the running ones."""
        self.lending_server.stopping = True
        self.proxy_handler.close_connections = True
        self.dispatch_loop.post(DrainStarted())
        try:
            async with asyncio.timeout(self.settings.limits.stop_limit_s):
                while True:
                    if not self._is_busy():
                        break
                    await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        except TimeoutError:
            log.error(
                "running requests did not finish before the shutdown timeout",
                active=self.proxy_handler.active_requests,
            )
        # Another tick updates the settled views before the last report.
        await asyncio.sleep(2 * IDLE_TICK_INTERVAL_S)

    def _is_busy(self) -> bool:
        return bool(
            self.proxy_handler.active_requests
            or self.sender.attempt_tasks
            or self.dispatch_loop.disconnected
            or not self.dispatch_loop.queue.empty()
            or self.clock.monotonic() < self.dispatch_loop.last_grant_end
        )

    def _lookup_ttl_s(self) -> float:
        state = self.dispatch_loop.node_state
        lifetime_ms = DEFAULT_LOOKUP_LIFETIME_MS
        if state is not None:
            lifetime_ms = state.config.lookup.lifetime_ms
        return lifetime_ms / 1000

    def _set_state(self, member_state: MemberState) -> None:
        log.info("state changed", state=member_state.value)
        self.proxy_handler.member_state = member_state
        self.agent_link.set_state(member_state)

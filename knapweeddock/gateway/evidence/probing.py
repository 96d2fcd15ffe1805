"""Health probes of servers that were unreachable, and checks whether a server has ended."""

import asyncio
import time
from collections.abc import Coroutine
from http import HTTPStatus

import structlog

from knapweeddock.errors import PeerUnavailable, ResponseError
from knapweeddock.gateway.evidence.outages import Outages
from knapweeddock.gateway.placement.fleet import ServerState
from knapweeddock.gateway.requests.serverconnector import ServerConnector
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.wire import ResponseMetadata, WireFormat
from knapweeddock.http1.messages import encode_request_head
from knapweeddock.ids import ServerId

log = structlog.get_logger(__name__)

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe in seconds; a server may have all slots busy and respond late."""


class Prober:
    """Probes unreachable servers until they respond, and learns how long they stay cold.

    Attributes:
        connector: Opens connections to servers.
        outages: Learns which servers cannot be reached, and shares what the probes tell.
        probes_sent: Number of probes since the start.
    """

    def __init__(
        self,
        *,
        connector: ServerConnector,
        routing_state: RoutingState,
        wire: WireFormat,
        outages: Outages,
    ) -> None:
        self.connector = connector
        self.routing_state = routing_state
        self.wire = wire
        self.outages = outages
        self.probes_sent = 0
        self._tasks: dict[ServerId, asyncio.Task[None]] = {}
        self._end_checks: dict[ServerId, asyncio.Task[bool]] = {}

    def start_due_probes(self, now: float) -> None:
        """Start probes of the unreachable servers whose backoff has ended.

        Args:
            now: Monotonic time.
        """
        for server_id, state in self.routing_state.fleet.servers.items():
            if server_id in self._tasks or state.pause.is_active(now):
                continue
            if not self.outages.reach_board.of(state.entry.service).reaches_servers:
                continue
            if state.health.is_probe_due(now):
                self._start(state, self._probe(state))

    def _start(self, state: ServerState, check: Coroutine[None, None, None]) -> None:
        server_id = state.entry.server
        task = asyncio.create_task(check)
        self._tasks[server_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(server_id))

    def check_for_end(self, state: ServerState) -> asyncio.Task[bool]:
        """Find out at once whether a server has ended that broke off a connection.

        A server that accepts a connection right afterwards has not ended, since no process
        starts again as fast. A proxy may accept it for a server that has, so the health is
        asked for as well, beside what follows.

        Returns:
            A task whose result tells whether the server has ended. Checks of the same server
            at the same time share it.
        """
        server_id = state.entry.server
        task = self._end_checks.get(server_id)
        if task is None:
            task = asyncio.create_task(self._has_ended(state))
            self._end_checks[server_id] = task
            task.add_done_callback(lambda _: self._end_checks.pop(server_id))
        return task

    async def _has_ended(self, state: ServerState) -> bool:
        try:
            connection = await self.connector.connect(state.entry)
        except PeerUnavailable as error:
            self.outages.record_unreachable(state, time.monotonic())
            log.info("server has ended", server=state.entry.server, reason=str(error))
            return True
        connection.abort()
        if state.entry.server not in self._tasks:
            self._start(state, self._check_after_loss(state))
        return False

    async def _check_after_loss(self, state: ServerState) -> None:
        """Ask for the health of a server that is in use, and learn only what is certain.

        One that is busy may respond late or not run the check.
        """
        self.probes_sent += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                metadata = await self._check_health(state)
        except TimeoutError:
            return
        except (PeerUnavailable, ResponseError) as error:
            state.health.record_unreachable(time.monotonic())
            log.info("server not back", server=state.entry.server, reason=str(error))
            return
        if metadata is not None and metadata.warmup_left_s:
            self._record_warmup(state, metadata.warmup_left_s)

    async def _probe(self, state: ServerState) -> None:
        self.probes_sent += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                metadata = await self._check_health(state)
        except (PeerUnavailable, ResponseError, TimeoutError) as error:
            self.outages.record_unreachable(state, time.monotonic())
            log.info("server not back", server=state.entry.server, reason=str(error) or "timeout")
            return
        if metadata is None:
            self._record_unfit(state)
            return
        warmup_left_s = self._warmup_left_s(state, metadata)
        self._record_warmup(state, warmup_left_s)
        state.health.record_probe_success()
        log.info("server back", server=state.entry.server, warmup_left_s=warmup_left_s)

    def _record_warmup(self, state: ServerState, warmup_left_s: float) -> None:
        now = time.monotonic()
        if warmup_left_s > 0:
            state.become_cold(now + warmup_left_s, now)
        self.outages.cold_board.record_warmup(state, warmup_left_s, now)

    def _warmup_left_s(self, state: ServerState, metadata: ResponseMetadata) -> float:
        """Return the time in seconds for which a server that is back stays cold.

        A server that is too busy for the probe does not tell; it may be busy because it is
        cold.
        """
        if metadata.warmup_left_s is not None:
            return metadata.warmup_left_s
        if metadata.not_run:
            return self.routing_state.fleet.warmup_s.get(state.entry.service, 0.0)
        return 0.0

    def _record_unfit(self, state: ServerState) -> None:
        now = time.monotonic()
        state.health.record_unreachable(now)
        self.outages.cold_board.record_unreachable(state, now)

    async def _check_health(self, state: ServerState) -> ResponseMetadata | None:
        """Return the metadata of the server's health response, or None if it is unfit.

        A server is unfit if another one responds at its address or if its status is
        not 200; a server that is only too busy to run the probe is fit. A server whose
        service is not configured is unfit, too, and gets no probe.

        Raises:
            PeerUnavailable: There is no connection.
            ResponseError: There is no valid response.
        """
        entry = state.entry
        policy = (
            self.routing_state.config.services.get(entry.service)
            if self.routing_state.config
            else None
        )
        if policy is None:
            return None
        connection = await self.connector.connect(entry)
        try:
            host = f"{entry.address[0]}:{entry.address[1]}".encode()
            headers = [(b"Host", host), (b"Connection", b"close")]
            connection.start_exchange(
                encode_request_head(b"GET", policy.health_path.encode(), headers)
            )
            head = await connection.read_head()
        finally:
            connection.abort()
        metadata = self.wire.parse_response(head)
        state.observe_limit(metadata.limit_per_s, time.monotonic())
        if metadata.server_id not in (None, entry.server):
            return None
        if metadata.leaving:
            self.routing_state.fleet.record_leaving(state)
        if metadata.pause_s:
            state.begin_pause(metadata.pause_s, time.monotonic())
        if head.status != HTTPStatus.OK and not metadata.not_run:
            return None
        return metadata

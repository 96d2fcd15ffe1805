"""Probes of servers that could not be reached."""

import asyncio
import time
from http import HTTPStatus

import structlog

from knapweeddock.errors import PeerUnavailable, ResponseError
from knapweeddock.gateway.fleet import ServerState
from knapweeddock.gateway.serverpool import CONNECT_TIMEOUT_S
from knapweeddock.gateway.view import View
from knapweeddock.gateway.wire import ResponseFacts, WireFormat
from knapweeddock.http1.client import connect
from knapweeddock.http1.messages import encode_request
from knapweeddock.ids import ServerId

log = structlog.get_logger(__name__)

PROBE_TIMEOUT_S = 1.0
"""Time in seconds for the response of a server that may have all slots busy."""


class Prober:
    """Finds out whether unreachable servers are back, and how cold."""

    def __init__(self, *, view: View, wire: WireFormat) -> None:
        self.view = view
        self.wire = wire
        self.probes_sent = 0
        self._tasks: dict[ServerId, asyncio.Task[None]] = {}

    def start_due_probes(self, now: float) -> None:
        """Probe the servers whose time has come."""
        for server, state in self.view.fleet.servers.items():
            if state.standing.is_probe_due(now) and server not in self._tasks:
                task = asyncio.create_task(self._probe(state))
                self._tasks[server] = task
                task.add_done_callback(lambda _, server=server: self._tasks.pop(server))

    async def _probe(self, state: ServerState) -> None:
        self.probes_sent += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                facts = await self._check_health(state)
        except (PeerUnavailable, ResponseError, TimeoutError) as error:
            state.standing.unreachable(time.monotonic())
            log.info("server not back", server=state.entry.server, reason=str(error) or "timeout")
            return
        if facts is None:
            state.standing.unreachable(time.monotonic())
            return
        state.standing.verified()
        if facts.warmup_left_s:
            state.cold_until = max(state.cold_until, time.monotonic() + facts.warmup_left_s)
        log.info("server back", server=state.entry.server, warmup_left_s=facts.warmup_left_s)

    async def _check_health(self, state: ServerState) -> ResponseFacts | None:
        """Return what the server says of itself, or None when it is not fit."""
        entry = state.entry
        policy = self.view.config.services.get(entry.service) if self.view.config else None
        if policy is None:
            return None
        connection = await connect(entry.address, timeout_s=CONNECT_TIMEOUT_S)
        try:
            host = f"{entry.address[0]}:{entry.address[1]}".encode()
            headers = [(b"Host", host), (b"Connection", b"close")]
            connection.start(encode_request(b"GET", policy.health_path.encode(), headers))
            head = await connection.response_head()
        finally:
            connection.abort()
        facts = self.wire.response_facts(head)
        if facts.server not in (None, entry.server):
            return None
        if head.status != HTTPStatus.OK and not facts.not_run:
            return None
        return facts

"""Active health checks of the backend servers in the entry's own failure domain."""

import asyncio

import aiohttp
import msgspec
import structlog
from mode import Service

from knapweeddock.clock import Clock
from knapweeddock.entry.dispatchloop import DispatchLoop
from knapweeddock.ids import FailureDomainId, ServerId
from knapweeddock.slottypes import ServerHealth, ServerReport
from knapweeddock.state import NodeState

log = structlog.get_logger(__name__)

MAX_PROBE_RESPONSE_BYTES = 4096
"""Largest number of bytes that are read of a response to a probe; the rest is ignored."""

FIRST_ROUND_CONCURRENCY = 16
"""Concurrent probes in the first round, which is not spread over the interval."""


class HealthBody(msgspec.Struct):
    """Response body of ``/health``; other fields are ignored."""

    status: str


class LoadBody(msgspec.Struct):
    """Response body of ``/load``; other fields are ignored."""

    in_flight: int


class Prober(Service):
    """Reports the health and load of servers to the dispatch loop.

    Attributes:
        interval_s: Interval in seconds between two probes of a server.
        timeout_s: Timeout of a probe in seconds.
        servers: Address of each server to probe.
        configured: Set once there is a snapshot.
        first_round: Set once every server was probed.
        probe_tasks: Running probes.
    """

    def __init__(
        self,
        *,
        dispatch_loop: DispatchLoop,
        failure_domain: FailureDomainId,
        interval_s: float,
        timeout_s: float,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.dispatch_loop = dispatch_loop
        self.failure_domain = failure_domain
        self.interval_s = interval_s
        self.timeout_s = timeout_s
        self.clock = clock
        self.servers: dict[ServerId, str] = {}
        self.configured = asyncio.Event()
        self.first_round = asyncio.Event()
        self.probe_tasks: set[asyncio.Task[None]] = set()
        self.session: aiohttp.ClientSession | None = None

    def update(self, state: NodeState) -> None:
        """Replace the servers to probe with those of a snapshot."""
        self.servers = {
            server: endpoint.address
            for site in state.config.sites.values()
            if site.failure_domain == self.failure_domain
            for server, endpoint in site.servers.items()
        }
        self.configured.set()

    async def on_start(self) -> None:
        """Open the HTTP session."""
        # The two requests of a probe share a connection; the next probe opens a new one,
        # since an old connection may be unresponsive although the server is healthy.
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=self.timeout_s / 2)
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def on_stop(self) -> None:
        """Cancel running probes and close the session."""
        for probe in self.probe_tasks:
            probe.cancel()
        if self.probe_tasks:
            await asyncio.wait(self.probe_tasks)
        await self.session.close()

    @Service.task
    async def run(self) -> None:
        """Probe all servers immediately, then each server once per interval, evenly spread."""
        await self.configured.wait()
        await self._probe_all()
        while True:
            servers = sorted(self.servers.items())
            probe_spacing_s = self.interval_s / max(1, len(servers))
            for server, address in servers:
                probe = asyncio.get_running_loop().create_task(self.probe(server, address))
                self.probe_tasks.add(probe)
                probe.add_done_callback(self.probe_tasks.discard)
                await asyncio.sleep(probe_spacing_s)
            if not servers:
                await asyncio.sleep(probe_spacing_s)

    async def _probe_all(self) -> None:
        semaphore = asyncio.Semaphore(FIRST_ROUND_CONCURRENCY)

        async def probe_with_limit(server: ServerId, address: str) -> None:
            async with semaphore:
                await self.probe(server, address)

        async with asyncio.TaskGroup() as group:
            for server, address in self.servers.items():
                group.create_task(probe_with_limit(server, address))
        self.first_round.set()

    async def probe(self, server: ServerId, address: str) -> None:
        """Probe a server and report its health and load to the dispatch loop."""
        health = ServerHealth.UNREACHABLE
        in_flight = None
        try:
            async with asyncio.timeout(self.timeout_s):
                health = await self._fetch_health(address)
                in_flight = await self._fetch_in_flight(address)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("probe failed", server=server, error=repr(error))
        report = ServerReport(
            server=server,
            health=health,
            in_flight=in_flight,
            measured_at=self.clock.monotonic(),
        )
        self.dispatch_loop.post(report)

    async def _fetch_health(self, address: str) -> ServerHealth:
        content = await self._get(address, "/health")
        try:
            return ServerHealth(msgspec.json.decode(content, type=HealthBody).status)
        except (msgspec.DecodeError, ValueError):
            return ServerHealth.UNREACHABLE

    async def _fetch_in_flight(self, address: str) -> int | None:
        content = await self._get(address, "/load")
        try:
            return max(0, msgspec.json.decode(content, type=LoadBody).in_flight)
        except msgspec.DecodeError:
            return None

    async def _get(self, address: str, path: str) -> bytes:
        async with self.session.get(f"http://{address}{path}", allow_redirects=False) as response:
            if response.status != 200:
                return b""
            return await response.content.read(MAX_PROBE_RESPONSE_BYTES)

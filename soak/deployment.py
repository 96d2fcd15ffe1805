"""The parts of a run: gateway processes, and a store and servers behind links."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from knapweeddock.platform.settings import SETTINGS_VARIABLE
from soak.faults import Size
from soak.links import Link, running_link
from soak.observations import Cause, Execution, Observations, PauseRequest, PlannedStop
from soak.promises import GRACE_S
from standins import documents
from standins.metastore import MetaStore, running_metastore
from standins.platformserver import PlatformServer
from standins.processes import FIRST_PORT, PORTS_PER_PROCESS, ManagedProcess, PortAllocator

DOMAINS = tuple(documents.ZONES)
SERVICES = ("ledger", "archive")
WORK_S = 0.02
QUEUE_LIMIT = 6
WARMUP_S = 3.0
"""Time in seconds for which a server stays cold after a start."""

LAPSE_S = 1.5
"""Time in seconds after which the entry of a server that has crashed lapses."""

POLL_S = 0.02


class ServerHost:
    """A backend server behind a link, which can crash and start again.

    Attributes:
        server: The server that runs, or that ran last.
        link: The link by which gateways reach it.
        domain: Its failure domain.
        service: What it serves.
        cold: Whether it has started a short time ago.
        state: State that its entry has.
        registered: Whether it has an entry.
        lock: Held while its life is changed, so that changes follow each other.
    """

    def __init__(self, *, number: int, seen: Observations, bodies: dict[str, bytes]) -> None:
        self.number = number
        self.seen = seen
        self.bodies = bodies
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.service = SERVICES[number // len(DOMAINS) % len(SERVICES)]
        self.lock = asyncio.Lock()
        self.starts = 0
        self.cold = False
        self.state = "ready"
        self.registered = False
        self.sends_before = 0
        self.server = PlatformServer(name=f"i-{number}")
        self.link = Link(target=("127.0.0.1", 0))
        self._runner: web.AppRunner | None = None

    @property
    def sends(self) -> int:
        """Requests that arrived since the run began."""
        return self.sends_before + len(self.server.headers)

    async def start(self, *, name: str, port: int = 0) -> int:
        """Start the server as ``name`` and return its port."""
        self.starts += 1
        self.sends_before += len(self.server.headers)
        self.server = PlatformServer(
            name=name,
            work_s=WORK_S,
            queue_limit=QUEUE_LIMIT,
            on_run=self._note_run,
            on_pause=self._note_pause,
        )
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.server.handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return self._runner.addresses[0][1]

    def set_cold(self, *, cold: bool) -> None:
        """Change what its entry and its health tell of its warm-up."""
        self.cold = cold
        self.server.warmup_ms = round(WARMUP_S * 1000) if cold else 0

    async def stop(self) -> None:
        """End the server and its connections without a word."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, *, state: str = "ready") -> dict[str, object]:
        """Return the server's entry in the store."""
        entry = self.server.entry(self.link.address, self.domain, self.service)
        cold = {"WarmupLeft": f"{WARMUP_S * 1000:.0f}ms"} if self.cold else {}
        # The millisecond of a start differs between the starts of a run.
        return {**entry, **cold, "State": state, "born": entry["born"] + self.starts}

    def _note_run(self, server: PlatformServer, request_id: str, body: bytes) -> None:
        self.seen.executions.append(
            Execution(
                request_id=request_id,
                server=server.name,
                service=self.service,
                domain=self.domain,
                at=time.monotonic(),
                intact=body == self.bodies.get(request_id, b""),
                start=self.starts,
                leaving=server.leaving,
            )
        )

    def _note_pause(self, server: PlatformServer, request_id: str) -> None:
        self.seen.pauses.append(
            PauseRequest(
                request_id=request_id,
                server=server.name,
                start=self.starts,
                at=time.monotonic(),
                for_s=float(server.retry_after),
            )
        )


class GatewayHost:
    """A gateway process that is started again whenever it has ended.

    Attributes:
        name: Name of the gateway and of its VM.
        process: The process.
        front: The link by which callers reach it.
        store_link: The link by which it reaches the store.
    """

    def __init__(
        self,
        *,
        name: str,
        process: ManagedProcess,
        front: Link,
        store_link: Link,
        seen: Observations,
    ) -> None:
        self.name = name
        self.process = process
        self.front = front
        self.store_link = store_link
        self.seen = seen
        self._listens = False
        self._ending: Cause | None = None
        self._down_s = 0.0

    async def supervise(self) -> None:
        """Start the process, and again each time when it has ended."""
        self.process.start()
        await self.listening()
        while True:
            await _until(lambda: not self.process.running)
            self._listens = False
            with self.seen.disturbed(self.name, self._ending or Cause.FAULT):
                self._check_end()
                await asyncio.sleep(self._down_s)
                self._ending = None
                self.process.start()
                await self.listening()

    async def kill(self, down_s: float) -> None:
        """End the process at once."""
        with self.seen.disturbed(self.name):
            self._ending = Cause.FAULT
            self._down_s = down_s
            self.process.send(signal.SIGKILL)
            await self._started_again()

    async def stop(self, down_s: float) -> None:
        """Ask the process to end and wait until it runs again.

        A process that is still starting is left alone: it ends by the signal
        before it has taken a request.
        """
        if self._ending is not None or not self._listens:
            return
        child = self.process.child
        self._ending = Cause.PLANNED_STOP
        self._down_s = down_s
        asked_at = time.monotonic()
        with self.seen.disturbed(self.name, Cause.PLANNED_STOP):
            self.process.send(signal.SIGTERM)
            await _until(lambda: child.poll() is not None)
            self.seen.planned_stops.append(
                PlannedStop(gateway=self.name, asked_at=asked_at, ended_at=time.monotonic())
            )
            await self._started_again()

    async def _started_again(self) -> None:
        await _until(lambda: self._ending is None)
        await self.listening()

    def reload(self) -> None:
        """Ask the process to read its settings again, unless it is still starting."""
        if self._listens:
            self.process.send(signal.SIGHUP)

    async def pause(self, for_s: float) -> None:
        """Freeze the process for ``for_s`` seconds."""
        with self.seen.disturbed(self.name):
            self.process.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self.process.send(signal.SIGCONT)

    async def listening(self) -> None:
        """Wait until the front accepts connections."""
        while self.process.running:
            try:
                _, writer = await asyncio.open_connection(*self.front.target)
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            self._listens = True
            return

    def _check_end(self) -> None:
        status = self.process.child.returncode
        match self._ending:
            case None:
                self._fault(f"ended by itself with status {status}")
            case Cause.PLANNED_STOP if status != 0:
                self._fault(f"ended a planned stop with status {status}")

    def _fault(self, text: str) -> None:
        self.seen.process_faults.append(f"{self.name} {text}")


@dataclass(kw_only=True)
class Deployment:
    """All parts, and what callers send.

    Attributes:
        store: The store.
        servers: The servers by number.
        gateways: The gateways by number.
        seen: What callers and servers see.
        bodies: Bodies that callers send, by identifier of the request.
        version: Version of the configuration.
        domain_locks: Held while a failure domain is evacuated.
    """

    store: MetaStore
    seen: Observations
    servers: list[ServerHost] = field(default_factory=list)
    gateways: list[GatewayHost] = field(default_factory=list)
    bodies: dict[str, bytes] = field(default_factory=dict)
    version: int = 1
    domain_locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: {domain: asyncio.Lock() for domain in DOMAINS}
    )

    def publish_routes(self) -> None:
        """Write the next version, which moves all routes to the other service."""
        self.version += 1
        self.write_routes()

    def write_routes(self) -> None:
        """Write the present version."""
        service = SERVICES[self.version % len(SERVICES)]
        rows = [
            documents.route_row("r-read", "/read/", "safe", Service=service),
            documents.route_row("r-book", "/book/", "unsafe", Service=service),
        ]
        config = documents.config(f"{self.version:08x}", rows, SERVICES)
        self.store.put("config", "main", config)

    def write_all(self) -> None:
        """Write again what the store has lost: the configuration, evacuations and servers."""
        self.write_routes()
        for domain, lock in self.domain_locks.items():
            if lock.locked():
                self.store.put("evacuations", domain, {})
            else:
                self.store.remove("evacuations", domain)
        names = {host.server.name for host in self.servers if host.registered}
        for name in set(self.store.kinds["servers"]) - names:
            self.store.remove("servers", name)
        for host in self.servers:
            if host.registered:
                self.store.put("servers", host.server.name, host.entry(state=host.state))

    def publish_server(self, host: ServerHost, *, state: str = "ready") -> None:
        """Write the entry of a server."""
        host.state = state
        host.registered = True
        self.store.put("servers", host.server.name, host.entry(state=state))


@contextlib.asynccontextmanager
async def running_deployment(
    folder: Path, *, size: Size, seen: Observations
) -> AsyncIterator[Deployment]:
    """Run a deployment within the block; logs and settings go to ``folder``."""
    async with contextlib.AsyncExitStack() as stack:
        store, address = await stack.enter_async_context(running_metastore())
        deployment = Deployment(store=store, seen=seen)
        deployment.publish_routes()
        for number in range(size.servers):
            await _add_server(deployment, number, stack)
        ports = PortAllocator()
        for number in range(size.gateways):
            await _add_gateway(deployment, number, address, folder, ports, stack)
        for gateway in deployment.gateways:
            await gateway.listening()
        yield deployment


async def _add_server(
    deployment: Deployment, number: int, stack: contextlib.AsyncExitStack
) -> None:
    host = ServerHost(number=number, seen=deployment.seen, bodies=deployment.bodies)
    port = await host.start(name=f"i-{number}")
    stack.push_async_callback(host.stop)
    host.link = await stack.enter_async_context(running_link(("127.0.0.1", port)))
    deployment.servers.append(host)
    deployment.publish_server(host)


async def _add_gateway(
    deployment: Deployment,
    number: int,
    store: tuple[str, int],
    folder: Path,
    ports: PortAllocator,
    stack: contextlib.AsyncExitStack,
) -> None:
    name = f"front-{number}"
    ip = _loopback_ip(ports, number)
    store_link = await stack.enter_async_context(running_link(store))
    front = await stack.enter_async_context(running_link((ip, ports.take())))
    settings = folder / f"{name}.toml"
    settings.write_text(
        documents.settings_text(
            node=name,
            ip=ip,
            zone=DOMAINS[number % len(DOMAINS)],
            peer=ports.take(),
            front=front.target[1],
            ready=ports.take(),
            lookup=ports.take(),
            grace=f"{GRACE_S:g}s",
            store=f"{store_link.address[0]}:{store_link.address[1]}",
        )
    )
    process = ManagedProcess(
        name=name,
        arguments=["-m", "knapweeddock.platform"],
        log=folder / f"{name}.log",
        environment={SETTINGS_VARIABLE: str(settings)},
    )
    host = GatewayHost(
        name=name, process=process, front=front, store_link=store_link, seen=deployment.seen
    )
    stack.callback(process.kill)
    supervisor = asyncio.create_task(host.supervise())
    stack.callback(supervisor.cancel)
    deployment.gateways.append(host)
    await asyncio.sleep(0)


def _loopback_ip(ports: PortAllocator, number: int) -> str:
    """Return an address of its own, since each gateway serves metrics on a fixed port."""
    run = (ports.next_port - FIRST_PORT) // PORTS_PER_PROCESS
    return f"127.{10 + run}.0.{10 + number}"


async def _until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_S)

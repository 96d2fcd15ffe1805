"""Stand-in for a backend server of the users' platform."""

import asyncio
import contextlib
import weakref
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

SIGNATURE = "signed"

REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
"""A refusal that does not name its request, as a faulty server sends it once more."""


class ServerFault(Enum):
    """What the server does with requests."""

    NONE = "none"
    SHED = "shed"
    FAIL = "fail"
    UNSIGNED = "unsigned"
    RESET_AFTER_RUN = "reset after run"
    SILENT = "silent"
    PAUSE = "pause"
    REPEAT = "repeat"


@dataclass(kw_only=True)
class PlatformServer:
    """A server and what it has seen.

    Attributes:
        name: Its identifier.
        work_s: Time that a request takes, in seconds.
        slots: Requests that run at the same time.
        queue_limit: Requests that wait for a slot before others are shed; all run
            at once when None.
        fault: What is wrong.
        leaving: Whether all its responses say that it leaves.
        retry_after: ``Retry-After`` of the refusals with ``ServerFault.PAUSE``.
        limit: Requests per second that all its responses name as its limit, "" for none.
        on_run: Called with the server, the request's identifier and its body when
            a request starts to run.
        on_pause: Called with the server and the request's identifier when it refuses
            a request and asks for a pause.
        ran: Identifiers of the requests that it ran.
        cut: Identifiers of the requests whose connection closed meanwhile.
        headers: Headers of the requests that arrived.
        arrived_at: Times of the event loop at which those that were meant for it arrived.
        bodies: Bodies of the requests that it ran.
        probes: Number of health checks.
        rejects_probes: Whether it is too busy for health checks.
    """

    name: str
    work_s: float = 0.0
    slots: int = 3
    queue_limit: int | None = None
    on_run: Callable[["PlatformServer", str, bytes], None] | None = None
    on_pause: Callable[["PlatformServer", str], None] | None = None
    fault: ServerFault = ServerFault.NONE
    leaving: bool = False
    retry_after: str = "1"
    limit: str = ""
    warmup_ms: int = 0
    ran: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    probes: int = 0
    rejects_probes: bool = False
    running: int = 0
    waiting: int = 0

    def __post_init__(self) -> None:
        """Prepare the slots."""
        self._free_slots = asyncio.Semaphore(self.slots)
        self._site: web.TCPSite | None = None
        self._transports: set[asyncio.Transport] = set()
        self._requests: weakref.WeakKeyDictionary[asyncio.Transport, int] = (
            weakref.WeakKeyDictionary()
        )

    async def listen(self, runner: web.AppRunner, port: int = 0) -> None:
        """Listen on ``port``, or on a free one."""
        self._site = web.TCPSite(runner, "127.0.0.1", port, reuse_address=True)
        await self._site.start()

    def end(self) -> None:
        """End like a process that crashes: the port and all connections close at once."""
        self._site._server.close()
        for transport in self._transports:
            transport.abort()
        self._transports.clear()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request."""
        if request.transport is not None:
            self._transports.add(request.transport)
        answer = await self._respond(request)
        if self.leaving:
            answer.headers["Server-Leaving"] = "1"
        if self.limit:
            answer.headers["Server-Limit"] = self.limit
        identifier = request.headers.get("Request-Id")
        if identifier and self.fault is not ServerFault.REPEAT:
            answer.headers["Request-Id"] = identifier
        return answer

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/healthz":
            self.probes += 1
            if self.rejects_probes:
                return web.Response(status=503, headers={"Not-Executed": "1"})
            health = {"Instance-Id": self.name, "Warmup-Ms": str(self.warmup_ms)}
            return web.Response(headers=health)
        headers = {name: request.headers[name] for name in request.headers}
        self.headers.append(headers)
        expected = request.headers.get("Expected-Instance", self.name)
        if expected != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        self.arrived_at.append(asyncio.get_running_loop().time())
        if self.fault is ServerFault.PAUSE:
            headers = {"Not-Executed": "1", "Retry-After": self.retry_after}
            if self.on_pause is not None:
                self.on_pause(self, request.headers.get("Request-Id", ""))
            return web.Response(status=503, headers=headers)
        if self.fault is ServerFault.SHED:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        if self.fault is ServerFault.REPEAT and self._repeats_refusal(request.transport):
            return web.Response(status=503, headers={"Not-Executed": "1"})
        body = await request.read()
        if self.queue_limit is None:
            return await self._run(request, body)
        if self.waiting >= self.queue_limit:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        return await self._run_in_slot(request, body)

    def _repeats_refusal(self, transport: asyncio.Transport) -> bool:
        """Refuse the second request of a connection, and send that refusal again with later ones.

        Returns:
            Whether the current request is to be refused.
        """
        count = self._requests.get(transport, 0)
        self._requests[transport] = count + 1
        if count > 1:
            transport.write(REFUSAL)
        return count == 1

    async def _run_in_slot(self, request: web.Request, body: bytes) -> web.StreamResponse:
        self.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._run(request, body)
        finally:
            self._free_slots.release()

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        identifier = request.headers.get("Request-Id", "")
        self.ran.append(identifier)
        self.bodies.append(body)
        if self.on_run is not None:
            self.on_run(self, identifier, body)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            if self.fault is ServerFault.SILENT:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cut.append(identifier)
            raise
        finally:
            self.running -= 1
        if self.fault is ServerFault.RESET_AFTER_RUN:
            request.transport.abort()
        if self.fault is ServerFault.FAIL:
            return web.Response(status=500, headers={"Request-Id": identifier})
        return self._answer(request, identifier)

    def _answer(self, request: web.Request, identifier: str) -> web.Response:
        # The request that is being answered counts as running.
        load = f"{self.running + 1},{self.waiting},{self.slots}"
        headers = {"Request-Id": identifier, "Server-Load": load}
        if self.fault is not ServerFault.UNSIGNED:
            headers["Response-Signature"] = SIGNATURE
        text = f"{self.name} ran {request.path_qs}"
        size = int(request.query.get("size", "0"))
        return web.Response(text=text.ljust(size), headers=headers)

    def entry(self, address: tuple[str, int], zone: str, service: str) -> dict[str, object]:
        """Return the server's entry in the store."""
        return {
            "Service": service,
            "Address": f"{address[0]}:{address[1]}",
            "Zone": zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Sequence": 1,
            "born": 1_790_000_000_000,
        }


@contextlib.asynccontextmanager
async def running_server(name: str) -> AsyncIterator[tuple[PlatformServer, tuple[str, int]]]:
    """Run a server within the block and give it with its address."""
    server = PlatformServer(name=name)
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", server.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
    await runner.setup()
    await server.listen(runner)
    try:
        yield server, runner.addresses[0][:2]
    finally:
        await runner.cleanup()

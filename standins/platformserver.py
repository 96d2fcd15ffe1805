"""Stand-in for a backend server of the users' platform."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

SIGNATURE = "signed"


class ServerFault(Enum):
    """What the server does with requests."""

    NONE = "none"
    SHED = "shed"
    FAIL = "fail"
    UNSIGNED = "unsigned"
    RESET_AFTER_RUN = "reset after run"
    SILENT = "silent"


@dataclass(kw_only=True)
class PlatformServer:
    """A server and what it has seen.

    Attributes:
        name: Its identifier.
        work_s: Time that a request takes, in seconds.
        fault: What is wrong.
        ran: Identifiers of the requests that it ran.
        cut: Identifiers of the requests whose connection closed meanwhile.
        headers: Headers of the requests that arrived.
        bodies: Bodies of the requests that it ran.
        probes: Number of health checks.
    """

    name: str
    work_s: float = 0.0
    fault: ServerFault = ServerFault.NONE
    warmup_ms: int = 0
    ran: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    probes: int = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request."""
        if request.path == "/healthz":
            self.probes += 1
            health = {"Instance-Id": self.name, "Warmup-Ms": str(self.warmup_ms)}
            return web.Response(headers=health)
        headers = {name: request.headers[name] for name in request.headers}
        self.headers.append(headers)
        expected = request.headers.get("Expected-Instance", self.name)
        if expected != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        if self.fault is ServerFault.SHED:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        return await self._run(request)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        identifier = request.headers.get("Request-Id", "")
        self.ran.append(identifier)
        self.bodies.append(await request.read())
        try:
            await asyncio.sleep(self.work_s)
            if self.fault is ServerFault.SILENT:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cut.append(identifier)
            raise
        if self.fault is ServerFault.RESET_AFTER_RUN:
            request.transport.abort()
        if self.fault is ServerFault.FAIL:
            return web.Response(status=500, headers={"Request-Id": identifier})
        answer = {"Request-Id": identifier, "Server-Load": "0,0,3"}
        if self.fault is not ServerFault.UNSIGNED:
            answer["Response-Signature"] = SIGNATURE
        return web.Response(text=f"{self.name} ran {request.path_qs}", headers=answer)

    def entry(self, address: tuple[str, int], zone: str, service: str) -> dict[str, object]:
        """Return the server's entry in the store."""
        return {
            "Service": service,
            "Address": f"{address[0]}:{address[1]}",
            "Zone": zone,
            "Version": "v1",
            "Slots": 3,
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
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield server, runner.addresses[0][:2]
    finally:
        await runner.cleanup()

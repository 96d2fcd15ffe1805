"""Stand-in of an upstream: registers, runs requests in slots and answers as the pages say."""

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.rig2.http import Message, encode, read_body, read_head
from review.rig2.store import Store

HEARTBEAT_S = 1.5


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request that an upstream ran.

    Attributes:
        request_id: Its id.
        method: Its method.
        target: Its path and query.
        body: Digest of its body.
        at: Wall time at which it began.
    """

    request_id: str
    method: str
    target: str
    body: str
    at: float


def digest(body: bytes) -> str:
    """Return what stands for a body in records."""
    return f"{len(body)}:{hashlib.sha256(body).hexdigest()[:12]}"


@dataclass(kw_only=True)
class Upstream:
    """One upstream.

    Attributes:
        name: Its id.
        service: Its service.
        store: Where it registers.
        zone: Its zone.
        slots: Requests that it runs at a time.
        work_s: Time that a request takes.
        runs: What it ran.
        rejected: Ids of requests that it rejected.
        answer: Writes the answer to a request that has run; the usual one if None.
    """

    name: str
    service: str
    store: Store
    zone: str = "z-a"
    slots: int = 3
    work_s: float = 0.05
    answer_bytes: int = 500
    host: str = "127.0.0.1"
    port: int = 0
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    rejected: list[str] = field(default_factory=list)
    running: int = 0
    handle: (
        Callable[["Upstream", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
        | None
    ) = None
    server: asyncio.Server | None = None
    beating: asyncio.Task[None] | None = None
    sequence: int = 0
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        """Listen, register and write heartbeats."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()
        self.beating = asyncio.create_task(self.beat())

    async def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "Version": "1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeft": "0ms",
            "Sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    async def beat(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def stop(self, *, deregister: bool = True) -> None:
        """End at once."""
        if self.beating is not None:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        if deregister:
            await self.store.delete("servers", self.name)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
                while head := await read_head(reader):
                    if not await self.serve_one(head, reader, writer):
                        break
                    await writer.drain()
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(
        self, head: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection goes on."""
        if head.first[1] == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", {"Instance-Id": self.name, **self.load()}))
            return head.headers.get("connection") != "close"
        request_id = head.headers.get("request-id", "")
        if head.headers.get("expected-instance", self.name) != self.name:
            await read_body(reader, head, is_response=False)
            self.reject(writer, request_id, 421)
            return True
        if self.handle is not None and await self.handle(self, head, reader, writer):
            return True
        await read_body(reader, head, is_response=False)
        if self.running >= self.slots:
            self.reject(writer, request_id, 503)
            return True
        self.running += 1
        try:
            self.note_run(head)
            await asyncio.sleep(self.work_s)
            writer.write(encode("HTTP/1.1 200 OK", self.headers(request_id), self.content(head)))
        finally:
            self.running -= 1
        return True

    def content(self, request: Message) -> bytes:
        """Return the body of the answer to a request; it names the request."""
        parts = (request.headers.get("request-id", ""), request.first[1], digest(request.body), "")
        text = " ".join(parts).encode()
        return text + b"x" * max(0, self.answer_bytes - len(text))

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        return {"Request-Id": request_id, "Response-Signature": f"sig.{request_id}", **self.load()}

    def load(self) -> dict[str, str]:
        """Return the header with the load."""
        return {"Server-Load": f"{self.running},0,{self.slots}", "Keep-Alive": "timeout=10"}

    def reject(self, writer: asyncio.StreamWriter, request_id: str, status: int) -> None:
        """Answer that a request has not run."""
        self.rejected.append(request_id)
        headers = {"Request-Id": request_id, "Not-Executed": "1", **self.load()}
        writer.write(encode(f"HTTP/1.1 {status} x", headers))

    def note_run(self, request: Message) -> None:
        """Record that a request runs."""
        run = Run(
            request_id=request.headers.get("request-id", ""),
            method=request.first[0],
            target=request.first[1],
            body=digest(request.body),
            at=time.time(),
        )
        self.runs.append(run)

"""Stand-in for a backend server that decides on each byte that it sends."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from standins.platformserver import SIGNATURE

HEALTH_PATH = "/healthz"


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """A request that the server has read.

    Attributes:
        request_id: Identifier that the client gave to it.
        method: Method.
        path: Path with the query.
        number: How many requests came before it on its connection.
    """

    request_id: str
    method: str
    path: str
    number: int


@dataclass(kw_only=True)
class ServerConnection:
    """A connection that a gateway has opened.

    Attributes:
        writer: Where the server writes.
        memory: What behaviours remember from one request of the connection to the next.
    """

    writer: asyncio.StreamWriter
    memory: list[bytes] = field(default_factory=list)

    async def write(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """End the connection with a reset."""
        self.writer.transport.abort()


Behaviour = Callable[["ByteServer", ReceivedRequest, ServerConnection], Awaitable[bool]]
"""Responds to a request; returns whether the connection is kept."""


@dataclass(kw_only=True)
class ByteServer:
    """A server and what it has seen.

    Attributes:
        name: Its identifier.
        behave: Responds to requests.
        work_s: Time in seconds that a request takes.
        received: Requests that arrived.
        ran: Identifiers of the requests that it ran.
    """

    name: str
    behave: Behaviour
    work_s: float = 0.05
    received: list[ReceivedRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)

    async def run(self, request: ReceivedRequest) -> bytes:
        """Run a request and return its whole response."""
        self.ran.append(request.request_id)
        await asyncio.sleep(self.work_s)
        return self.answer(request)

    def answer(self, request: ReceivedRequest) -> bytes:
        """Return the response to a request."""
        body = f"{self.name} ran {request.path}"
        return response(200, request.request_id, body, f"Response-Signature: {SIGNATURE}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
        connection = ServerConnection(writer=writer)
        number = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await _read_request(reader, number)
                if request.path == HEALTH_PATH:
                    await connection.write(
                        response(200, "", "", f"Instance-Id: {self.name}", "Warmup-Ms: 0")
                    )
                    continue
                number += 1
                self.received.append(request)
                if not await self.behave(self, request, connection):
                    break
        writer.close()


def response(status: int, request_id: str, body: str, *headers: str) -> bytes:
    """Return a response with a length; without an identifier if that is empty."""
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body.encode())}"]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


async def _read_request(reader: asyncio.StreamReader, number: int) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    await reader.readexactly(int(headers.get("content-length", "0")))
    method, path, _ = start.split(" ")
    return ReceivedRequest(
        request_id=headers.get("request-id", ""), method=method, path=path, number=number
    )


@contextlib.asynccontextmanager
async def running_byte_server(
    name: str, behave: Behaviour
) -> AsyncIterator[tuple[ByteServer, tuple[str, int]]]:
    """Run a server within the block and give it with its address."""
    server = ByteServer(name=name, behave=behave)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        try:
            await server.serve(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            tasks.discard(task)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server, listener.sockets[0].getsockname()[:2]
    finally:
        listener.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

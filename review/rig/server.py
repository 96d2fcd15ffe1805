"""Stand-in of an upstream server: slots, a short queue, drain and an end."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from rig.http import Message, encode, read_body, read_head
from rig.record import Record

SLOTS = 3
QUEUE = 9
IDLE_CLOSE_S = 10
HEALTH_PATH = "/healthz"
BORN_MS = 1_790_000_000_000


@dataclass(kw_only=True)
class Arrival:
    """A request that has reached a server and was meant for it.

    Attributes:
        request_id: Identifier of the client's attempt.
        at: Monotonic time.
        ran: Whether the server began to work on it.
        done: Whether it ran to its end.
    """

    request_id: str
    at: float
    ran: bool = False
    done: bool = False


@dataclass(kw_only=True, eq=False)
class Server:
    """An upstream server.

    Attributes:
        name: Its ``Id``.
        service: Its service.
        zone: Its zone.
        record: Where it writes what it ran.
        work_s: Time that a request takes, by the kind in its path.
        state: ``State`` of its entry.
        address: Host and port.
        arrivals: Requests that have reached it, without health checks and those that got 421.
        leaving: Whether its answers say that it leaves.
    """

    name: str
    service: str
    zone: str
    record: Record
    work_s: dict[str, float] = field(default_factory=dict)
    state: str = "ready"
    address: tuple[str, int] = ("", 0)
    arrivals: list[Arrival] = field(default_factory=list)
    leaving: bool = False
    running: int = 0
    waiting: int = 0

    def __post_init__(self) -> None:
        """Prepare the slots."""
        self._free = asyncio.Semaphore(SLOTS)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def end(self) -> None:
        """End as a process does: the port and all connections close."""
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "WarmupLeft": "0ms",
            "Sequence": 1,
            "born": BORN_MS,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_next(reader, writer):
                pass
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_next(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            async with asyncio.timeout(IDLE_CLOSE_S):
                request = await read_head(reader)
        except TimeoutError:
            return False
        if request is None:
            return False
        await read_body(reader, request, until_end=False)
        if not request.complete:
            return False
        answer = asyncio.create_task(self._answer(request))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait([answer, gone], return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            # The connection has closed: the work on the request ends.
            answer.cancel()
            await asyncio.gather(answer, return_exceptions=True)
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        status, headers, body = answer.result()
        headers["Server-Load"] = f"{self.running + 1},{self.waiting},{SLOTS}"
        headers["Keep-Alive"] = f"timeout={IDLE_CLOSE_S}"
        if self.leaving:
            headers["Server-Leaving"] = "1"
            headers["Connection"] = "close"
        writer.write(encode(f"HTTP/1.1 {status} Answer", headers, body))
        await writer.drain()
        return not self.leaving

    async def _answer(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        path = request.start[1]
        if path == HEALTH_PATH:
            is_good = self.state == "ready" and not self.leaving
            return (200 if is_good else 503), {"Instance-Id": self.name}, b""
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id}
        if request.headers.get("expected-instance", self.name) != self.name:
            return 421, headers, b""
        arrival = Arrival(request_id=request_id, at=time.monotonic())
        self.arrivals.append(arrival)
        self.record.write("reached", server=self.name, request=request_id)
        if self.waiting >= QUEUE:
            return 503, {**headers, "Not-Executed": "1"}, b""
        deadline = arrival.at + int(request.headers.get("deadline-ms", "60000")) / 1000
        return await self._run(request, arrival, headers, deadline)

    async def _run(
        self, request: Message, arrival: Arrival, headers: dict[str, str], deadline: float
    ) -> tuple[int, dict[str, str], bytes]:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if time.monotonic() >= deadline:
                return 503, {**headers, "Not-Executed": "1"}, b""
            arrival.ran = True
            self.record.write("ran", server=self.name, request=arrival.request_id)
            work_s = self.work_s.get(request.start[1].split("/")[1], 0.1)
            left_s = deadline - time.monotonic()
            await asyncio.sleep(min(work_s, left_s))
            if work_s > left_s:
                return 504, headers, b""
            arrival.done = True
        finally:
            self.running -= 1
            self._free.release()
        headers["Response-Signature"] = f"{self.name}.{arrival.request_id}"
        return 200, headers, f"{self.name} ran {arrival.request_id}".encode()

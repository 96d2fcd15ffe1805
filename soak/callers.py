"""Callers that keep their connections open for as long as they last."""

import asyncio
import contextlib
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from soak.observations import Call, Observations, Outcome

DEADLINE_MS = 2000
ANSWER_LIMIT_S = DEADLINE_MS / 1000 + 6.0
"""Time after which a call counts as unanswered, far beyond its deadline."""

MOST_EXCHANGES = 40
MOST_THINK_S = 0.1
MOST_ABANDON_S = 0.05
OBJECTS = 40
LARGE_BYTES = 300_000
RECONNECT_S = 0.1


class Habit(Enum):
    """How a caller sends a request."""

    READ = "read"
    BOOK = "book"
    UPLOAD = "upload"
    DOWNLOAD = "download"
    PIPELINE = "pipeline"
    ABANDON = "abandon"
    HALF_SENT = "half sent"


HABIT_WEIGHTS = {
    Habit.READ: 8,
    Habit.BOOK: 6,
    Habit.UPLOAD: 1,
    Habit.DOWNLOAD: 1,
    Habit.PIPELINE: 2,
    Habit.ABANDON: 1,
    Habit.HALF_SENT: 1,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request and how it is recognised in its answer."""

    request_id: str
    target: str
    idempotent: bool
    body: bytes = b""
    size: int = 0

    def encode(self, object_key: int) -> bytes:
        """Return the request's bytes."""
        method = "GET" if self.idempotent else "POST"
        head = (
            f"{method} {self.target} HTTP/1.1\r\nHost: ring.example\r\n"
            f"Request-Id: {self.request_id}\r\nCookie: Affinity-Key={object_key}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """What came back: all of an answer, or the part before the connection ended."""

    received_bytes: int
    status: int = 0
    headers: Mapping[str, str] | None = None
    body: bytes = b""

    def answers(self, request: Request) -> bool:
        """Whether this is the answer of a server to ``request``."""
        return (
            self.headers.get("request-id") == request.request_id
            and "response-signature" in self.headers
            and f" ran {request.target}".encode() in self.body
            and len(self.body) >= request.size
        )


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer; its status is 0 when the connection ended before it did."""
    received = 0
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        received = len(head)
        status_line, *lines = head.decode("latin-1").strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        return Reply(received_bytes=received + len(error.partial))
    except OSError:
        return Reply(received_bytes=received)
    return Reply(
        received_bytes=received + len(body),
        status=int(status_line.split()[1]),
        headers=headers,
        body=body,
    )


class Caller:
    """One caller; it goes to another gateway when its connection has ended.

    Attributes:
        fronts: Address of each gateway's link.
        seen: Where calls are noted.
        bodies: Where the bodies of requests are noted, for servers to compare.
    """

    def __init__(
        self,
        *,
        name: str,
        rng: random.Random,
        fronts: Mapping[str, tuple[str, int]],
        seen: Observations,
        bodies: dict[str, bytes],
    ) -> None:
        self.name = name
        self.rng = rng
        self.fronts = fronts
        self.seen = seen
        self.bodies = bodies
        self.sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            gateway = self.rng.choice(sorted(self.fronts))
            reader, writer = await asyncio.open_connection(*self.fronts[gateway])
            try:
                await self._use(gateway, reader, writer)
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_S)

    async def _use(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(self.rng.randint(1, MOST_EXCHANGES)):
            habit = self.rng.choices(list(HABIT_WEIGHTS), list(HABIT_WEIGHTS.values()))[0]
            requests = self._requests(habit)
            sent_at = time.monotonic()
            # A connection that has ended shows when the answers are read.
            with contextlib.suppress(OSError):
                await self._send(habit, requests, writer)
            if habit in (Habit.ABANDON, Habit.HALF_SENT):
                self._note_abandoned(gateway, requests, sent_at)
                return
            if not await self._read_replies(gateway, requests, sent_at, reader):
                return
            await asyncio.sleep(self.rng.uniform(0.0, MOST_THINK_S))

    def _requests(self, habit: Habit) -> list[Request]:
        match habit:
            case Habit.READ | Habit.HALF_SENT:
                return [self._request(idempotent=True)]
            case Habit.PIPELINE:
                return [self._request(idempotent=True), self._request(idempotent=True)]
            case Habit.DOWNLOAD:
                return [self._request(idempotent=True, size=LARGE_BYTES)]
            case Habit.UPLOAD:
                return [self._request(idempotent=False, body_bytes=LARGE_BYTES)]
            case Habit.BOOK | Habit.ABANDON:
                return [self._request(idempotent=False, body_bytes=self.rng.randint(0, 200))]

    def _request(self, *, idempotent: bool, size: int = 0, body_bytes: int = 0) -> Request:
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        path = "read" if idempotent else "book"
        body = (request_id.encode() * (body_bytes // len(request_id) + 1))[:body_bytes]
        self.bodies[request_id] = body
        return Request(
            request_id=request_id,
            target=f"/{path}/{self.rng.randrange(OBJECTS)}?n={request_id}&size={size}",
            idempotent=idempotent,
            body=body,
            size=size,
        )

    async def _send(
        self, habit: Habit, requests: list[Request], writer: asyncio.StreamWriter
    ) -> None:
        data = b"".join(request.encode(self.rng.randrange(OBJECTS)) for request in requests)
        match habit:
            case Habit.HALF_SENT:
                writer.write(data[: self.rng.randrange(1, len(data))])
            case Habit.UPLOAD:
                half = len(data) // 2
                writer.write(data[:half])
                await asyncio.sleep(self.rng.uniform(0.0, MOST_THINK_S))
                writer.write(data[half:])
            case _:
                writer.write(data)
        if habit in (Habit.ABANDON, Habit.HALF_SENT):
            await asyncio.sleep(self.rng.uniform(0.0, MOST_ABANDON_S))

    async def _read_replies(
        self,
        gateway: str,
        requests: list[Request],
        sent_at: float,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Note the answers; return whether the connection can be used again."""
        for request in requests:
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    reply = await read_reply(reader)
            except TimeoutError:
                self._note(gateway, request, sent_at, Outcome.UNANSWERED, Reply(received_bytes=0))
                return False
            outcome = Outcome.ANSWERED if reply.status else Outcome.CLOSED
            self._note(gateway, request, sent_at, outcome, reply)
            if not reply.status:
                return False
        return reply.headers.get("connection", "").lower() != "close"

    def _note_abandoned(self, gateway: str, requests: list[Request], sent_at: float) -> None:
        for request in requests:
            self._note(gateway, request, sent_at, Outcome.ABANDONED, Reply(received_bytes=0))

    def _note(
        self, gateway: str, request: Request, sent_at: float, outcome: Outcome, reply: Reply
    ) -> None:
        self.seen.calls.append(
            Call(
                request_id=request.request_id,
                gateway=gateway,
                idempotent=request.idempotent,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                outcome=outcome,
                status=reply.status,
                received_bytes=reply.received_bytes,
                foreign=reply.status == 200 and not reply.answers(request),
            )
        )

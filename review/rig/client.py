"""Stand-in of clients: they ask a directory for gateways and send requests to these."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

from rig.http import Message, encode, read_body, read_head
from rig.record import Record

Address = tuple[str, int]

CONNECT_S = 1.0
"""Time in seconds that a client allows for a new connection."""

REUSE_S = 8.0
"""Time in seconds for which a client reuses an idle connection."""


@dataclass(kw_only=True)
class Attempt:
    """One attempt of a client.

    Attributes:
        request_id: Its identifier.
        kind: First part of its path.
        gateway: Address of the gateway.
        sent_at: Monotonic time at which it was sent, 0 when there was no connection.
        ended_at: Monotonic time of its end.
        status: Status of the answer; 0 when the connection ended without a whole one.
        why: How it ended when there is no answer.
    """

    request_id: str
    kind: str
    gateway: Address
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    why: str = ""


async def resolve(directory: Address, host: str, region: str, zone: str) -> list[Address]:
    """Return the gateways that a directory names; none when it names none within a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*directory)
            target = f"/api/resolve?Name={host}&Region={region}&Zone={zone}"
            writer.write(encode(f"GET {target} HTTP/1.1", {"Host": host}))
            answer = await read_head(reader)
            if answer is None:
                return []
            await read_body(reader, answer, until_end=True)
            writer.close()
    except (OSError, TimeoutError):
        return []
    if answer.start[1] != "200":
        return []
    found = json.loads(answer.body)["Addresses"]
    return [(text.rpartition(":")[0], int(text.rpartition(":")[2])) for text in found]


class Clients:
    """Clients that send requests at a rate.

    Attributes:
        attempts: All attempts, also those that have no answer yet.
        gateways: Gateways that are used.
    """

    def __init__(self, *, host: str, record: Record, seed: int) -> None:
        self.host = host
        self.record = record
        self.rng = random.Random(seed)
        self.attempts: list[Attempt] = []
        self.gateways: list[Address] = []
        self._idle: dict[Address, list[tuple[float, asyncio.StreamReader, object]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(self, kind: str, *, per_s: float, deadline_s: float, for_s: float) -> None:
        """Send requests of one kind (``read`` or ``book``) for some time."""
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            task = asyncio.create_task(self.attempt(kind, deadline_s=deadline_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.expovariate(per_s))

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._tasks)

    async def attempt(self, kind: str, *, deadline_s: float) -> Attempt:
        """Send one request and wait for its answer."""
        gateway = self.rng.choice(self.gateways)
        attempt = Attempt(request_id=f"{self.rng.getrandbits(64):016x}", kind=kind, gateway=gateway)
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                await self._exchange(attempt, deadline_s)
        except TimeoutError:
            attempt.why = "no answer within the deadline and a second"
        except OSError as error:
            attempt.why = str(error) or type(error).__name__
        attempt.ended_at = time.monotonic()
        self.record.write(
            "answered",
            request=attempt.request_id,
            kind=kind,
            gateway=gateway[0],
            status=attempt.status,
            why=attempt.why or "-",
        )
        return attempt

    async def _exchange(self, attempt: Attempt, deadline_s: float) -> None:
        reader, writer = await self._connection(attempt.gateway)
        thing = self.rng.randrange(24)
        method, body = ("POST", b"x" * 300) if attempt.kind == "book" else ("GET", b"")
        headers = {
            "Host": self.host,
            "Request-Id": attempt.request_id,
            "Cookie": f"Affinity-Key={thing}",
            "Deadline-Ms": str(round(deadline_s * 1000)),
        }
        attempt.sent_at = time.monotonic()
        self.record.write(
            "sent", request=attempt.request_id, kind=attempt.kind, gateway=attempt.gateway[0]
        )
        try:
            writer.write(encode(f"{method} /{attempt.kind}/{thing} HTTP/1.1", headers, body))
            answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer, until_end=True)
            self._take(attempt, answer)
        finally:
            if attempt.status and answer.headers.get("connection", "").lower() != "close":
                idle = self._idle.setdefault(attempt.gateway, [])
                idle.append((time.monotonic(), reader, writer))
            else:
                writer.close()

    def _take(self, attempt: Attempt, answer: Message | None) -> None:
        if answer is None:
            attempt.why = "closed without an answer"
        elif not answer.complete:
            attempt.why = "cut in the middle of an answer"
        else:
            attempt.status = int(answer.start[1])

    async def _connection(
        self, gateway: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self._idle.get(gateway, [])
        while idle:
            since, reader, writer = idle.pop()
            if time.monotonic() - since < REUSE_S and not reader.at_eof():
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(*gateway)

"""Stand-in of a caller: caches look-up answers, sends requests, re-sends by key."""

import asyncio
import hashlib
import random
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum

import aiohttp

RETRY_AFTER_DEFAULT_S = 0.2
RETRY_AFTER_MAX_S = 1.0
NOT_AFTER_S = 30.0
CONNECT_TIMEOUT_S = 1.0
MAX_SENDS = 8


class CallOutcome(Enum):
    """How a call ended for the caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    """An answer that belongs to another request or is not whole."""
    NO_ENTRY = "no-entry"


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An entry of a look-up answer."""

    vm: str
    url: str
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class Call:
    """What a caller wants done.

    Attributes:
        kind: Name for the report, such as the request class.
        host: Host name of the service.
        method: HTTP method.
        path: Path with query.
        body: Request body.
        idempotent: Whether the caller may send it again at will.
        deadline_s: Time in which the caller wants the answer.
    """

    kind: str
    host: str
    method: str
    path: str
    body: bytes = b""
    idempotent: bool = True
    deadline_s: float = 3.0


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """How one call went.

    Attributes:
        call: The call.
        key: Idempotency key, empty for an idempotent call.
        outcome: What the caller may conclude.
        code: Result code of the last answer, -1 without one.
        latency_s: Time from the intended start to the final answer.
        sends: Number of times that it was sent.
        broken_sends: Sends that ended without an answer, refused connections included.
        started_at: Wall time of the intended start.
        not_run_keys: Keys under which an answer said that nothing was run.
    """

    call: Call
    key: str
    outcome: CallOutcome
    code: int
    latency_s: float
    sends: int
    broken_sends: int
    started_at: float
    not_run_keys: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Answer:
    """One answer of an entry; ``status`` 0 means that none came.

    Attributes:
        status: HTTP status.
        outcome: Value of the ``Knapweed-Outcome`` header.
        code: Value of the ``Knapweed-Result`` header.
        retry_after_s: When to come back.
        body: The body.
        sent: Whether the request may have reached the entry.
    """

    status: int
    outcome: str = "unknown"
    code: int = -1
    retry_after_s: float = RETRY_AFTER_DEFAULT_S
    body: bytes = b""
    sent: bool = True


@dataclass(kw_only=True)
class CachedLookup:
    """A look-up answer and the time until which it may be used."""

    entries: list[Entry]
    until: float


@dataclass(kw_only=True)
class Caller:
    """A caller at one address.

    Attributes:
        session: HTTP client.
        lookups: Base URLs of look-up processes.
        service: Service name for look-ups.
        address: Client address.
        delay_s: One-way delay to the system, added to each direction.
        rng: Source of randomness.
        lookup_count: Number of look-ups that were answered.
    """

    session: aiohttp.ClientSession
    lookups: list[str]
    service: str
    address: str
    rng: random.Random
    delay_s: float = 0.0
    lookup_count: int = 0
    cache: CachedLookup | None = None
    failed_entries: dict[str, float] = field(default_factory=dict)

    async def entries(self) -> list[Entry]:
        """Return the entries to use, from the cache while it is valid."""
        if self.cache and time.monotonic() < self.cache.until:
            return self.cache.entries
        for base in self.rng.sample(self.lookups, len(self.lookups)):
            found = await self.look_up(base)
            if found:
                self.cache = found
                return found.entries
        return self.cache.entries if self.cache else []

    async def look_up(self, base: str) -> CachedLookup | None:
        """Ask one look-up process."""
        query = {"service": self.service, "client": self.address}
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self.session.get(
                f"{base}/v1/lookup", params=query, timeout=timeout
            ) as reply:
                if reply.status != 200:
                    return None
                answer = await reply.json()
        except (aiohttp.ClientError, TimeoutError):
            return None
        self.lookup_count += 1
        entries = [
            Entry(vm=item["vm"], url=item["url"], incarnation=item["incarnation"])
            for item in answer["entries"]
        ]
        until = time.monotonic() + answer["lifetime_ms"] / 1000
        return CachedLookup(entries=entries, until=until)

    async def run(self, call: Call, *, late_s: float = 0.0) -> CallResult:
        """Carry a call out and return how it went.

        Args:
            call: What to do.
            late_s: Time that has passed since the intended start. It counts as
                latency, so that a slow load generator does not hide waits.
        """
        started = time.monotonic() - late_s
        started_at = time.time() - late_s
        flow = CallFlow(caller=self, call=call, deadline=started + call.deadline_s)
        outcome = await flow.run()
        return CallResult(
            call=call,
            key="" if call.idempotent else flow.key,
            outcome=outcome,
            code=flow.code,
            latency_s=time.monotonic() - started,
            sends=flow.sends,
            broken_sends=flow.broken_sends,
            started_at=started_at,
            not_run_keys=tuple(flow.not_run_keys),
        )


@dataclass(kw_only=True)
class CallFlow:
    """The sends of one call until it has a final answer."""

    caller: Caller
    call: Call
    deadline: float
    key: str = field(default_factory=lambda: uuid.uuid4().hex)
    not_after_ms: int = field(default_factory=lambda: int((time.time() + NOT_AFTER_S) * 1000))
    owner: Entry | None = None
    may_have_run: bool = False
    not_run_keys: list[str] = field(default_factory=list)
    sends: int = 0
    broken_sends: int = 0
    code: int = -1

    async def run(self) -> CallOutcome:
        """Send until there is a final answer, the deadline or the send limit."""
        excluded: set[str] = set()
        while self.sends < MAX_SENDS:
            entry = await self.next_entry(excluded)
            if entry is None:
                return self.given_up(CallOutcome.NO_ENTRY)
            remaining = self.deadline - time.monotonic()
            if remaining <= 0:
                return self.given_up(CallOutcome.NOT_RUN)
            answer = await self.send(entry, remaining)
            final = self.conclude(entry, answer, excluded)
            if final is not None:
                return final
            await self.pause(answer)
        return self.given_up(CallOutcome.NOT_RUN)

    async def next_entry(self, excluded: set[str]) -> Entry | None:
        """Return the owner of the key, else the first entry that did not fail."""
        if self.owner is not None and not self.call.idempotent:
            return self.owner
        entries = await self.caller.entries()
        usable = [entry for entry in entries if entry.incarnation not in excluded]
        if not usable and entries:
            excluded.clear()
            usable = entries
        if usable and not self.call.idempotent:
            self.owner = usable[0]
        return usable[0] if usable else None

    def conclude(self, entry: Entry, answer: Answer, excluded: set[str]) -> CallOutcome | None:
        """Return the final outcome that an answer gives, or None to send again."""
        self.code = answer.code if answer.status else self.code
        if answer.status == 0:
            return self.conclude_failed_send(entry, answer, excluded)
        if answer.outcome == "complete":
            return self.check_body(answer)
        if answer.outcome == "not-run":
            if not self.call.idempotent and not self.may_have_run:
                self.not_run_keys.append(self.key)
                self.renew_key()
            excluded.add(entry.incarnation)
            return None
        if self.call.idempotent:
            excluded.add(entry.incarnation)
            return None
        return CallOutcome.UNKNOWN

    def conclude_failed_send(
        self, entry: Entry, answer: Answer, excluded: set[str]
    ) -> CallOutcome | None:
        """Decide after a send without an answer."""
        self.broken_sends += 1
        excluded.add(entry.incarnation)
        self.caller.cache = None if not answer.sent else self.caller.cache
        if self.call.idempotent:
            return None
        if answer.sent:
            self.may_have_run = True
            return None
        if self.may_have_run:
            return CallOutcome.UNKNOWN
        self.renew_key()
        return None

    def renew_key(self) -> None:
        """Start over with a new key: the work under the old one did not start."""
        self.key = uuid.uuid4().hex
        self.owner = None
        self.not_after_ms = int((time.time() + NOT_AFTER_S) * 1000)

    def check_body(self, answer: Answer) -> CallOutcome:
        """Compare the answer with what the request must yield."""
        digest = hashlib.blake2b(self.call.body, digest_size=8).hexdigest()
        expected = f"{self.call.method} {self.call.path} {self.key} {digest}\n".encode()
        return CallOutcome.COMPLETE if answer.body.startswith(expected) else CallOutcome.WRONG

    def given_up(self, otherwise: CallOutcome) -> CallOutcome:
        """Return the outcome of a call that ends without a final answer."""
        return CallOutcome.UNKNOWN if self.may_have_run else otherwise

    async def pause(self, answer: Answer) -> None:
        """Wait as the answer asks, within the deadline."""
        wait = min(answer.retry_after_s, RETRY_AFTER_MAX_S) if answer.status else 0.0
        remaining = self.deadline - time.monotonic()
        await asyncio.sleep(max(0.0, min(wait, remaining)))

    def headers(self, entry: Entry, remaining: float) -> dict[str, str]:
        """Return the headers of one send."""
        headers = {
            "Host": self.call.host,
            "Knapweed-Deadline-Ms": str(int(remaining * 1000)),
            "X-Caller-Request": self.key,
            "X-Caller-Entry": entry.vm,
        }
        if not self.call.idempotent:
            headers["Idempotency-Key"] = self.key
            headers["Knapweed-Incarnation"] = entry.incarnation
            headers["Knapweed-Not-After"] = str(self.not_after_ms)
        return headers

    async def send(self, entry: Entry, remaining: float) -> Answer:
        """Send the call once; a failure to connect is told apart from a lost answer."""
        self.sends += 1
        timeout = aiohttp.ClientTimeout(total=remaining, sock_connect=CONNECT_TIMEOUT_S)
        try:
            await asyncio.sleep(self.caller.delay_s)
            async with self.caller.session.request(
                self.call.method,
                entry.url + self.call.path,
                headers=self.headers(entry, remaining),
                data=self.call.body or None,
                timeout=timeout,
            ) as reply:
                body = await reply.read()
            await asyncio.sleep(self.caller.delay_s)
        except aiohttp.ClientConnectorError:
            return Answer(status=0, sent=False)
        except (aiohttp.ClientError, TimeoutError):
            return Answer(status=0)
        return parse_answer(reply, body)


def parse_answer(reply: aiohttp.ClientResponse, body: bytes) -> Answer:
    """Return the typed form of an HTTP answer of an entry."""
    retry_ms = reply.headers.get("Knapweed-Retry-After-Ms")
    return Answer(
        status=reply.status,
        outcome=reply.headers.get("Knapweed-Outcome", "unknown"),
        code=int(reply.headers.get("Knapweed-Result", "-1")),
        retry_after_s=float(retry_ms) / 1000 if retry_ms else RETRY_AFTER_DEFAULT_S,
        body=body,
    )


@asynccontextmanager
async def caller_session(limit: int = 2000) -> AsyncIterator[aiohttp.ClientSession]:
    """Open the HTTP client that callers of one process share."""
    connector = aiohttp.TCPConnector(limit=limit, limit_per_host=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session

"""What callers and backend servers saw during a run."""

import contextlib
import math
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

SOAK = "soak"
"""Subject of disturbances of the soak itself, which runs store, servers and callers."""


class Outcome(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    CLOSED = "closed"
    UNANSWERED = "unanswered"
    ABANDONED = "abandoned"


class Cause(Enum):
    """What disturbs a part of the deployment."""

    FAULT = "fault"
    PLANNED_STOP = "planned stop"


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request as its caller saw it.

    Attributes:
        request_id: Identifier of the request.
        gateway: Name of the gateway that got it.
        idempotent: Whether it may run more than once.
        sent_at: Monotonic time of the first byte, in seconds.
        ended_at: Monotonic time at which the outcome was known.
        outcome: How it ended.
        status: Status of the answer, 0 without one.
        received_bytes: Bytes of the answer.
        foreign: Whether the answer belongs to another request or is spoilt.
    """

    request_id: str
    gateway: str
    idempotent: bool
    sent_at: float
    ended_at: float
    outcome: Outcome
    status: int = 0
    received_bytes: int = 0
    foreign: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """One run of a request on a server.

    Attributes:
        request_id: Identifier of the request.
        server: Name of the server.
        service: Service of the server.
        domain: Failure domain of the server.
        at: Monotonic time of its start, in seconds.
        intact: Whether the body was the one that the caller sent.
        start: Number of the server's start.
        leaving: Whether the server announced in its response that it leaves.
    """

    request_id: str
    server: str
    service: str
    domain: str
    at: float
    intact: bool
    start: int = 1
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PauseRequest:
    """A refusal with which a server asked a gateway to send nothing for some time.

    Attributes:
        request_id: Identifier of the refused request.
        server: Name of the server.
        start: Number of the server's start.
        at: Monotonic time of the refusal, in seconds.
        for_s: Length of the pause in seconds.
    """

    request_id: str
    server: str
    start: int
    at: float
    for_s: float


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """Time for which a server named a limit in all its responses.

    Attributes:
        server: Name of the server.
        start: Number of the server's start.
        per_s: Requests per second that it takes from all gateways together.
        began_at: Monotonic time of its begin, in seconds.
        ended_at: Monotonic time of its end.
    """

    server: str
    start: int
    per_s: float
    began_at: float
    ended_at: float = math.inf

    def covers(self, execution: Execution) -> bool:
        """Whether ``execution`` ran on the server while it named the limit."""
        is_its = (execution.server, execution.start) == (self.server, self.start)
        return is_its and self.began_at <= execution.at <= self.ended_at


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdStart:
    """Start of a server that is cold for some time.

    Attributes:
        server: Name of the server.
        arrived_at: Monotonic times at which requests have arrived since the start.
        began_at: Monotonic time of the start.
        ended_at: Monotonic time until which the server is cold.
    """

    server: str
    arrived_at: list[float]
    began_at: float
    ended_at: float


@dataclass(kw_only=True, slots=True)
class Disturbance:
    """Time within which something was wrong with a part of the deployment."""

    subject: str
    cause: Cause
    began_at: float
    ended_at: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Whether it lasted at some moment from ``start`` to ``end``."""
        return self.began_at <= end and self.ended_at >= start


@dataclass(kw_only=True, slots=True)
class Leave:
    """Time for which servers must get no new requests.

    Attributes:
        server: Name of the server, or "" for all of ``domain``.
        domain: Name of the failure domain, or "" for one server.
        began_at: Monotonic time at which the store had it.
        ended_at: Monotonic time at which it was taken back.
    """

    server: str = ""
    domain: str = ""
    began_at: float
    ended_at: float = math.inf

    def covers(self, execution: Execution) -> bool:
        """Whether the server of ``execution`` is meant."""
        return execution.server == self.server or execution.domain == self.domain


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStop:
    """A SIGTERM and the end of the process, at monotonic times in seconds."""

    gateway: str
    asked_at: float
    ended_at: float


@dataclass(kw_only=True)
class Observations:
    """Everything that was seen in a run.

    Attributes:
        calls: Finished calls.
        executions: Runs on servers.
        pauses: Refusals that asked for a pause.
        limits: Limits that servers named.
        cold_starts: Servers that started cold.
        sends: Number of requests that reached a server, refused ones included.
        disturbances: What was wrong, and when.
        leaves: Servers and failure domains that were leaving.
        planned_stops: Planned stops of gateways.
        calm_spans: Start and end of the spans in which everything must be served.
        stalls: Number of stalls of processes, by lack of processor time.
        process_faults: Descriptions of what processes did against their promises.
    """

    calls: list[Call] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    pauses: list[PauseRequest] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    sends: int = 0
    disturbances: list[Disturbance] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    calm_spans: list[tuple[float, float]] = field(default_factory=list)
    stalls: int = 0
    process_faults: list[str] = field(default_factory=list)

    @contextlib.contextmanager
    def limited(self, server: str, start: int, per_s: float) -> Iterator[None]:
        """Note that ``server`` names a limit within the block."""
        limit = NamedLimit(server=server, start=start, per_s=per_s, began_at=time.monotonic())
        self.limits.append(limit)
        try:
            yield
        finally:
            limit.ended_at = time.monotonic()

    @contextlib.contextmanager
    def disturbed(self, subject: str, cause: Cause = Cause.FAULT) -> Iterator[None]:
        """Note that ``subject`` is disturbed within the block."""
        entry = Disturbance(subject=subject, cause=cause, began_at=time.monotonic())
        self.disturbances.append(entry)
        try:
            yield
        finally:
            entry.ended_at = time.monotonic()

    @contextlib.contextmanager
    def leaving(self, *, server: str = "", domain: str = "") -> Iterator[None]:
        """Note that a server or failure domain is leaving within the block."""
        entry = Leave(server=server, domain=domain, began_at=time.monotonic())
        self.leaves.append(entry)
        try:
            yield
        finally:
            entry.ended_at = time.monotonic()

    def disturbance_of(
        self, subjects: set[str] | None, start: float, end: float, cause: Cause | None = None
    ) -> bool:
        """Whether one of ``subjects`` (any when None) was disturbed from ``start`` to ``end``."""
        return any(
            entry.overlaps(start, end)
            for entry in self.disturbances
            if (subjects is None or entry.subject in subjects)
            and (cause is None or entry.cause is cause)
        )

"""What this entry knows of each backend server: failures, warm-up, leaving, load."""

import random

from knapweeddock.grants import ServerHealth, ServerReport, SlotOutcome
from knapweeddock.ids import ServerId

FAILURES_IN_A_ROW = 3
BACKOFF_START_S = 1.0
BACKOFF_MAX_S = 30.0
BACKOFF_JITTER = 0.2
"""Largest part of a backoff that is added to it at random."""

WARMUP_STEP_S = 2.0
STARTUP_TERM_S = 10.0
"""Time after process start in which a first ``ok`` opens a server fully."""

LEAVING_HOLD_S = 10.0
"""Time for which a sign of leaving outweighs an ``ok``: health endpoints lag."""

ANNOUNCED_HOLD_S = 600.0
"""Time for which an announcement in an answer outweighs an ``ok``. A leaving
server gets no requests, so it cannot repeat its announcement, and a misleading
health endpoint alone would bring it back every few seconds."""

REPORT_LIFE_S = 5.0
"""Age at which a reported load has lost its weight."""

SHED_HOLD_S = 1.0
"""Time after a shed in which other servers are preferred. A server that sheds
everything has the fewest requests and would otherwise be chosen first."""

SHED_LOAD = 1000.0
"""Load that a server counts as having in that time."""

ALL_SLOTS = 1 << 30
WARM_AT = 64
"""Open slots at which a server counts as fully open."""


class ServerRecord:
    """State of one backend server.

    Attributes:
        opened: Slots with an index below this may be used.
        next_open_at: When one more slot opens; None while none will.
        failures: Failures in a row.
        retry_at: When a trial request may be sent; None when not set aside.
        trial: Whether the trial request is running.
        shed_until: Until when other servers are preferred after a shed.
        left_at: Last sign from the server itself that it is leaving.
        left_hold_s: Time for which that sign outweighs an ``ok``.
        listed_leaving: Whether configuration or VM list name it as leaving.
        leaving: Whether any sign says that the server is leaving.
        in_flight: Requests that it reported.
        measured_at: Time of that report.
    """

    __slots__ = (
        "backoff",
        "failures",
        "in_flight",
        "leaving",
        "left_at",
        "left_hold_s",
        "listed_leaving",
        "measured_at",
        "next_open_at",
        "opened",
        "retry_at",
        "seen",
        "shed_until",
        "trial",
    )

    def __init__(self) -> None:
        self.opened = 1
        self.next_open_at: float | None = None
        self.failures = 0
        self.backoff = BACKOFF_START_S
        self.retry_at: float | None = None
        self.trial = False
        self.shed_until = float("-inf")
        self.left_at: float | None = None
        self.left_hold_s = LEAVING_HOLD_S
        self.listed_leaving = False
        self.leaving = False
        self.in_flight = 0
        self.measured_at = float("-inf")
        self.seen = False

    def set_leaving(self, *, listed: bool, left_at: float | None) -> None:
        """Take the signs that the server is leaving."""
        self.listed_leaving = listed
        self.left_at = left_at
        self.leaving = listed or left_at is not None

    def open_slots(self, now: float) -> int:
        """Return the number of open slots, opening those that are due."""
        due = self.next_open_at
        if due is None or now < due:
            return self.opened
        steps = int((now - due) / WARMUP_STEP_S) + 1
        self.opened += steps
        self.next_open_at = due + steps * WARMUP_STEP_S
        if self.opened >= WARM_AT:
            self.opened = ALL_SLOTS
            self.next_open_at = None
        return self.opened

    def reported_load(self, now: float) -> float:
        """Return the reported requests, discounted by the age of the report."""
        return self.in_flight * (1.0 - (now - self.measured_at) / REPORT_LIFE_S)

    def is_set_aside(self, now: float) -> bool:
        """Whether the server gets no request now because it failed."""
        return self.retry_at is not None and (self.trial or now < self.retry_at)

    def warm_from(self, now: float) -> None:
        """Start again with one slot, then one more every step."""
        self.opened = 1
        self.next_open_at = now + WARMUP_STEP_S


class HealthBook:
    """Health of all servers that this entry may use.

    Attributes:
        records: State by server.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.started_at = now
        self.records: dict[ServerId, ServerRecord] = {}
        self.basis: tuple[frozenset[ServerId], frozenset[ServerId]] | None = None

    def configure(self, servers: frozenset[ServerId], leaving: frozenset[ServerId]) -> None:
        """Take the servers of the configuration and those that are leaving."""
        if self.basis == (servers, leaving):
            return
        self.basis = (servers, leaving)
        for name in servers - self.records.keys():
            self.records[name] = ServerRecord()
        for name in self.records.keys() - servers:
            del self.records[name]
        for name, record in self.records.items():
            record.set_leaving(listed=name in leaving, left_at=record.left_at)

    def observe(self, report: ServerReport, now: float) -> None:
        """Take a measurement; one that is older than the last is ignored."""
        record = self.records.get(report.server)
        if record is None or report.measured_at < record.measured_at:
            return
        record.measured_at = report.measured_at
        if report.in_flight is not None:
            record.in_flight = report.in_flight
        match report.health:
            case ServerHealth.OK:
                self._seen_ok(record, now)
            case ServerHealth.COLD:
                record.seen = True
                record.opened = 1
                record.next_open_at = None
            case ServerHealth.DRAINING:
                record.set_leaving(listed=record.listed_leaving, left_at=now)
            case ServerHealth.ANNOUNCED:
                record.set_leaving(listed=record.listed_leaving, left_at=now)
                record.left_hold_s = ANNOUNCED_HOLD_S
            case ServerHealth.UNREACHABLE:
                # The process has ended; the next one starts without the announcement.
                record.left_hold_s = LEAVING_HOLD_S
                self._failed(record, now)

    def _seen_ok(self, record: ServerRecord, now: float) -> None:
        if record.left_at is not None:
            if now - record.left_at < record.left_hold_s:
                return
            record.left_hold_s = LEAVING_HOLD_S
            record.set_leaving(listed=record.listed_leaving, left_at=None)
            record.warm_from(now)
        elif not record.seen and now - self.started_at <= STARTUP_TERM_S:
            record.opened = ALL_SLOTS
        elif record.next_open_at is None and record.opened < ALL_SLOTS:
            record.warm_from(now)
        record.seen = True

    def started(self, server: ServerId) -> None:
        """Note that a request is sent to ``server``."""
        record = self.records.get(server)
        if record is not None and record.retry_at is not None:
            record.trial = True

    def ended(self, server: ServerId, outcome: SlotOutcome, now: float) -> None:
        """Note how a request to ``server`` ended."""
        record = self.records.get(server)
        if record is None:
            return
        match outcome:
            case SlotOutcome.ANSWERED:
                self._answered(record, now)
            case SlotOutcome.FAILED:
                record.trial = False
                self._failed(record, now)
            case SlotOutcome.SHED:
                record.trial = False
                record.shed_until = now + SHED_HOLD_S
            case SlotOutcome.UNUSED:
                record.trial = False

    def _answered(self, record: ServerRecord, now: float) -> None:
        record.failures = 0
        record.trial = False
        if record.retry_at is not None:
            record.retry_at = None
            record.backoff = BACKOFF_START_S
            record.warm_from(now)

    def _failed(self, record: ServerRecord, now: float) -> None:
        record.failures += 1
        if record.failures < FAILURES_IN_A_ROW:
            return
        if record.retry_at is not None and now < record.retry_at:
            return
        jitter = 1 + BACKOFF_JITTER * self.rng.random()
        record.retry_at = now + record.backoff * jitter
        record.backoff = min(record.backoff * 2, BACKOFF_MAX_S)

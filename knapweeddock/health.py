"""What this entry knows of each backend server: failures, warm-up, leaving, load."""

import random

from knapweeddock.grants import ServerHealth, ServerReport, SlotOutcome
from knapweeddock.ids import ServerId

EJECTION_FAILURES = 3
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
BACKOFF_JITTER = 0.2
"""Largest part of a backoff that is added to it at random."""

SLOW_START_STEP_S = 2.0
STARTUP_PERIOD_S = 10.0
"""Time after process start in which a first ``ok`` opens a server fully."""

DRAINING_HOLD_S = 10.0
"""Time for which a sign of leaving outweighs an ``ok``: health endpoints lag."""

ANNOUNCED_HOLD_S = 600.0
"""Time for which an announcement in an answer outweighs an ``ok``. A leaving
server gets no requests, so it cannot repeat its announcement, and a misleading
health endpoint alone would bring it back every few seconds."""

LOAD_REPORT_LIFETIME_S = 5.0
"""Age at which a reported load has lost its weight."""

SHED_PENALTY_S = 1.0
"""Time after a shed in which other servers are preferred. A server that sheds
everything has the fewest requests and would otherwise be chosen first."""

SHED_PENALTY_LOAD = 1000.0
"""Load that a server counts as having in that time."""

ALL_SLOTS = 1 << 30
FULLY_OPEN_SLOTS = 64
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
        draining_at: Last sign from the server itself that it is leaving.
        left_hold_s: Time for which that sign outweighs an ``ok``.
        listed_leaving: Whether configuration or VM list name it as leaving.
        leaving: Whether any sign says that the server is leaving.
        in_flight: Requests that it reported.
        measured_at: Time of that report.
    """

    __slots__ = (
        "backoff",
        "consecutive_failures",
        "draining_at",
        "draining_hold_s",
        "health_known",
        "in_flight",
        "leaving",
        "listed_draining",
        "measured_at",
        "next_open_at",
        "open_limit",
        "shed_until",
        "trial_at",
        "trial_running",
    )

    def __init__(self) -> None:
        self.open_limit = 1
        self.next_open_at: float | None = None
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_S
        self.trial_at: float | None = None
        self.trial_running = False
        self.shed_until = float("-inf")
        self.draining_at: float | None = None
        self.draining_hold_s = DRAINING_HOLD_S
        self.listed_draining = False
        self.leaving = False
        self.in_flight = 0
        self.measured_at = float("-inf")
        self.health_known = False

    def set_draining(self, *, listed: bool, draining_at: float | None) -> None:
        """Take the signs that the server is leaving."""
        self.listed_draining = listed
        self.draining_at = draining_at
        self.leaving = listed or draining_at is not None

    def open_slots(self, now: float) -> int:
        """Return the number of open slots, opening those that are due."""
        due = self.next_open_at
        if due is None or now < due:
            return self.open_limit
        steps = int((now - due) / SLOW_START_STEP_S) + 1
        self.open_limit += steps
        self.next_open_at = due + steps * SLOW_START_STEP_S
        if self.open_limit >= FULLY_OPEN_SLOTS:
            self.open_limit = ALL_SLOTS
            self.next_open_at = None
        return self.open_limit

    def reported_load(self, now: float) -> float:
        """Return the reported requests, discounted by the age of the report."""
        return self.in_flight * (1.0 - (now - self.measured_at) / LOAD_REPORT_LIFETIME_S)

    def is_set_aside(self, now: float) -> bool:
        """Whether the server gets no request now because it failed."""
        return self.trial_at is not None and (self.trial_running or now < self.trial_at)

    def begin_slow_start(self, now: float) -> None:
        """Start again with one slot, then one more every step."""
        self.open_limit = 1
        self.next_open_at = now + SLOW_START_STEP_S


class HealthBook:
    """Health of all servers that this entry may use.

    Attributes:
        records: State by server.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.started_at = now
        self.records: dict[ServerId, ServerRecord] = {}
        self.last_configuration: tuple[frozenset[ServerId], frozenset[ServerId]] | None = None

    def configure(self, servers: frozenset[ServerId], leaving: frozenset[ServerId]) -> None:
        """Take the servers of the configuration and those that are leaving."""
        if self.last_configuration == (servers, leaving):
            return
        self.last_configuration = (servers, leaving)
        for name in servers - self.records.keys():
            self.records[name] = ServerRecord()
        for name in self.records.keys() - servers:
            del self.records[name]
        for name, record in self.records.items():
            record.set_draining(listed=name in leaving, draining_at=record.draining_at)

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
                self._record_ok(record, now)
            case ServerHealth.COLD:
                record.health_known = True
                record.open_limit = 1
                record.next_open_at = None
            case ServerHealth.DRAINING:
                record.set_draining(listed=record.listed_draining, draining_at=now)
            case ServerHealth.ANNOUNCED:
                record.set_draining(listed=record.listed_draining, draining_at=now)
                record.draining_hold_s = ANNOUNCED_HOLD_S
            case ServerHealth.UNREACHABLE:
                # The process has ended; the next one starts without the announcement.
                record.draining_hold_s = DRAINING_HOLD_S
                self._record_failure(record, now)

    def _record_ok(self, record: ServerRecord, now: float) -> None:
        if record.draining_at is not None:
            if now - record.draining_at < record.draining_hold_s:
                return
            record.draining_hold_s = DRAINING_HOLD_S
            record.set_draining(listed=record.listed_draining, draining_at=None)
            record.begin_slow_start(now)
        elif not record.health_known and now - self.started_at <= STARTUP_PERIOD_S:
            record.open_limit = ALL_SLOTS
        elif record.next_open_at is None and record.open_limit < ALL_SLOTS:
            record.begin_slow_start(now)
        record.health_known = True

    def started(self, server: ServerId) -> None:
        """Note that a request is sent to ``server``."""
        record = self.records.get(server)
        if record is not None and record.trial_at is not None:
            record.trial_running = True

    def ended(self, server: ServerId, outcome: SlotOutcome, now: float) -> None:
        """Note how a request to ``server`` ended."""
        record = self.records.get(server)
        if record is None:
            return
        match outcome:
            case SlotOutcome.ANSWERED:
                self._record_success(record, now)
            case SlotOutcome.FAILED:
                record.trial_running = False
                self._record_failure(record, now)
            case SlotOutcome.SHED:
                record.trial_running = False
                record.shed_until = now + SHED_PENALTY_S
            case SlotOutcome.UNUSED:
                record.trial_running = False

    def _record_success(self, record: ServerRecord, now: float) -> None:
        record.consecutive_failures = 0
        record.trial_running = False
        if record.trial_at is not None:
            record.trial_at = None
            record.backoff = INITIAL_BACKOFF_S
            record.begin_slow_start(now)

    def _record_failure(self, record: ServerRecord, now: float) -> None:
        record.consecutive_failures += 1
        if record.consecutive_failures < EJECTION_FAILURES:
            return
        if record.trial_at is not None and now < record.trial_at:
            return
        jitter = 1 + BACKOFF_JITTER * self.rng.random()
        record.trial_at = now + record.backoff * jitter
        record.backoff = min(record.backoff * 2, MAX_BACKOFF_S)

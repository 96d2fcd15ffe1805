"""Health of the backend servers: outlier ejection, slow start, draining and load."""

import random

from knapweeddock.ids import ServerId
from knapweeddock.slottypes import ServerHealth, ServerReport, SlotOutcome

EJECTION_FAILURES = 3
"""Consecutive failures after which a server is ejected."""

INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
BACKOFF_JITTER = 0.2
"""Largest random addition to a backoff, as a fraction of it."""

SLOW_START_STEP_S = 2.0
"""Time between the opening of two slots of a server in slow start."""

STARTUP_PERIOD_S = 10.0
"""Time after the start of this process in which a first ``ok`` opens all slots at once."""

DRAINING_HOLD_S = 10.0
"""Time for which a draining signal takes precedence over ``ok``: health endpoints lag."""

DRAINING_HEADER_HOLD_S = 600.0
"""Time for which a draining header in a response takes precedence over ``ok``. A
draining server gets no requests, so it cannot repeat the header, and a health
endpoint that wrongly reports ``ok`` would bring it back every few seconds."""

LOAD_REPORT_LIFETIME_S = 5.0
"""Age at which a reported load no longer counts; its weight decreases linearly."""

SHED_PENALTY_S = 1.0
"""Time after a shed request in which other servers are preferred. A server that
sheds everything has the fewest requests and would otherwise be selected first."""

SHED_PENALTY_LOAD = 1000.0
"""Load that is added to a server's load during that time."""

ALL_SLOTS = 1 << 30
"""Open limit of a server whose slots are all open."""

FULLY_OPEN_SLOTS = 64
"""Open limit at which slow start ends and all slots are opened."""


class ServerRecord:
    """Health of one backend server; all times are monotonic seconds.

    Attributes:
        open_limit: Slots with a lower index may be used.
        next_open_at: Time at which the next slot opens; None while none is due to open.
        consecutive_failures: Failed requests and failed health checks since the
            last answered request.
        backoff_s: Length of the next ejection in seconds, before jitter.
        trial_at: Time from which a trial request may be sent; None if the
            server is not ejected.
        trial_running: Whether the trial request is running.
        shed_until: Time until which other servers are preferred after a shed.
        draining_at: Time of the last draining signal from the server itself.
        draining_hold_s: Time for which that signal takes precedence over ``ok``.
        listed_draining: Whether the configuration or the VM list marks the
            server as draining.
        draining: Whether the server is draining by any of these signals.
        reported_in_flight: Number of requests in the last report that gave one.
        reported_at: Time of the last report.
        health_known: Whether the server has reported ``cold``, or ``ok`` outside
            the hold of a draining signal.
    """

    __slots__ = (
        "backoff_s",
        "consecutive_failures",
        "draining",
        "draining_at",
        "draining_hold_s",
        "health_known",
        "listed_draining",
        "next_open_at",
        "open_limit",
        "reported_at",
        "reported_in_flight",
        "shed_until",
        "trial_at",
        "trial_running",
    )

    def __init__(self) -> None:
        self.open_limit = 1
        self.next_open_at: float | None = None
        self.consecutive_failures = 0
        self.backoff_s = INITIAL_BACKOFF_S
        self.trial_at: float | None = None
        self.trial_running = False
        self.shed_until = float("-inf")
        self.draining_at: float | None = None
        self.draining_hold_s = DRAINING_HOLD_S
        self.listed_draining = False
        self.draining = False
        self.reported_in_flight = 0
        self.reported_at = float("-inf")
        self.health_known = False

    def set_draining(self, *, listed: bool, draining_at: float | None) -> None:
        """Update the draining signals: the listed one and that of the server itself."""
        self.listed_draining = listed
        self.draining_at = draining_at
        self.draining = listed or draining_at is not None

    def advance_slow_start(self, now: float) -> int:
        """Open the slots that are due by ``now`` and return the open limit."""
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
        """Return the reported number of requests, weighted by the age of the last report.

        A report without a number renews the weight of the number before it. The
        weight is negative once the report is older than ``LOAD_REPORT_LIFETIME_S``.
        """
        return self.reported_in_flight * (1.0 - (now - self.reported_at) / LOAD_REPORT_LIFETIME_S)

    def is_blocked(self, now: float) -> bool:
        """Whether the server is ejected and no trial request may be sent now."""
        return self.trial_at is not None and (self.trial_running or now < self.trial_at)

    def begin_slow_start(self, now: float) -> None:
        """Limit the server to one slot and open another one in every step."""
        self.open_limit = 1
        self.next_open_at = now + SLOW_START_STEP_S


class HealthTracker:
    """Health records of all servers that this entry may use.

    Attributes:
        started_at: Monotonic time at which the process started.
        records: Record of each server.
        last_configuration: Servers and draining servers of the last call of
            ``configure``.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.started_at = now
        self.records: dict[ServerId, ServerRecord] = {}
        self.last_configuration: tuple[frozenset[ServerId], frozenset[ServerId]] | None = None

    def configure(self, servers: frozenset[ServerId], draining: frozenset[ServerId]) -> None:
        """Update the set of servers and those that are listed as draining."""
        if self.last_configuration == (servers, draining):
            return
        self.last_configuration = (servers, draining)
        for server in servers - self.records.keys():
            self.records[server] = ServerRecord()
        for server in self.records.keys() - servers:
            del self.records[server]
        for server, record in self.records.items():
            record.set_draining(listed=server in draining, draining_at=record.draining_at)

    def observe(self, report: ServerReport, now: float) -> None:
        """Apply a report; one that is older than the last is ignored."""
        record = self.records.get(report.server)
        if record is None or report.measured_at < record.reported_at:
            return
        record.reported_at = report.measured_at
        if report.in_flight is not None:
            record.reported_in_flight = report.in_flight
        match report.health:
            case ServerHealth.OK:
                self._record_ok(record, now)
            case ServerHealth.COLD:
                record.health_known = True
                record.open_limit = 1
                record.next_open_at = None
            case ServerHealth.DRAINING:
                record.set_draining(listed=record.listed_draining, draining_at=now)
            case ServerHealth.DRAINING_ANNOUNCED:
                record.set_draining(listed=record.listed_draining, draining_at=now)
                record.draining_hold_s = DRAINING_HEADER_HOLD_S
            case ServerHealth.UNREACHABLE:
                # The server process has ended; the next one starts without the draining header.
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

    def request_started(self, server: ServerId) -> None:
        """Record that a request is sent to ``server``."""
        record = self.records.get(server)
        if record is not None and record.trial_at is not None:
            record.trial_running = True

    def request_ended(self, server: ServerId, outcome: SlotOutcome, now: float) -> None:
        """Record how a request to ``server`` ended."""
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
            record.backoff_s = INITIAL_BACKOFF_S
            record.begin_slow_start(now)

    def _record_failure(self, record: ServerRecord, now: float) -> None:
        record.consecutive_failures += 1
        if record.consecutive_failures < EJECTION_FAILURES:
            return
        if record.trial_at is not None and now < record.trial_at:
            # Further failures during the backoff do not extend it.
            return
        jitter = 1 + BACKOFF_JITTER * self.rng.random()
        record.trial_at = now + record.backoff_s * jitter
        record.backoff_s = min(record.backoff_s * 2, MAX_BACKOFF_S)

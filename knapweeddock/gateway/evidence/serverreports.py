"""Load of backend servers, as the gateways of a region report it to each other.

In a large fleet a gateway sends a given server a request once in a minute, so it learns
nothing of the server's load from its own responses. When several often requested objects
have the same preferred server, its queue grows while the objects' other servers are idle.
Each gateway therefore shares what the responses say of servers that have no free slot or
name a limit, and of servers that were reported so a moment ago. A report is evidence with an
age; for each server the latest one counts, so loss, delay and repetition do no harm.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import structlog

from knapweeddock.gateway.limits.serverlimit import LIMIT_MEMORY_S, MAX_LIMIT_PER_S
from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.ids import ServerId

log = structlog.get_logger(__name__)

BUSY_MEMORY_S = 2.0
"""Time in seconds after the report of a busy server in which it is also reported that the
server has a free slot again. The end of a limit is reported for as long as it would hold."""

MAX_AGE_S = 3.0
"""Age in seconds above which a report is dropped; the load has changed by then."""

MAX_REPORTS = 512
"""Largest number of reports in one message; those of other servers follow in the next."""


class ServerReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load and limit of a server at some time before.

    Attributes:
        server: The server.
        requests: Number of requests that it runs or queues.
        age_ms: Time in ms since it reported this.
        limit_per_s: Requests per second that it takes from all gateways together; None if it
            named no limit.
    """

    server: ServerId
    requests: int
    age_ms: int
    limit_per_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Observation:
    requests: int
    limit_per_s: float | None
    observed_at: float


class ReportBoard:
    """The latest reports of servers, and which of them other gateways do not have yet.

    Reports travel up from subscribers to their relay and down from a relay to its
    subscribers. What came from the relay is not sent up again.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        self.fleet = fleet
        self._latest: dict[ServerId, _Observation] = {}
        self._due_up: dict[ServerId, None] = {}
        self._due_down: dict[ServerId, None] = {}

    def record(self, state: ServerState, requests: int, now: float) -> None:
        """Record the load that a server has reported to this gateway, beside its limit.

        Args:
            state: The server.
            requests: Number of requests that it runs or queues.
            now: Monotonic time in seconds.
        """
        server_id = state.entry.server
        limit_per_s = state.limit.per_s
        is_exceptional = requests >= state.entry.slots or limit_per_s is not None
        if not is_exceptional and not self._was_exceptional(state, now):
            self._latest.pop(server_id, None)
            return
        self._latest[server_id] = _Observation(
            requests=requests, limit_per_s=limit_per_s, observed_at=now
        )
        self._due_up[server_id] = None
        self._due_down[server_id] = None

    def merge(self, reports: Iterable[ServerReport], now: float, *, from_relay: bool) -> None:
        """Apply the reports of other gateways that are later than the known ones.

        Args:
            reports: The reports.
            now: Monotonic time in seconds.
            from_relay: Whether they came from this gateway's relay, else from a subscriber.
        """
        for report in reports:
            state = self.fleet.servers.get(report.server)
            observed_at = now - report.age_ms / 1000
            if state is None or not 0 <= report.age_ms <= MAX_AGE_S * 1000:
                continue
            limit_per_s = report.limit_per_s
            if limit_per_s is not None and not 0 <= limit_per_s <= MAX_LIMIT_PER_S:
                log.warning("limit in a report cannot be used", server=report.server)
                continue
            known = self._latest.get(report.server)
            if known is not None and known.observed_at >= observed_at:
                continue
            self._latest[report.server] = _Observation(
                requests=report.requests, limit_per_s=report.limit_per_s, observed_at=observed_at
            )
            state.observe_limit(report.limit_per_s, observed_at)
            state.load.record_shared_load(report.requests, observed_at=observed_at)
            self._due_down[report.server] = None
            if not from_relay:
                self._due_up[report.server] = None

    def take_up(self, now: float) -> list[ServerReport]:
        """Return the reports for the relay, which are then no longer due."""
        return self._take(self._due_up, now)

    def take_down(self, now: float) -> list[ServerReport]:
        """Return the reports for the subscribers, which are then no longer due."""
        return self._take(self._due_down, now)

    def _take(self, due: dict[ServerId, None], now: float) -> list[ServerReport]:
        reports = []
        for server_id in list(due)[:MAX_REPORTS]:
            del due[server_id]
            latest = self._latest.get(server_id)
            if latest is None or now - latest.observed_at > MAX_AGE_S:
                continue
            age_ms = round((now - latest.observed_at) * 1000)
            reports.append(
                ServerReport(
                    server=server_id,
                    requests=latest.requests,
                    age_ms=age_ms,
                    limit_per_s=latest.limit_per_s,
                )
            )
        return reports

    def _was_exceptional(self, state: ServerState, now: float) -> bool:
        latest = self._latest.get(state.entry.server)
        if latest is None:
            return False
        if latest.limit_per_s is not None:
            return now - latest.observed_at < LIMIT_MEMORY_S
        is_busy = latest.requests >= state.entry.slots
        return is_busy and now - latest.observed_at < BUSY_MEMORY_S

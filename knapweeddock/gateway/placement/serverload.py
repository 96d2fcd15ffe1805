"""Estimate of the number of requests at a backend server.

A server reports its load in its responses, to this gateway or to others that share it
(``serverreports``). Between two reports, the number of requests from other gateways is
unknown. The last reported number moves towards the mean of the reports of some seconds:
the server finishes those requests, but as long as the gateways choose it as before, others
follow. A gateway that expected none would send to the server again as soon as its report is
older than the queue. Without reports the mean decays, too.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

DECAY_TIME_CONSTANT_S = 1.0
"""Time constant in seconds with which a report moves towards the mean of the reports."""

MEAN_TIME_CONSTANT_S = 4.0
"""Time constant in seconds of the mean of the reports, and of its decay without them."""

MIN_REPORT_WEIGHT = 0.1
"""Smallest weight of a report in the mean, however soon it follows the one before."""

MAX_REPORT_WEIGHT = 0.5
"""Largest weight of a report in the mean, however long none came before it."""

MIN_EXPECTED_S = 0.05
"""Lower limit in seconds of the expected response time in ``oldest_pending_ratio``."""

ASSUMED_QUEUE_LENGTH = 9
"""Queue length that is assumed at a server that rejected a request."""


@dataclass(eq=False, frozen=True, kw_only=True, slots=True)
class PendingRequest:
    """A request of this gateway that waits for its response.

    Compared by identity (``eq=False``), so that ``ServerLoad`` removes this request and
    not another one with the same times.

    Attributes:
        sent_at: Monotonic time at which it was sent.
        expected_s: Expected response time in seconds.
    """

    sent_at: float
    expected_s: float


class ServerLoad:
    """Estimated number of requests at one server.

    Attributes:
        slots: Number of requests that the server runs at a time.
        pending: Requests of this gateway that wait for their response, oldest first.
    """

    __slots__ = ("_mean", "_other_gateways_requests", "_updated_at", "pending", "slots")

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.pending: list[PendingRequest] = []
        self._other_gateways_requests = 0.0
        self._mean = 0.0
        self._updated_at = 0.0

    @property
    def own_requests(self) -> int:
        """Number of this gateway's requests that wait for their response."""
        return len(self.pending)

    @contextmanager
    def track_pending(self, *, now: float, expected_s: float) -> Iterator[None]:
        """Count a request as pending while the block runs."""
        request = PendingRequest(sent_at=now, expected_s=expected_s)
        self.pending.append(request)
        try:
            yield
        finally:
            self.pending.remove(request)

    def oldest_pending_ratio(self, now: float) -> float:
        """Return the age of the oldest pending request relative to its expected time.

        Above 1, the request is overdue; without pending requests, 0 is returned. The ratio
        reveals servers that become many times slower or stop responding; responses that
        would show it come too late or never.
        """
        if not self.pending:
            return 0.0
        oldest = self.pending[0]
        return (now - oldest.sent_at) / max(MIN_EXPECTED_S, oldest.expected_s)

    def record_reported_load(self, *, running: int, waiting: int, now: float) -> None:
        """Record the load reported in a response, which includes this gateway's requests."""
        self._record(running + waiting - self.own_requests, now)

    def record_shared_load(self, requests: int, *, observed_at: float) -> None:
        """Record the load that another gateway has learned from a response.

        Args:
            requests: Number of requests that the server runs or queues.
            observed_at: Monotonic time at which the server reported it.
        """
        if observed_at <= self._updated_at:
            return
        self._record(requests - self.own_requests, observed_at)

    def record_rejection(self, now: float) -> None:
        """Record that the server rejected a request because it was full."""
        full = self.slots + ASSUMED_QUEUE_LENGTH - self.own_requests
        self._record(max(self.other_gateways_requests(now), full), now)

    def _record(self, other_gateways_requests: float, now: float) -> None:
        requests = max(0.0, float(other_gateways_requests))
        age_s = max(0.0, now - self._updated_at)
        weight = 1 - math.exp(-age_s / MEAN_TIME_CONSTANT_S)
        weight = min(MAX_REPORT_WEIGHT, max(MIN_REPORT_WEIGHT, weight))
        mean = self._decayed_mean(age_s)
        self._mean = mean + weight * (requests - mean)
        self._other_gateways_requests = requests
        self._updated_at = now

    def _decayed_mean(self, age_s: float) -> float:
        return self._mean * math.exp(-age_s / MEAN_TIME_CONSTANT_S)

    def other_gateways_requests(self, now: float) -> float:
        """Return the estimated number of requests of other gateways."""
        age_s = max(0.0, now - self._updated_at)
        mean = self._decayed_mean(age_s)
        return mean + (self._other_gateways_requests - mean) * math.exp(
            -age_s / DECAY_TIME_CONSTANT_S
        )

    def certain_requests(self, now: float) -> float:
        """Return how many requests are at the server as far as the last report is evidence.

        Unlike ``total_requests``, it expects no requests after the report.
        """
        age_s = max(0.0, now - self._updated_at)
        others = self._other_gateways_requests * math.exp(-age_s / DECAY_TIME_CONSTANT_S)
        return self.own_requests + others

    def report_age_s(self, now: float) -> float:
        """Return the age in seconds of the latest report or rejection, -1 if there is none."""
        return round(now - self._updated_at, 3) if self._updated_at else -1.0

    def total_requests(self, now: float) -> float:
        """Return the estimated number of all requests at the server."""
        return self.own_requests + self.other_gateways_requests(now)

"""Estimate of the number of requests at a backend server.

A server reports its load in its responses. Between two responses, the number of
requests from other gateways is unknown. The last reported number decays exponentially,
because the server finishes those requests and new ones of other gateways may go to
another server.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

DECAY_TIME_CONSTANT_S = 1.0
"""Time constant in seconds with which the reported load of other gateways decays."""

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

    __slots__ = ("_other_gateways_requests", "_updated_at", "pending", "slots")

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.pending: list[PendingRequest] = []
        self._other_gateways_requests = 0.0
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
        self._other_gateways_requests = float(max(0, running + waiting - self.own_requests))
        self._updated_at = now

    def record_rejection(self, now: float) -> None:
        """Record that the server rejected a request because it was full."""
        self._other_gateways_requests = max(
            self.other_gateways_requests(now),
            float(self.slots + ASSUMED_QUEUE_LENGTH - self.own_requests),
        )
        self._updated_at = now

    def other_gateways_requests(self, now: float) -> float:
        """Return the estimated number of requests of other gateways."""
        if not self._other_gateways_requests:
            return 0.0
        return self._other_gateways_requests * math.exp(
            -max(0.0, now - self._updated_at) / DECAY_TIME_CONSTANT_S
        )

    def report_age_s(self, now: float) -> float:
        """Return the age in seconds of the latest report or rejection, -1 if there is none."""
        return round(now - self._updated_at, 3) if self._updated_at else -1.0

    def total_requests(self, now: float) -> float:
        """Return the estimated number of all requests at the server."""
        return self.own_requests + self.other_gateways_requests(now)

"""Estimate of the requests that a backend server has.

A server announces its load in its responses. Between two responses the part
that other gateways sent is unknown; what was announced last fades, since the
server works it off and the next requests of others are as likely as not to go
elsewhere.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

FADE_S = 1.0
"""Time constant in seconds with which an announced foreign load fades."""

MIN_EXPECTED_S = 0.05
"""Shortest expected time in seconds that a delay is compared with."""

FULL_QUEUE = 9
"""Waiting requests that are assumed at a server that turned a request away."""


@dataclass(eq=False, frozen=True, kw_only=True, slots=True)
class Pending:
    """A request of this gateway that has no response yet.

    Attributes:
        sent_at: Monotonic time at which it was sent.
        expected_s: Time in seconds within which a response was expected.
    """

    sent_at: float
    expected_s: float


class ServerLoad:
    """Requests at one server.

    Attributes:
        slots: Requests that it runs at a time.
        pending: Requests of this gateway that have no response yet, oldest first.
    """

    __slots__ = ("_at", "_foreign", "pending", "slots")

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.pending: list[Pending] = []
        self._foreign = 0.0
        self._at = 0.0

    @property
    def own(self) -> int:
        """Number of this gateway's requests that have no response yet."""
        return len(self.pending)

    @contextmanager
    def counted(self, *, now: float, expected_s: float) -> Iterator[None]:
        """Count a request for as long as the block runs."""
        request = Pending(sent_at=now, expected_s=expected_s)
        self.pending.append(request)
        try:
            yield
        finally:
            self.pending.remove(request)

    def overdue(self, now: float) -> float:
        """Return how long the oldest request has waited relative to what was expected.

        Load pattern: servers become many times slower or silent. Their responses,
        which would tell, come too late or never.
        """
        if not self.pending:
            return 0.0
        oldest = self.pending[0]
        return (now - oldest.sent_at) / max(MIN_EXPECTED_S, oldest.expected_s)

    def announced(self, *, running: int, waiting: int, now: float) -> None:
        """Take in the load that a response carried; own requests are part of it."""
        self._foreign = float(max(0, running + waiting - self.own))
        self._at = now

    def turned_away(self, now: float) -> None:
        """Note that the server had no room for a request."""
        self._foreign = max(self.foreign(now), float(self.slots + FULL_QUEUE - self.own))
        self._at = now

    def foreign(self, now: float) -> float:
        """Return the estimated requests of other gateways."""
        if not self._foreign:
            return 0.0
        return self._foreign * math.exp(-max(0.0, now - self._at) / FADE_S)

    def age_s(self, now: float) -> float:
        """Return the age of the announced load in seconds, -1 when there is none."""
        return round(now - self._at, 3) if self._at else -1.0

    def total(self, now: float) -> float:
        """Return the estimated requests at the server."""
        return self.own + self.foreign(now)

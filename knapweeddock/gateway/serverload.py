"""Estimate of the requests that a backend server has.

A server announces its load in its responses. Between two responses the part
that other gateways sent is unknown; what was announced last fades, since the
server works it off and the next requests of others are as likely as not to go
elsewhere.
"""

import math

FADE_S = 1.0
"""Time constant in seconds with which an announced foreign load fades."""

FULL_QUEUE = 9
"""Waiting requests that are assumed at a server that turned a request away."""


class ServerLoad:
    """Requests at one server.

    Attributes:
        slots: Requests that it runs at a time.
        own: Requests of this gateway that have no response yet.
    """

    __slots__ = ("_at", "_foreign", "own", "slots")

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.own = 0
        self._foreign = 0.0
        self._at = 0.0

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

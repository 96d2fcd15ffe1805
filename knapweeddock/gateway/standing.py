"""Whether a backend server answers, judged by its responses alone.

Health endpoints lag or mislead and each probe takes a slot, so a server is
judged by what happens to requests. A probe is sent only to a server that was
unreachable, to find out whether it came back cold.
"""

import math

BACKOFF_START_S = 0.5
"""Time in seconds for which an unreachable server is left alone at first."""

BACKOFF_MAX_S = 4.0
"""Longest time in seconds for which an unreachable server is left alone."""

FAILURE_WEIGHT = 0.2
"""Weight of one response in the moving share of failed responses."""

SLOWNESS_WEIGHT = 0.3
"""Weight of one response in the moving ratio of actual to expected time."""

FORGET_S = 5.0
"""Time constant in seconds with which failures and slowness are forgotten, so
that a server that gets no requests is tried again."""

SLOWNESS_BOUND = 10.0


class Standing:
    """What this gateway has seen of one server.

    Attributes:
        unreachable_until: Monotonic time before which nothing is sent.
        unverified: Whether the server was unreachable and may be cold since.
    """

    __slots__ = ("_at", "_backoff_s", "_failures", "_slowness", "unreachable_until", "unverified")

    def __init__(self) -> None:
        self.unreachable_until = 0.0
        self.unverified = False
        self._backoff_s = BACKOFF_START_S
        self._failures = 0.0
        self._slowness = 1.0
        self._at = 0.0

    def responded(self, *, failed: bool, slowness: float | None, now: float) -> None:
        """Take in a response.

        Args:
            failed: Whether it reports an error of the server.
            slowness: Ratio of actual to expected time; None when not known.
            now: Monotonic time.
        """
        self._backoff_s = BACKOFF_START_S
        self._failures += FAILURE_WEIGHT * (float(failed) - self.failures(now))
        current = self.slowness(now)
        if slowness is not None:
            bounded = min(SLOWNESS_BOUND, slowness)
            current += SLOWNESS_WEIGHT * (bounded - current)
        self._slowness = current
        self._at = now

    def lost(self, now: float) -> None:
        """Take in a request whose connection broke."""
        self._failures = self.failures(now) + FAILURE_WEIGHT * (1.0 - self.failures(now))
        self._slowness = self.slowness(now)
        self._at = now

    def unreachable(self, now: float) -> None:
        """Take in a connection that was not established."""
        self.unreachable_until = now + self._backoff_s
        self._backoff_s = min(BACKOFF_MAX_S, 2 * self._backoff_s)
        self.unverified = True

    def verified(self) -> None:
        """Note that a probe told how cold the server is."""
        self.unverified = False
        self._backoff_s = BACKOFF_START_S
        self.unreachable_until = 0.0

    def is_usable(self) -> bool:
        """Whether a request may be sent."""
        return not self.unverified

    def is_probe_due(self, now: float) -> bool:
        """Whether an unreachable server should be probed."""
        return self.unverified and now >= self.unreachable_until

    def failures(self, now: float) -> float:
        """Return the share of failed responses, 0 to 1."""
        return self._failures * self._fading(now)

    def slowness(self, now: float) -> float:
        """Return the ratio of actual to expected time."""
        return 1.0 + (self._slowness - 1.0) * self._fading(now)

    def _fading(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / FORGET_S)

"""Passive health checks of backend servers.

Health endpoints lag or mislead, and each probe takes a slot, so a server's health
is derived from the responses to its requests. A probe is sent only to a server that
was unreachable, to find out whether it is back and how cold it is.
"""

import math

INITIAL_BACKOFF_S = 0.5
"""Backoff in seconds before the first probe of an unreachable server."""

MAX_BACKOFF_S = 4.0
"""Longest backoff in seconds between two probes of an unreachable server."""

FAILURE_WEIGHT = 0.2
"""Weight of one response in the moving average of the failure rate."""

LATENCY_RATIO_WEIGHT = 0.3
"""Weight of one response in the moving average of the latency ratio."""

DECAY_TIME_CONSTANT_S = 5.0
"""Time constant in seconds with which the failure rate decays to 0 and the latency
ratio to 1, so that a server that gets no requests is tried again."""

MAX_LATENCY_RATIO = 10.0
"""Limit on the latency ratio of one response in the moving average."""


class PassiveHealth:
    """Health of one server as this gateway has observed it.

    Attributes:
        next_probe_at: Monotonic time before which the server is not probed.
        responded_at: Monotonic time of the last response.
        needs_probe: Whether the server was unreachable; it gets no requests until a probe
            succeeds, since it may have become cold.
    """

    __slots__ = (
        "_backoff_s",
        "_failure_rate",
        "_latency_ratio",
        "_updated_at",
        "needs_probe",
        "next_probe_at",
        "responded_at",
    )

    def __init__(self) -> None:
        self.next_probe_at = 0.0
        self.needs_probe = False
        self.responded_at = float("-inf")
        self._backoff_s = INITIAL_BACKOFF_S
        self._failure_rate = 0.0
        self._latency_ratio = 1.0
        self._updated_at = 0.0

    def record_response(self, *, failed: bool, latency_ratio: float | None, now: float) -> None:
        """Record a response, and reset the backoff of probes.

        A server that was unreachable still needs a probe.

        Args:
            failed: Whether the response reports a server error.
            latency_ratio: Ratio of actual to expected response time; None if unknown.
                The expected time already includes the latency ratio at the time of the
                selection.
            now: Monotonic time.
        """
        self._backoff_s = INITIAL_BACKOFF_S
        self._failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate(now))
        current = self.latency_ratio(now)
        if latency_ratio is not None:
            bounded = min(MAX_LATENCY_RATIO, latency_ratio)
            current += LATENCY_RATIO_WEIGHT * (bounded - current)
        self._latency_ratio = current
        self._updated_at = now

    def record_broken_connection(self, now: float) -> None:
        """Record a request whose connection broke; it counts as a failure."""
        self._failure_rate = self.failure_rate(now) + FAILURE_WEIGHT * (
            1.0 - self.failure_rate(now)
        )
        self._latency_ratio = self.latency_ratio(now)
        self._updated_at = now

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection attempt or probe, or that another server responded.

        Requests stop until a probe succeeds; the backoff delays the next probe.
        """
        self.next_probe_at = now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        self.needs_probe = True

    def record_probe_success(self) -> None:
        """Record a successful probe, after which the server may get requests again."""
        self.needs_probe = False
        self._backoff_s = INITIAL_BACKOFF_S
        self.next_probe_at = 0.0

    def probe_soon(self, at: float) -> None:
        """Let the next probe, if one is needed, start at a monotonic time, whatever failed."""
        self._backoff_s = INITIAL_BACKOFF_S
        self.next_probe_at = min(self.next_probe_at, at)

    def is_usable(self) -> bool:
        """Return whether requests may be sent to the server."""
        return not self.needs_probe

    def is_probe_due(self, now: float) -> bool:
        """Return whether the server is unreachable and should be probed now."""
        return self.needs_probe and now >= self.next_probe_at

    def failure_rate(self, now: float) -> float:
        """Return the moving average of the failure rate, from 0 to 1."""
        return self._failure_rate * self._decay_factor(now)

    def latency_ratio(self, now: float) -> float:
        """Return the moving average of the ratio of actual to expected response time.

        It starts at 1 and decays to 1 without responses. See ``record_response`` on what
        the ratio of a response refers to.
        """
        return 1.0 + (self._latency_ratio - 1.0) * self._decay_factor(now)

    def _decay_factor(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_at) / DECAY_TIME_CONSTANT_S)

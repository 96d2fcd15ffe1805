"""Bound on how fast requests move to other regions.

Load pattern: a burst fills the own region for a second or two, and everything
that arrives meanwhile moves to servers that are cold for it, and back again.
"""

from dataclasses import dataclass

from knapweeddock.ids import ServiceId

WINDOW_S = 2.0
"""Length of the windows whose shares are compared, in seconds."""

USED_PART = 0.5
"""Part of the bound that is used; the rest covers the windows of other observers."""

MIN_REQUESTS = 4
"""Requests of a window below which its share says nothing."""


@dataclass(kw_only=True, slots=True)
class _Window:
    started_at: float
    requests: int = 0
    remote: int = 0

    @property
    def share(self) -> float:
        return self.remote / self.requests if self.requests else 0.0


class ShiftLimit:
    """Share of the requests of each service that runs in other regions."""

    def __init__(self, *, bound: float) -> None:
        self.bound = bound
        self._current: dict[ServiceId, _Window] = {}
        self._before: dict[ServiceId, float] = {}

    def allows(self, service: ServiceId, now: float) -> bool:
        """Whether one more request may run in another region than planned."""
        window = self._window(service, now)
        limit = self._before.get(service, 0.0) + USED_PART * self.bound
        return window.remote + 1 <= limit * max(MIN_REQUESTS, window.requests + 1)

    def record(self, service: ServiceId, *, remote: bool, now: float) -> None:
        """Count a request that was sent."""
        window = self._window(service, now)
        window.requests += 1
        window.remote += remote

    def _window(self, service: ServiceId, now: float) -> _Window:
        window = self._current.get(service)
        if window is None:
            window = _Window(started_at=now)
            self._current[service] = window
        elif now - window.started_at >= WINDOW_S:
            self._before[service] = window.share
            window = _Window(started_at=now)
            self._current[service] = window
        return window

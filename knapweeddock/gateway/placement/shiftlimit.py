"""Limit on how fast requests shift to other regions.

When a burst fills the own region for a second or two, all requests that arrive
meanwhile would move to servers that do not have their objects cached, and back again.
The limit bounds how much the share of remote requests may grow per window. Once it is
reached, single requests wait in their home region if it has a usable server. Planned,
gradual changes (``spillover``) are not held back, but their requests count.

A request is remote if its server is in another region than this gateway, whichever the
home region of its object is.
"""

from dataclasses import dataclass

from knapweeddock.ids import ServiceId

WINDOW_S = 2.0
"""Length in seconds of the windows whose remote shares are compared. A window begins
with the first call after the end of the previous one, so there may be time between
them."""

USED_FRACTION = 0.5
"""Fraction of the limit on growth that is used. The rest covers observers that measure
in other windows."""

MIN_REQUESTS = 4
"""Number of requests that the current window is assumed to have at least, because the
remote share of fewer is not meaningful. The share of the previous window is taken as it
is."""


@dataclass(kw_only=True, slots=True)
class _Window:
    started_at: float
    total: int = 0
    remote: int = 0

    @property
    def remote_share(self) -> float:
        return self.remote / self.total if self.total else 0.0


class ShiftLimit:
    """Limits how much the share of remote requests of each service grows per window.

    Attributes:
        max_shift: Limit on the growth of a service's remote share from one window to the
            next, of which ``USED_FRACTION`` is used.
    """

    def __init__(self, *, max_shift: float) -> None:
        self.max_shift = max_shift
        self._windows: dict[ServiceId, _Window] = {}
        self._previous_shares: dict[ServiceId, float] = {}

    def allows(self, service: ServiceId, now: float) -> bool:
        """Return whether the limit allows one more remote request."""
        window = self._current_window(service, now)
        limit = self._previous_shares.get(service, 0.0) + USED_FRACTION * self.max_shift
        return window.remote + 1 <= limit * max(MIN_REQUESTS, window.total + 1)

    def record(self, service: ServiceId, *, remote: bool, now: float) -> None:
        """Count a request that is sent to a server, also if planned spillover makes it remote."""
        window = self._current_window(service, now)
        window.total += 1
        window.remote += remote

    def _current_window(self, service: ServiceId, now: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = _Window(started_at=now)
            self._windows[service] = window
        elif now - window.started_at >= WINDOW_S:
            self._previous_shares[service] = window.remote_share
            window = _Window(started_at=now)
            self._windows[service] = window
        return window

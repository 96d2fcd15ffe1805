"""Division of a service's requests among regions when one of them is short of servers.

Load pattern: a region's callers need more slots than the region has, for as
long as its peak lasts. Moving whatever comes last spreads objects over servers
that are cold for them, which makes each request dearer. Here a share of the
objects moves, always the same ones, and the share changes slowly.
"""

from collections.abc import Mapping

from knapweeddock.ids import RegionId

TARGET_LOAD = 0.35
"""Busy part of a region's slots above which requests move to other regions. Shares
move slowly, so they have to move long before the region is full."""

MAX_STEP_S = 0.5
"""Longest time in seconds that one step of the shares accounts for."""

Shares = dict[RegionId, float]
"""Part of a region's requests that runs in each region; they add up to 1."""


def divide(
    origin: RegionId, work: Mapping[RegionId, float], slots: Mapping[RegionId, int]
) -> Shares:
    """Return where the requests of ``origin`` should run.

    Args:
        origin: Region of the callers.
        work: Slots that the requests of each region's callers keep busy.
        slots: Slots of the usable servers of each region.
    """
    total_slots = sum(slots.values())
    if total_slots == 0:
        return {origin: 1.0}
    # With too few slots everywhere, all regions are loaded alike.
    load = max(TARGET_LOAD, sum(work.values()) / total_slots)
    spare = {
        region: max(0.0, load * count - work.get(region, 0.0)) for region, count in slots.items()
    }
    own = work.get(origin, 0.0)
    excess = max(0.0, own - load * slots.get(origin, 0))
    room = sum(spare.values())
    if slots.get(origin, 0) == 0:
        weights = spare if room > 0 else {region: float(n) for region, n in slots.items()}
        scale = sum(weights.values())
        return {region: weight / scale for region, weight in weights.items() if weight > 0}
    if excess <= 0 or own <= 0 or room <= 0:
        return {origin: 1.0}
    shares = {origin: 1.0 - excess / own}
    for region, free in spare.items():
        if free > 0:
            shares[region] = shares.get(region, 0.0) + excess / own * free / room
    return shares


class SpillShares:
    """Shares of one service that follow their goal at a bounded rate.

    Attributes:
        current: Shares in force.
        rate_per_s: Part of the requests that may move per second.
        first_step: Part of the requests that may move at once at the start of
            traffic, when no gateway has shares yet.
    """

    def __init__(
        self, *, origin: RegionId, rate_per_s: float, first: Shares, first_step: float
    ) -> None:
        self.origin = origin
        self.rate_per_s = rate_per_s
        self.current: Shares = dict(first) or {origin: 1.0}
        self.first_step = 0.0 if first else first_step
        self.moved_at: float | None = None

    def follow(self, goal: Shares, now: float) -> None:
        """Move the shares towards ``goal``."""
        if self.moved_at is None:
            step = self.first_step
        else:
            step = self.rate_per_s * min(MAX_STEP_S, max(0.0, now - self.moved_at))
        self.moved_at = now
        distance = sum(
            abs(goal.get(region, 0.0) - self.current.get(region, 0.0))
            for region in {*goal, *self.current}
        )
        if distance == 0:
            return
        part = min(1.0, 2 * step / distance)
        regions = sorted({*goal, *self.current})
        moved = {}
        for region in regions:
            before = self.current.get(region, 0.0)
            moved[region] = before + part * (goal.get(region, 0.0) - before)
        self.current = {region: share for region, share in moved.items() if share > 1e-6}

    def region_at(self, position: float) -> RegionId:
        """Return the region for an object.

        The own region has the first positions, so that objects leave and
        return one by one at the end of its band.

        Args:
            position: Place of the object, 0 to 1.
        """
        edge = self.current.get(self.origin, 0.0)
        if position < edge:
            return self.origin
        for region in sorted(self.current):
            if region == self.origin:
                continue
            edge += self.current[region]
            if position < edge:
                return region
        return max(self.current, key=lambda region: (self.current[region], region))

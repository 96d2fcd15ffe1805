"""Division of a service's requests among regions when one of them is short of servers.

Load pattern: a region's callers need more slots than the region has, for as
long as its peak lasts. Moving whatever comes last spreads objects over servers
that are cold for them, which makes each request dearer. Here a share of the
objects moves, always the same ones, and the share changes slowly.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from knapweeddock.ids import RegionId

TARGET_LOAD = 0.35
"""Busy part of a region's slots above which requests move to other regions. Shares
move slowly, so they have to move long before the region is full."""

ASSUMED_LOAD = 0.5
"""Busy part of all slots that is assumed before there are requests."""

KEPT_OBJECTS = 12
"""Objects that a server is assumed to know at a time. With more, each one pushes
out another before it comes again, and every request is dear."""

MAX_STEP_S = 0.5
"""Longest time in seconds that one step of the shares accounts for."""

Shares = dict[RegionId, float]
"""Part of a region's requests that runs in each region; they add up to 1."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Load and servers of one region.

    Attributes:
        work: Slots that the requests of the region's callers keep busy.
        objects: Objects that these requests concern.
        slots: Slots of the region's usable servers.
        servers: Number of these servers.
    """

    work: float = 0.0
    objects: int = 0
    slots: int = 0
    servers: int = 0

    def kept_part(self, load: float) -> float:
        """Return the part of the region's own requests that its servers can take.

        Args:
            load: Busy part of the slots that is aimed at.
        """
        by_slots = load * self.slots / self.work if self.work > 0 else 1.0
        places = KEPT_OBJECTS * self.servers
        by_objects = places / self.objects if self.objects > 0 else 1.0
        return min(1.0, by_slots, by_objects)


def divide(origin: RegionId, loads: Mapping[RegionId, RegionLoad]) -> Shares:
    """Return where the requests of ``origin`` should run.

    Args:
        origin: Region of the callers.
        loads: Load of each region that has callers or servers.
    """
    slots = sum(load.slots for load in loads.values())
    own = loads.get(origin, RegionLoad())
    if slots == 0:
        return {origin: 1.0}
    # With too few slots everywhere, all regions are loaded alike.
    target = max(TARGET_LOAD, sum(load.work for load in loads.values()) / slots)
    room = {
        region: max(0.0, target * load.slots - load.work)
        for region, load in loads.items()
        if region != origin
    }
    if own.slots == 0:
        with_servers = {region: float(load.slots) for region, load in loads.items() if load.slots}
        return _in_proportion(room if sum(room.values()) > 0 else with_servers)
    kept = own.kept_part(target)
    if kept >= 1.0 or own.work <= 0 or sum(room.values()) <= 0:
        return {origin: 1.0}
    away = min(1.0 - kept, sum(room.values()) / own.work)
    shares = {region: away * part for region, part in _in_proportion(room).items()}
    shares[origin] = 1.0 - away
    return shares


def _in_proportion(weights: Mapping[RegionId, float]) -> Shares:
    total = sum(weights.values())
    return {region: weight / total for region, weight in weights.items() if weight > 0}


def assume(origin: RegionId, loads: Mapping[RegionId, RegionLoad]) -> Shares:
    """Return where the requests of ``origin`` should run before any was seen.

    Load pattern: all gateways start at the peak of the day. Shares move slowly, so
    a region with few servers would be overloaded for many seconds. Every region's
    callers are assumed to need as much as the others', of what all slots can do.
    """
    regions = [load for load in loads.values() if load.slots]
    if not regions:
        return {origin: 1.0}
    share = ASSUMED_LOAD * sum(load.slots for load in regions) / len(regions)
    assumed = {
        region: RegionLoad(work=share, slots=load.slots, servers=load.servers)
        for region, load in loads.items()
    }
    return divide(origin, assumed)


class SpillShares:
    """Shares of one service that follow their goal at a bounded rate.

    Attributes:
        current: Shares in force.
        rate_per_s: Part of the requests that may move per second.
    """

    def __init__(self, *, origin: RegionId, rate_per_s: float) -> None:
        self.origin = origin
        self.rate_per_s = rate_per_s
        self.current: Shares = {origin: 1.0}
        self.moved_at: float | None = None

    def begin(self, first: Shares) -> None:
        """Set the shares before there are requests that could move."""
        if first:
            self.current = dict(first)

    def follow(self, goal: Shares, now: float) -> None:
        """Move the shares towards ``goal``."""
        elapsed_s = 0.0 if self.moved_at is None else max(0.0, now - self.moved_at)
        step = self.rate_per_s * min(MAX_STEP_S, elapsed_s)
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

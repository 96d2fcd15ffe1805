"""Spillover: shares of a region's requests that run in other regions.

During its peak, a region's callers can need more slots than the region has. If
whatever requests arrive last moved to other regions, objects would spread over
servers that do not have them cached, and each request would take longer. Instead,
a share of the objects spills over, always the same ones, and the share changes
slowly.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from knapweeddock.ids import RegionId

TARGET_UTILIZATION = 0.35
"""Utilization of a region's slots above which requests spill over to other regions.
Shares change slowly, so they have to start long before the region is full."""

ASSUMED_UTILIZATION = 0.5
"""Utilization of the slots of all regions that is assumed before requests are measured."""

CACHED_OBJECTS_PER_SERVER = 12
"""Number of objects that a server is assumed to keep cached. With more objects, each
one evicts another before that one is requested again, and every request is a miss."""

MAX_STEP_INTERVAL_S = 0.5
"""Longest elapsed time in seconds that one update of the shares accounts for."""

RegionShares = dict[RegionId, float]
"""Fraction of a region's requests that runs in each region; the values sum to 1."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Offered load and capacity of one region.

    Attributes:
        offered_load: Average number of slots that the requests of the region's callers
            need, in whichever region they run, rejected ones included.
        objects: Number of distinct objects that these requests concern.
        slots: Slots of the region's reachable servers.
        servers: Number of the region's servers that may get requests, unreachable
            ones included.
    """

    offered_load: float = 0.0
    objects: int = 0
    slots: int = 0
    servers: int = 0

    def local_fraction(self, target_utilization: float) -> float:
        """Return the fraction of the callers' requests that the region can handle itself.

        It is limited by the slots and by the number of objects that fit into the
        servers' caches.

        Args:
            target_utilization: Fraction of the slots that may be busy.
        """
        by_slots = (
            target_utilization * self.slots / self.offered_load if self.offered_load > 0 else 1.0
        )
        cache_capacity = CACHED_OBJECTS_PER_SERVER * self.servers
        by_objects = cache_capacity / self.objects if self.objects > 0 else 1.0
        return min(1.0, by_slots, by_objects)


def compute_shares(origin: RegionId, loads: Mapping[RegionId, RegionLoad]) -> RegionShares:
    """Return the target region shares for the requests of ``origin``.

    Args:
        origin: Region of the callers.
        loads: Load of each region that has callers or servers.
    """
    slots = sum(load.slots for load in loads.values())
    own = loads.get(origin, RegionLoad())
    if slots == 0:
        return {origin: 1.0}
    # If all regions together are short of slots, each gets the same utilization.
    target_utilization = max(
        TARGET_UTILIZATION, sum(load.offered_load for load in loads.values()) / slots
    )
    spare_slots = {
        region: max(0.0, target_utilization * load.slots - load.offered_load)
        for region, load in loads.items()
        if region != origin
    }
    if own.slots == 0:
        slots_by_region = {
            region: float(load.slots) for region, load in loads.items() if load.slots
        }
        return _normalize(spare_slots if sum(spare_slots.values()) > 0 else slots_by_region)
    local_fraction = own.local_fraction(target_utilization)
    if local_fraction >= 1.0 or own.offered_load <= 0 or sum(spare_slots.values()) <= 0:
        return {origin: 1.0}
    spilled_fraction = min(1.0 - local_fraction, sum(spare_slots.values()) / own.offered_load)
    shares = {region: spilled_fraction * part for region, part in _normalize(spare_slots).items()}
    shares[origin] = 1.0 - spilled_fraction
    return shares


def _normalize(weights: Mapping[RegionId, float]) -> RegionShares:
    total = sum(weights.values())
    return {region: weight / total for region, weight in weights.items() if weight > 0}


def initial_shares(origin: RegionId, loads: Mapping[RegionId, RegionLoad]) -> RegionShares:
    """Return the region shares for ``origin`` before any requests are measured.

    If all gateways start at the daily peak and a region with few servers began with
    all of its own requests, it would be overloaded for many seconds, because shares
    change slowly. The callers of every region are therefore assumed to offer the same
    load: ``ASSUMED_UTILIZATION`` of all slots, divided by the number of regions that
    have slots.
    """
    regions = [load for load in loads.values() if load.slots]
    if not regions:
        return {origin: 1.0}
    offered_load = ASSUMED_UTILIZATION * sum(load.slots for load in regions) / len(regions)
    assumed = {
        region: RegionLoad(offered_load=offered_load, slots=load.slots, servers=load.servers)
        for region, load in loads.items()
    }
    return compute_shares(origin, assumed)


class SpilloverShares:
    """Region shares of one service that move towards a target at a bounded rate.

    Attributes:
        origin: Region of the callers.
        current: Current shares.
        max_share_change_per_s: Fraction of the requests that may change their region per
            second.
        updated_at: Monotonic time of the last update; None before the first one.
    """

    def __init__(self, *, origin: RegionId, max_share_change_per_s: float) -> None:
        self.origin = origin
        self.max_share_change_per_s = max_share_change_per_s
        self.current: RegionShares = {origin: 1.0}
        self.updated_at: float | None = None

    def initialize(self, shares: RegionShares) -> None:
        """Replace the shares without limiting the rate of change.

        This is only for a service that has no requests yet, since any number of them
        would change region. Empty ``shares`` are ignored.
        """
        if shares:
            self.current = dict(shares)

    def move_towards(self, target: RegionShares, now: float) -> None:
        """Move the shares towards ``target`` as far as the rate allows.

        The first call only notes the time.
        """
        elapsed_s = 0.0 if self.updated_at is None else max(0.0, now - self.updated_at)
        step = self.max_share_change_per_s * min(MAX_STEP_INTERVAL_S, elapsed_s)
        self.updated_at = now
        distance = sum(
            abs(target.get(region, 0.0) - self.current.get(region, 0.0))
            for region in {*target, *self.current}
        )
        if distance == 0:
            return
        # A request that changes its region changes two shares.
        fraction = min(1.0, 2 * step / distance)
        regions = sorted({*target, *self.current})
        updated = {}
        for region in regions:
            before = self.current.get(region, 0.0)
            updated[region] = before + fraction * (target.get(region, 0.0) - before)
        self.current = {region: share for region, share in updated.items() if share > 1e-6}

    def region_at(self, position: float) -> RegionId:
        """Return the region in which requests for an object run.

        The origin region has the first interval of positions. A change of its share
        moves only the end of that interval, so only the objects near the end leave it
        or return to it, one by one. The intervals of the other regions follow in the order of their
        names; a change of one share moves all intervals behind it.

        Args:
            position: Hash position of the object, from 0 to 1.
        """
        upper_bound = self.current.get(self.origin, 0.0)
        if position < upper_bound:
            return self.origin
        for region in sorted(self.current):
            if region == self.origin:
                continue
            upper_bound += self.current[region]
            if position < upper_bound:
                return region
        # Dropped small shares and rounding can leave the sum of the shares below 1.
        return max(self.current, key=lambda region: (self.current[region], region))

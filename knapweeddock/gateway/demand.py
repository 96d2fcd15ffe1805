"""How much work this gateway's clients bring, and where it should run."""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import structlog

from knapweeddock.gateway.fleet import Fleet
from knapweeddock.gateway.peers import Heartbeat
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.gateway.spill import (
    RegionLoad,
    RegionShares,
    SpilloverShares,
    compute_shares,
    initial_shares,
)
from knapweeddock.gateway.worktimes import WorkTimes
from knapweeddock.ids import RegionId, ServiceId

log = structlog.get_logger(__name__)

RATE_FADE_S = 2.0
"""Time constant in seconds of the measured request rate."""

SHIFT_PART = 0.27
"""Part of the bound on shifts, given for two seconds, that shares move per second;
single requests that move besides and the noise of short windows need the rest."""

FIRST_GOAL_S = 0.7
"""Time in seconds of traffic after which the first shares are set."""


class RequestRate:
    """Requests per second, as a fading average."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at: float | None = None
        self.first_at: float | None = None

    def record(self, now: float) -> None:
        """Count one request."""
        self._value = self.per_s(now) + 1.0 / RATE_FADE_S
        self._at = now
        if self.first_at is None:
            self.first_at = now

    def per_s(self, now: float) -> float:
        """Return the rate in requests per second."""
        if self._at is None:
            return 0.0
        return self._value * math.exp(-max(0.0, now - self._at) / RATE_FADE_S)


class Demand:
    """Work by service and the shares of the regions that follow from it.

    Attributes:
        spills: Shares in force by service.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        fleet: Fleet,
        work: WorkTimes,
        shift_bound: float,
        heartbeats: Callable[[], Iterable[Heartbeat]],
        gateways: Callable[[], Iterable[GatewayEntry]],
    ) -> None:
        self.region = region
        self.fleet = fleet
        self.work = work
        self.spills: dict[ServiceId, SpilloverShares] = {}
        self.take_shift_bound(shift_bound)
        self.heartbeats = heartbeats
        self.gateways = gateways
        self._rates: dict[ServiceId, RequestRate] = {}
        self._reported: dict[ServiceId, dict[RegionId, float]] = {}

    def take_shift_bound(self, bound: float) -> None:
        """Take the bound on the part of a region's requests that moves within two seconds."""
        self.rate_per_s = SHIFT_PART * bound
        for spill in self.spills.values():
            spill.rate_per_s = self.rate_per_s

    def arrived(self, service: ServiceId, now: float) -> None:
        """Count a request of a client."""
        rate = self._rates.get(service)
        if rate is None:
            self._begin(service, now)
            rate = RequestRate()
            self._rates[service] = rate
        rate.record(now)

    def own_work(self, now: float) -> dict[ServiceId, float]:
        """Return the slots that this gateway's clients keep busy, by service."""
        return {
            service: round(rate.per_s(now) * self.work.service_s(service), 2)
            for service, rate in self._rates.items()
        }

    def plan(self, now: float) -> None:
        """Let the shares follow the work and the slots of all regions."""
        others = list(self.heartbeats())
        for service in self.fleet.services():
            rate = self._rates.get(service)
            if rate is None:
                self._begin(service, now)
            elif now - rate.first_at >= FIRST_GOAL_S:
                loads = self._loads(service, now, others)
                spill = self.spills[service]
                spill.move_towards(compute_shares(self.region, loads), now)
                self._report(service, spill, loads)

    def _begin(self, service: ServiceId, now: float) -> None:
        """Set the shares of a service before its first request is placed.

        Load pattern: all gateways restart at the peak, and requests arrive before
        the first regular planning. Shares that began with the own region alone
        would overload a region with few servers until they have moved.
        """
        spill = self.spills.get(service)
        if spill is None:
            spill = SpilloverShares(origin=self.region, rate_per_s=self.rate_per_s)
            self.spills[service] = spill
        others = list(self.heartbeats())
        found = self._shares_of_others(service, others)
        spill.initialize(found or initial_shares(self.region, self._loads(service, now, others)))

    def own_objects(self, now: float) -> dict[ServiceId, int]:
        """Return how many objects this gateway's requests concern, by service."""
        return {service: self.work.objects(service, now) for service in self._rates}

    def _loads(
        self, service: ServiceId, now: float, others: list[Heartbeat]
    ) -> dict[RegionId, RegionLoad]:
        """Return the load of each region.

        In a large fleet only some gateways are heard; the others of their region
        are taken to have as much work. Each gateway sees most of its region's
        objects, so that the largest number is closest.
        """
        work = {self.region: [self.own_work(now).get(service, 0.0)]}
        objects = {self.region: self.own_objects(now).get(service, 0)}
        for heartbeat in others:
            region = heartbeat.region
            work.setdefault(region, []).append(heartbeat.work.get(service, 0.0))
            objects[region] = max(objects.get(region, 0), heartbeat.objects.get(service, 0))
        registered = Counter(entry.region for entry in self.gateways())
        return {
            region: RegionLoad(
                offered_load=_sum_of(work.get(region, []), registered[region]),
                objects=objects.get(region, 0),
                slots=self.fleet.slots(service, region),
                servers=len(self.fleet.group(service, region)),
            )
            for region in {*work, *self.fleet.regions(service)}
        }

    def shares(self) -> dict[ServiceId, RegionShares]:
        """Return the shares in force by service."""
        return {
            service: {region: round(share, 3) for region, share in spill.current.items()}
            for service, spill in self.spills.items()
        }

    def _shares_of_others(self, service: ServiceId, others: list[Heartbeat]) -> RegionShares:
        """Return the mean shares of the region's gateways that have traffic.

        A gateway that starts joins them.
        """
        found = [
            heartbeat.shares[service]
            for heartbeat in others
            if heartbeat.region == self.region
            and service in heartbeat.shares
            and heartbeat.work.get(service)
        ]
        total: RegionShares = {}
        for shares in found:
            for region, share in shares.items():
                total[region] = total.get(region, 0.0) + share / len(found)
        return total

    def _report(
        self, service: ServiceId, spill: SpilloverShares, loads: dict[RegionId, RegionLoad]
    ) -> None:
        """Log the shares when they have changed visibly."""
        shares = {region: round(share, 1) for region, share in spill.current.items()}
        if self._reported.get(service) == shares:
            return
        self._reported[service] = shares
        log.info(
            "shares of regions changed",
            service=service,
            shares=shares,
            work={region: load.offered_load for region, load in loads.items()},
            objects={region: load.objects for region, load in loads.items()},
            slots={region: load.slots for region, load in loads.items()},
        )


def _sum_of(heard: list[float], registered: int) -> float:
    if not heard:
        return 0.0
    return round(sum(heard) / len(heard) * max(len(heard), registered), 2)

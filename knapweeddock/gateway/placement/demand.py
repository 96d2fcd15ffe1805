"""Measures the offered load of this gateway's clients and adjusts the region shares to it."""

import math
from collections.abc import Callable, Collection, Mapping

import structlog

from knapweeddock.gateway.membership.heartbeats import RegionDemand
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.spillover import (
    RegionLoad,
    RegionShares,
    SpilloverShares,
    compute_shares,
    initial_shares,
)
from knapweeddock.ids import RegionId, ServiceId

log = structlog.get_logger(__name__)

RATE_TIME_CONSTANT_S = 2.0
"""Time constant in seconds of the decaying average of the request rate."""

SHIFT_RATE_FACTOR = 0.27
"""Fraction of the region shift limit by which shares may change per second. In the two
seconds to which the limit applies, planned changes use at most 54 % of it. The rest is
left for single requests that leave their home region because of the wait there, and for
the noise of short windows."""

MEASUREMENT_DELAY_S = 0.7
"""Time in seconds from the first request until shares follow the measured load."""


class RequestRate:
    """Request rate as an exponentially decaying average.

    Attributes:
        first_at: Monotonic time of the first request; None before it.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at: float | None = None
        self.first_at: float | None = None

    def record(self, now: float) -> None:
        """Count one request."""
        self._rate_per_s = self.per_s(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_at = now
        if self.first_at is None:
            self.first_at = now

    def per_s(self, now: float) -> float:
        """Return the rate in requests per second."""
        if self._updated_at is None:
            return 0.0
        return self._rate_per_s * math.exp(-max(0.0, now - self._updated_at) / RATE_TIME_CONSTANT_S)


class SpilloverController:
    """Measures the offered load by service and moves the region shares accordingly.

    Attributes:
        region: Region of this gateway.
        fleet: Backend servers.
        processing_times: Learned processing times.
        shares_by_service: Current region shares by service.
        region_demands: Returns the demand of each region, this gateway's own included.
        max_share_change_per_s: Fraction of the requests that may change their region per
            second.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        fleet: Fleet,
        processing_times: ProcessingTimes,
        shift_limit: float,
        region_demands: Callable[[], Mapping[RegionId, RegionDemand]],
    ) -> None:
        self.region = region
        self.fleet = fleet
        self.processing_times = processing_times
        self.shares_by_service: dict[ServiceId, SpilloverShares] = {}
        self.apply_shift_limit(shift_limit)
        self.region_demands = region_demands
        self._rates: dict[ServiceId, RequestRate] = {}
        self._logged_shares: dict[ServiceId, dict[RegionId, float]] = {}

    def apply_shift_limit(self, shift_limit: float) -> None:
        """Apply the limit on the share of requests that changes region within two seconds."""
        self.max_share_change_per_s = SHIFT_RATE_FACTOR * shift_limit
        for shares in self.shares_by_service.values():
            shares.max_share_change_per_s = self.max_share_change_per_s

    def record_request(self, service: ServiceId, now: float) -> None:
        """Count a request of a client."""
        rate = self._rates.get(service)
        if rate is None:
            self._initialize_shares(service)
            rate = RequestRate()
            self._rates[service] = rate
        rate.record(now)

    def offered_load(self, now: float) -> dict[ServiceId, float]:
        """Return the average number of slots that this gateway's clients need, by service.

        It is the request rate, rejected requests included, times the mean processing time.
        """
        return {
            service: round(rate.per_s(now) * self.processing_times.measured_mean_s(service), 2)
            for service, rate in self._rates.items()
        }

    def update_shares(self, now: float, *, unreached: Collection[ServiceId] = ()) -> None:
        """Move the shares according to the offered load and the slots of all regions.

        Args:
            now: Monotonic time.
            unreached: Services of which this gateway reaches no server; their shares stay.
        """
        demands = self.region_demands()
        for service in self.fleet.services():
            if service in unreached:
                continue
            rate = self._rates.get(service)
            if rate is None:
                self._initialize_shares(service)
            elif now - rate.first_at >= MEASUREMENT_DELAY_S:
                loads = self._region_loads(service, demands)
                shares = self.shares_by_service[service]
                shares.move_towards(compute_shares(self.region, loads), now)
                self._log_changed_shares(service, shares, loads)

    def _initialize_shares(self, service: ServiceId) -> None:
        """Set the shares of a service before a server is selected for its first request.

        They are the mean shares of the region's gateways that have traffic, or
        else the initial shares. If all gateways restart at the peak, requests arrive
        before the first regular call of ``update_shares``. Shares that began with the own
        region alone would overload a region with few servers until they have changed.
        """
        shares = self.shares_by_service.get(service)
        if shares is None:
            shares = SpilloverShares(
                origin=self.region, max_share_change_per_s=self.max_share_change_per_s
            )
            self.shares_by_service[service] = shares
        demands = self.region_demands()
        own_demand = demands.get(self.region, RegionDemand())
        peer_shares = own_demand.shares.get(service)
        shares.initialize(
            peer_shares or initial_shares(self.region, self._region_loads(service, demands))
        )

    def object_counts(self, now: float) -> dict[ServiceId, int]:
        """Return the number of distinct objects of this gateway's requests, by service."""
        return {
            service: self.processing_times.object_count(service, now) for service in self._rates
        }

    def _region_loads(
        self, service: ServiceId, demands: Mapping[RegionId, RegionDemand]
    ) -> dict[RegionId, RegionLoad]:
        """Return the load of each region."""
        no_demand = RegionDemand()
        loads = {}
        for region in {*demands, *self.fleet.regions(service)}:
            demand = demands.get(region, no_demand)
            loads[region] = RegionLoad(
                offered_load=demand.work.get(service, 0.0),
                objects=demand.objects.get(service, 0),
                slots=self.fleet.reachable_slots(service, region),
                servers=len(self.fleet.group(service, region)),
            )
        return loads

    def shares(self) -> dict[ServiceId, RegionShares]:
        """Return the current shares by service, rounded to three decimals."""
        return {
            service: {region: round(share, 3) for region, share in shares.current.items()}
            for service, shares in self.shares_by_service.items()
        }

    def _log_changed_shares(
        self, service: ServiceId, shares: SpilloverShares, loads: dict[RegionId, RegionLoad]
    ) -> None:
        """Log the shares if they have changed when rounded to one decimal."""
        rounded = {region: round(share, 1) for region, share in shares.current.items()}
        if self._logged_shares.get(service) == rounded:
            return
        self._logged_shares[service] = rounded
        log.info(
            "region shares changed",
            service=service,
            shares=rounded,
            work={region: load.offered_load for region, load in loads.items()},
            objects={region: load.objects for region, load in loads.items()},
            slots={region: load.slots for region, load in loads.items()},
        )

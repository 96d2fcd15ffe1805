"""Selection of the backend server for a request.

All gateways map an object to the same few servers of a region by rendezvous hashing,
because a server processes a request much faster if it has handled the object recently
(cache affinity). For bulk routes, only the gateways of a failure domain agree, since
each one prefers servers of its own failure domain. Among these servers, the one with
the lowest expected time to a successful response is selected.

The home region of an object is this gateway's region, or another one if the object
spills over because the region is short of servers (``spillover``). Single requests leave
the home region when the wait there is long.
"""

import random
from collections.abc import Iterable, Mapping

from knapweeddock.gateway.limits.dividedlimit import SentRequest
from knapweeddock.gateway.limits.serverquotas import ServerQuotas
from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.rejections import RejectionPolicy
from knapweeddock.gateway.placement.selection import Rejection, Selection, SelectionRequest
from knapweeddock.gateway.placement.shiftlimit import ShiftLimit
from knapweeddock.gateway.placement.spillover import CACHED_OBJECTS_PER_SERVER, SpilloverShares
from knapweeddock.ids import FailureDomainId, RegionId, ServiceId
from knapweeddock.rendezvous import HASH_RANGE, hash_parts

MAX_PREFERRED_SERVERS = 2
"""Maximum number of preferred servers of an object in each region."""

OTHER_REGION_WAIT_FACTOR = 0.5
"""Expected wait, relative to the target latency, above which servers of other regions
are considered."""

FAILURE_RATE_WEIGHT = 0.9
"""Weight of a server's failure rate in its cost. It is below 1 so that a server that
fails every request still has a finite cost and is used when there is no other."""

OLDEST_PENDING_FACTOR = 0.5
"""Factor applied to the age ratio of a server's oldest pending request before it is
used as a lower bound of the server's latency ratio. It is below 1 because a request for
an uncached object takes several times as long, which does not mean that the server is
slow."""

MAX_IDLE_REQUESTS = 0.5
"""Expected number of requests below which a server counts as idle."""

MAX_CACHED_RANKINGS = 20_000
"""Number of cached server rankings above which all are dropped. They are also dropped
when the set of servers changes."""


class ServerSelector:
    """Selects a server for each request from the local state of this gateway.

    Attributes:
        fleet: Backend servers and their observed state.
        processing_times: Learned processing times.
        failure_domain: Failure domain of this gateway.
        region: Region of this gateway.
        quotas: What this gateway may send to servers whose request rate is limited.
        shift_limit: Limit on the growth of the share of requests sent to other regions
            than this gateway's.
        rejections: Decides which requests are rejected.
        shares_by_service: Current region shares by service.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        processing_times: ProcessingTimes,
        failure_domain: FailureDomainId,
        region: RegionId,
        quotas: ServerQuotas,
        shift_limit: ShiftLimit,
        shares_by_service: Mapping[ServiceId, SpilloverShares],
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.processing_times = processing_times
        self.failure_domain = failure_domain
        self.region = region
        self.quotas = quotas
        self.shift_limit = shift_limit
        self.rng = rng
        self.rejections = RejectionPolicy(fleet=fleet, processing_times=processing_times, rng=rng)
        self.shares_by_service = shares_by_service
        self._rankings: dict[tuple[ServiceId, RegionId, str, bool], list[ServerState]] = {}
        self._rankings_revision = -1

    def select(self, request: SelectionRequest, now: float) -> Selection | Rejection:
        """Return the server for ``request``, or a rejection if there is none."""
        regions = self._allowed_regions(request)
        best = self._best(request, regions, now) if regions else None
        if best is None:
            return self.rejections.reject_without_server(request, regions, now)
        return self.rejections.judge(request, best) or best

    def is_out_of_reach(self, request: SelectionRequest) -> bool:
        """Whether this gateway reaches none of the servers that may run ``request``."""
        servers = [
            server
            for region in self._allowed_regions(request)
            for server in self.fleet.group(request.service, region)
        ]
        return bool(servers) and not any(server.health.is_usable() for server in servers)

    def _best(
        self, request: SelectionRequest, regions: list[RegionId], now: float
    ) -> Selection | None:
        if request.prefers_idle:
            idle = self._idle_server(request, regions, now)
            if idle is not None:
                return idle
        home_region = self._home_region(request, regions)
        best = self._best_in_region(request, home_region, now, is_home_region=True)
        if best is None or _should_try_other_regions(request, best):
            best = self._try_other_regions(request, regions, home_region, best, now)
        return best

    def record_sent(
        self, request: SelectionRequest, selection: Selection, now: float
    ) -> SentRequest:
        """Record that ``request`` is sent to the selected server.

        Returns:
            What counts against the server's limits.
        """
        server = selection.server
        sent = self.quotas.record_sent(server, now)
        if request.key:
            self.processing_times.record_handled(
                request.service, server.entry.server, request.key, now
            )
        self.shift_limit.record(request.service, remote=selection.remote, now=now)
        return sent

    def _idle_server(
        self, request: SelectionRequest, regions: list[RegionId], now: float
    ) -> Selection | None:
        """Return a server of this gateway's region that runs nothing, as far as is known."""
        if self.region not in regions:
            return None
        for server in self._ranked_servers(request, self.region):
            is_idle = server.load.total_requests(now) < MAX_IDLE_REQUESTS
            if is_idle and self._is_eligible(server, request, now):
                return self._estimate(request, server, now, preferred_rank=None)
        return None

    # Regions

    def _allowed_regions(self, request: SelectionRequest) -> list[RegionId]:
        allowed = request.route.regions
        available = self.fleet.regions(request.service)
        return [region for region in available if not allowed or region in allowed]

    def _home_region(self, request: SelectionRequest, regions: list[RegionId]) -> RegionId:
        """Return the region in which requests for the object normally run.

        The shares choose it by the object's hash, or at random for a request without an
        object. If that region is not among ``regions``, it is this gateway's own one or, if
        that is not either, the one with the highest hash.
        """
        shares = self.shares_by_service.get(request.service)
        if shares is not None:
            region = shares.region_at(self._hash_position(request))
            if region in regions:
                return region
        if self.region in regions:
            return self.region
        return max(regions, key=lambda region: (hash_parts(request.key, region), region))

    def _hash_position(self, request: SelectionRequest) -> float:
        if not request.key:
            return self.rng.random()
        return hash_parts("spill", request.service, request.key) / HASH_RANGE

    def _try_other_regions(
        self,
        request: SelectionRequest,
        regions: list[RegionId],
        home_region: RegionId,
        best: Selection | None,
        now: float,
    ) -> Selection | None:
        """Return a server of another region if it is expected to respond before ``best``.

        Otherwise ``best`` is returned. If the home region has no usable server, ``best``
        is None, any usable server is accepted, and the shift limit does not apply.
        """
        if best is not None and not self.shift_limit.allows(request.service, now):
            return best
        for region in regions:
            if region == home_region:
                continue
            candidate = self._best_in_region(request, region, now, is_home_region=False)
            if candidate is None or (best is not None and candidate.wait_s > 0):
                # An uncached object takes several times as long to process, so only
                # a server with a free slot can respond earlier.
                continue
            if best is None or candidate.expected_s < best.expected_s:
                best = candidate
        return best

    # Servers

    def _best_in_region(
        self, request: SelectionRequest, region: RegionId, now: float, *, is_home_region: bool
    ) -> Selection | None:
        """Return the server of ``region`` with the lowest cost.

        Compares only as many servers as the object has preferred servers in the
        region. A preferred server that cannot be used is replaced by the next one
        in the object's ranking.

        Args:
            request: The request.
            region: The region.
            now: Monotonic time.
            is_home_region: Whether requests for the object normally run in the region.
        """
        best: Selection | None = None
        ranked = self._ranked_servers(request, region)
        preferred_count = self._preferred_count(request.service, len(ranked), now)
        considered = 0
        for rank, server in enumerate(ranked):
            if not self._is_eligible(server, request, now):
                continue
            preferred_rank = rank if is_home_region and rank < preferred_count else None
            selection = self._estimate(request, server, now, preferred_rank=preferred_rank)
            if best is None or _cost(selection, now) < _cost(best, now):
                best = selection
            considered += 1
            if considered == preferred_count:
                break
        return best

    def _preferred_count(self, service: ServiceId, servers: int, now: float) -> int:
        """Return the number of preferred servers of an object in a region.

        More of them balance the load better, but each server must then cache more
        objects.
        """
        objects = max(1, self.processing_times.object_count(service, now))
        return max(
            1, min(MAX_PREFERRED_SERVERS, round(CACHED_OBJECTS_PER_SERVER * servers / objects))
        )

    def _is_eligible(self, server: ServerState, request: SelectionRequest, now: float) -> bool:
        if server.entry.server in request.tried or not server.accepts_requests(now):
            return False
        return self.quotas.allow(server, now)

    def _estimate(
        self,
        request: SelectionRequest,
        server: ServerState,
        now: float,
        *,
        preferred_rank: int | None,
    ) -> Selection:
        """Return the expected wait and processing time of the request at ``server``.

        Args:
            request: The request.
            server: The server.
            now: Monotonic time.
            preferred_rank: Rank among the object's preferred servers in its home region;
                None if the server is not one of them. Without an object, rank in a random order.
        """
        handled_recently = bool(request.key) and self.processing_times.handled_recently(
            server.entry.server, request.key, now
        )
        # Other gateways (for bulk routes, those of the failure domain) also send requests
        # for the object to its first preferred server.
        cached = handled_recently or (bool(request.key) and preferred_rank == 0)
        latency_ratio = max(
            server.health.latency_ratio(now),
            server.load.oldest_pending_ratio(now) * OLDEST_PENDING_FACTOR,
        )
        mean_s = self.processing_times.mean_s(request.service, request.route)
        processing_s = self._processing_s(
            request, cached=cached, is_preferred=preferred_rank is not None
        )
        slots = server.entry.slots
        wait_per_request_s = mean_s * latency_ratio / slots
        return Selection(
            server=server,
            cached=cached,
            cache_state_known=handled_recently or preferred_rank is None,
            wait_s=max(0.0, server.load.total_requests(now) + 1 - slots) * wait_per_request_s,
            certain_wait_s=(
                max(0.0, server.load.certain_requests(now) + 1 - slots) * wait_per_request_s
            ),
            processing_s=processing_s * latency_ratio,
            remote=server.entry.region != self.region,
        )

    def _processing_s(
        self, request: SelectionRequest, *, cached: bool, is_preferred: bool
    ) -> float:
        """Return the expected processing time in seconds at a server of usual speed."""
        expected_s = self.processing_times.expected_s(request.route, cached=cached)
        if cached or not is_preferred:
            return expected_s
        # Other gateways may have sent requests for the object to this server while the first
        # preferred server was busy. A mean of both times is also expected of requests
        # without an object.
        hit_share = self.processing_times.hit_share(request.service)
        cached_s = self.processing_times.expected_s(request.route, cached=True)
        return expected_s + hit_share * (cached_s - expected_s)

    def _ranked_servers(self, request: SelectionRequest, region: RegionId) -> Iterable[ServerState]:
        servers = self.fleet.group(request.service, region)
        if not request.key:
            return self.rng.sample(servers, len(servers))
        if (
            self._rankings_revision != self.fleet.revision
            or len(self._rankings) > MAX_CACHED_RANKINGS
        ):
            self._rankings.clear()
            self._rankings_revision = self.fleet.revision
        bulk = request.route.bulk
        cache_key = (request.service, region, request.key, bulk)
        ranked = self._rankings.get(cache_key)
        if ranked is None:
            ranked = sorted(servers, key=lambda state: hash_parts(request.key, state.entry.server))
            ranked.reverse()
            if bulk:
                # Prefer servers of the same failure domain for large responses.
                ranked.sort(key=lambda state: state.entry.failure_domain != self.failure_domain)
            self._rankings[cache_key] = ranked
        return ranked


def _cost(selection: Selection, now: float) -> float:
    """Return the expected time to a successful response, in seconds.

    The expected response time is divided by the weighted success rate.
    """
    success_rate = 1.0 - FAILURE_RATE_WEIGHT * selection.server.health.failure_rate(now)
    return selection.expected_s / success_rate


def _should_try_other_regions(request: SelectionRequest, selection: Selection) -> bool:
    return selection.wait_s > OTHER_REGION_WAIT_FACTOR * request.route.target_latency_s

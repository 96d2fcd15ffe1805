"""Choice of the server for a request.

Every gateway comes to the same few servers for an object by rendezvous hashing,
because a server works much faster on an object that it has handled lately.
Among these the one that is expected to respond first is chosen. Other regions
take the objects that the own region is short of servers for (``spill``), and
single requests when the wait in the own region is long.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from knapweeddock.codes import ResultCode
from knapweeddock.gateway import coldstart
from knapweeddock.gateway.fleet import Fleet, ServerState
from knapweeddock.gateway.routes import Route
from knapweeddock.gateway.shiftlimit import ShiftLimit
from knapweeddock.gateway.spill import KEPT_OBJECTS, SpillShares
from knapweeddock.gateway.worktimes import WorkTimes
from knapweeddock.ids import FailureDomainId, RegionId, ServerId, ServiceId
from knapweeddock.rendezvous import HASH_RANGE, hash_parts

MAX_HOMES = 2
"""Largest number of servers of a region that an object is sent to."""

OTHER_REGION_DELAY_S = 0.026
"""Round trip in seconds to another region that is assumed in comparisons."""

OVERFLOW_WAIT_PART = 0.5
"""Wait relative to the target latency above which other regions are considered."""

LATEST_PART = 1.0
"""Expected time to the response, relative to the target latency, above which a
request is refused: a longer queue would make all requests late, none more served."""

URGENT_LATEST_PART = 1.25
"""The same for urgent routes, so that they are refused last."""

URGENT_PRIORITY = 1
"""Largest priority number of an urgent route."""

MIN_WAIT_PART = 0.25
"""Wait relative to the target latency that is always accepted, so that routes
whose work exceeds their target are served at all."""

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 1.0
RETRY_AFTER_SPREAD = 0.5
"""Largest random addition to a time to come back (fraction), against herds."""

FAILURE_COST = 0.9
"""Weight of a server's share of failures; below 1, so that one that fails every
request still has a finite cost and is used when there is no other."""

OVERDUE_PART = 0.5
"""Part of the delay of a server's oldest request that its next one is expected to
have; work on a new object takes several times as long and is no sign of slowness."""

CACHED_RANKS = 20_000
"""Objects whose servers are remembered until the set of servers changes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What the choice depends on.

    Attributes:
        route: Route of the request.
        service: Service that runs it.
        key: Object that it concerns, or "" when it names none.
        remaining_s: Seconds until nobody waits for the response.
        tried: Servers that the request was sent to before.
    """

    route: Route
    service: ServiceId
    key: str
    remaining_s: float
    tried: Collection[ServerId] = field(default=frozenset())


@dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A server was chosen.

    Attributes:
        server: The server.
        known: Whether it is expected to know the object.
        certain: Whether this gateway has seen that or the contrary.
        wait_s: Expected wait at the server.
        work_s: Expected work of the server.
        remote: Whether it is in another region.
    """

    server: ServerState
    known: bool
    certain: bool
    wait_s: float
    work_s: float
    remote: bool

    @property
    def expected_s(self) -> float:
        """Expected time until the response, in seconds."""
        return self.wait_s + self.work_s + (OTHER_REGION_DELAY_S if self.remote else 0.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """No server can respond in time.

    Attributes:
        code: Why.
        retry_after_s: When to come back, in seconds.
        best: The best server that was found, if any.
    """

    code: ResultCode
    retry_after_s: float
    best: Placed | None = None


class Placement:
    """Chooses servers from what this gateway knows."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        work: WorkTimes,
        failure_domain: FailureDomainId,
        region: RegionId,
        cold_part: Callable[[ServerState], int],
        shift_limit: ShiftLimit,
        spills: Mapping[ServiceId, SpillShares],
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.work = work
        self.failure_domain = failure_domain
        self.region = region
        self.cold_part = cold_part
        self.shift_limit = shift_limit
        self.rng = rng
        self.spills = spills
        self._ranks: dict[tuple[ServiceId, RegionId, str, bool], list[ServerState]] = {}
        self._revision = -1

    def choose(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Return the server for ``request`` or why there is none."""
        regions = self._regions(request)
        if not regions:
            return self._refused(ResultCode.NO_SITE)
        home = self._home(request, regions)
        best = self._best(request, home, now, is_home=True)
        if best is None or self._waits_long(request, best):
            best = self._overflow(request, regions, home, best, now)
        if best is None:
            return self._refused(ResultCode.NO_SITE)
        if best.wait_s > self._longest_wait(request.route):
            return self._refused(ResultCode.WAIT_TOO_LONG, best)
        if best.wait_s + self.work.least_s(request.route) > request.remaining_s:
            return self._refused(ResultCode.WAIT_TOO_LONG, best)
        return best

    def sent(self, request: PlacementRequest, placed: Placed, now: float) -> None:
        """Note that ``request`` is sent to the chosen server."""
        server = placed.server
        if server.is_cold(now):
            coldstart.take(server.sent_at, self.cold_part(server), now)
        if request.key:
            self.work.handled(request.service, server.entry.server, request.key, now)
        self.shift_limit.record(request.service, remote=placed.remote, now=now)

    # Regions

    def _regions(self, request: PlacementRequest) -> list[RegionId]:
        allowed = request.route.regions
        found = self.fleet.regions(request.service)
        return [region for region in found if not allowed or region in allowed]

    def _home(self, request: PlacementRequest, regions: list[RegionId]) -> RegionId:
        """Return the region in which the object's servers are."""
        spill = self.spills.get(request.service)
        if spill is not None:
            region = spill.region_at(self._position(request))
            if region in regions:
                return region
        if self.region in regions:
            return self.region
        return max(regions, key=lambda region: (hash_parts(request.key, region), region))

    def _position(self, request: PlacementRequest) -> float:
        if not request.key:
            return self.rng.random()
        return hash_parts("spill", request.service, request.key) / HASH_RANGE

    def _overflow(
        self,
        request: PlacementRequest,
        regions: list[RegionId],
        home: RegionId,
        best: Placed | None,
        now: float,
    ) -> Placed | None:
        """Return a better server elsewhere if the share that moves stays within its bound."""
        if best is not None and not self.shift_limit.allows(request.service, now):
            return best
        for region in regions:
            if region == home:
                continue
            other = self._best(request, region, now, is_home=False)
            if other is None or (best is not None and other.wait_s > 0):
                # Work on a new object takes several times as long; only idle servers
                # gain by it.
                continue
            if best is None or other.expected_s < best.expected_s:
                best = other
        return best

    # Servers

    def _best(
        self, request: PlacementRequest, region: RegionId, now: float, *, is_home: bool
    ) -> Placed | None:
        """Return the server of ``region`` that is expected to respond first.

        Only as many servers are compared as the object has homes there; those
        after them in its order take the place of homes that cannot be used.

        Args:
            request: The request.
            region: The region.
            now: Monotonic time.
            is_home: Whether requests for the object usually run in the region.
        """
        best: Placed | None = None
        ranked = self._ranked(request, region)
        homes = self._homes(request.service, len(ranked), now)
        considered = 0
        for rank, server in enumerate(ranked):
            if not self._may_send(server, request, now):
                continue
            expected_rank = rank if is_home and rank < homes else None
            placed = self._expect(request, server, now, home_rank=expected_rank)
            if best is None or _cost(placed, now) < _cost(best, now):
                best = placed
            considered += 1
            if considered == homes:
                break
        return best

    def _homes(self, service: ServiceId, servers: int, now: float) -> int:
        """Return to how many servers of a region an object is sent.

        More homes even out the load, but each server then has to know more objects.
        """
        objects = max(1, self.work.objects(service, now))
        return max(1, min(MAX_HOMES, round(KEPT_OBJECTS * servers / objects)))

    def _may_send(self, server: ServerState, request: PlacementRequest, now: float) -> bool:
        if server.entry.server in request.tried or not server.standing.is_usable():
            return False
        if not server.is_cold(now):
            return True
        return coldstart.take(server.sent_at, self.cold_part(server), now, dry=True)

    def _expect(
        self,
        request: PlacementRequest,
        server: ServerState,
        now: float,
        *,
        home_rank: int | None,
    ) -> Placed:
        """Return what to expect of ``server``.

        Args:
            request: The request.
            server: The server.
            now: Monotonic time.
            home_rank: Its place among the object's homes; None when it is no home.
        """
        seen = bool(request.key) and self.work.knows(server.entry.server, request.key, now)
        # Other gateways send the object to its first home as well.
        known = seen or (bool(request.key) and home_rank == 0)
        slowness = max(server.standing.slowness(now), server.load.overdue(now) * OVERDUE_PART)
        mean_s = self.work.mean_s(request.service, request.route)
        before = server.load.total(now) + 1 - server.entry.slots
        work_s = self.work.expected_s(request.route, known=known)
        if not known and home_rank is not None:
            # Others may have sent it there while its first home was busy.
            work_s = (work_s + self.work.expected_s(request.route, known=True)) / 2
        return Placed(
            server=server,
            known=known,
            certain=seen or home_rank is None,
            wait_s=max(0.0, before) / server.entry.slots * mean_s * slowness,
            work_s=work_s * slowness,
            remote=server.entry.region != self.region,
        )

    def _ranked(self, request: PlacementRequest, region: RegionId) -> Iterable[ServerState]:
        servers = self.fleet.group(request.service, region)
        if not request.key:
            return self.rng.sample(servers, len(servers))
        if self._revision != self.fleet.revision or len(self._ranks) > CACHED_RANKS:
            self._ranks.clear()
            self._revision = self.fleet.revision
        bulk = request.route.bulk
        cached = (request.service, region, request.key, bulk)
        ranked = self._ranks.get(cached)
        if ranked is None:
            ranked = sorted(servers, key=lambda state: hash_parts(request.key, state.entry.server))
            ranked.reverse()
            if bulk:
                # Large responses stay within the failure domain where that is possible.
                ranked.sort(key=lambda state: state.entry.failure_domain != self.failure_domain)
            self._ranks[cached] = ranked
        return ranked

    # Refusals

    def _waits_long(self, request: PlacementRequest, placed: Placed) -> bool:
        return placed.wait_s > OVERFLOW_WAIT_PART * request.route.target_latency_s

    def _longest_wait(self, route: Route) -> float:
        part = URGENT_LATEST_PART if route.priority <= URGENT_PRIORITY else LATEST_PART
        left_s = part * route.target_latency_s - self.work.expected_s(route, known=True)
        return max(MIN_WAIT_PART * route.target_latency_s, left_s)

    def _refused(self, code: ResultCode, best: Placed | None = None) -> Refused:
        wait_s = best.wait_s if best is not None else 0.0
        return Refused(code=code, retry_after_s=self.retry_after_s(wait_s), best=best)

    def retry_after_s(self, wait_s: float) -> float:
        """Return when a client may come back, spread so that clients do not come together.

        Args:
            wait_s: Expected wait at the best server.
        """
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return base_s * (1 + RETRY_AFTER_SPREAD * self.rng.random())


def _cost(placed: Placed, now: float) -> float:
    """Return the expected time until a good response; failures make a server dearer."""
    working = 1.0 - FAILURE_COST * placed.server.standing.failures(now)
    return placed.expected_s / working

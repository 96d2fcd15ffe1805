"""How long servers work on requests, learned from responses."""

from collections import OrderedDict
from dataclasses import dataclass

from knapweeddock.gateway.routes import Route
from knapweeddock.ids import RouteId, ServerId, ServiceId

OBSERVATION_WEIGHT = 0.1
"""Weight of one response in the moving averages."""

KNOWN_PART = 0.5
NEW_PART = 1.5
"""Work on a known and on a new object relative to the target latency, assumed
until responses were seen."""

REMEMBERED_OBJECTS = 4096
"""Pairs of server and object that are remembered; the oldest are forgotten."""

KNOWN_FOR_S = 20.0
"""Time in seconds after which a server may have dropped an object that it had."""

COUNT_INTERVAL_S = 1.0
"""Interval in seconds at which objects are counted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Count:
    at: float
    objects: int


class WorkTimes:
    """Moving averages of the time that servers work, in seconds."""

    def __init__(self) -> None:
        self._by_route: dict[tuple[RouteId, bool], float] = {}
        self._by_service: dict[ServiceId, float] = {}
        self._seen: dict[ServiceId, dict[str, float]] = {}
        self._counted: dict[ServiceId, _Count] = {}
        self._objects: OrderedDict[tuple[ServerId, str], float] = OrderedDict()

    def expected_s(self, route: Route, *, cached: bool) -> float:
        """Return the expected work on a request of ``route``."""
        found = self._by_route.get((route.route, cached))
        if found is not None:
            return found
        return route.target_latency_s * (KNOWN_PART if cached else NEW_PART)

    def least_s(self, route: Route) -> float:
        """Return the work that even a known object takes, 0 before it was seen."""
        return self._by_route.get((route.route, True), 0.0)

    def mean_s(self, service: ServiceId, route: Route) -> float:
        """Return the mean work on all requests of ``service``."""
        return self._by_service.get(service, self.expected_s(route, cached=True))

    def service_s(self, service: ServiceId) -> float:
        """Return the measured mean work on requests of ``service``, 0 before any."""
        return self._by_service.get(service, 0.0)

    def observe(self, route: Route, service: ServiceId, *, cached: bool, work_s: float) -> None:
        """Take in the measured work on a request."""
        before = self.expected_s(route, cached=cached)
        after = before + OBSERVATION_WEIGHT * (work_s - before)
        self._by_route[route.route, cached] = after
        mean = self._by_service.get(service, work_s)
        self._by_service[service] = mean + OBSERVATION_WEIGHT * (work_s - mean)

    def knows(self, server: ServerId, key: str, now: float) -> bool:
        """Whether the server has handled the object a short time ago."""
        at = self._objects.get((server, key))
        return at is not None and now - at < KNOWN_FOR_S

    def objects(self, service: ServiceId, now: float) -> int:
        """Return how many objects requests to ``service`` concerned lately."""
        counted = self._counted.get(service)
        if counted is None or now - counted.at >= COUNT_INTERVAL_S:
            seen = self._seen.get(service, {})
            for key in [key for key, at in seen.items() if now - at >= KNOWN_FOR_S]:
                del seen[key]
            counted = _Count(at=now, objects=len(seen))
            self._counted[service] = counted
        return counted.objects

    def handled(self, service: ServiceId, server: ServerId, key: str, now: float) -> None:
        """Note that the server has handled the object."""
        self._seen.setdefault(service, {})[key] = now
        self._objects[server, key] = now
        self._objects.move_to_end((server, key))
        if len(self._objects) > REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

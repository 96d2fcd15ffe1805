"""How long servers work on requests, learned from responses."""

from collections import OrderedDict

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


class WorkTimes:
    """Moving averages of the time that servers work, in seconds."""

    def __init__(self) -> None:
        self._by_route: dict[tuple[RouteId, bool], float] = {}
        self._by_service: dict[ServiceId, float] = {}
        self._objects: OrderedDict[tuple[ServerId, str], float] = OrderedDict()

    def expected_s(self, route: Route, *, known: bool) -> float:
        """Return the expected work on a request of ``route``."""
        found = self._by_route.get((route.route, known))
        if found is not None:
            return found
        return route.target_latency_s * (KNOWN_PART if known else NEW_PART)

    def mean_s(self, service: ServiceId, route: Route) -> float:
        """Return the mean work on all requests of ``service``."""
        return self._by_service.get(service, self.expected_s(route, known=True))

    def service_s(self, service: ServiceId) -> float:
        """Return the measured mean work on requests of ``service``, 0 before any."""
        return self._by_service.get(service, 0.0)

    def observe(self, route: Route, service: ServiceId, *, known: bool, work_s: float) -> None:
        """Take in the measured work on a request."""
        before = self.expected_s(route, known=known)
        after = before + OBSERVATION_WEIGHT * (work_s - before)
        self._by_route[route.route, known] = after
        mean = self._by_service.get(service, work_s)
        self._by_service[service] = mean + OBSERVATION_WEIGHT * (work_s - mean)

    def knows(self, server: ServerId, key: str, now: float) -> bool:
        """Whether the server has handled the object a short time ago."""
        at = self._objects.get((server, key))
        return at is not None and now - at < KNOWN_FOR_S

    def handled(self, server: ServerId, key: str, now: float) -> None:
        """Note that the server has handled the object."""
        self._objects[server, key] = now
        self._objects.move_to_end((server, key))
        if len(self._objects) > REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

"""Processing times learned from responses, and the objects that servers handled recently."""

from collections import OrderedDict
from dataclasses import dataclass

from knapweeddock.gateway.routes import Route
from knapweeddock.ids import RouteId, ServerId, ServiceId

OBSERVATION_WEIGHT = 0.1
"""Weight of one response in the moving averages."""

CACHED_TIME_FACTOR = 0.5
UNCACHED_TIME_FACTOR = 1.5
"""Processing time for a cached and for an uncached object, relative to the target
latency, that is assumed until responses are observed."""

INITIAL_HIT_SHARE = 0.5
"""Share of cached objects that is assumed among requests to an object's later preferred
servers until responses are observed."""

MAX_TRACKED_OBJECTS = 4096
"""Number of pairs of server and object that are tracked; the oldest are dropped."""

CACHE_LIFETIME_S = 20.0
"""Time in seconds after which a server may have evicted an object from its cache."""

COUNT_INTERVAL_S = 1.0
"""Interval in seconds at which distinct objects are counted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _ObjectCount:
    at: float
    objects: int


class ProcessingTimes:
    """Moving averages of processing times in seconds, and recently requested objects.

    An average by route starts from the assumed time, the mean of a service from its first
    observation. Objects are known from the requests of this gateway only.
    """

    def __init__(self) -> None:
        self._by_route: dict[tuple[RouteId, bool], float] = {}
        self._by_service: dict[ServiceId, float] = {}
        self._hit_shares: dict[ServiceId, float] = {}
        self._requested_at: dict[ServiceId, dict[str, float]] = {}
        self._object_counts: dict[ServiceId, _ObjectCount] = {}
        self._handled_at: OrderedDict[tuple[ServerId, str], float] = OrderedDict()

    def expected_s(self, route: Route, *, cached: bool) -> float:
        """Return the expected processing time of a request of ``route``."""
        measured_s = self._by_route.get((route.route, cached))
        if measured_s is not None:
            return measured_s
        return route.target_latency_s * (CACHED_TIME_FACTOR if cached else UNCACHED_TIME_FACTOR)

    def measured_cached_s(self, route: Route) -> float:
        """Return the measured processing time for cached objects; 0 before it is measured.

        It is the least that a request takes.
        """
        return self._by_route.get((route.route, True), 0.0)

    def mean_s(self, service: ServiceId, route: Route) -> float:
        """Return the mean processing time of the observed requests of ``service``.

        Before the first observation, the expected time for a cached object is returned.
        """
        return self._by_service.get(service, self.expected_s(route, cached=True))

    def measured_mean_s(self, service: ServiceId) -> float:
        """Return the mean of the observed processing times of ``service``, 0 if there are none."""
        return self._by_service.get(service, 0.0)

    def observe(
        self, route: Route, service: ServiceId, *, cached: bool, processing_s: float
    ) -> None:
        """Record the measured processing time of a request."""
        before = self.expected_s(route, cached=cached)
        after = before + OBSERVATION_WEIGHT * (processing_s - before)
        self._by_route[route.route, cached] = after
        mean = self._by_service.get(service, processing_s)
        self._by_service[service] = mean + OBSERVATION_WEIGHT * (processing_s - mean)

    def hit_share(self, service: ServiceId) -> float:
        """Return how often a later preferred server has cached an object.

        Other gateways may have sent requests for the object there. The more requests
        concern the same objects, the more often they have.
        """
        return self._hit_shares.get(service, INITIAL_HIT_SHARE)

    def observe_later_server(
        self, route: Route, service: ServiceId, *, processing_s: float
    ) -> None:
        """Record the processing time at a server that may have cached the object.

        Whether it had is told by which of the two expected times is nearer.
        """
        cached_s = self.expected_s(route, cached=True)
        uncached_s = self.expected_s(route, cached=False)
        was_cached = processing_s * processing_s < cached_s * uncached_s
        share = self.hit_share(service)
        self._hit_shares[service] = share + OBSERVATION_WEIGHT * (was_cached - share)

    def handled_recently(self, server: ServerId, key: str, now: float) -> bool:
        """Return whether a request for the object was sent to the server recently.

        The server should then still have the object cached.
        """
        at = self._handled_at.get((server, key))
        return at is not None and now - at < CACHE_LIFETIME_S

    def object_count(self, service: ServiceId, now: float) -> int:
        """Return the number of distinct objects of recent requests to ``service``."""
        count = self._object_counts.get(service)
        if count is None or now - count.at >= COUNT_INTERVAL_S:
            requested_at = self._requested_at.get(service, {})
            for key in [key for key, at in requested_at.items() if now - at >= CACHE_LIFETIME_S]:
                del requested_at[key]
            count = _ObjectCount(at=now, objects=len(requested_at))
            self._object_counts[service] = count
        return count.objects

    def record_handled(self, service: ServiceId, server: ServerId, key: str, now: float) -> None:
        """Record that a request for the object is sent to the server."""
        self._requested_at.setdefault(service, {})[key] = now
        self._handled_at[server, key] = now
        self._handled_at.move_to_end((server, key))
        if len(self._handled_at) > MAX_TRACKED_OBJECTS:
            self._handled_at.popitem(last=False)

"""The configuration that is in force: routes, services and client limits."""

from dataclasses import dataclass, field

from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import RegionId, RouteId, ServiceId, Version


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that takes a part of a route's requests.

    Attributes:
        service: The service.
        weight: Its part relative to the weights of the others.
    """

    service: ServiceId
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that are treated alike.

    Attributes:
        route: Name of the route.
        host: Host name, lower case.
        path_prefix: Start of the paths; it begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        bulk: Whether responses are large.
        timeout_s: Longest time for which a caller waits, in seconds.
        target_latency_s: Time in seconds within which a response has its full use.
        priority: Rank among the routes; 0 is the most urgent.
        max_attempts: Largest number of servers to which a request is sent.
        affinity: Whether a server that knows the object of a request is faster.
        regions: Regions in which a request may run; all when empty.
        services: Services among which the requests are divided.
    """

    route: RouteId
    host: str
    path_prefix: str
    idempotent: bool
    bulk: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    affinity: bool = False
    regions: frozenset[RegionId] = frozenset()
    services: tuple[WeightedService, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """How the servers of one service are treated.

    Attributes:
        service: The service.
        health_path: Path of the health endpoint.
        max_connections: Connections that a server takes from all gateways together.
        warmup_s: Time in seconds for which a server is slow after its start.
        warmup_rate: Requests per second that a server bears meanwhile.
    """

    service: ServiceId
    health_path: str = "/"
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_rate: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RoutingConfig:
    """One version of the configuration.

    Attributes:
        version: Number that grows with each change.
        routes: All routes.
        services: Policies by service.
        limits: Bounds on what a client sends.
    """

    version: Version
    routes: tuple[Route, ...] = ()
    services: dict[ServiceId, ServicePolicy] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)

    def __post_init__(self) -> None:
        """Index the routes by host, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        object.__setattr__(self, "by_host", by_host)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedSplit:
    """Divides the requests of a route among its services.

    Smooth weighted round robin keeps the shares exact over short stretches,
    where a random choice would stray.
    """

    def __init__(self, *, services: tuple[WeightedService, ...]) -> None:
        self.services = services
        self._credit = [0.0] * len(services)

    def next(self) -> ServiceId:
        """Return the service of the next request."""
        total = sum(part.weight for part in self.services)
        best = 0
        for index, part in enumerate(self.services):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= total
        return self.services[best].service


class Splits:
    """The splits of all routes; they survive changes that leave the weights alone."""

    def __init__(self) -> None:
        self._splits: dict[RouteId, WeightedSplit] = {}

    def service_of(self, route: Route) -> ServiceId:
        """Return the service for the next request of ``route``."""
        if len(route.services) == 1:
            return route.services[0].service
        split = self._splits.get(route.route)
        if split is None or split.services != route.services:
            split = WeightedSplit(services=route.services)
            self._splits[route.route] = split
        return split.next()

"""Routing configuration: routes, services and client limits."""

from dataclasses import dataclass, field

from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import RegionId, RouteId, ServiceId, Version


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        service: The service.
        weight: Its share, relative to the weights of the route's other services.
    """

    service: ServiceId
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Rules for requests with the same host and path prefix.

    Attributes:
        route: Name of the route.
        host: Host name in lower case.
        path_prefix: Prefix of the paths; it begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        bulk: Whether responses are large.
        timeout_s: Longest time for which a caller waits, in seconds.
        target_latency_s: Response time in seconds up to which a response is fully useful.
        priority: Priority among the routes; 0 is the most urgent.
        max_attempts: Largest number of servers to which a request is sent, not counting
            unreachable ones.
        affinity: Whether servers respond faster if they have the object of a request cached.
        regions: Regions in which a request may run; all if empty.
        services: Services among which the requests are divided by weight.
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
    """Health check, connection limit and warm-up of the servers of one service.

    Attributes:
        service: The service.
        health_path: Path of the health endpoint.
        max_connections: Connections that a server accepts from all gateways together.
        warmup_s: Time in seconds for which a server is slow after its start.
        warmup_rate: Requests per second that a server can handle during that time.
    """

    service: ServiceId
    health_path: str = "/"
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_rate: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RoutingConfig:
    """One version of the routing configuration.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        services: Policies by service.
        limits: Limits on client requests.
        by_host: Routes by host, the longest path prefix first.
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
        """Return the route of ``host`` with the longest matching path prefix, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedSplit:
    """Divides the requests of a route among its services by weight.

    Smooth weighted round robin keeps the shares exact over short periods, in which
    a random choice would deviate from them.
    """

    def __init__(self, *, services: tuple[WeightedService, ...]) -> None:
        self.services = services
        self._credits = [0.0] * len(services)

    def next_service(self) -> ServiceId:
        """Return the service of the next request."""
        total_weight = sum(weighted.weight for weighted in self.services)
        best = 0
        for index, weighted in enumerate(self.services):
            self._credits[index] += weighted.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= total_weight
        return self.services[best].service


class RouteSplits:
    """Weighted splits of all routes.

    A split keeps its position when a configuration change leaves its weights unchanged.
    """

    def __init__(self) -> None:
        self._splits: dict[RouteId, WeightedSplit] = {}

    def next_service(self, route: Route) -> ServiceId:
        """Return the service for the next request of ``route``."""
        if len(route.services) == 1:
            return route.services[0].service
        split = self._splits.get(route.route)
        if split is None or split.services != route.services:
            split = WeightedSplit(services=route.services)
            self._splits[route.route] = split
        return split.next_service()

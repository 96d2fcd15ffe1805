"""Explains where a caller's request would go and why, from the configuration alone."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from ipaddress import ip_address

from knapweeddock.checks import parse_block
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import ClassId, FailureDomainId, PoolId, RegionId, ServiceId, SiteId
from knapweeddock.model import Config, RequestClass, Site


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request to explain.

    Attributes:
        client: Address of the caller.
        host: Host name that the caller uses.
        method: HTTP method.
        path: Path; a query is ignored.
    """

    client: str
    host: str
    method: str = "GET"
    path: str = "/"


@dataclass(frozen=True, kw_only=True)
class DomainStep:
    """A failure domain whose entries a look-up would name.

    Attributes:
        failure_domain: The domain.
        region: Its region.
        delay_ms: One-way delay from the caller's block, None when unknown.
        drained: Whether operators drained it.
    """

    failure_domain: FailureDomainId
    region: RegionId
    delay_ms: float | None
    drained: bool


@dataclass(frozen=True, kw_only=True)
class SiteStep:
    """A site that could run the request.

    Attributes:
        site: The site.
        failure_domain: Its failure domain.
        delay_ms: One-way delay from the nearest domain, None when unknown.
        cap: Largest number of concurrent requests.
        usable: The part of the cap that drains leave.
        shift_cap: The part that other failure domains may use together.
        share: The part that is guaranteed to the nearest domain.
        link_cap: Limit of the link from the caller's region for the pool,
            over all sites of the receiving region; None without a limit.
        drains: Why slots of the site are not used.
    """

    site: SiteId
    failure_domain: FailureDomainId
    delay_ms: float | None
    cap: int
    usable: int
    shift_cap: int
    share: int
    link_cap: int | None
    drains: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """Where a request would go.

    Attributes:
        code: ``OK``, or why the request would be refused.
        request: The request.
        block: Client block that matches, None without one.
        place: Failure domain or region that the block names.
        nearest: Nearest failure domain that is not drained.
        domains: Failure domains in the order of delay.
        service: Service that has the host.
        request_class: Request class that matches.
        idempotent: Whether the class is idempotent.
        pool: Pool of the class.
        sites: Sites of the pool in the order of delay.
    """

    code: ResultCode
    request: Request
    block: str | None = None
    place: str | None = None
    nearest: FailureDomainId | None = None
    domains: list[DomainStep] = field(default_factory=list)
    service: ServiceId | None = None
    request_class: ClassId | None = None
    idempotent: bool | None = None
    pool: PoolId | None = None
    sites: list[SiteStep] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class _Located:
    block: str | None
    place: str | None
    origins: list[FailureDomainId]


@dataclass(frozen=True, kw_only=True)
class _Classified:
    service: ServiceId | None = None
    name: ClassId | None = None
    request_class: RequestClass | None = None


def explain_request(config: Config, request: Request) -> Explanation:
    """Return where ``request`` would go.

    Raises:
        ConfigError: The client address is malformed.
    """
    located = _locate(config, request.client)
    domains = _domain_steps(config, located.origins)
    nearest = next((step.failure_domain for step in domains if not step.drained), None)
    known = nearest if located.origins else None
    found = _classify(config, request)
    sites = []
    if found.request_class is not None:
        sites = pool_sites(config, found.request_class.pool, known)
    return Explanation(
        code=_code(found, sites),
        request=request,
        block=located.block,
        place=located.place,
        nearest=known,
        domains=domains,
        service=found.service,
        request_class=found.name,
        idempotent=found.request_class.idempotent if found.request_class else None,
        pool=found.request_class.pool if found.request_class else None,
        sites=sites,
    )


def _code(found: _Classified, sites: list[SiteStep]) -> ResultCode:
    if found.service is None:
        return ResultCode.UNKNOWN_SERVICE
    if found.request_class is None:
        return ResultCode.UNKNOWN_CLASS
    if not any(site.usable for site in sites):
        return ResultCode.NO_SITE
    return ResultCode.OK


def _locate(config: Config, client: str) -> _Located:
    """Return the longest client block that holds ``client`` and its domains."""
    try:
        address = ip_address(client)
    except ValueError as error:
        raise ConfigError(f"client: {error}", code=ResultCode.BAD_REQUEST) from error
    best: str | None = None
    length = -1
    for prefix in config.client_blocks:
        network = parse_block(prefix)
        if network is not None and address in network and network.prefixlen > length:
            best = prefix
            length = network.prefixlen
    if best is None:
        return _Located(block=None, place=None, origins=[])
    place = config.client_blocks[best]
    region = config.regions.get(RegionId(place))
    origins = list(region.failure_domains) if region else [FailureDomainId(place)]
    return _Located(block=best, place=place, origins=origins)


def _delay_ms(
    config: Config, origins: list[FailureDomainId], target: FailureDomainId
) -> float | None:
    return min((config.delay_ms(origin, target) for origin in origins), default=None)


def _domain_steps(config: Config, origins: list[FailureDomainId]) -> list[DomainStep]:
    steps = [
        DomainStep(
            failure_domain=domain,
            region=name,
            delay_ms=_delay_ms(config, origins, domain),
            drained=config.drains.failure_domains.get(domain, False),
        )
        for name, region in config.regions.items()
        for domain in region.failure_domains
    ]
    return sorted(steps, key=lambda step: (step.delay_ms or 0.0, step.failure_domain))


def _classify(config: Config, request: Request) -> _Classified:
    host = request.host.lower()
    if not host.startswith("["):
        host = host.partition(":")[0]
    path = request.path.partition("?")[0]
    for service_name, service in config.services.items():
        if host not in service.hosts:
            continue
        matching = [
            (len(request_class.path_prefix), name)
            for name, request_class in service.classes.items()
            if request.method in request_class.methods
            and path.startswith(request_class.path_prefix)
        ]
        if not matching:
            return _Classified(service=service_name)
        name = max(matching)[1]
        return _Classified(service=service_name, name=name, request_class=service.classes[name])
    return _Classified()


def pool_sites(
    config: Config, pool: PoolId, nearest: FailureDomainId | None = None
) -> list[SiteStep]:
    """Return the sites of ``pool``, the nearest to the domain ``nearest`` first."""
    steps = [
        _site_step(config, name, site, nearest)
        for name, site in config.sites.items()
        if site.pool == pool
    ]
    return sorted(steps, key=lambda step: (step.delay_ms or 0.0, step.site))


def _site_step(
    config: Config, name: SiteId, site: Site, nearest: FailureDomainId | None
) -> SiteStep:
    drains = list(_drains(config, name, site))
    whole = any(not drain.startswith("server ") for drain in drains)
    slots = sum(server.slots for server in site.servers.values())
    left = sum(
        server.slots
        for server_id, server in site.servers.items()
        if not config.drains.servers.get(server_id, False)
    )
    cap = slots if site.cap is None else site.cap
    return SiteStep(
        site=name,
        failure_domain=site.failure_domain,
        delay_ms=None if nearest is None else config.delay_ms(nearest, site.failure_domain),
        cap=cap,
        usable=0 if whole else min(cap, left),
        shift_cap=cap if site.shift_cap is None else site.shift_cap,
        share=site.shares.get(nearest, 0) if nearest else 0,
        link_cap=_link_cap(config, site, nearest),
        drains=drains,
    )


def _link_cap(config: Config, site: Site, nearest: FailureDomainId | None) -> int | None:
    if nearest is None:
        return None
    link = config.links.get(f"{config.region_of(nearest)}->{config.region_of(site.failure_domain)}")
    return link.caps.get(site.pool) if link else None


def _drains(config: Config, name: SiteId, site: Site) -> Iterator[str]:
    drains = config.drains
    if drains.failure_domains.get(site.failure_domain, False):
        yield f"failure domain {site.failure_domain}"
    if drains.sites.get(name, False):
        yield f"site {name}"
    for server in site.servers:
        if drains.servers.get(server, False):
            yield f"server {server}"

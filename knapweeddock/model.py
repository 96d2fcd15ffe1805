"""The configuration as typed data: regions, links, services, sites and drains.

``Config`` is decoded with :mod:`msgspec` from the merged document that the
operators' files make; ``checks`` verifies what types alone cannot express.
"""

from dataclasses import dataclass, field

import msgspec

from knapweeddock.ids import (
    ClassId,
    FailureDomainId,
    PoolId,
    RegionId,
    ServerId,
    ServiceId,
    SiteId,
    VmId,
)

DEFAULT_DEADLINE_MS = 5000
DEFAULT_SERVICE_TIME_MS = 20
DEFAULT_LOOKUP_LIFETIME_MS = 5000
DEFAULT_REGION_DELAY_MS = 1.0
DEFAULT_LINK_DELAY_MS = 12.0
DEFAULT_SLOTS = 3


@dataclass(frozen=True, kw_only=True)
class Region:
    """A region and its failure domains.

    Attributes:
        failure_domains: Failure domains of the region.
        delay_ms: One-way delay between two of its failure domains.
    """

    failure_domains: list[FailureDomainId]
    delay_ms: float = DEFAULT_REGION_DELAY_MS


@dataclass(frozen=True, kw_only=True)
class Link:
    """A directed link between two regions.

    Attributes:
        delay_ms: One-way delay.
        caps: Largest number of concurrent requests per pool; a pool that is
            not named has no limit of its own.
    """

    delay_ms: float = DEFAULT_LINK_DELAY_MS
    caps: dict[PoolId, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """A kind of request of a service.

    Attributes:
        methods: HTTP methods that match.
        path_prefix: Start of the path that matches; the longest match wins.
        idempotent: Whether a repetition has no further effect.
        pool: Pool of backend servers that run the class.
        priority: Order in the queue, lowest first.
        deadline_ms: Time budget of a request that names none.
        service_time_ms: Expected time on a server.
        streaming: Whether answers are passed on before they are complete.
    """

    methods: list[str]
    path_prefix: str
    idempotent: bool
    pool: PoolId
    priority: int = 0
    deadline_ms: int = DEFAULT_DEADLINE_MS
    service_time_ms: float = DEFAULT_SERVICE_TIME_MS
    streaming: bool = False


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service: the host names it answers to and its request classes."""

    hosts: list[str]
    classes: dict[ClassId, RequestClass]


@dataclass(frozen=True, kw_only=True)
class BackendServer:
    """A backend server.

    Attributes:
        address: ``host:port`` of its HTTP endpoint.
        slots: Requests that it runs at a time.
    """

    address: str
    slots: int = DEFAULT_SLOTS


@dataclass(frozen=True, kw_only=True)
class Site:
    """The backend servers of one pool in one failure domain.

    Attributes:
        pool: Pool that the servers belong to.
        failure_domain: Failure domain of the servers.
        servers: The backend servers.
        cap: Largest number of concurrent requests, at most the sum of slots;
            all slots when absent.
        shift_cap: Largest number of those that other failure domains may use
            together; the cap when absent.
        shares: Concurrent requests guaranteed to each failure domain.
        shift_start: Part of the cap that remote work may use at once.
        shift_growth_per_s: Part of the cap by which remote work may grow
            each second.
    """

    pool: PoolId
    failure_domain: FailureDomainId
    servers: dict[ServerId, BackendServer]
    cap: int | None = None
    shift_cap: int | None = None
    shares: dict[FailureDomainId, int] = field(default_factory=dict)
    shift_start: float = 0.2
    shift_growth_per_s: float = 0.1


@dataclass(frozen=True, kw_only=True)
class Drains:
    """What operators take out of service; a false value has no effect."""

    servers: dict[ServerId, bool] = field(default_factory=dict)
    sites: dict[SiteId, bool] = field(default_factory=dict)
    vms: dict[VmId, bool] = field(default_factory=dict)
    failure_domains: dict[FailureDomainId, bool] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class LookupPolicy:
    """How look-ups are answered.

    Attributes:
        lifetime_ms: Time that callers may use an answer.
        entries: Largest number of entries in an answer.
    """

    lifetime_ms: int = DEFAULT_LOOKUP_LIFETIME_MS
    entries: int = 4


@dataclass(frozen=True, kw_only=True)
class BlockChunk:
    """One chunk of the block tables, stored as an object of its own.

    Attributes:
        digest: Digest of the encoded chunk, which is part of its key.
        count: Number of blocks.
        generation: Number that the encoding holds, so that a chunk whose
            digest is being deleted is created again under another one.
    """

    digest: str
    count: int
    generation: int = 0


@dataclass(frozen=True, kw_only=True)
class Config:
    """The whole configuration.

    Attributes:
        regions: Regions by name.
        links: Links by ``from->to`` region names.
        services: Services by name.
        sites: Sites by name.
        client_blocks: Location of client address blocks: CIDR prefix to a
            failure domain or region. They override the block tables.
        block_chunks: Chunks of the block tables by address range.
        retired_chunks: Chunks that are no longer named, see ``blockchunks``.
        drains: What is taken out of service.
        lookup: How look-ups are answered.
    """

    regions: dict[RegionId, Region] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)
    sites: dict[SiteId, Site] = field(default_factory=dict)
    client_blocks: dict[str, str] = field(default_factory=dict)
    block_chunks: dict[str, BlockChunk] = field(default_factory=dict)
    retired_chunks: dict[str, int] = field(default_factory=dict)
    drains: Drains = field(default_factory=Drains)
    lookup: LookupPolicy = field(default_factory=LookupPolicy)

    def region_of(self, failure_domain: FailureDomainId) -> RegionId | None:
        """Return the region of ``failure_domain``, or None when it is unknown."""
        for name, region in self.regions.items():
            if failure_domain in region.failure_domains:
                return name
        return None

    def delay_ms(self, origin: FailureDomainId, target: FailureDomainId) -> float:
        """Return the one-way delay in ms between two failure domains."""
        if origin == target:
            return 0.0
        origin_region = self.region_of(origin)
        target_region = self.region_of(target)
        if origin_region is None or target_region is None:
            return DEFAULT_LINK_DELAY_MS
        if origin_region == target_region:
            return self.regions[origin_region].delay_ms
        link = self.links.get(f"{origin_region}->{target_region}")
        return link.delay_ms if link else DEFAULT_LINK_DELAY_MS


def decode_config(document: dict[str, object]) -> Config:
    """Decode a merged document.

    Args:
        document: The merged configuration document.

    Returns:
        The typed configuration; fields that are not known are ignored, so
        that a node accepts the document of a newer version.

    Raises:
        msgspec.ValidationError: A value has the wrong type or is missing.
    """
    return msgspec.convert(document, Config)

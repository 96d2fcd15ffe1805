"""All checks of a configuration.

Types, fields and ranges are checked by ``schema``; this module checks what
connects the objects of a document: references, caps and ambiguous
definitions. All problems are reported at once.
"""

from collections import Counter
from collections.abc import Iterable
from ipaddress import IPv4Network, IPv6Network, ip_network

import msgspec

from knapweeddock.changes import Document, check_size
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.folder import Folder
from knapweeddock.ids import PoolId, ServiceId, SiteId
from knapweeddock.model import Config, RequestClass, Service, Site, decode_config
from knapweeddock.problems import Path, format_path, raise_problems, show
from knapweeddock.schema import Walk

DRAINS = "drains"
"""Part of the document that belongs to ``drain`` and ``undrain``."""

REQUIRED_PARTS = ("regions", "services", "sites")
"""Parts without which no request can be served; a folder without them is an
incomplete copy, and applying it would stop all service."""

WRITTEN_PARTS = ("block_chunks", "retired_chunks")
"""Parts of the document that ``apply`` derives from the block files."""

MAX_LISTED_NAMES = 20

Seen = dict[object, Path]


def check_folder(folder: Folder) -> Config:
    """Check the merged document of a folder.

    Raises:
        ExceptionGroup: All problems, each one a ``ConfigError``.
    """
    walk = Walk(origin=folder.origin)
    if DRAINS in folder.document:
        walk.report(
            ResultCode.UNKNOWN_FIELD,
            (DRAINS,),
            show(DRAINS),
            "drains are set by 'knapweed drain' and removed by 'knapweed undrain'",
        )
    for part in WRITTEN_PARTS:
        if part in folder.document:
            allowed = "no such field; 'knapweed apply' writes it from blocks/*.txt"
            walk.report(ResultCode.UNKNOWN_FIELD, (part,), show(part), allowed)
    for part in REQUIRED_PARTS:
        if not folder.document.get(part):
            walk.report(ResultCode.MISSING_FIELD, (part,), "nothing", "at least one item")
    rest = {
        key: value for key, value in folder.document.items() if key not in (DRAINS, *WRITTEN_PARTS)
    }
    config = decode_config(walk.usable(rest, Config))
    checks = _Checks(document=rest, config=config, walk=walk)
    checks.run()
    walk.problems += folder.blocks.check_locations(checks.regions | checks.domains)
    try:
        check_size(rest)
    except ConfigError as error:
        walk.problems.append(error)
    if walk.problems:
        raise_problems(walk.problems)
    return config


def config_of(document: Document) -> Config:
    """Return the configuration of a document that the platform holds.

    Fields that are not known are ignored, as nodes do, so that the commands
    go on working beside a newer version.

    Raises:
        ConfigError: The document does not have the right form.
    """
    try:
        return decode_config(document)
    except msgspec.ValidationError as error:
        raise ConfigError(
            f"the platform's configuration is malformed: {error}", code=ResultCode.WRONG_TYPE
        ) from error


def _names(document: Document, part: str) -> set[str]:
    """Return the names defined in a part, those of unusable objects included."""
    found = document.get(part)
    return set(found) if isinstance(found, dict) else set()


def _fields(document: Document, part: str, field: str) -> list[object]:
    """Return a field of all objects of a part, unusable objects included."""
    found = document.get(part)
    if not isinstance(found, dict):
        return []
    return [item.get(field) for item in found.values() if isinstance(item, dict)]


def _listed(names: Iterable[object]) -> str:
    ordered = sorted(str(name) for name in names)
    if not ordered:
        return "nothing is defined"
    more = "" if len(ordered) <= MAX_LISTED_NAMES else ", ..."
    return "one of " + ", ".join(ordered[:MAX_LISTED_NAMES]) + more


class _Checks:
    """The checks between objects, on the usable parts of a document."""

    def __init__(self, *, document: Document, config: Config, walk: Walk) -> None:
        self.document = document
        self.config = config
        self.walk = walk
        self.regions = _names(document, "regions")
        self.domains = {
            domain
            for domains in _fields(document, "regions", "failure_domains")
            if isinstance(domains, list)
            for domain in domains
            if isinstance(domain, str)
        }
        self.pools = {pool for pool in _fields(document, "sites", "pool") if isinstance(pool, str)}
        self.used_pools = {
            request_class.get("pool")
            for classes in _fields(document, "services", "classes")
            if isinstance(classes, dict)
            for request_class in classes.values()
            if isinstance(request_class, dict) and isinstance(request_class.get("pool"), str)
        }

    def run(self) -> None:
        """Run all checks."""
        self._check_regions()
        self._check_links()
        self._check_services()
        self._check_sites()
        self._check_guarantees()
        self._check_blocks()

    def _reference(self, path: Path, name: object, defined: set[str], kind: str) -> None:
        if name not in defined:
            self.walk.report(
                ResultCode.UNKNOWN_REFERENCE, path, f"{kind} {show(name)}", _listed(defined)
            )

    def _once(self, seen: Seen, key: object, path: Path, found: str) -> None:
        """Report ``path`` when ``key`` was defined before."""
        first = seen.setdefault(key, path)
        if first != path:
            self.walk.report(
                ResultCode.AMBIGUOUS,
                path,
                f"{found}, also defined by {format_path(first)} in {self.walk.origin(first)}",
                "one definition",
            )

    def _check_regions(self) -> None:
        seen: Seen = {}
        for name in self.config.regions:
            seen[name] = ("regions", name)
        for name, region in self.config.regions.items():
            for index, domain in enumerate(region.failure_domains):
                path = ("regions", name, "failure_domains", index)
                self._once(seen, domain, path, f"the name {show(domain)}")

    def _check_links(self) -> None:
        for name, link in self.config.links.items():
            path = ("links", name)
            ends = name.split("->")
            if len(ends) != 2 or ends[0] == ends[1]:
                self.walk.report(
                    ResultCode.OUT_OF_RANGE, path, show(name), "'from->to' of two regions"
                )
                continue
            for end in ends:
                self._reference(path, end, self.regions, "region")
            for pool in link.caps:
                self._reference((*path, "caps", pool), pool, self.pools, "pool")

    def _check_services(self) -> None:
        hosts: Seen = {}
        for name, service in self.config.services.items():
            for index, host in enumerate(service.hosts):
                path = ("services", name, "hosts", index)
                self._once(hosts, host, path, f"the host {show(host)}")
            self._check_classes(name, service)

    def _check_classes(self, name: ServiceId, service: Service) -> None:
        seen: Seen = {}
        for class_name, request_class in service.classes.items():
            path = ("services", name, "classes", class_name)
            self._reference((*path, "pool"), request_class.pool, self.pools, "pool")
            for method in request_class.methods:
                found = f"{method} with prefix {show(request_class.path_prefix)}"
                self._once(seen, (method, request_class.path_prefix), path, found)
            self._check_class(path, request_class)

    def _check_class(self, path: Path, request_class: RequestClass) -> None:
        if request_class.streaming and not request_class.idempotent:
            # A lost part of a streamed answer cannot be told from work not done.
            self.walk.report(
                ResultCode.OUT_OF_RANGE,
                (*path, "streaming"),
                "true on a non-idempotent class",
                "false, or 'idempotent': true",
            )
        if request_class.service_time_ms > request_class.deadline_ms:
            # Admission refuses a request whose time left is below the service time.
            self.walk.report(
                ResultCode.OUT_OF_RANGE,
                (*path, "service_time_ms"),
                show(request_class.service_time_ms),
                f"at most deadline_ms, {request_class.deadline_ms}",
            )

    def _check_sites(self) -> None:
        places: Seen = {}
        servers: Seen = {}
        addresses: Seen = {}
        for name, site in self.config.sites.items():
            path = ("sites", name)
            place = (site.pool, site.failure_domain)
            self._once(places, place, path, f"a site of {site.pool} in {site.failure_domain}")
            self._reference((*path, "pool"), site.pool, self.used_pools, "pool")
            self._reference(
                (*path, "failure_domain"), site.failure_domain, self.domains, "failure domain"
            )
            for server, backend in site.servers.items():
                here = (*path, "servers", server)
                self._once(servers, server, here, f"the server id {show(server)}")
                address = backend.address
                self._once(addresses, address, here, f"the address {show(address)}")
            if len(site.servers) == len(self.document["sites"][name]["servers"]):
                # With an unusable server the slots cannot be counted.
                self._check_caps(name, site)

    def _check_caps(self, name: SiteId, site: Site) -> None:
        path = ("sites", name)
        slots = sum(server.slots for server in site.servers.values())
        cap = slots if site.cap is None else site.cap
        shift_cap = cap if site.shift_cap is None else site.shift_cap
        self._at_most((*path, "cap"), cap, slots, "slots of all servers")
        if site.shift_cap is not None:
            self._at_most((*path, "shift_cap"), shift_cap, cap, "cap")
        for domain in site.shares:
            self._reference((*path, "shares", domain), domain, self.domains, "failure domain")
        total = sum(site.shares.values())
        others = total - site.shares.get(site.failure_domain, 0)
        self._at_most((*path, "shares"), total, cap, "cap")
        if others != total or shift_cap != cap:
            self._at_most((*path, "shares"), others, shift_cap, "shift_cap")

    def _check_guarantees(self) -> None:
        """Check that shares given to a region fit into the cap of its link."""
        totals: Counter[tuple[str, PoolId]] = Counter()
        for site in self.config.sites.values():
            target = self.config.region_of(site.failure_domain)
            for domain, share in site.shares.items():
                origin = self.config.region_of(domain)
                totals[f"{origin}->{target}", site.pool] += share
        for name, link in self.config.links.items():
            for pool, cap in link.caps.items():
                total = totals[name, pool]
                if total > cap:
                    path = ("links", name, "caps", pool)
                    allowed = f"at least {total}, which the shares of sites guarantee"
                    self.walk.report(ResultCode.OVER_CAP, path, show(cap), allowed)

    def _at_most(self, path: Path, found: int, limit: int, meaning: str) -> None:
        if found > limit:
            self.walk.report(
                ResultCode.OVER_CAP, path, f"a total of {found}", f"at most {limit} ({meaning})"
            )

    def _check_blocks(self) -> None:
        seen: Seen = {}
        known = self.regions | self.domains
        for prefix, place in self.config.client_blocks.items():
            path = ("client_blocks", prefix)
            network = parse_block(prefix)
            if network is None:
                self.walk.report(
                    ResultCode.OUT_OF_RANGE,
                    path,
                    show(prefix),
                    "a CIDR prefix without host bits, as 10.0.0.0/16",
                )
            else:
                self._once(seen, network, path, f"the block {network}")
            self._reference(path, place, known, "failure domain or region")


def parse_block(prefix: str) -> IPv4Network | IPv6Network | None:
    """Return the network of a client block, or None when it is malformed."""
    if not prefix.rpartition("/")[2].isdecimal() or "/" not in prefix:
        return None
    try:
        return ip_network(prefix)
    except ValueError:
        return None

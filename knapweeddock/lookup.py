"""Answers look-ups: which entry VMs a client should use, the best first."""

import math
from dataclasses import dataclass, field
from operator import itemgetter

import xxhash

from knapweeddock.blocks import BlockMatch, BlockTable, parse_address
from knapweeddock.blocktable import ChunkedTable
from knapweeddock.codes import ResultCode
from knapweeddock.errors import KnapweedError
from knapweeddock.ids import FailureDomainId, RegionId, ServiceId, Version, VmId
from knapweeddock.model import DEFAULT_LINK_DELAY_MS, Config
from knapweeddock.rendezvous import HASH_RANGE, SEPARATOR, hash_parts
from knapweeddock.state import Member, NodeState

CLIENT_GROUPS = 1024
"""Groups of client blocks that share an order of entries.

The order of the entries of a domain is computed once per group and kept until
a member changes: ordering 59 members takes longer than the whole target of
50 us. With 1,024 groups a member of 59 gets 17 groups on average.
"""

MIN_WEIGHT = 0.05
"""Weight of a fully loaded entry, so that it is still named to some clients."""

LOAD_DIGITS = 1
"""Loads are rounded to tenths, so that small changes keep the kept orders."""

NEAREST_ENTRIES = 2
"""Entries of the nearest domain in an answer."""

MAX_ORDER = 16
"""Entries of a domain that are kept in order; more than an answer names."""


class LookupRefused(KnapweedError):
    """A look-up cannot be answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedEntry:
    """One entry of an answer."""

    vm: VmId
    url: str
    incarnation: str
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True, slots=True)
class LookupAnswer:
    """The answer to a look-up, the best entry first.

    Attributes:
        service: Service that was asked for.
        entries: Entries to use.
        lifetime_ms: Time that the answer may be used.
        config_version: Configuration that the answer is based on.
    """

    service: ServiceId
    entries: list[NamedEntry]
    lifetime_ms: int
    config_version: Version


@dataclass
class _Domain:
    """The entries of one failure domain that may be named.

    Attributes:
        named: The entries that are not suspected.
        weights: Their weights.
        suspected: Entries that are suspected, sorted by VM.
        orders: The best entries by client group.
    """

    named: dict[VmId, NamedEntry] = field(default_factory=dict)
    weights: dict[VmId, float] = field(default_factory=dict)
    suspected: list[NamedEntry] = field(default_factory=list)
    orders: dict[int, list[NamedEntry]] = field(default_factory=dict)
    _scored: list[tuple[bytes, float, NamedEntry]] = field(default_factory=list)

    def order(self, group: int) -> list[NamedEntry]:
        """Return the first ``MAX_ORDER`` entries in the order of the group's clients."""
        order = self.orders.get(group)
        if order is None:
            order = self._compute(f"{group}{SEPARATOR}".encode())
            self.orders[group] = order
        return order

    def _compute(self, prefix: bytes) -> list[NamedEntry]:
        """Compute what ``rendezvous.weighted_order`` would, without its encoding of names.

        With 59 members this is most of the time of a look-up whose order is
        not kept yet.
        """
        if len(self._scored) != len(self.named):
            self._scored = [
                (vm.encode(), 1.0 / self.weights[vm], entry) for vm, entry in self.named.items()
            ]
        digest = xxhash.xxh64_intdigest
        scores = [
            (-math.log((digest(prefix + name) + 0.5) / HASH_RANGE) * inverse, entry.vm, entry)
            for name, inverse, entry in self._scored
        ]
        scores.sort(key=itemgetter(0, 1))
        return [entry for _, _, entry in scores[:MAX_ORDER]]


class Geography:
    """Regions and delays of a configuration, prepared for look-ups."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.region_of: dict[FailureDomainId, RegionId] = {
            domain: name
            for name, region in config.regions.items()
            for domain in region.failure_domains
        }

    def delay_ms(self, origin: FailureDomainId, target: FailureDomainId) -> float:
        """Return the one-way delay between two failure domains."""
        if origin == target:
            return 0.0
        origin_region = self.region_of.get(origin)
        target_region = self.region_of.get(target)
        if origin_region is None or target_region is None:
            return DEFAULT_LINK_DELAY_MS
        if origin_region == target_region:
            return self.config.regions[origin_region].delay_ms
        link = self.config.links.get(f"{origin_region}->{target_region}")
        return link.delay_ms if link else DEFAULT_LINK_DELAY_MS

    def home_of(self, location: str | None, group: int) -> FailureDomainId | None:
        """Return the failure domain that a client is taken to be in.

        The clients of a location that is a region are spread over its domains.
        """
        if location is None:
            return None
        if location in self.region_of:
            return FailureDomainId(location)
        region = self.config.regions.get(RegionId(location))
        if region is None or not region.failure_domains:
            return None
        domains = sorted(region.failure_domains)
        return domains[group % len(domains)]


class Lookup:
    """Answers look-ups from the newest node state.

    Attributes:
        failure_domain: Domain of this VM, for clients that no block matches.
        state: The state that answers are based on, None before the first.
    """

    def __init__(self, *, failure_domain: FailureDomainId) -> None:
        self.failure_domain = failure_domain
        self.state: NodeState | None = None
        self.blocks: BlockTable | ChunkedTable = BlockTable()
        self._geography = Geography(Config())
        self._members_of: dict[FailureDomainId, dict[VmId, Member]] = {}
        self._domains: dict[FailureDomainId, _Domain] = {}
        self._near: dict[FailureDomainId, list[FailureDomainId]] = {}

    def update(self, state: NodeState) -> None:
        """Use a newer state; orders of domains without a change are kept.

        Raises:
            ConfigError: The client blocks cannot be used; the state before
                stays in use.
        """
        previous = self.state
        before = previous.members if previous else {}
        changed = self._index_changes(before, state.members)
        if previous is None or state.config is not previous.config:
            self._use_config(state.config, previous.config if previous else Config())
            changed = set(self._members_of)
        self.state = state
        for name in changed:
            self._rebuild(name, state.config)

    def _use_config(self, config: Config, previous: Config) -> None:
        # A table of chunks is replaced by ``use_blocks``, once it is built.
        if not previous.block_chunks and config.client_blocks != previous.client_blocks:
            self.blocks = BlockTable(config.client_blocks.items())
        self._geography = Geography(config)
        self._near.clear()

    def _index_changes(
        self, before: dict[VmId, Member], after: dict[VmId, Member]
    ) -> set[FailureDomainId]:
        """Update the members by domain and return the domains that changed."""
        changed = set()
        added = 0
        for vm, member in after.items():
            held = before.get(vm)
            if held is member:
                continue
            added += held is None
            if held is not None and held.failure_domain != member.failure_domain:
                changed.add(held.failure_domain)
                del self._members_of[held.failure_domain][vm]
            changed.add(member.failure_domain)
            self._members_of.setdefault(member.failure_domain, {})[vm] = member
        if len(before) + added == len(after):
            return changed
        for vm in before.keys() - after.keys():
            domain = before[vm].failure_domain
            changed.add(domain)
            del self._members_of[domain][vm]
        return changed

    def use_blocks(self, blocks: BlockTable | ChunkedTable) -> None:
        """Replace the table of client blocks."""
        self.blocks = blocks

    def _rebuild(self, name: FailureDomainId, config: Config) -> None:
        domain = _Domain()
        for vm, member in sorted(self._members_of.get(name, {}).items()):
            if not self._may_name(member, config):
                continue
            if member.suspected:
                domain.suspected.append(_named(member))
            else:
                domain.named[vm] = _named(member)
                domain.weights[vm] = max(MIN_WEIGHT, 1.0 - round(member.load, LOAD_DIGITS))
        held = self._domains.pop(name, None)
        is_empty = not domain.named and not domain.suspected
        if (held is None) != is_empty:
            self._near.clear()
        if is_empty:
            return
        if held is not None and held.weights == domain.weights and held.named == domain.named:
            domain.orders = held.orders
        self._domains[name] = domain

    def _may_name(self, member: Member, config: Config) -> bool:
        drains = config.drains
        is_drained = drains.vms.get(member.vm, False) or drains.failure_domains.get(
            member.failure_domain, False
        )
        return member.accepts_requests and bool(member.public_address) and not is_drained

    def answer(self, service: str, client: str) -> LookupAnswer:
        """Answer a look-up.

        Args:
            service: The service.
            client: IP address of the client.

        Raises:
            KnapweedError: The address is malformed (101), the service is not
                known (102), no entry serves (118) or there is no
                configuration yet (119).
        """
        state = self.state
        if state is None or not state.config_version:
            raise LookupRefused("no configuration yet", code=ResultCode.NOT_READY)
        if service not in state.config.services:
            raise LookupRefused(
                f"unknown service {service[:64]!r}", code=ResultCode.UNKNOWN_SERVICE
            )
        match = self.blocks.find(parse_address(client))
        chosen = self._choose(match, state.config.lookup.entries)
        if not chosen:
            raise LookupRefused("no entry serves", code=ResultCode.NO_SITE)
        return LookupAnswer(
            service=ServiceId(service),
            entries=chosen,
            lifetime_ms=state.config.lookup.lifetime_ms,
            config_version=state.config_version,
        )

    def _choose(self, match: BlockMatch, count: int) -> list[NamedEntry]:
        group = hash_parts(str(match.key)) % CLIENT_GROUPS
        home = self._geography.home_of(match.location, group) or self.failure_domain
        near = self._nearest_first(home)
        chosen = self._pattern(near, group)[:count]
        if len(chosen) < count:
            self._fill(chosen, near, group, count)
        return chosen

    def _nearest_first(self, home: FailureDomainId) -> list[FailureDomainId]:
        near = self._near.get(home)
        if near is None:
            geography = self._geography

            def distance(domain: FailureDomainId) -> tuple[float, int, str]:
                # The hash spreads homes over domains that are equally far away.
                return (geography.delay_ms(home, domain), hash_parts(home, domain), domain)

            near = sorted(self._domains, key=distance)
            self._near[home] = near
        return near

    def _pattern(self, near: list[FailureDomainId], group: int) -> list[NamedEntry]:
        """Return two entries of the nearest domain, one of its region, one of another."""
        chosen: list[NamedEntry] = []
        region: RegionId | None = None
        needs_neighbour = True
        needs_other = True
        for domain in near:
            order = self._domains[domain].order(group)
            if not order:
                continue
            this_region = self._geography.region_of.get(domain)
            if not chosen:
                chosen.extend(order[:NEAREST_ENTRIES])
                region = this_region
            elif this_region == region and needs_neighbour:
                chosen.append(order[0])
                needs_neighbour = False
            elif this_region != region and needs_other:
                chosen.append(order[0])
                needs_other = False
            if not needs_neighbour and not needs_other:
                break
        return chosen

    def _fill(
        self, chosen: list[NamedEntry], near: list[FailureDomainId], group: int, count: int
    ) -> None:
        """Add the next entries by delay; suspected ones come after all others."""
        for domain in near:
            for entry in self._domains[domain].order(group):
                if len(chosen) >= count:
                    return
                if entry not in chosen:
                    chosen.append(entry)
        for domain in near:
            for entry in self._domains[domain].suspected:
                if len(chosen) >= count:
                    return
                chosen.append(entry)


def _named(member: Member) -> NamedEntry:
    return NamedEntry(
        vm=member.vm,
        url=f"http://{member.public_address}",
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
    )

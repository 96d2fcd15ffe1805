"""Indexes over configuration and members for the decisions about capacity.

The index over the configuration is built once per version. Members are grouped by
failure domain only when lenders are looked up for the first time after an update.
"""

from collections.abc import Callable, Iterable, Mapping

from knapweeddock.ids import FailureDomainId, PoolId, RegionId, SiteId, VmId
from knapweeddock.model import Config, Site
from knapweeddock.rendezvous import weighted_order
from knapweeddock.slots import RankLimits, link_caps_into, rank_limits, site_cap
from knapweeddock.slottypes import LenderCandidate
from knapweeddock.state import Member, MemberState, NodeState

LENDER_CANDIDATES_MAX = 16
"""Largest number of lenders that one look-up returns."""

LENDER_WEIGHT_MIN = 0.05
"""Smallest weight of a lender; the weight is the free fraction of its slots."""


class ConfigIndex:
    """Index over the sites, regions and drains of one version of the configuration.

    Attributes:
        config: The configuration.
        domain: Own failure domain.
        drained_sites: Sites that are drained.
        drained_domains: Failure domains that are drained.
        drained_vms: VMs that are drained.
        drained_servers: Servers that are drained.
        regions: Region of each failure domain.
        sites_by_pool: All sites of each pool.
        local_sites: Sites of the own domain.
        limits: Limits on remote use of the local sites.
        local_servers: Servers of the local sites.
        site_orders: Cache of ``open_sites``: by pool, its sites that are not drained,
            the nearest one first.
    """

    def __init__(self, config: Config, domain: FailureDomainId) -> None:
        self.config = config
        self.domain = domain
        drains = config.drains
        self.drained_sites = _drained_names(drains.sites)
        self.drained_domains = _drained_names(drains.failure_domains)
        self.drained_vms = _drained_names(drains.vms)
        self.drained_servers = frozenset(_drained_names(drains.servers))
        self.regions: dict[FailureDomainId, RegionId] = {}
        for region_id, region in config.regions.items():
            for name in region.failure_domains:
                self.regions.setdefault(name, region_id)
        self.sites_by_pool: dict[PoolId, list[SiteId]] = {}
        self.local_sites: dict[SiteId, Site] = {}
        for site_id, site in config.sites.items():
            self.sites_by_pool.setdefault(site.pool, []).append(site_id)
            if site.failure_domain == domain:
                self.local_sites[site_id] = site
        self.limits = {name: self._limits_of(name) for name in self.local_sites}
        self.local_servers = frozenset(
            name for site in self.local_sites.values() for name in site.servers
        )
        self.site_orders: dict[PoolId, list[SiteId]] = {}

    def _limits_of(self, site_id: SiteId) -> RankLimits:
        site = self.config.sites[site_id]
        region = self.regions.get(site.failure_domain)
        region_caps = {
            name: site_cap(other)
            for name in self.sites_by_pool[site.pool]
            if self.regions.get((other := self.config.sites[name]).failure_domain) == region
        }
        link_caps = link_caps_into(self.config, region, site.pool)
        return rank_limits(site_id, site, region, region_caps, link_caps)

    def is_drained(self, site_id: SiteId) -> bool:
        """Whether ``site_id`` gets no new requests, because it is drained or unknown."""
        site = self.config.sites.get(site_id)
        if site is None or site_id in self.drained_sites:
            return True
        return site.failure_domain in self.drained_domains

    def open_sites(self, pool: PoolId) -> list[SiteId]:
        """Return the sites of ``pool`` that are not drained, the nearest one first."""
        order = self.site_orders.get(pool)
        if order is None:
            order = [name for name in self.sites_by_pool.get(pool, []) if not self.is_drained(name)]
            order.sort(key=lambda name: (self._delay_ms(name), name))
            self.site_orders[pool] = order
        return order

    def _delay_ms(self, site_id: SiteId) -> float:
        """Return the one-way delay to a site in ms; -1 for sites of the own domain."""
        target = self.config.sites[site_id].failure_domain
        if target == self.domain:
            return -1.0
        return self.config.delay_ms(self.domain, target)


def _drained_names(drain_flags: Mapping) -> set:
    return {name for name, value in drain_flags.items() if value}


def eligible_owners(members: Iterable[Member], drained_vms: set[VmId]) -> set[VmId]:
    """Return the VMs that may own slots, given the members that are not gone.

    A leaving entry still takes requests until the look-up responses that name it
    have expired, so it keeps its slots until it has left. If it lost them when it
    starts to leave, half the slots of a domain with two VMs would be unusable until
    the last running request of the leaving entry has ended. Drained VMs own slots
    only if no other VM can.
    """
    owners = {m.vm for m in members if m.state in (MemberState.SERVING, MemberState.LEAVING)}
    return (owners - drained_vms) or owners


class LenderDirectory:
    """Finds the entries to ask for slots of a pool.

    Attributes:
        vm: The VM that asks.
        domain: Its failure domain.
        members: All members, by VM.
        members_by_domain: Members by failure domain; None until first needed after
            an update.
        candidates_by_pool: Candidates for each pool looked up since the last update.
    """

    def __init__(self, *, vm: VmId, domain: FailureDomainId) -> None:
        self.vm = vm
        self.domain = domain
        self.members_by_domain: dict[FailureDomainId, list[Member]] | None = None
        self.members: Mapping[VmId, Member] = {}
        self.candidates_by_pool: dict[PoolId, list[LenderCandidate]] = {}

    def update(self, state: NodeState) -> None:
        """Replace the members; they are grouped when first needed."""
        self.members = state.members
        self.members_by_domain = None
        self.candidates_by_pool = {}

    def candidates(
        self, pool: PoolId, index: ConfigIndex, owners_of: Callable[[SiteId], set[VmId] | None]
    ) -> list[LenderCandidate]:
        """Return all possible lenders of ``pool``, the best one first.

        Args:
            pool: The pool.
            index: Index over the configuration.
            owners_of: Returns the VMs that own slots of a local site, or None
                for a site of another domain.
        """
        cached = self.candidates_by_pool.get(pool)
        if cached is None:
            cached = []
            for site_id in index.open_sites(pool):
                cached += self._site_candidates(site_id, index, owners_of(site_id))
            self.candidates_by_pool[pool] = cached
        return cached

    def _site_candidates(
        self, site_id: SiteId, index: ConfigIndex, owners: set[VmId] | None
    ) -> list[LenderCandidate]:
        domain = index.config.sites[site_id].failure_domain
        eligible = {
            member.vm: member
            for member in self._members_of(domain)
            if member.accepts_requests
            and member.vm != self.vm
            and member.vm not in index.drained_vms
        }
        if owners is not None:
            eligible = {vm: member for vm, member in eligible.items() if vm in owners}
        weights = {vm: max(LENDER_WEIGHT_MIN, 1 - member.load) for vm, member in eligible.items()}
        order = weighted_order(f"{self.vm}\0{site_id}", weights)
        order.sort(key=lambda vm: eligible[vm].suspected)
        return [
            LenderCandidate(vm=vm, lending_address=eligible[vm].lending_address, site=site_id)
            for vm in order
        ]

    def _members_of(self, domain: FailureDomainId) -> list[Member]:
        if self.members_by_domain is None:
            grouped: dict[FailureDomainId, list[Member]] = {}
            for member in self.members.values():
                grouped.setdefault(member.failure_domain, []).append(member)
            self.members_by_domain = grouped
        return self.members_by_domain.get(domain, [])

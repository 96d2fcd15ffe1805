"""Indexes over configuration and members that the capacity decisions need.

An index over the configuration is built once per version. Members of other
domains are only grouped by domain, and only when a lender there is looked for.
"""

from collections.abc import Callable, Iterable, Mapping

from knapweeddock.grants import LenderCandidate
from knapweeddock.ids import FailureDomainId, PoolId, RegionId, SiteId, VmId
from knapweeddock.model import Config, Site
from knapweeddock.rendezvous import weighted_order
from knapweeddock.slots import RankLimits, link_caps_into, rank_limits, site_cap
from knapweeddock.state import Member, MemberState, NodeState

LENDERS_MAX = 16
"""Lenders that are named at a time."""

WEIGHT_MIN = 0.05


class ConfigIndex:
    """What one version of the configuration says about sites and domains.

    Attributes:
        config: The configuration.
        domain: Own failure domain.
        local_sites: Sites of the own domain.
        limits: Limits on remote use of the local sites.
        local_servers: Servers of the local sites.
        drained_vms: VMs that are drained.
        drained_servers: Servers that are drained.
    """

    def __init__(self, config: Config, domain: FailureDomainId) -> None:
        self.config = config
        self.domain = domain
        drains = config.drains
        self.drained_sites = _chosen(drains.sites)
        self.drained_domains = _chosen(drains.failure_domains)
        self.drained_vms = _chosen(drains.vms)
        self.drained_servers = frozenset(_chosen(drains.servers))
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
        self.orders: dict[PoolId, list[SiteId]] = {}

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
        """Whether ``site_id`` is unknown or gets no new work."""
        site = self.config.sites.get(site_id)
        if site is None or site_id in self.drained_sites:
            return True
        return site.failure_domain in self.drained_domains

    def open_sites(self, pool: PoolId) -> list[SiteId]:
        """Return the sites of ``pool`` that get work, the nearest one first."""
        order = self.orders.get(pool)
        if order is None:
            order = [name for name in self.sites_by_pool.get(pool, []) if not self.is_drained(name)]
            order.sort(key=lambda name: (self._delay(name), name))
            self.orders[pool] = order
        return order

    def _delay(self, site_id: SiteId) -> float:
        """Return the one-way delay to a site; -1 for sites of the own domain."""
        target = self.config.sites[site_id].failure_domain
        if target == self.domain:
            return -1.0
        return self.config.delay_ms(self.domain, target)


def _chosen(flags: Mapping) -> set:
    return {name for name, value in flags.items() if value}


def may_own(members: Iterable[Member], drained_vms: set[VmId]) -> set[VmId]:
    """Return the VMs that own slots, given the members that are not gone.

    A leaving entry goes on taking requests until the look-ups that name it have
    expired, so it keeps its slots until it has left. Taking them away when it
    starts to leave would stop half of a two-VM domain's slots until its last
    running request has ended. Drained VMs own slots only when no other VM does.
    """
    owners = {m.vm for m in members if m.state in (MemberState.SERVING, MemberState.LEAVING)}
    return (owners - drained_vms) or owners


class LenderDirectory:
    """Which entries to ask for slots of a pool, in order.

    Attributes:
        vm: The VM that asks.
        domain: Its failure domain.
    """

    def __init__(self, *, vm: VmId, domain: FailureDomainId) -> None:
        self.vm = vm
        self.domain = domain
        self.by_domain: dict[FailureDomainId, list[Member]] | None = None
        self.members: Mapping[VmId, Member] = {}
        self.cache: dict[PoolId, list[LenderCandidate]] = {}

    def update(self, state: NodeState) -> None:
        """Take new members; they are grouped when first needed."""
        self.members = state.members
        self.by_domain = None
        self.cache = {}

    def candidates(
        self, pool: PoolId, index: ConfigIndex, owners_of: Callable[[SiteId], set[VmId] | None]
    ) -> list[LenderCandidate]:
        """Return all possible lenders of ``pool``, the best one first.

        Args:
            pool: The pool.
            index: The configuration.
            owners_of: Returns the VMs that own slots of a local site, and None
                for a site of another domain.
        """
        known = self.cache.get(pool)
        if known is None:
            known = []
            for site_id in index.open_sites(pool):
                known += self._of_site(site_id, index, owners_of(site_id))
            self.cache[pool] = known
        return known

    def _of_site(
        self, site_id: SiteId, index: ConfigIndex, owners: set[VmId] | None
    ) -> list[LenderCandidate]:
        domain = index.config.sites[site_id].failure_domain
        able = {
            member.vm: member
            for member in self._members_of(domain)
            if member.takes_work and member.vm != self.vm and member.vm not in index.drained_vms
        }
        if owners is not None:
            able = {vm: member for vm, member in able.items() if vm in owners}
        weights = {vm: max(WEIGHT_MIN, 1 - member.load) for vm, member in able.items()}
        order = weighted_order(f"{self.vm}\0{site_id}", weights)
        order.sort(key=lambda vm: able[vm].suspected)
        return [
            LenderCandidate(vm=vm, lending_address=able[vm].lending_address, site=site_id)
            for vm in order
        ]

    def _members_of(self, domain: FailureDomainId) -> list[Member]:
        if self.by_domain is None:
            grouped: dict[FailureDomainId, list[Member]] = {}
            for member in self.members.values():
                grouped.setdefault(member.failure_domain, []).append(member)
            self.by_domain = grouped
        return self.by_domain.get(domain, [])

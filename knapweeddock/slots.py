"""The usable slots of a site, their owners, and the limits on remote use."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from knapweeddock.grants import Slot
from knapweeddock.ids import (
    FailureDomainId,
    Incarnation,
    PoolId,
    RegionId,
    ServerId,
    SiteId,
    ViewId,
    VmId,
)
from knapweeddock.model import Config, Site
from knapweeddock.rendezvous import assign_bounded, hex_of


class SlotKey(NamedTuple):
    """What identifies a slot when configurations change its rank or address."""

    site: SiteId
    server: ServerId
    index: int


class MemberRef(NamedTuple):
    """A member of a view.

    Attributes:
        vm: The VM.
        incarnation: Incarnation of its entry process.
        owner: Whether it may own slots; others only have to settle.
    """

    vm: VmId
    incarnation: Incarnation
    owner: bool


def key_of(slot: Slot) -> SlotKey:
    """Return the identity of ``slot``."""
    return SlotKey(slot.site, slot.server, slot.index)


@dataclass(frozen=True, kw_only=True)
class RankLimits:
    """Ranks below which slots of a site may be lent to other failure domains.

    Attributes:
        shift_cap: Limit for every other failure domain.
        regions: Lower limits for the regions whose link has a cap.
    """

    shift_cap: int
    regions: Mapping[RegionId, int]

    def of(self, region: RegionId | None) -> int:
        """Return the limit for borrowers of ``region``."""
        return min(self.shift_cap, self.regions.get(region, self.shift_cap))


@dataclass(frozen=True, kw_only=True)
class SiteView:
    """A site as one set of members divides it.

    Attributes:
        id: Hash of all that follows.
        site: The site.
        slots: Usable slots by identity, in rank order.
        owners: Owner of each slot.
        members: Members that must settle, sorted.
        limits: Limits on remote use.
    """

    id: ViewId
    site: SiteId
    slots: Mapping[SlotKey, Slot]
    owners: Mapping[SlotKey, VmId]
    members: tuple[MemberRef, ...]
    limits: RankLimits

    def owned_by(self, vm: VmId) -> set[SlotKey]:
        """Return the slots that ``vm`` owns."""
        return {key for key, owner in self.owners.items() if owner == vm}


def site_cap(site: Site) -> int:
    """Return the largest number of concurrent requests of ``site``."""
    total = sum(server.slots for server in site.servers.values())
    return total if site.cap is None else max(0, min(site.cap, total))


def ranked_slots(site_id: SiteId, site: Site) -> list[Slot]:
    """Return the usable slots of ``site`` in rank order.

    Ranks go over the first slots of all servers, then the second ones, and so
    on. They are consecutive also when servers differ in their number of slots.
    """
    servers = sorted(site.servers.items())
    depth = max((server.slots for _, server in servers), default=0)
    cap = site_cap(site)
    slots = []
    for index in range(depth):
        for server_id, server in servers:
            if len(slots) == cap:
                return slots
            if index < server.slots:
                slots.append(
                    Slot(
                        site=site_id,
                        server=server_id,
                        index=index,
                        rank=len(slots),
                        address=server.address,
                    )
                )
    return slots


def divide(total: int, weights: Mapping[SiteId, int]) -> dict[SiteId, int]:
    """Divide ``total`` in proportion to ``weights`` by largest remainder.

    The parts add up to ``total``; equal remainders go to the smaller id.
    """
    whole = sum(weights.values())
    if whole <= 0:
        return dict.fromkeys(weights, 0)
    parts = {name: total * weight // whole for name, weight in weights.items()}
    order = sorted(weights, key=lambda name: (-(total * weights[name] % whole), name))
    for name in order[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def rank_limits(
    site_id: SiteId,
    site: Site,
    region: RegionId | None,
    region_caps: Mapping[SiteId, int],
    link_caps: Mapping[RegionId, int],
) -> RankLimits:
    """Return the limits on remote use of a site.

    Args:
        site_id: The site.
        site: Its configuration.
        region: Region of the site.
        region_caps: Cap of each site of the same pool in that region.
        link_caps: Cap of each link into the region for the site's pool.
    """
    cap = site_cap(site)
    shift_cap = cap if site.shift_cap is None else max(0, min(site.shift_cap, cap))
    regions = {
        origin: min(shift_cap, divide(link_cap, region_caps)[site_id])
        for origin, link_cap in link_caps.items()
        if origin != region
    }
    return RankLimits(shift_cap=shift_cap, regions=regions)


def link_caps_into(config: Config, region: RegionId | None, pool: PoolId) -> dict[RegionId, int]:
    """Return the cap per origin region of the links into ``region`` for ``pool``."""
    caps = {}
    for name, link in config.links.items():
        origin, _, target = name.partition("->")
        if target == region and pool in link.caps:
            caps[RegionId(origin)] = link.caps[pool]
    return caps


def make_view(slots: Iterable[Slot], members: Iterable[MemberRef], limits: RankLimits) -> SiteView:
    """Divide ``slots`` over the owners among ``members``.

    The id covers the members' roles and the limits too: two VMs that agree on
    the members but not on who may own would otherwise take the same slot, and
    limits that move to other ranks would let old and new remote use add up.
    """
    by_key = {key_of(slot): slot for slot in slots}
    refs = tuple(sorted(members))
    names = [f"{key.server}\0{key.index}" for key in by_key]
    owners = assign_bounded(names, [ref.vm for ref in refs if ref.owner])
    parts = [f"{slot.server}\0{slot.address}\0{slot.index}" for slot in by_key.values()]
    parts.append(f"{len(by_key)}\0{limits.shift_cap}")
    parts += [f"{name}\0{limits.regions[name]}" for name in sorted(limits.regions)]
    parts += [f"{ref.vm}\0{ref.incarnation}\0{int(ref.owner)}" for ref in refs]
    site = next(iter(by_key)).site if by_key else SiteId("")
    return SiteView(
        id=ViewId(hex_of(parts)),
        site=site,
        slots=by_key,
        owners=dict(zip(by_key, owners, strict=False)),
        members=refs,
        limits=limits,
    )


def share_bands(shares: Mapping[FailureDomainId, int]) -> dict[FailureDomainId, range]:
    """Return the consecutive rank bands of the domains with a guaranteed share."""
    bands = {}
    start = 0
    for domain in sorted(shares):
        bands[domain] = range(start, start + shares[domain])
        start += shares[domain]
    return bands

"""The slots of a site, their owners, and the limits on their remote use.

The slots of a site have ranks. Each owner lends only those of its slots that rank
below a limit, so that all owners together keep a cap on remote use without
coordination.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

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
from knapweeddock.rendezvous import assign_bounded, hash_parts_hex
from knapweeddock.slottypes import Slot


class SlotKey(NamedTuple):
    """Identity of a slot, which stays when a configuration changes its rank or address.

    Attributes:
        site: Site of the server.
        server: The backend server.
        index: Number of the slot on its server, from 0.
    """

    site: SiteId
    server: ServerId
    index: int


class ViewMember(NamedTuple):
    """A member of a view.

    Attributes:
        vm: The VM.
        incarnation: Incarnation of its entry process.
        may_own: Whether it may own slots; other members only have to settle.
    """

    vm: VmId
    incarnation: Incarnation
    may_own: bool


def slot_key(slot: Slot) -> SlotKey:
    """Return the identity of ``slot``."""
    return SlotKey(slot.site, slot.server, slot.index)


@dataclass(frozen=True, kw_only=True)
class RankLimits:
    """Ranks below which slots of a site may be lent to other failure domains.

    Attributes:
        shift_cap: Limit for all other failure domains.
        by_region: Lower limits for borrowers of regions whose link has a cap.
    """

    shift_cap: int
    by_region: Mapping[RegionId, int]

    def for_region(self, region: RegionId | None) -> int:
        """Return the rank limit for borrowers of ``region``."""
        return min(self.shift_cap, self.by_region.get(region, self.shift_cap))


@dataclass(frozen=True, kw_only=True)
class SiteView:
    """Assignment of a site's slots to one set of members.

    Attributes:
        id: Hash of the slots, members and limits.
        site: The site; an empty id if the view has no slots.
        slots: Slots within the cap of the site, by identity, in rank order.
        owners: Owner of each slot.
        members: Members that must settle in the view, sorted.
        limits: Limits on remote use.
    """

    id: ViewId
    site: SiteId
    slots: Mapping[SlotKey, Slot]
    owners: Mapping[SlotKey, VmId]
    members: tuple[ViewMember, ...]
    limits: RankLimits

    def owned_by(self, vm: VmId) -> set[SlotKey]:
        """Return the slots that ``vm`` owns."""
        return {key for key, owner in self.owners.items() if owner == vm}


def site_cap(site: Site) -> int:
    """Return the largest number of concurrent requests that ``site`` may run."""
    total = sum(server.slots for server in site.servers.values())
    return total if site.cap is None else max(0, min(site.cap, total))


def ranked_slots(site_id: SiteId, site: Site) -> list[Slot]:
    """Return the slots of ``site`` within its cap, in rank order.

    The first slots of all servers come first, then the second ones, and so on.
    Ranks are consecutive even if servers differ in their number of slots.
    """
    servers = sorted(site.servers.items())
    max_slots = max((server.slots for _, server in servers), default=0)
    cap = site_cap(site)
    slots = []
    for index in range(max_slots):
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


def apportion(total: int, weights: Mapping[SiteId, int]) -> dict[SiteId, int]:
    """Divide ``total`` in proportion to ``weights`` by the largest remainder method.

    The parts add up to ``total``, unless all weights are 0. Of sites with equal
    remainders, the one with the smaller id comes first.
    """
    total_weight = sum(weights.values())
    if total_weight <= 0:
        return dict.fromkeys(weights, 0)
    parts = {name: total * weight // total_weight for name, weight in weights.items()}
    order = sorted(weights, key=lambda name: (-(total * weights[name] % total_weight), name))
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

    Each link cap is divided over the sites of the pool in the region in proportion
    to their caps.

    Args:
        site_id: The site.
        site: Configuration of the site.
        region: Region of the site.
        region_caps: Cap of each site of the same pool in that region.
        link_caps: Cap of the links into the region for the site's pool, by origin
            region.
    """
    cap = site_cap(site)
    shift_cap = cap if site.shift_cap is None else max(0, min(site.shift_cap, cap))
    regions = {
        origin: min(shift_cap, apportion(link_cap, region_caps)[site_id])
        for origin, link_cap in link_caps.items()
        if origin != region
    }
    return RankLimits(shift_cap=shift_cap, by_region=regions)


def link_caps_into(config: Config, region: RegionId | None, pool: PoolId) -> dict[RegionId, int]:
    """Return the caps of the links into ``region`` for ``pool``, by origin region."""
    caps = {}
    for name, link in config.links.items():
        origin, _, target = name.partition("->")
        if target == region and pool in link.caps:
            caps[RegionId(origin)] = link.caps[pool]
    return caps


def make_view(slots: Iterable[Slot], members: Iterable[ViewMember], limits: RankLimits) -> SiteView:
    """Assign ``slots`` to those ``members`` that may own slots.

    The id of the view also covers which members may own slots, and the limits.
    Otherwise two VMs that agree on the members but not on who may own slots could
    use the same slot, and when limits move to other ranks, old and new remote use
    together could exceed the caps.
    """
    by_key = {slot_key(slot): slot for slot in slots}
    sorted_members = tuple(sorted(members))
    slot_names = [f"{key.server}\0{key.index}" for key in by_key]
    owners = assign_bounded(slot_names, [member.vm for member in sorted_members if member.may_own])
    hashed_parts = [f"{slot.server}\0{slot.address}\0{slot.index}" for slot in by_key.values()]
    hashed_parts.append(f"{len(by_key)}\0{limits.shift_cap}")
    hashed_parts += [f"{name}\0{limits.by_region[name]}" for name in sorted(limits.by_region)]
    hashed_parts += [
        f"{member.vm}\0{member.incarnation}\0{int(member.may_own)}" for member in sorted_members
    ]
    site = next(iter(by_key)).site if by_key else SiteId("")
    return SiteView(
        id=ViewId(hash_parts_hex(hashed_parts)),
        site=site,
        slots=by_key,
        # There are no owners if no member may own slots.
        owners=dict(zip(by_key, owners, strict=False)),
        members=sorted_members,
        limits=limits,
    )


def share_rank_bands(shares: Mapping[FailureDomainId, int]) -> dict[FailureDomainId, range]:
    """Return the consecutive bands of ranks for the domains with a guaranteed share."""
    bands = {}
    start = 0
    for domain in sorted(shares):
        bands[domain] = range(start, start + shares[domain])
        start += shares[domain]
    return bands

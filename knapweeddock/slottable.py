"""Table of the slots of an entry that are free, in use or under a grant.

A slot in use stays in the table until it is released, even if a new configuration
or view removes the slot, its server or its site.
"""

from bisect import insort
from collections.abc import Collection, Iterator, Mapping

from knapweeddock.handover import SlotUse
from knapweeddock.ids import FailureDomainId, GrantId, RegionId, ServerId, SiteId
from knapweeddock.slots import SlotKey, slot_key
from knapweeddock.slottypes import Slot


class Allocation:
    """A slot that is in use or under a grant.

    Attributes:
        slot: The slot.
        domain: Failure domain that uses the slot.
        remote: Whether ``domain`` differs from the failure domain of the site.
        region: Region of ``domain``.
        grant_id: Grant that reserves the slot; None for own use and after the end of
            the grant.
        lent: Whether the slot was allocated for another entry.
        busy: Whether a request runs on the slot. Without a grant, it runs from the
            allocation on.
    """

    __slots__ = ("busy", "domain", "grant_id", "lent", "region", "remote", "slot")

    def __init__(
        self,
        *,
        slot: Slot,
        domain: FailureDomainId,
        region: RegionId | None = None,
        remote: bool = False,
        grant_id: GrantId | None = None,
    ) -> None:
        self.slot = slot
        self.domain = domain
        self.region = region
        self.remote = remote
        self.grant_id = grant_id
        self.lent = grant_id is not None
        self.busy = grant_id is None


def _rank(slot: Slot) -> int:
    return slot.rank


class SlotTable:
    """The slots of one entry and their use.

    Attributes:
        allocations: Slots that are in use or under a grant, by site and slot.
        free: Usable free slots by site and server, in rank order.
        in_flight: Number of requests that run on slots of the entry, by server.
        own_request_count: Number of running requests of the entry itself, by site.
        usable: Slots that the entry may use, by site and slot.
    """

    def __init__(self) -> None:
        self.allocations: dict[SiteId, dict[SlotKey, Allocation]] = {}
        self.free: dict[SiteId, dict[ServerId, list[Slot]]] = {}
        self.in_flight: dict[ServerId, int] = {}
        self.own_request_count: dict[SiteId, int] = {}
        self.usable: dict[SiteId, Mapping[SlotKey, Slot]] = {}

    def set_usable(self, site: SiteId, usable: Mapping[SlotKey, Slot]) -> None:
        """Set the slots of ``site`` that the entry may use from now on."""
        allocated = self.allocations.get(site, {})
        free: dict[ServerId, list[Slot]] = {}
        for key, slot in usable.items():
            slots = free.setdefault(key.server, [])
            if key not in allocated:
                slots.append(slot)
        for slots in free.values():
            slots.sort(key=_rank)
        self.usable[site] = usable
        self.free[site] = free

    def remove_site(self, site: SiteId) -> None:
        """Make the slots of ``site`` unusable; its allocations remain."""
        self.usable.pop(site, None)
        self.free.pop(site, None)

    def allocate(self, allocation: Allocation) -> None:
        """Move a slot from the free slots to the allocations."""
        slot = allocation.slot
        self.free[slot.site][slot.server].remove(slot)
        self.allocations.setdefault(slot.site, {})[slot_key(slot)] = allocation
        if allocation.busy:
            _add_to_count(self.in_flight, slot.server, 1)
        if not allocation.lent:
            _add_to_count(self.own_request_count, slot.site, 1)

    def start_request(self, allocation: Allocation) -> None:
        """Record that a request starts on a slot that a grant reserves."""
        allocation.busy = True
        _add_to_count(self.in_flight, allocation.slot.server, 1)

    def end_request(self, allocation: Allocation) -> None:
        """Record that the request ended, and free the slot unless a grant reserves it."""
        allocation.busy = False
        _add_to_count(self.in_flight, allocation.slot.server, -1)
        if not allocation.lent:
            _add_to_count(self.own_request_count, allocation.slot.site, -1)
        if allocation.grant_id is None:
            self._release(allocation)

    def end_grant(self, key: SlotKey) -> None:
        """Remove the reservation of a slot by a grant; a running request continues."""
        allocation = self.allocations[key.site][key]
        allocation.grant_id = None
        if not allocation.busy:
            self._release(allocation)

    def allocation_of(self, slot: Slot) -> Allocation | None:
        """Return the allocation of ``slot``, or None if the slot is free."""
        return self.allocations.get(slot.site, {}).get(slot_key(slot))

    def slot_uses(self, site: SiteId, servers: Collection[ServerId]) -> Iterator[SlotUse]:
        """Yield the uses of slots of ``site`` or of ``servers`` under any site.

        The entry has settled in a view when the view allows all of them. Requests
        on the same servers under another site count as well, because a server that
        moved between two sites has its slots only once.
        """
        for allocated_site, allocations in self.allocations.items():
            for key, allocation in allocations.items():
                if allocated_site == site or key.server in servers:
                    yield SlotUse(key, allocation.remote, allocation.region)

    def free_count(self, site: SiteId) -> int:
        """Return the number of free slots of ``site``."""
        return sum(len(slots) for slots in self.free.get(site, {}).values())

    def _release(self, allocation: Allocation) -> None:
        site = allocation.slot.site
        key = slot_key(allocation.slot)
        allocations = self.allocations[site]
        del allocations[key]
        if not allocations:
            del self.allocations[site]
        slot = self.usable.get(site, {}).get(key)
        if slot is not None:
            insort(self.free[site][key.server], slot, key=_rank)


def _add_to_count(counts: dict, key: str, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)

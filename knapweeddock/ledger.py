"""Which slots of this entry are free, in use or under a grant.

A slot in use stays in the ledger until it is released, also when a new
configuration or view takes the slot, its server or its site away.
"""

from bisect import insort
from collections.abc import Collection, Iterator, Mapping

from knapweeddock.grants import Slot
from knapweeddock.handover import Use
from knapweeddock.ids import FailureDomainId, GrantId, RegionId, ServerId, SiteId
from knapweeddock.slots import SlotKey, key_of


class Hold:
    """A slot that is not free.

    Attributes:
        slot: The slot.
        domain: Failure domain that uses it.
        remote: Whether that is another domain than the site's.
        region: Region of that domain.
        grant: Grant that reserves the slot; None for own use or after its end.
        lent: Whether another entry uses it.
        busy: Whether a request runs on it.
    """

    __slots__ = ("busy", "domain", "grant", "lent", "region", "remote", "slot")

    def __init__(
        self,
        *,
        slot: Slot,
        domain: FailureDomainId,
        region: RegionId | None = None,
        remote: bool = False,
        grant: GrantId | None = None,
    ) -> None:
        self.slot = slot
        self.domain = domain
        self.region = region
        self.remote = remote
        self.grant = grant
        self.lent = grant is not None
        self.busy = grant is None


def _rank(slot: Slot) -> int:
    return slot.rank


class Ledger:
    """The slots of one entry.

    Attributes:
        holds: Slots that are not free, by site.
        free: Usable free slots by site and server, in rank order.
        in_flight: Running requests by server.
        own_use: Requests of the entry itself that run, by site.
    """

    def __init__(self) -> None:
        self.holds: dict[SiteId, dict[SlotKey, Hold]] = {}
        self.free: dict[SiteId, dict[ServerId, list[Slot]]] = {}
        self.in_flight: dict[ServerId, int] = {}
        self.own_use: dict[SiteId, int] = {}
        self.usable: dict[SiteId, Mapping[SlotKey, Slot]] = {}

    def set_usable(self, site: SiteId, usable: Mapping[SlotKey, Slot]) -> None:
        """Take the slots of ``site`` that the entry may use from now on."""
        held = self.holds.get(site, {})
        free: dict[ServerId, list[Slot]] = {}
        for key, slot in usable.items():
            slots = free.setdefault(key.server, [])
            if key not in held:
                slots.append(slot)
        for slots in free.values():
            slots.sort(key=_rank)
        self.usable[site] = usable
        self.free[site] = free

    def forget_site(self, site: SiteId) -> None:
        """Make no slot of ``site`` usable; its holds remain."""
        self.usable.pop(site, None)
        self.free.pop(site, None)

    def take(self, hold: Hold) -> None:
        """Take a free slot."""
        slot = hold.slot
        self.free[slot.site][slot.server].remove(slot)
        self.holds.setdefault(slot.site, {})[key_of(slot)] = hold
        if hold.busy:
            _count(self.in_flight, slot.server, 1)
        if not hold.lent:
            _count(self.own_use, slot.site, 1)

    def start(self, hold: Hold) -> None:
        """Note that a request starts on a slot that a grant reserves."""
        hold.busy = True
        _count(self.in_flight, hold.slot.server, 1)

    def stop(self, hold: Hold) -> None:
        """Note that the request ended; without a grant the slot becomes free."""
        hold.busy = False
        _count(self.in_flight, hold.slot.server, -1)
        if not hold.lent:
            _count(self.own_use, hold.slot.site, -1)
        if hold.grant is None:
            self._free(hold)

    def end_grant(self, key: SlotKey) -> None:
        """Note that a grant's reservation ended; a running request goes on."""
        hold = self.holds[key.site][key]
        hold.grant = None
        if not hold.busy:
            self._free(hold)

    def hold_of(self, slot: Slot) -> Hold | None:
        """Return the hold of ``slot``, when it is not free."""
        return self.holds.get(slot.site, {}).get(key_of(slot))

    def uses(self, site: SiteId, servers: Collection[ServerId]) -> Iterator[Use]:
        """Yield what must end before a view without it is settled.

        Requests on the same servers under another site count as well: a
        server that moved between two sites has its slots only once.
        """
        for held_site, holds in self.holds.items():
            for key, hold in holds.items():
                if held_site == site or key.server in servers:
                    yield Use(key, hold.remote, hold.region)

    def free_count(self, site: SiteId) -> int:
        """Return the number of free slots of ``site``."""
        return sum(len(slots) for slots in self.free.get(site, {}).values())

    def _free(self, hold: Hold) -> None:
        site = hold.slot.site
        key = key_of(hold.slot)
        holds = self.holds[site]
        del holds[key]
        if not holds:
            del self.holds[site]
        slot = self.usable.get(site, {}).get(key)
        if slot is not None:
            insort(self.free[site][key.server], slot, key=_rank)


def _count(counts: dict, key: str, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)

"""Fake capacity for tests, with a fixed number of slots and explicitly added grants."""

from collections import Counter

from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.ids import GrantId, Incarnation, PoolId, ServerId, SiteId, ViewId
from knapweeddock.slottypes import (
    BorrowedSlot,
    BorrowRequest,
    Grant,
    LenderCandidate,
    Refusal,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.state import NodeState


class FakeCapacity(Capacity):
    """Capacity of a few pools without ranks, views or ramps.

    Attributes:
        incarnation: Incarnation of the entry process.
        free: Free own slots by pool; the next one to use is the last.
        free_lists: Free list to which a slot returns when it is released.
        in_use: Own and lent slots in use.
        borrowed_slots: Free borrowed slots by pool.
        grant_pools: Pool of each received grant.
        borrowed_in_use: Number of borrowed slots in use.
        candidates: Lenders by pool, the best one first.
        backoff_until: Time until which a lender is not asked.
        lent: Free lent slots by grant of this entry.
        dropped: Grants that their lender no longer accepts.
        outcomes: Number of releases by server and outcome.
        pools: Pools that have a site.
    """

    def __init__(self, *, incarnation: Incarnation, slots: dict[PoolId, list[Slot]]) -> None:
        self.incarnation = incarnation
        self.free = {pool: list(reversed(free)) for pool, free in slots.items()}
        self.free_lists: dict[Slot, list[Slot]] = {
            slot: free_list for free_list in self.free.values() for slot in free_list
        }
        self.in_use: set[Slot] = set()
        self.borrowed_slots: dict[PoolId, list[BorrowedSlot]] = {}
        self.grant_pools: dict[GrantId, PoolId] = {}
        self.borrowed_in_use: Counter[BorrowedSlot] = Counter()
        self.candidates: dict[PoolId, list[LenderCandidate]] = {}
        self.backoff_until: dict[LenderCandidate, float] = {}
        self.lent: dict[GrantId, list[Slot]] = {}
        self.dropped: set[GrantId] = set()
        self.outcomes: Counter[tuple[ServerId, SlotOutcome]] = Counter()
        self.pools = set(slots)

    @property
    def in_use_count(self) -> int:
        """Number of own, lent and borrowed slots in use."""
        return len(self.in_use) + self.borrowed_in_use.total()

    def add_borrowed_slots(self, pool: PoolId, borrowed: BorrowedSlot, count: int) -> None:
        """Add ``count`` free borrowed slots of one grant."""
        self.borrowed_slots.setdefault(pool, []).extend([borrowed] * count)
        self.grant_pools[borrowed.grant_id] = pool

    def add_grant(self, grant_id: GrantId, slots: list[Slot]) -> None:
        """Add a grant of ``slots`` to another entry.

        The caller has removed them from ``free`` if they were own slots.
        """
        self.lent[grant_id] = list(slots)
        self.free_lists.update(dict.fromkeys(slots, self.lent[grant_id]))

    def update(self, state: NodeState, now: float) -> None:
        """Do nothing: the slots are fixed."""

    def observe(self, report: ServerReport, now: float) -> None:
        """Do nothing: servers are not measured."""

    def tick(self, now: float) -> None:
        """Do nothing: grants have no terms."""

    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Acquire a free own slot on a server outside ``exclude``."""
        return self._take(self.free.get(pool, []), exclude)

    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Release a slot.

        Raises:
            KeyError: The slot is not in use.
        """
        self.in_use.remove(slot)
        self.outcomes[slot.server, outcome] += 1
        self.free_lists[slot].append(slot)

    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Refuse every borrow request."""
        return Refusal(code=ResultCode.SHED, retry_after_s=1.0)

    def acquire_lent_slot(
        self,
        grant_id: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Acquire a free slot of a grant that was added with ``add_grant``."""
        if grant_id not in self.lent or incarnation != self.incarnation:
            return ResultCode.GRANT_LAPSED
        return self._take(self.lent[grant_id], exclude) or ResultCode.SHED

    def lender_candidates(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return the lenders that are not backed off after a refusal."""
        candidates = self.candidates.get(pool, [])
        return [c for c in candidates if self.backoff_until.get(c, now) <= now]

    def accept_grant(self, grant: Grant, asked_at: float, now: float) -> None:
        """Add the borrowed slots of a grant to the pool of its site."""
        borrowed = BorrowedSlot(
            grant_id=grant.grant_id,
            lender=grant.lender,
            incarnation=grant.incarnation,
            site=grant.site,
            internal_address=grant.internal_address,
        )
        self.add_borrowed_slots(self._pool_of(grant.site), borrowed, grant.count)

    def back_off_lender(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Do not ask a lender for a time."""
        self.backoff_until[lender] = now + retry_after_s

    def acquire_borrowed_slot(self, pool: PoolId, now: float) -> BorrowedSlot | None:
        """Acquire a free borrowed slot."""
        free = self.borrowed_slots.get(pool)
        if not free:
            return None
        borrowed = free.pop()
        self.borrowed_in_use[borrowed] += 1
        return borrowed

    def release_borrowed_slot(self, borrowed: BorrowedSlot, now: float) -> None:
        """Return a borrowed slot to its grant.

        Raises:
            KeyError: The borrowed slot is not in use.
        """
        if self.borrowed_in_use[borrowed] <= 0:
            raise KeyError(borrowed)
        self.borrowed_in_use[borrowed] -= 1
        if borrowed.grant_id not in self.dropped:
            self.borrowed_slots[self.grant_pools[borrowed.grant_id]].append(borrowed)

    def drop_grant(self, grant_id: GrantId) -> None:
        """Remove the free borrowed slots of a grant."""
        self.dropped.add(grant_id)
        for slots in self.borrowed_slots.values():
            slots[:] = [borrowed for borrowed in slots if borrowed.grant_id != grant_id]

    def has_site(self, pool: PoolId) -> bool:
        """Whether the pool has slots or lenders."""
        return pool in self.pools or pool in self.candidates

    def settled_reports(self) -> dict[SiteId, ViewId]:
        """Return no views."""
        return {}

    def load(self) -> float:
        """Return the busy fraction of the slots, including lent ones in use; 0 without any."""
        free = sum(len(slots) for slots in self.free.values())
        total = free + len(self.in_use)
        return len(self.in_use) / total if total else 0.0

    def _take(self, free: list[Slot], exclude: frozenset[ServerId]) -> Slot | None:
        for index in reversed(range(len(free))):
            if free[index].server not in exclude:
                slot = free.pop(index)
                self.in_use.add(slot)
                return slot
        return None

    def _pool_of(self, site: SiteId) -> PoolId:
        for pool, candidates in self.candidates.items():
            if any(candidate.site == site for candidate in candidates):
                return pool
        raise KeyError(site)


def make_slots(site: SiteId, *, servers: int, slots_per_server: int) -> list[Slot]:
    """Return the slots of a site, whose servers are named after the site."""
    return [
        Slot(
            site=site,
            server=ServerId(f"{site}-{server}"),
            index=index,
            rank=index * servers + server,
            address=f"127.0.0.1:{9000 + server}",
        )
        for index in range(slots_per_server)
        for server in range(servers)
    ]

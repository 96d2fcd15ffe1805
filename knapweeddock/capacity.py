"""Interface between the dispatcher and the accounting of slots."""

from abc import ABC, abstractmethod

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


class Capacity(ABC):
    """Slots that one entry process may use, lend and borrow.

    An entry is the daemon on a VM that takes callers' requests and has backend servers
    run them. It has settled in a view (an assignment of a site's slots to entries)
    when it uses no slot in a way that the view does not allow.

    All methods are synchronous and do no I/O. ``now`` is monotonic time in seconds.
    An acquired slot stays acquired until it is released, even beyond the end of
    the term of its grant.
    """

    @abstractmethod
    def update(self, state: NodeState, now: float) -> None:
        """Apply a new snapshot of configuration and members."""

    @abstractmethod
    def observe(self, report: ServerReport, now: float) -> None:
        """Apply a measurement of a backend server."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Advance grants, ramps and backoffs to ``now``."""

    @abstractmethod
    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Acquire a free own slot of ``pool`` on a server outside ``exclude``.

        Returns:
            The slot, or None if none may be used now.
        """

    @abstractmethod
    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Release an own or lent slot and record how the request ended."""

    @abstractmethod
    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Decide on a borrow request of another entry."""

    @abstractmethod
    def acquire_lent_slot(
        self,
        grant_id: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Acquire a slot for a request that arrived under a grant of this entry.

        Returns:
            The slot, or the reason why there is none (``GRANT_LAPSED`` or ``SHED``).
        """

    @abstractmethod
    def lender_candidates(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return the entries to ask for slots of ``pool``, the best one first."""

    @abstractmethod
    def accept_grant(self, grant: Grant, asked_at: float, now: float) -> None:
        """Store a grant that was requested at ``asked_at``."""

    @abstractmethod
    def back_off_lender(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Record that a lender refused or did not respond, and do not ask it for a time."""

    @abstractmethod
    def acquire_borrowed_slot(self, pool: PoolId, now: float) -> BorrowedSlot | None:
        """Acquire a borrowed slot of ``pool`` under an unexpired grant.

        Returns:
            The slot, or None if none is available.
        """

    @abstractmethod
    def release_borrowed_slot(self, borrowed: BorrowedSlot, now: float) -> None:
        """Return a borrowed slot to its grant."""

    @abstractmethod
    def drop_grant(self, grant_id: GrantId) -> None:
        """Remove a grant that its lender no longer accepts."""

    @abstractmethod
    def has_site(self, pool: PoolId) -> bool:
        """Whether any site that is not drained serves ``pool``."""

    @abstractmethod
    def settled_reports(self) -> dict[SiteId, ViewId]:
        """Return the latest encoded report about each local site.

        It says in which view of the site the entry has settled, which may be an
        earlier view. Sites without a report are left out.
        """

    @abstractmethod
    def load(self) -> float:
        """Return the busy fraction of the usable own slots, from 0 to 1.

        The value without usable slots depends on the implementation.
        """

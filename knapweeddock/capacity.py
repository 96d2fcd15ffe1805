"""The seam between the dispatcher and the parts that account for slots."""

from abc import ABC, abstractmethod

from knapweeddock.codes import ResultCode
from knapweeddock.grants import (
    BorrowRequest,
    Grant,
    LenderCandidate,
    Loan,
    Refusal,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.ids import GrantId, Incarnation, PoolId, ServerId, SiteId, ViewId
from knapweeddock.state import NodeState


class Capacity(ABC):
    """Slots that one entry process may use, lend and borrow.

    All methods are synchronous and free of I/O; ``now`` is monotonic seconds.
    A slot or loan that was acquired is held until it is released, beyond the
    end of its grant's term if need be.
    """

    @abstractmethod
    def update(self, state: NodeState, now: float) -> None:
        """Take a new snapshot of configuration and members."""

    @abstractmethod
    def observe(self, report: ServerReport, now: float) -> None:
        """Take a measurement of a backend server."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Let terms, ramps and backoffs advance to ``now``."""

    @abstractmethod
    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Take an own free slot of ``pool`` on a server outside ``exclude``."""

    @abstractmethod
    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Give an own slot back with the evidence that its use gave."""

    @abstractmethod
    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Decide on another entry's request to borrow."""

    @abstractmethod
    def acquire_granted(
        self,
        grant: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Take a slot for a request that came in under a grant of this entry.

        Returns:
            The slot, or why there is none (``GRANT_LAPSED`` or ``SHED``).
        """

    @abstractmethod
    def lenders(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return the entries to ask for slots of ``pool``, the best one first."""

    @abstractmethod
    def borrowed(self, grant: Grant, asked_at: float, now: float) -> None:
        """Take in a grant that was asked for at ``asked_at``."""

    @abstractmethod
    def lender_refused(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Note that a lender refused or did not answer; leave it alone for a time."""

    @abstractmethod
    def acquire_loan(self, pool: PoolId, now: float) -> Loan | None:
        """Take a borrowed slot of ``pool`` whose term has not ended."""

    @abstractmethod
    def release_loan(self, loan: Loan, now: float) -> None:
        """Give a borrowed slot back to its grant."""

    @abstractmethod
    def drop_grant(self, grant: GrantId) -> None:
        """Stop using a grant that its lender no longer honours."""

    @abstractmethod
    def has_site(self, pool: PoolId) -> bool:
        """Whether any site that is not drained serves ``pool``."""

    @abstractmethod
    def settled_views(self) -> dict[SiteId, ViewId]:
        """Return the view of each local site that this entry has settled in."""

    @abstractmethod
    def load(self) -> float:
        """Return the busy fraction of the own usable slots, from 0 to 1."""

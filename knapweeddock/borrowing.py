"""Calls to lenders for slots of a pool that has waiting requests."""

from dataclasses import dataclass

from knapweeddock.capacity import Capacity
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Borrow, BorrowEnded
from knapweeddock.grants import BorrowRequest, Grant, LenderCandidate, Refusal
from knapweeddock.ids import FailureDomainId, Incarnation, PoolId, SiteId, VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowCall:
    """A call to a lender that has not ended."""

    pool: PoolId
    candidate: LenderCandidate
    wanted: int


class Borrowing:
    """Outstanding calls to lenders, at most one per lender and site."""

    def __init__(
        self,
        *,
        settings: DispatchSettings,
        capacity: Capacity,
        vm: VmId,
        failure_domain: FailureDomainId,
        incarnation: Incarnation,
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.vm = vm
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.calls: dict[tuple[VmId, SiteId], BorrowCall] = {}

    def outstanding(self, pool: PoolId) -> list[BorrowCall]:
        """Return the calls for slots of ``pool`` that have not ended."""
        return [call for call in self.calls.values() if call.pool == pool]

    def ask(self, pool: PoolId, waiting: int, now: float) -> list[Borrow]:
        """Call lenders for the waiting requests that no call asks for yet."""
        outstanding = self.outstanding(pool)
        missing = waiting - sum(call.wanted for call in outstanding)
        free_calls = self.settings.max_borrow_calls - len(outstanding)
        if missing <= 0 or free_calls <= 0:
            return []
        borrows: list[Borrow] = []
        for candidate in self.capacity.lenders(pool, now):
            if missing <= 0 or len(borrows) >= free_calls:
                break
            if (candidate.vm, candidate.site) in self.calls:
                continue
            wanted = min(missing, self.settings.max_borrow_count)
            missing -= wanted
            borrows.append(self._call(pool, candidate, wanted))
        return borrows

    def ended(self, event: BorrowEnded, now: float) -> PoolId | None:
        """Take in the result of a call.

        Returns:
            The pool of the call, or None when no such call is outstanding.
        """
        call = self.calls.pop((event.lender, event.site), None)
        if call is None:
            return None
        match event.result:
            case Grant() as grant:
                self.capacity.borrowed(grant, event.asked_at, now)
            case Refusal(retry_after_s=retry_after_s):
                self.capacity.lender_refused(call.candidate, retry_after_s, now)
            case None:
                backoff = self.settings.borrow_backoff_s
                self.capacity.lender_refused(call.candidate, backoff, now)
        return call.pool

    def _call(self, pool: PoolId, candidate: LenderCandidate, wanted: int) -> Borrow:
        call = BorrowCall(pool=pool, candidate=candidate, wanted=wanted)
        self.calls[candidate.vm, candidate.site] = call
        request = BorrowRequest(
            borrower=self.vm,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            site=candidate.site,
            wanted=wanted,
        )
        return Borrow(lender=candidate, request=request)

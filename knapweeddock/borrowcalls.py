"""Calls to lenders to borrow slots for the waiting requests of a pool."""

from dataclasses import dataclass

from knapweeddock.capacity import Capacity
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Borrow, BorrowEnded
from knapweeddock.ids import FailureDomainId, Incarnation, PoolId, SiteId, VmId
from knapweeddock.slottypes import BorrowRequest, Grant, LenderCandidate, Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowCall:
    """An outstanding call to a lender.

    Attributes:
        pool: Pool of the waiting requests.
        candidate: The lender and its site.
        wanted: Number of slots asked for.
    """

    pool: PoolId
    candidate: LenderCandidate
    wanted: int


class BorrowCalls:
    """Starts calls to lenders, with at most one outstanding call per lender and site.

    Attributes:
        settings: Limits and backoff of the calls.
        capacity: Source of lender candidates; receives grants and refusals.
        vm: VM of the entry.
        failure_domain: Failure domain of the VM.
        incarnation: Incarnation of the entry process.
        calls: Outstanding calls by VM and site of the lender.
    """

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
        """Return the outstanding calls for slots of ``pool``."""
        return [call for call in self.calls.values() if call.pool == pool]

    def start_calls(self, pool: PoolId, waiting: int, now: float) -> list[Borrow]:
        """Start calls for the waiting requests that no outstanding call covers.

        Args:
            pool: Pool of the requests.
            waiting: Number of waiting requests.
            now: Monotonic time.

        Returns:
            The calls to make.
        """
        outstanding = self.outstanding(pool)
        uncovered = waiting - sum(call.wanted for call in outstanding)
        calls_left = self.settings.max_borrow_calls - len(outstanding)
        if uncovered <= 0 or calls_left <= 0:
            return []
        borrows: list[Borrow] = []
        for candidate in self.capacity.lender_candidates(pool, now):
            if uncovered <= 0 or len(borrows) >= calls_left:
                break
            if (candidate.vm, candidate.site) in self.calls:
                continue
            wanted = min(uncovered, self.settings.max_slots_per_borrow_call)
            uncovered -= wanted
            borrows.append(self._register_call(pool, candidate, wanted))
        return borrows

    def finish_call(self, event: BorrowEnded, now: float) -> PoolId | None:
        """Pass the result of a call to the capacity.

        Returns:
            The pool of the call, or None if no such call is outstanding.
        """
        call = self.calls.pop((event.lender, event.site), None)
        if call is None:
            return None
        match event.result:
            case Grant() as grant:
                self.capacity.accept_grant(grant, event.asked_at, now)
            case Refusal(retry_after_s=retry_after_s):
                self.capacity.back_off_lender(call.candidate, retry_after_s, now)
            case None:
                backoff = self.settings.borrow_backoff_s
                self.capacity.back_off_lender(call.candidate, backoff, now)
        return call.pool

    def _register_call(self, pool: PoolId, candidate: LenderCandidate, wanted: int) -> Borrow:
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

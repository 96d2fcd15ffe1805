"""Replaces slow attempts, so that a silent server does not use up a request's deadline.

A replacement is one retry of the budget, goes to a server that is free now, and
cancels the slow attempt first: the request never uses two slots. Without a free
slot the slow attempt goes on, because waiting in a queue would be no faster.
"""

from collections.abc import Mapping

from knapweeddock.attempts import Attempt, Attempts, Work
from knapweeddock.budget import RetryBudget
from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Action, CancelAttempt
from knapweeddock.grants import Loan, Slot, SlotOutcome
from knapweeddock.ids import PoolId, ServerId
from knapweeddock.queueing import PoolQueue

BORROWED_PATIENCE = 2.0
"""Multiple of the patience with a lender, which knows its servers and replaces first."""


class SlowAttempts:
    """Finds idempotent attempts that take too long and starts others in their place."""

    def __init__(
        self, *, settings: DispatchSettings, capacity: Capacity, attempts: Attempts
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.attempts = attempts

    def find(self, queues: Mapping[PoolId, PoolQueue], now: float) -> list[Attempt]:
        """Return the running attempts that are slow and may be replaced."""
        return [
            attempt
            for attempt in self.attempts.running.values()
            if self._may_be_replaced(attempt)
            and self._is_slow(attempt, queues.get(attempt.work.pool), now)
        ]

    def _may_be_replaced(self, attempt: Attempt) -> bool:
        work = attempt.work
        request_class = work.request_class
        # A part of a streamed answer may be on its way to the caller already.
        repeatable = request_class.idempotent and not request_class.streaming
        return repeatable and work.attempts < self.settings.max_attempts

    def _is_slow(self, attempt: Attempt, queue: PoolQueue | None, now: float) -> bool:
        mean_s = attempt.work.service_time_s
        if queue is not None:
            mean_s = max(mean_s, queue.service_time_s)
        patience_s = max(self.settings.min_patience_s, self.settings.patience_factor * mean_s)
        if isinstance(attempt.holder, Loan):
            patience_s *= BORROWED_PATIENCE
        return now - attempt.started_at > patience_s and now + mean_s < attempt.work.deadline

    def replace(self, attempt: Attempt, budget: RetryBudget, now: float) -> list[Action]:
        """Cancel a slow attempt and start another one, if a slot and the budget allow."""
        work = attempt.work
        tried = set(work.tried)
        if isinstance(attempt.holder, Slot):
            tried.add(attempt.holder.server)
        holder = self._acquire(work, frozenset(tried), now)
        if holder is None:
            return []
        if not budget.withdraw(now):
            self.attempts.give_back(holder, now)
            return []
        self.attempts.finish(attempt.attempt, SlotOutcome.FAILED, now)
        work.tried = tried
        work.unknown_code = ResultCode.DEADLINE_DURING_RUN
        cancel = CancelAttempt(attempt=attempt.attempt)
        return [cancel, self.attempts.start(work, holder, now)]

    def _acquire(self, work: Work, tried: frozenset[ServerId], now: float) -> Slot | Loan | None:
        if work.grant is not None:
            grant = work.grant
            found = self.capacity.acquire_granted(
                grant.grant, grant.incarnation, now, exclude=tried
            )
            return None if isinstance(found, ResultCode) else found
        slot = self.capacity.acquire(work.pool, now, exclude=tried)
        return slot or self.capacity.acquire_loan(work.pool, now)

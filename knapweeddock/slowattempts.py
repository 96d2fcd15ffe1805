"""Replaces slow attempts, so that an unresponsive server does not use up a request's deadline.

A replacement counts as one retry of the retry budget and needs a slot that is free
now. Unlike hedging, the slow attempt is cancelled before the replacement is sent, so
that a request has one running attempt at a time. Without a free slot the slow attempt
goes on, because waiting in a queue would be no faster.
"""

from collections.abc import Mapping

from knapweeddock.attempts import Attempt, AttemptTable, Operation
from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Action, CancelAttempt
from knapweeddock.ids import PoolId, ServerId
from knapweeddock.queueing import PoolQueue
from knapweeddock.retrybudget import RetryBudget
from knapweeddock.slottypes import BorrowedSlot, Slot, SlotOutcome

BORROWED_SLOT_THRESHOLD_FACTOR = 2.0
"""Factor on the slow threshold for borrowed slots.

It lets the lender, which knows which of its servers are slow, replace the attempt first.
"""


class SlowAttempts:
    """Finds slow attempts of idempotent requests and replaces them."""

    def __init__(
        self, *, settings: DispatchSettings, capacity: Capacity, attempts: AttemptTable
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.attempts = attempts

    def find_slow(self, queues: Mapping[PoolId, PoolQueue], now: float) -> list[Attempt]:
        """Return the running attempts that are slow and may be replaced."""
        return [
            attempt
            for attempt in self.attempts.running.values()
            if self._is_replaceable(attempt)
            and self._is_slow(attempt, queues.get(attempt.operation.pool), now)
        ]

    def _is_replaceable(self, attempt: Attempt) -> bool:
        operation = attempt.operation
        request_class = operation.request_class
        # A part of a streamed response may already be on its way to the caller.
        repeatable = request_class.idempotent and not request_class.streaming
        return repeatable and operation.attempt_count < self.settings.max_attempts

    def _is_slow(self, attempt: Attempt, queue: PoolQueue | None, now: float) -> bool:
        service_time_s = attempt.operation.service_time_s
        if queue is not None:
            service_time_s = max(service_time_s, queue.service_time_s)
        threshold_s = max(
            self.settings.min_slow_threshold_s, self.settings.slow_threshold_factor * service_time_s
        )
        if isinstance(attempt.reservation, BorrowedSlot):
            threshold_s *= BORROWED_SLOT_THRESHOLD_FACTOR
        return (
            now - attempt.started_at > threshold_s
            and now + service_time_s < attempt.operation.deadline
        )

    def replace(self, attempt: Attempt, budget: RetryBudget, now: float) -> list[Action]:
        """Cancel a slow attempt and start another one, if a slot is free and the budget allows."""
        operation = attempt.operation
        tried_servers = set(operation.tried_servers)
        if isinstance(attempt.reservation, Slot):
            tried_servers.add(attempt.reservation.server)
        reservation = self._acquire(operation, frozenset(tried_servers), now)
        if reservation is None:
            return []
        if not budget.withdraw(now):
            self.attempts.release_unused(reservation, now)
            return []
        self.attempts.finish(attempt.attempt_id, SlotOutcome.FAILED, now)
        operation.tried_servers = tried_servers
        operation.unknown_outcome_code = ResultCode.DEADLINE_DURING_RUN
        cancel = CancelAttempt(attempt=attempt.attempt_id)
        return [cancel, self.attempts.start(operation, reservation, now)]

    def _acquire(
        self, operation: Operation, exclude: frozenset[ServerId], now: float
    ) -> Slot | BorrowedSlot | None:
        if operation.grant_use is not None:
            grant = operation.grant_use
            granted = self.capacity.acquire_lent_slot(
                grant.grant, grant.incarnation, now, exclude=exclude
            )
            return None if isinstance(granted, ResultCode) else granted
        slot = self.capacity.acquire(operation.pool, now, exclude=exclude)
        return slot or self.capacity.acquire_borrowed_slot(operation.pool, now)

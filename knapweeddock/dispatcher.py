"""Request dispatching: admission, queueing, attempts, retries and results.

A request is classified, matched with its idempotency key, checked against its deadline,
given a slot or queued, sent, and retried or completed. The dispatcher is deterministic
and does no I/O: the entry process carries out the actions of each event in order.
"""

import random
from typing import assert_never

from knapweeddock.admission import Admission
from knapweeddock.attemptfailures import SLOT_OUTCOMES, classify_failure
from knapweeddock.attempts import Attempt, AttemptTable, Operation
from knapweeddock.borrowcalls import BorrowCalls
from knapweeddock.capacity import Capacity
from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import (
    Action,
    Arrival,
    AttemptCommitted,
    AttemptEnded,
    AttemptOutcome,
    BorrowEnded,
    CallerDisconnected,
    CancelAttempt,
    Deliver,
    DiscardResponse,
    DrainStarted,
    Event,
    IdempotencyKey,
    Reply,
    Tick,
)
from knapweeddock.idempotency import KeyOutcome, KeyRecord, KeyState, KeyTable
from knapweeddock.ids import (
    AttemptId,
    FailureDomainId,
    Incarnation,
    PoolId,
    RequestId,
    ServiceId,
    VmId,
)
from knapweeddock.pendingrequests import PendingRequests
from knapweeddock.queueing import PoolQueue
from knapweeddock.retryafter import RetryAfter
from knapweeddock.retrybudget import RetryBudget
from knapweeddock.slottypes import BorrowedSlot, Slot, SlotOutcome
from knapweeddock.slowattempts import SlowAttempts
from knapweeddock.state import NodeState


class Dispatcher:
    """Handles the requests of one entry process."""

    def __init__(
        self,
        *,
        settings: DispatchSettings,
        capacity: Capacity,
        key_table: KeyTable,
        rng: random.Random,
        vm: VmId,
        failure_domain: FailureDomainId,
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.key_table = key_table
        self.retry_after = RetryAfter(settings=settings, rng=rng)
        self.admission = Admission(settings=settings, key_table=key_table)
        self.attempts = AttemptTable(capacity=capacity, incarnation=key_table.incarnation)
        self.slow_attempts = SlowAttempts(
            settings=settings, capacity=capacity, attempts=self.attempts
        )
        self.borrowing = BorrowCalls(
            settings=settings,
            capacity=capacity,
            vm=vm,
            failure_domain=failure_domain,
            incarnation=key_table.incarnation,
        )
        self.queues: dict[PoolId, PoolQueue] = {}
        self.retry_budgets: dict[ServiceId, RetryBudget] = {}
        self.pending = PendingRequests()
        self.actions: list[Action] = []

    def update(self, state: NodeState, now: float) -> None:
        """Apply a new snapshot; the next ``Tick`` starts operations that it makes possible."""
        self.admission.update(state.config)
        self.capacity.update(state, now)

    def query_outcome(self, key: IdempotencyKey, now: float) -> KeyOutcome:
        """Return the outcome of a key.

        A key that was never seen and may still be started is revoked first, so
        that the result "not run" stays true.
        """
        return self.key_table.query_outcome(key)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions that follow from it."""
        self.actions = []
        match event:
            case Arrival():
                self._on_arrival(event, now)
            case AttemptCommitted(attempt=attempt):
                self._on_attempt_committed(attempt)
            case AttemptEnded():
                self._on_attempt_ended(event, now)
            case CallerDisconnected(request=request):
                self._on_caller_disconnected(request, now)
            case BorrowEnded():
                self._on_borrow_ended(event, now)
            case DrainStarted():
                self.admission.draining = True
            case Tick():
                self._on_tick(now)
            case _:
                assert_never(event)
        return self.actions

    def _on_arrival(self, arrival: Arrival, now: float) -> None:
        result = self.admission.check(arrival, now)
        match result:
            case ResultCode():
                self._refuse(arrival, result)
            case KeyRecord():
                self._on_repeated_key(arrival, result, now)
            case Operation():
                self._admit(arrival, result, now)

    def _refuse(self, arrival: Arrival, code: ResultCode) -> None:
        self.admission.revoke_refused_key(arrival, code)
        wrong_incarnation = code is ResultCode.OTHER_INCARNATION and arrival.key is not None
        key_owner = arrival.key.incarnation if wrong_incarnation else None
        retry_after_s = self.retry_after.for_refused_request(code)
        self._reply(arrival.request, code, retry_after_s=retry_after_s, key_owner=key_owner)

    def _on_repeated_key(self, arrival: Arrival, record: KeyRecord, now: float) -> None:
        match record:
            case KeyRecord(state=KeyState.PENDING, operation=Operation() as operation):
                self._join_pending(arrival, operation, now)
            case KeyRecord(state=KeyState.COMPLETE, attempt=None):
                self._reply(arrival.request, ResultCode.ANSWER_NOT_KEPT)
            case KeyRecord(state=KeyState.COMPLETE):
                self.actions.append(Deliver(request=arrival.request, attempt=record.attempt))
            case KeyRecord(state=KeyState.NOT_RUN):
                self._reply(arrival.request, ResultCode.KEY_REVOKED)
            case _:
                # The outcome is unknown; the record names the reason.
                self._reply(arrival.request, record.code or ResultCode.SERVER_LOST)

    def _join_pending(self, arrival: Arrival, operation: Operation, now: float) -> None:
        timeout_s = self.admission.timeout_s(arrival, operation.request_class)
        if not timeout_s > 0:
            self._reply(arrival.request, ResultCode.DEADLINE_DURING_RUN)
            return
        self.pending.join(arrival.request, operation, now + timeout_s)

    def _admit(self, arrival: Arrival, operation: Operation, now: float) -> None:
        error = self._check_site_and_add_key(arrival, operation)
        if error is not None:
            self._refuse(arrival, error)
            return
        self.pending.add(operation)
        self._retry_budget(operation.service, now).record_request()
        if operation.grant_use is not None:
            self._start_granted(operation, now)
            return
        queue = self._queue_of(operation)
        none_free = self._start_queued(operation.pool, now)
        if none_free or not self._start(operation, now):
            self._enqueue(operation, queue, now)

    def _check_site_and_add_key(self, arrival: Arrival, operation: Operation) -> ResultCode | None:
        if operation.grant_use is None and not self.capacity.has_site(operation.pool):
            return ResultCode.NO_SITE
        if operation.key is not None and not self.key_table.add(
            operation.key, arrival.fingerprint, operation
        ):
            return ResultCode.KEY_TABLE_FULL
        return None

    def _enqueue(self, operation: Operation, queue: PoolQueue, now: float) -> None:
        code = queue.check_admission(
            operation, running=self.attempts.running_count(operation.pool), now=now
        )
        if code is None:
            queue.push(operation)
            self._borrow_or_fail(operation.pool, len(queue), now)
        else:
            # A refused request counts as demand: slots borrowed now serve the next request.
            self._borrow_or_fail(operation.pool, len(queue) + 1, now)
            self._fail(operation, code)

    def _start(self, operation: Operation, now: float) -> bool:
        reservation: Slot | BorrowedSlot | None = self.capacity.acquire(
            operation.pool, now, exclude=frozenset(operation.tried_servers)
        )
        if reservation is None:
            reservation = self.capacity.acquire_borrowed_slot(operation.pool, now)
        if reservation is None:
            return False
        self.actions.append(self.attempts.start(operation, reservation, now))
        return True

    def _start_granted(self, operation: Operation, now: float) -> None:
        slot = self.capacity.acquire_lent_slot(
            operation.grant_use.grant,
            operation.grant_use.incarnation,
            now,
            exclude=frozenset(operation.tried_servers),
        )
        if isinstance(slot, ResultCode):
            self._fail(operation, slot)
        else:
            self.actions.append(self.attempts.start(operation, slot, now))

    def _start_queued(self, pool: PoolId, now: float) -> bool:
        """Start queued operations in order and fail those that are too late.

        Returns:
            True if an operation that may use any server found no own or borrowed
            slot, so that no other operation can start either. False proves
            nothing: a retry excludes the servers that it has tried.
        """
        queue = self.queues.get(pool)
        for operation in queue or ():
            if operation.start_by <= now:
                self._fail(operation, operation.expiry_code)
            elif queue.would_finish_late_if_started(operation, now):
                self._fail(operation, ResultCode.WAIT_TOO_LONG)
            elif self._start(operation, now):
                queue.remove(operation)
            elif not operation.tried_servers:
                return True
        return False

    def _fail_late(self, pool: PoolId, now: float) -> None:
        """Fail queued operations that would start or finish too late, or all without a site."""
        queue = self.queues[pool]
        running = self.attempts.running_count(pool)
        has_site = self.capacity.has_site(pool)
        position = 0
        for operation in queue:
            if not has_site:
                self._fail(operation, ResultCode.NO_SITE)
            elif queue.would_wait_too_long(operation, position, running=running, now=now):
                self._fail(operation, ResultCode.WAIT_TOO_LONG)
            else:
                position += 1

    def _borrow_or_fail(self, pool: PoolId, wanted: int, now: float) -> None:
        """Ask lenders for slots; fail all queued operations if no slot can become free."""
        self.actions.extend(self.borrowing.start_calls(pool, wanted, now))
        if self.attempts.running_count(pool) or self.borrowing.outstanding(pool):
            return
        for operation in self.queues[pool]:
            self._fail(operation, ResultCode.WAIT_TOO_LONG)

    def _serve_queue(self, pool: PoolId, now: float) -> None:
        queue = self.queues.get(pool)
        if queue:
            self._start_queued(pool, now)
        if queue:
            self._borrow_or_fail(pool, len(queue), now)

    def _on_attempt_committed(self, attempt_id: AttemptId) -> None:
        attempt = self.attempts.running.get(attempt_id)
        if attempt is not None:
            attempt.committed = True

    def _on_attempt_ended(self, event: AttemptEnded, now: float) -> None:
        attempt = self.attempts.finish(event.attempt, SLOT_OUTCOMES[event.outcome], now)
        if attempt is None:
            return
        if event.outcome is AttemptOutcome.ANSWERED:
            self._queue_of(attempt.operation).record_service_time(now - attempt.started_at)
            self._complete(attempt, event.response_bytes)
        else:
            self._on_attempt_failed(attempt, event, now)
        self._serve_queue(attempt.operation.pool, now)

    def _complete(self, attempt: Attempt, response_bytes: int) -> None:
        operation = attempt.operation
        waiters = self.pending.remove_all(operation)
        for request in waiters:
            self.actions.append(Deliver(request=request, attempt=attempt.attempt_id))
        if operation.key is not None:
            response_needed = self.key_table.complete(
                operation.key, attempt.attempt_id, response_bytes
            )
        else:
            response_needed = bool(waiters)
        if not response_needed:
            self.actions.append(DiscardResponse(attempt=attempt.attempt_id))

    def _on_attempt_failed(self, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        operation = attempt.operation
        failure = classify_failure(attempt, event)
        match attempt.reservation:
            case Slot(server=server):
                operation.tried_servers.add(server)
            case BorrowedSlot(grant_id=grant) if failure.grant_ended:
                self.capacity.drop_grant(grant)
                operation.attempt_count -= 1
        if not failure.not_run:
            operation.unknown_outcome_code = failure.code
        elif not failure.grant_ended:
            operation.last_refusal_code = failure.code
            operation.retry_after_s = event.retry_after_s
        free_retry = failure.grant_ended
        may_retry = failure.retriable and operation.start_by > now
        if may_retry and (free_retry or self._withdraw_retry(operation, now)):
            self._retry(operation, now)
        else:
            self._fail(operation, failure.code)

    def _withdraw_retry(self, operation: Operation, now: float) -> bool:
        if operation.attempt_count >= self.settings.max_attempts:
            return False
        return self._retry_budget(operation.service, now).withdraw(now)

    def _retry(self, operation: Operation, now: float) -> None:
        if operation.grant_use is not None:
            self._start_granted(operation, now)
            return
        queue = self._queue_of(operation)
        if len(queue) >= queue.limit:
            self._fail(operation, ResultCode.QUEUE_FULL)
            return
        if operation.tried_servers:
            operation.start_by = min(operation.start_by, now + self.settings.max_retry_wait_s)
        queue.push(operation)

    def _fail(self, operation: Operation, code: ResultCode) -> None:
        """End an operation that is not retried and respond to all its waiting requests.

        ``code`` is the result only if no earlier attempt determined another one.
        """
        queue = self._queue_of(operation)
        queue.remove(operation)
        code = operation.unknown_outcome_code or operation.last_refusal_code or code
        unknown = outcome_of(code) is Outcome.UNKNOWN
        if operation.key is not None and unknown:
            self.key_table.mark_unknown(operation.key, code)
        elif operation.key is not None:
            self.key_table.revoke(operation.key)
        running = self.attempts.running_count(operation.pool)
        retry_after_s = self.retry_after.for_operation(operation, code, queue, running)
        for request in self.pending.remove_all(operation):
            self._reply(request, code, retry_after_s=retry_after_s)

    def _on_caller_disconnected(self, request: RequestId, now: float) -> None:
        operation = self.pending.remove(request)
        if operation is None or not operation.request_class.idempotent:
            return
        if operation.attempt is None:
            self._queue_of(operation).remove(operation)
            return
        attempt_id = operation.attempt.attempt_id
        self.attempts.finish(attempt_id, SlotOutcome.UNUSED, now)
        self.actions.append(CancelAttempt(attempt=attempt_id))
        self._serve_queue(operation.pool, now)

    def _on_borrow_ended(self, event: BorrowEnded, now: float) -> None:
        pool = self.borrowing.finish_call(event, now)
        if pool is not None:
            self._start_queued(pool, now)
            self._fail_late(pool, now)
            self._serve_queue(pool, now)

    def _on_tick(self, now: float) -> None:
        self.capacity.tick(now)
        for request in self.pending.remove_expired(now):
            self._reply(request, ResultCode.DEADLINE_DURING_RUN)
        for attempt_id in self.key_table.expire():
            self.actions.append(DiscardResponse(attempt=attempt_id))
        for attempt in self.slow_attempts.find_slow(self.queues, now):
            self.actions += self.slow_attempts.replace(
                attempt, self._retry_budget(attempt.operation.service, now), now
            )
        for pool, queue in self.queues.items():
            if queue:
                self._start_queued(pool, now)
                self._fail_late(pool, now)
                self._serve_queue(pool, now)

    def _reply(
        self,
        request: RequestId,
        code: ResultCode,
        *,
        retry_after_s: float | None = None,
        key_owner: Incarnation | None = None,
    ) -> None:
        reply = Reply(request=request, code=code, retry_after_s=retry_after_s, key_owner=key_owner)
        self.actions.append(reply)

    def _queue_of(self, operation: Operation) -> PoolQueue:
        queue = self.queues.get(operation.pool)
        if queue is None:
            queue = PoolQueue(
                limit=self.settings.max_queue_length, service_time_s=operation.service_time_s
            )
            self.queues[operation.pool] = queue
        return queue

    def _retry_budget(self, service: ServiceId, now: float) -> RetryBudget:
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(limits=self.settings.retry_budget, now=now)
            self.retry_budgets[service] = budget
        return budget

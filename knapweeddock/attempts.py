"""Operations that requests ask for, and the attempts to run them."""

from dataclasses import dataclass, field

from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.events import Action, GrantUse, IdempotencyKey, SendToEntry, SendToServer
from knapweeddock.ids import AttemptId, Incarnation, PoolId, RequestId, ServerId, ServiceId
from knapweeddock.model import RequestClass
from knapweeddock.slottypes import BorrowedSlot, Slot, SlotOutcome


@dataclass(kw_only=True, eq=False, slots=True)
class Operation:
    """A unit of work, shared by a request and later requests with the same key.

    Attributes:
        request: Identifier of the request that created the operation.
        service: Service of the request.
        request_class: Class of the request.
        deadline: Monotonic time at which a running attempt times out.
        start_by: Monotonic time after which the operation is neither started nor
            retried. The replacement of a slow attempt does not check it.
        key: Idempotency key of a non-idempotent request of a direct caller.
        grant_use: Grant under which another entry sent the request.
        waiters: Requests that receive the result.
        tried_servers: Servers on which an earlier attempt failed.
        attempt_count: Number of attempts that count towards the limit.
        attempt: The running attempt, if any.
        expiry_code: Result when ``start_by`` passes.
        last_refusal_code: Code of the last refusal that did not end a grant. It is the
            result if the operation fails and ``unknown_outcome_code`` is not set.
        unknown_outcome_code: Set once an attempt may have run the operation; no later
            result may then claim that it was not run.
        retry_after_s: Retry-After value, in seconds, that came with that refusal.
    """

    request: RequestId
    service: ServiceId
    request_class: RequestClass
    deadline: float
    start_by: float
    key: IdempotencyKey | None = None
    grant_use: GrantUse | None = None
    waiters: list[RequestId] = field(default_factory=list)
    tried_servers: set[ServerId] = field(default_factory=set)
    attempt_count: int = 0
    attempt: "Attempt | None" = None
    expiry_code: ResultCode = ResultCode.DEADLINE_PASSED
    last_refusal_code: ResultCode | None = None
    unknown_outcome_code: ResultCode | None = None
    retry_after_s: float | None = None

    @property
    def pool(self) -> PoolId:
        """Pool of backend servers that can run the operation."""
        return self.request_class.pool

    @property
    def service_time_s(self) -> float:
        """Configured service time of the request class in seconds."""
        return self.request_class.service_time_ms / 1000


@dataclass(kw_only=True, eq=False, slots=True)
class Attempt:
    """One attempt to run an operation.

    Attributes:
        attempt_id: Identifier of the attempt.
        operation: Operation that the attempt runs.
        reservation: Own or borrowed slot that is reserved until the attempt ends.
        started_at: Monotonic time of the start.
        committed: Whether a part of the response was forwarded to the caller.
    """

    attempt_id: AttemptId
    operation: Operation
    reservation: Slot | BorrowedSlot
    started_at: float
    committed: bool = False


class AttemptTable:
    """Running attempts; releases the slot of each attempt exactly once.

    Attributes:
        running: Running attempts by identifier.
        running_count_by_pool: Number of running attempts by pool.
        started_count: Attempts started so far; numbers the identifiers.
    """

    def __init__(self, *, capacity: Capacity, incarnation: Incarnation) -> None:
        self.capacity = capacity
        self.incarnation = incarnation
        self.running: dict[AttemptId, Attempt] = {}
        self.running_count_by_pool: dict[PoolId, int] = {}
        self.started_count = 0

    def start(self, operation: Operation, reservation: Slot | BorrowedSlot, now: float) -> Action:
        """Start an attempt on a reserved slot and return the action that sends it."""
        self.started_count += 1
        attempt = Attempt(
            attempt_id=AttemptId(f"{self.incarnation}-{self.started_count}"),
            operation=operation,
            reservation=reservation,
            started_at=now,
        )
        operation.attempt = attempt
        operation.attempt_count += 1
        self.running[attempt.attempt_id] = attempt
        self.running_count_by_pool[operation.pool] = self.running_count(operation.pool) + 1
        return _send_action(attempt)

    def finish(self, attempt_id: AttemptId, outcome: SlotOutcome, now: float) -> Attempt | None:
        """End an attempt and release its slot.

        Returns:
            The attempt, or None if it is not running because it was cancelled
            before the report of its end arrived.
        """
        attempt = self.running.pop(attempt_id, None)
        if attempt is None:
            return None
        operation = attempt.operation
        operation.attempt = None
        self.running_count_by_pool[operation.pool] -= 1
        self._release(attempt.reservation, outcome, now)
        return attempt

    def release_unused(self, reservation: Slot | BorrowedSlot, now: float) -> None:
        """Release a slot that was reserved for an attempt but is not needed."""
        self._release(reservation, SlotOutcome.UNUSED, now)

    def _release(self, reservation: Slot | BorrowedSlot, outcome: SlotOutcome, now: float) -> None:
        match reservation:
            case Slot() as slot:
                self.capacity.release(slot, outcome, now)
            case BorrowedSlot() as borrowed:
                self.capacity.release_borrowed_slot(borrowed, now)

    def running_count(self, pool: PoolId) -> int:
        """Return the number of running attempts of ``pool``."""
        return self.running_count_by_pool.get(pool, 0)


def _send_action(attempt: Attempt) -> Action:
    operation = attempt.operation
    request_class = operation.request_class
    match attempt.reservation:
        case Slot() as slot:
            return SendToServer(
                request=operation.request,
                attempt=attempt.attempt_id,
                slot=slot,
                deadline=operation.deadline,
                idempotent=request_class.idempotent,
                streaming=request_class.streaming,
            )
        case BorrowedSlot() as borrowed:
            return SendToEntry(
                request=operation.request,
                attempt=attempt.attempt_id,
                borrowed_slot=borrowed,
                deadline=operation.deadline,
                idempotent=request_class.idempotent,
                streaming=request_class.streaming,
            )

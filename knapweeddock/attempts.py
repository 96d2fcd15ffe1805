"""The work that requests ask for, and the attempts to have it run."""

from dataclasses import dataclass, field

from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.events import Action, GrantUse, IdempotencyKey, SendToEntry, SendToServer
from knapweeddock.grants import Loan, Slot, SlotOutcome
from knapweeddock.ids import AttemptId, Incarnation, PoolId, RequestId, ServerId, ServiceId
from knapweeddock.model import RequestClass


@dataclass(kw_only=True, eq=False, slots=True)
class Operation:
    """One operation, asked for by a request and by repetitions of its key.

    Attributes:
        request: The request that asked first.
        service: Service of the request.
        request_class: Class of the request.
        deadline: When a running attempt is given up.
        start_by: When an attempt must have been started.
        key: Key of a non-idempotent request of this entry's own callers.
        grant: Grant that the request came in under.
        waiters: Requests that get the result.
        tried: Servers that an earlier attempt failed on.
        attempts: Attempts that counted against the limit.
        attempt: The attempt that runs now.
        late_code: Result when ``start_by`` passes.
        refusal_code: Result when no retry is possible after a refusal.
        unknown_code: Set when an earlier attempt may have run; no later
            result may then claim that the work was not run.
        retry_after_s: When the last server or lender wants to be asked again.
    """

    request: RequestId
    service: ServiceId
    request_class: RequestClass
    deadline: float
    start_by: float
    key: IdempotencyKey | None = None
    grant: GrantUse | None = None
    waiters: list[RequestId] = field(default_factory=list)
    tried: set[ServerId] = field(default_factory=set)
    attempts: int = 0
    attempt: "Attempt | None" = None
    expiry_code: ResultCode = ResultCode.DEADLINE_PASSED
    refusal_code: ResultCode | None = None
    unknown_code: ResultCode | None = None
    retry_after_s: float | None = None

    @property
    def pool(self) -> PoolId:
        """Pool of backend servers that run the work."""
        return self.request_class.pool

    @property
    def service_time_s(self) -> float:
        """Expected time on a server in seconds."""
        return self.request_class.service_time_ms / 1000


@dataclass(kw_only=True, eq=False, slots=True)
class Attempt:
    """One attempt to have a piece of work run.

    Attributes:
        attempt: Identifier of the attempt.
        work: The work.
        holder: Slot or loan that the attempt holds until it ends.
        started_at: When the attempt was started.
        committed: Whether a part of the answer was passed on.
    """

    attempt: AttemptId
    work: Operation
    holder: Slot | Loan
    started_at: float
    committed: bool = False


class AttemptTable:
    """The running attempts; releases the slot or loan of each exactly once."""

    def __init__(self, *, capacity: Capacity, incarnation: Incarnation) -> None:
        self.capacity = capacity
        self.incarnation = incarnation
        self.running: dict[AttemptId, Attempt] = {}
        self.running_count_by_pool: dict[PoolId, int] = {}
        self.started_count = 0

    def start(self, operation: Operation, reservation: Slot | Loan, now: float) -> Action:
        """Start an attempt on an acquired slot or loan and return its send action."""
        self.started_count += 1
        attempt = Attempt(
            attempt=AttemptId(f"{self.incarnation}-{self.started_count}"),
            work=operation,
            holder=reservation,
            started_at=now,
        )
        operation.attempt = attempt
        operation.attempts += 1
        self.running[attempt.attempt] = attempt
        self.running_count_by_pool[operation.pool] = self.running_count(operation.pool) + 1
        return _send_action(attempt)

    def finish(self, attempt_id: AttemptId, outcome: SlotOutcome, now: float) -> Attempt | None:
        """End an attempt and release what it held.

        Returns:
            The attempt, or None when it is not running (it was cancelled
            while the report of its end was under way).
        """
        attempt = self.running.pop(attempt_id, None)
        if attempt is None:
            return None
        operation = attempt.work
        operation.attempt = None
        self.running_count_by_pool[operation.pool] -= 1
        self._release(attempt.holder, outcome, now)
        return attempt

    def release_unused(self, reservation: Slot | Loan, now: float) -> None:
        """Release what was acquired for an attempt that is not started."""
        self._release(reservation, SlotOutcome.UNUSED, now)

    def _release(self, reservation: Slot | Loan, outcome: SlotOutcome, now: float) -> None:
        match reservation:
            case Slot() as slot:
                self.capacity.release(slot, outcome, now)
            case Loan() as loan:
                self.capacity.release_loan(loan, now)

    def running_count(self, pool: PoolId) -> int:
        """Return the number of running attempts in ``pool``."""
        return self.running_count_by_pool.get(pool, 0)


def _send_action(attempt: Attempt) -> Action:
    operation = attempt.work
    request_class = operation.request_class
    match attempt.holder:
        case Slot() as slot:
            return SendToServer(
                request=operation.request,
                attempt=attempt.attempt,
                slot=slot,
                deadline=operation.deadline,
                idempotent=request_class.idempotent,
                streaming=request_class.streaming,
            )
        case Loan() as loan:
            return SendToEntry(
                request=operation.request,
                attempt=attempt.attempt,
                loan=loan,
                deadline=operation.deadline,
                idempotent=request_class.idempotent,
                streaming=request_class.streaming,
            )

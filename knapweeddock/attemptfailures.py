"""Classifies failed attempts: whether the operation ran and whether a retry is safe."""

from dataclasses import dataclass

from knapweeddock.attempts import Attempt
from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.events import AttemptEnded, AttemptOutcome
from knapweeddock.slottypes import BorrowedSlot, SlotOutcome

SLOT_OUTCOMES = {
    AttemptOutcome.ANSWERED: SlotOutcome.ANSWERED,
    AttemptOutcome.CONNECT_FAILED: SlotOutcome.FAILED,
    AttemptOutcome.SHED: SlotOutcome.SHED,
    AttemptOutcome.LOST: SlotOutcome.FAILED,
    AttemptOutcome.INCOMPLETE: SlotOutcome.FAILED,
    AttemptOutcome.TIMED_OUT: SlotOutcome.FAILED,
}
"""What the end of an attempt says about the health of its server."""

NOT_STARTED_OUTCOMES = frozenset({AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SHED})
"""Outcomes which prove that the server did not start the request."""

GRANT_ENDED_CODES = frozenset({ResultCode.GRANT_LAPSED, ResultCode.DRAINING})
"""Refusals by a lender that apply to the whole grant, not to a single request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailure:
    """Consequences of a failed attempt.

    Attributes:
        code: Result code if the operation is not retried.
        not_run: Whether the attempt provably did not run the operation.
        retriable: Whether another attempt is safe and this one did not time out.
        grant_ended: Whether the lender no longer accepts the grant or cannot be
            reached.
    """

    code: ResultCode
    not_run: bool
    retriable: bool
    grant_ended: bool


def classify_failure(attempt: Attempt, event: AttemptEnded) -> AttemptFailure:
    """Return what a failed attempt means for its operation.

    A result code with an unknown outcome takes precedence over a refusal: a
    lender may have sent the request to a server before it refused.
    """
    borrowed = isinstance(attempt.reservation, BorrowedSlot)
    outcome_unknown = event.code is not None and outcome_of(event.code) is Outcome.UNKNOWN
    not_run = (
        event.outcome in NOT_STARTED_OUTCOMES and not outcome_unknown and not attempt.committed
    )
    repeatable = attempt.operation.request_class.idempotent and not attempt.committed
    timed_out = event.outcome is AttemptOutcome.TIMED_OUT
    connect_failed = event.outcome is AttemptOutcome.CONNECT_FAILED
    return AttemptFailure(
        code=_not_run_code(event) if not_run else _unknown_code(event, borrowed),
        not_run=not_run,
        retriable=not_run or (repeatable and not timed_out),
        grant_ended=borrowed and not_run and (connect_failed or event.code in GRANT_ENDED_CODES),
    )


def _not_run_code(event: AttemptEnded) -> ResultCode:
    return event.code or ResultCode.SHED


def _unknown_code(event: AttemptEnded, borrowed: bool) -> ResultCode:
    if event.code is not None and outcome_of(event.code) is Outcome.UNKNOWN:
        return event.code
    match event.outcome:
        case AttemptOutcome.INCOMPLETE:
            return ResultCode.INCOMPLETE_ANSWER
        case AttemptOutcome.TIMED_OUT:
            return ResultCode.DEADLINE_DURING_RUN
        case _:
            return ResultCode.ENTRY_LOST if borrowed else ResultCode.SERVER_LOST

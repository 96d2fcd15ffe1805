"""Events that the dispatcher takes in and actions that it gives out.

All times are monotonic seconds of the process unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from knapweeddock.codes import ResultCode
from knapweeddock.grants import BorrowRequest, Grant, LenderCandidate, Loan, Refusal, Slot
from knapweeddock.ids import AttemptId, GrantId, Incarnation, RequestId, SiteId, VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class IdempotencyKey:
    """What identifies a non-idempotent request.

    Attributes:
        key: The caller's own id of the operation.
        incarnation: Entry process that alone may start the operation.
        not_after: Unix time in seconds after which it must not start.
    """

    key: str
    incarnation: Incarnation
    not_after: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantUse:
    """A request that came from another entry under a grant.

    Attributes:
        grant: The grant.
        incarnation: Incarnation of the lender that the borrower knows.
        site: Site that the grant is for.
    """

    grant: GrantId
    incarnation: Incarnation
    site: SiteId


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request came in.

    Attributes:
        request: Identifier within this process.
        host: Host name without the port.
        method: HTTP method.
        path: Path without the query.
        budget_s: Remaining time that the caller gave; None for the default.
        key: Key of a non-idempotent request, when given.
        body_digest: Digest of method, path with query, and body.
        grant: Set when another entry sent the request.
    """

    request: RequestId
    host: str
    method: str
    path: str
    budget_s: float | None = None
    key: IdempotencyKey | None = None
    body_digest: bytes = b""
    grant: GrantUse | None = None


class AttemptOutcome(Enum):
    """How one attempt to have a request run ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The connection was refused: the request was provably not sent."""
    SHED = "shed"
    """The server or lender said explicitly that it did not start the request."""
    LOST = "lost"
    """The connection broke or went silent after the request was sent."""
    INCOMPLETE = "incomplete"
    """The answer ended early."""
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptCommitted:
    """The first part of the answer was passed on; no other attempt is possible."""

    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        attempt: The attempt.
        outcome: How it ended.
        code: Result code that a lender gave with its refusal or unknown outcome.
        retry_after_s: When the server or lender wants to be asked again.
        answer_bytes: Size of a complete answer.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    code: ResultCode | None = None
    retry_after_s: float | None = None
    answer_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer."""

    request: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowEnded:
    """A call to a lender ended.

    Attributes:
        lender: The lender that was asked.
        site: The site.
        asked_at: Monotonic time before the call was made.
        result: The grant, a refusal, or None when the call failed.
    """

    lender: VmId
    site: SiteId
    asked_at: float
    result: Grant | Refusal | None


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainStarted:
    """The process is stopping; new requests are refused from now on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed."""


Event = Arrival | AttemptCommitted | AttemptEnded | CallerGone | BorrowEnded | DrainStarted | Tick


@dataclass(frozen=True, kw_only=True, slots=True)
class SendToServer:
    """Send a request to a backend server.

    Attributes:
        request: The request.
        attempt: Identifier of this attempt.
        slot: Slot that is held until the attempt has ended.
        deadline: When the attempt is given up.
        idempotent: Whether a pooled connection may be used.
        streaming: Whether the answer may be passed on before it is complete.
    """

    request: RequestId
    attempt: AttemptId
    slot: Slot
    deadline: float
    idempotent: bool
    streaming: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SendToEntry:
    """Send a request to the entry that lends a slot."""

    request: RequestId
    attempt: AttemptId
    loan: Loan
    deadline: float
    idempotent: bool
    streaming: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; no AttemptEnded follows."""

    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class Deliver:
    """Pass the answer of an attempt on to the caller of a request.

    The request may differ from the one the attempt was made for, when it
    repeats the key of an earlier one.
    """

    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Answer a request with a result code.

    Attributes:
        request: The request.
        code: The result.
        retry_after_s: When the caller should come back; None when it should not.
        ask: Incarnation that knows more, when there is one.
    """

    request: RequestId
    code: ResultCode
    retry_after_s: float | None = None
    ask: Incarnation | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Borrow:
    """Ask another entry for slots.

    Attributes:
        lender: The entry and its address.
        request: The message to send.
    """

    lender: LenderCandidate
    request: BorrowRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class ForgetAnswer:
    """The kept answer of an attempt will not be asked for any more."""

    attempt: AttemptId


Action = SendToServer | SendToEntry | CancelAttempt | Deliver | Reply | Borrow | ForgetAnswer

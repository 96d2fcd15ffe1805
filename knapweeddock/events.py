"""Input events and output actions of the dispatcher.

All times are monotonic seconds of the process unless noted otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from knapweeddock.codes import ResultCode
from knapweeddock.ids import AttemptId, GrantId, Incarnation, RequestId, SiteId, VmId
from knapweeddock.slottypes import (
    BorrowedSlot,
    BorrowRequest,
    Grant,
    LenderCandidate,
    Refusal,
    Slot,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class IdempotencyKey:
    """Key that a request shares with its repetitions.

    Direct callers must send one with each non-idempotent request.

    Attributes:
        value: Identifier of the operation, chosen by the caller.
        incarnation: Incarnation of the only entry process that may start the
            operation.
        not_after: Unix time in seconds after which the operation must not start.
    """

    value: str
    incarnation: Incarnation
    not_after: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantUse:
    """Grant under which another entry sent a request.

    Attributes:
        grant: Identifier of the grant.
        incarnation: Incarnation of the lender as known to the borrower.
        site: Site for which the grant was given.
    """

    grant: GrantId
    incarnation: Incarnation
    site: SiteId


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request was received.

    Attributes:
        request: Identifier of the request within this process.
        host: Host name without the port.
        method: HTTP method.
        path: Path without the query.
        timeout_s: Remaining time in seconds given by the caller; None for the
            default of the class.
        key: Idempotency key, if the caller sent one.
        fingerprint: Digest of method, path with query, and body.
        grant_use: Set if another entry sent the request under a grant.
    """

    request: RequestId
    host: str
    method: str
    path: str
    timeout_s: float | None = None
    key: IdempotencyKey | None = None
    fingerprint: bytes = b""
    grant_use: GrantUse | None = None


class AttemptOutcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    CONNECT_FAILED = "refused"
    """The connection could not be opened, so the request was provably not sent."""
    SHED = "shed"
    """The server or lender stated that it did not start the request."""
    LOST = "lost"
    """The connection was lost or became unresponsive after the request was sent."""
    INCOMPLETE = "incomplete"
    """The response was incomplete."""
    TIMED_OUT = "timed-out"
    """The deadline passed before the response was complete; the request may have been sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptCommitted:
    """The first part of the response was forwarded; the request cannot be retried."""

    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        attempt: Identifier of the attempt.
        outcome: How the attempt ended.
        code: Result code that a lender gave with a refusal or an unknown outcome.
        retry_after_s: Retry-After value of the server or lender in seconds.
        response_bytes: Size of a complete response.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    code: ResultCode | None = None
    retry_after_s: float | None = None
    response_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before it received the response."""

    request: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowEnded:
    """A call to a lender ended.

    Attributes:
        lender: VM of the lender.
        site: Site whose slots were requested.
        asked_at: Time immediately before the call.
        result: The grant, a refusal, or None if the call failed.
    """

    lender: VmId
    site: SiteId
    asked_at: float
    result: Grant | Refusal | None


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainStarted:
    """The process is stopping and refuses new requests from now on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed or the state changed.

    Lets timeouts, expiries and queued operations take effect.
    """


Event = (
    Arrival
    | AttemptCommitted
    | AttemptEnded
    | CallerDisconnected
    | BorrowEnded
    | DrainStarted
    | Tick
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SendToServer:
    """Send a request to a backend server.

    Attributes:
        request: Identifier of the request.
        attempt: Identifier of the attempt.
        slot: Slot that is reserved until the attempt has ended.
        deadline: Time at which the attempt times out.
        idempotent: Whether the request is idempotent, so that a pooled connection
            may be used (the receiver may close it while the request is sent).
        streaming: Whether the response may be forwarded before it is complete.
    """

    request: RequestId
    attempt: AttemptId
    slot: Slot
    deadline: float
    idempotent: bool
    streaming: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SendToEntry:
    """Send a request to the lender of a borrowed slot.

    Attributes:
        request: Identifier of the request.
        attempt: Identifier of the attempt.
        borrowed_slot: Borrowed slot that is reserved until the attempt has ended.
        deadline: Time at which the attempt times out.
        idempotent: Whether the request is idempotent, so that a pooled connection
            may be used (the receiver may close it while the request is sent).
        streaming: Whether the response may be forwarded before it is complete.
    """

    request: RequestId
    attempt: AttemptId
    borrowed_slot: BorrowedSlot
    deadline: float
    idempotent: bool
    streaming: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; no ``AttemptEnded`` follows."""

    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class Deliver:
    """Send the response of an attempt to the caller of a request.

    The request may be another one than the one the attempt was made for: it
    may repeat the key of an earlier request.
    """

    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Respond to a request with a result code.

    Attributes:
        request: Identifier of the request.
        code: Result code.
        retry_after_s: Retry-After value in seconds; None if the caller should not
            retry.
        key_owner: Incarnation that owns the idempotency key, if it is another one.
    """

    request: RequestId
    code: ResultCode
    retry_after_s: float | None = None
    key_owner: Incarnation | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Borrow:
    """Ask another entry to lend slots.

    Attributes:
        lender: The lender with its address.
        request: Message to send.
    """

    lender: LenderCandidate
    request: BorrowRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscardResponse:
    """Discard the response of an attempt; no later ``Deliver`` names it."""

    attempt: AttemptId


Action = SendToServer | SendToEntry | CancelAttempt | Deliver | Reply | Borrow | DiscardResponse

"""Requests, responses and results that the tasks of the entry exchange."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from multidict import CIMultiDict
from opentelemetry.context import Context

from knapweeddock.codes import ResultCode
from knapweeddock.events import Arrival, AttemptOutcome
from knapweeddock.idempotency import KeyOutcome
from knapweeddock.ids import RequestId

MAX_QUEUED_CHUNKS = 4
"""Chunks of a streamed response that are queued for a slow caller before reading from the
server pauses."""


@dataclass(kw_only=True, eq=False, slots=True)
class IncomingRequest:
    """A request that was read completely.

    Attributes:
        arrival: Event for the dispatcher.
        method: HTTP method.
        target: Path with query as sent by the caller.
        headers: Headers to forward.
        body: The body.
        trace_context: Trace context of the span in which the request is handled.
    """

    arrival: Arrival
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    trace_context: Context


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """A complete response of a backend server."""

    status: int
    reason: str | None
    headers: CIMultiDict[str]
    body: bytes


class StreamEnd(Enum):
    """Last item in the queue of a streamed response."""

    COMPLETE = "complete"
    BROKEN = "broken"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedResponse:
    """A response that is forwarded while it is received.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to forward.
        length: Length of the body in bytes, if the server sent it.
        timeout_s: Time in seconds after which receiving it times out.
        chunks: Parts of the body, then a ``StreamEnd``.
    """

    status: int
    reason: str | None
    headers: CIMultiDict[str]
    length: int | None
    timeout_s: float
    chunks: asyncio.Queue[bytes | StreamEnd] = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_CHUNKS)
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class CodeResponse:
    """A result code that is returned instead of a server's response.

    Attributes:
        code: The result code.
        retry_after_s: Time in seconds after which the caller should retry.
        owner_url: URL of the entry that owns the idempotency key.
        message: Error message that is more specific than the meaning of the code.
    """

    code: ResultCode
    retry_after_s: float | None = None
    owner_url: str | None = None
    message: str | None = None


ProxyResponse = BufferedResponse | StreamedResponse | CodeResponse


@dataclass(kw_only=True, eq=False, slots=True)
class PendingRequest:
    """A request that has no response yet.

    Attributes:
        request: Identifier of the request.
        incoming: The request.
        response: Future of the response, which is set once.
    """

    request: RequestId
    incoming: IncomingRequest
    response: asyncio.Future[ProxyResponse]

    def resolve(self, response: ProxyResponse) -> bool:
        """Set the response; return False if there already is one."""
        if self.response.done():
            return False
        self.response.set_result(response)
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeResult:
    """Result of an outcome query.

    Attributes:
        outcome: Outcome of the key.
        stored_response: Response of the operation, if it is stored.
        owner_url: URL of the entry that owns the key, if it is another one.
    """

    outcome: KeyOutcome
    stored_response: BufferedResponse | None
    owner_url: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """Result of a call to a backend server or to another entry.

    Attributes:
        outcome: How the call ended.
        response: The complete response of a call that ended with ``ANSWERED``; None if
            it was streamed.
        code: Result code that a lender returned.
        retry_after_s: Retry delay in seconds that the server or lender asked for.
        response_bytes: Size of the response body in bytes.
        draining: Whether the server announced in its response that it is draining.
    """

    outcome: AttemptOutcome
    response: BufferedResponse | None = None
    code: ResultCode | None = None
    retry_after_s: float | None = None
    response_bytes: int = 0
    draining: bool = False

"""Requests and answers as the tasks of the entry hand them to each other."""

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
"""Chunks of a streamed answer that wait for a slow caller before reading stops."""


@dataclass(kw_only=True, eq=False, slots=True)
class IncomingRequest:
    """A request that was read completely.

    Attributes:
        arrival: What the dispatcher needs to know of it.
        method: HTTP method.
        target: Path with query as the caller wrote it.
        headers: Headers that are passed on.
        body: The body.
        context: Trace context of the span that handles it.
    """

    arrival: Arrival
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    trace_context: Context


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """A complete answer of a backend server."""

    status: int
    reason: str | None
    headers: CIMultiDict[str]
    body: bytes


class StreamEnd(Enum):
    """Last item of a streamed answer."""

    COMPLETE = "complete"
    BROKEN = "broken"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedResponse:
    """An answer that is passed on while it is read.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to pass on.
        length: Length of the body in bytes, when the server gave it.
        timeout_s: Time after which its reading is given up.
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
    """A result code in place of an answer.

    Attributes:
        code: The result.
        retry_after_s: When the caller should come back.
        ask: URL of the entry that knows more.
        message: What is wrong, when more is known than the code tells.
    """

    code: ResultCode
    retry_after_s: float | None = None
    owner_url: str | None = None
    message: str | None = None


ProxyResponse = BufferedResponse | StreamedResponse | CodeResponse


@dataclass(kw_only=True, eq=False, slots=True)
class PendingRequest:
    """A request that has no answer yet.

    Attributes:
        request: Identifier.
        incoming: The request.
        answer: Resolved once, with the only answer that is written.
    """

    request: RequestId
    incoming: IncomingRequest
    response: asyncio.Future[ProxyResponse]

    def resolve(self, response: ProxyResponse) -> bool:
        """Set the answer and return False when there was one already."""
        if self.response.done():
            return False
        self.response.set_result(response)
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeResult:
    """Answer to an outcome query, with the kept answer when there is one."""

    outcome: KeyOutcome
    stored_response: BufferedResponse | None
    owner_url: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """How one call to a backend server or to another entry ended.

    Attributes:
        outcome: How it ended.
        answer: The complete answer of a call that ended with ``ANSWERED``;
            None when it was streamed.
        code: Result code that a lender gave.
        retry_after_s: When the server or lender wants to be asked again.
        answer_bytes: Size of the answer's body.
        draining: Whether the server said that it is leaving.
    """

    outcome: AttemptOutcome
    response: BufferedResponse | None = None
    code: ResultCode | None = None
    retry_after_s: float | None = None
    response_bytes: int = 0
    draining: bool = False

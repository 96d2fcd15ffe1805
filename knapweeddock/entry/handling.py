"""Handles the HTTP requests of callers and of other entries."""

import asyncio
import itertools

import msgspec
import structlog
from aiohttp import hdrs, web
from opentelemetry.context import Context
from opentelemetry.trace import SpanKind

from knapweeddock.clock import Clock
from knapweeddock.codes import ResultCode
from knapweeddock.entry.dispatchloop import DispatchLoop
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.intake import Intake, RequestRefused, key_of
from knapweeddock.entry.messages import Answer, CodeAnswer, IncomingRequest
from knapweeddock.entry.replies import code_response, outcome_response, write_answer
from knapweeddock.idempotency import KeyState
from knapweeddock.ids import Incarnation, RequestId
from knapweeddock.state import MemberState
from knapweeddock.tracing import Tracing

log = structlog.get_logger(__name__)

OWN_PATHS = "/knapweed/"
OUTCOME_PATH = "/knapweed/v1/outcome"
READY_PATH = "/knapweed/v1/ready"

REFUSED_RETRY_S = 1.0
"""When to come back after a refusal by a full process."""


class RequestHandling:
    """Reads a request, hands it to the dispatch loop and writes its answer.

    Attributes:
        member_state: State of the process.
        closing: Whether connections are closed after their next answer.
        active: Requests that are read, run or answered now.
    """

    def __init__(
        self,
        *,
        loop: DispatchLoop,
        intake: Intake,
        tracing: Tracing,
        metrics: EntryMetrics,
        clock: Clock,
        incarnation: Incarnation,
        request_limit: int,
    ) -> None:
        self.loop = loop
        self.intake = intake
        self.tracing = tracing
        self.metrics = metrics
        self.clock = clock
        self.incarnation = incarnation
        self.request_limit = request_limit
        self.member_state = MemberState.JOINING
        self.closing = False
        self.active = 0
        self.numbers = itertools.count(1)

    async def public(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request on the public port."""
        path = request.raw_path.partition("?")[0]
        if path.startswith(OWN_PATHS):
            return await self._own(request, path)
        return await self._steer(request, granted=False)

    async def internal(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of another entry."""
        return await self._steer(request, granted=True)

    # Requests for backend servers

    async def _steer(self, request: web.BaseRequest, *, granted: bool) -> web.StreamResponse:
        started_at = self.clock.monotonic()
        self.active += 1
        try:
            parent = self.tracing.extract(request.headers)
            with self.tracing.span("handle", SpanKind.SERVER, parent) as span:
                context = self.tracing.context_of(span)
                try:
                    incoming = await self._read(request, context, granted=granted)
                except RequestRefused as error:
                    answer = await self._refusal(request, error, granted=granted)
                    response = await write_answer(request, answer, last=True)
                else:
                    answer, response = await self._run(request, incoming)
                code = answer.code if isinstance(answer, CodeAnswer) else ResultCode.OK
                span.set_attribute("knapweed.code", int(code))
        finally:
            self.active -= 1
        port = "internal" if granted else "public"
        self.metrics.answered(port, code, self.clock.monotonic() - started_at)
        return response

    async def _read(
        self, request: web.BaseRequest, context: Context, *, granted: bool
    ) -> IncomingRequest:
        if self.active > self.request_limit:
            raise RequestRefused(
                f"the entry handles {self.request_limit} requests already",
                code=ResultCode.QUEUE_FULL,
            )
        identifier = RequestId(str(next(self.numbers)))
        if granted:
            return await self.intake.read_granted(request, identifier, context)
        return await self.intake.read(request, identifier, context)

    async def _run(
        self, request: web.BaseRequest, incoming: IncomingRequest
    ) -> tuple[Answer, web.StreamResponse]:
        pending = self.loop.submit(incoming)
        try:
            answer = await pending.answer
            return answer, await write_answer(request, answer, last=self.closing)
        except (asyncio.CancelledError, ConnectionError):
            self.loop.caller_gone(pending)
            raise

    async def _refusal(
        self, request: web.BaseRequest, error: RequestRefused, *, granted: bool
    ) -> Answer:
        """Return the answer to a request that the dispatcher does not see.

        The refusal says "not run". For a repeated key that holds only if the
        first request was not started; a key that is new is revoked, so that no
        delayed copy of the request starts later.
        """
        retry_after_s = REFUSED_RETRY_S if error.code is ResultCode.QUEUE_FULL else None
        refusal = CodeAnswer(code=error.code, retry_after_s=retry_after_s, message=str(error))
        try:
            key = None if granted else key_of(request.headers)
        except RequestRefused:
            return refusal
        if key is None:
            return refusal
        result = await self.loop.outcome(key)
        match result.outcome.state:
            case KeyState.NOT_RUN:
                return refusal
            case KeyState.COMPLETE if result.kept is not None:
                return result.kept
            case KeyState.PENDING:
                return CodeAnswer(code=ResultCode.DEADLINE_DURING_RUN, retry_after_s=retry_after_s)
        return CodeAnswer(code=result.outcome.code, ask=result.ask)

    # The entry's own paths

    async def _own(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        match request.method, path:
            case hdrs.METH_POST, "/knapweed/v1/outcome":
                return await self._outcome(request)
            case hdrs.METH_GET, "/knapweed/v1/ready":
                return self._ready()
        allowed = f"POST {OUTCOME_PATH} and GET {READY_PATH}"
        return code_response(
            CodeAnswer(code=ResultCode.UNKNOWN_CLASS, message=f"Allowed here: {allowed}.")
        )

    async def _outcome(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            key = key_of(request.headers)
        except RequestRefused as error:
            return code_response(CodeAnswer(code=error.code, message=str(error)))
        if key is None:
            return code_response(CodeAnswer(code=ResultCode.KEY_MISSING))
        return outcome_response(await self.loop.outcome(key))

    def _ready(self) -> web.StreamResponse:
        match self.member_state:
            case MemberState.SERVING:
                body = ReadyBody(
                    state=self.member_state.value,
                    incarnation=self.incarnation,
                    config_version=self.loop.node_state.config_version,
                )
                return web.Response(body=msgspec.json.encode(body), content_type="application/json")
            case MemberState.JOINING:
                code = ResultCode.NOT_READY
            case _:
                code = ResultCode.DRAINING
        return code_response(CodeAnswer(code=code, retry_after_s=REFUSED_RETRY_S))


class ReadyBody(msgspec.Struct, kw_only=True):
    """JSON body of the answer of a process that takes requests."""

    state: str
    incarnation: str
    config_version: int

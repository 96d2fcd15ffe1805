"""HTTP request handlers for callers and other entries."""

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
from knapweeddock.entry.messages import CodeResponse, IncomingRequest, ProxyResponse
from knapweeddock.entry.requestreader import RequestReader, RequestRejected, parse_idempotency_key
from knapweeddock.entry.responses import code_response, outcome_response, write_response
from knapweeddock.idempotency import KeyState
from knapweeddock.ids import Incarnation, RequestId
from knapweeddock.state import MemberState
from knapweeddock.tracing import Tracing

log = structlog.get_logger(__name__)

OWN_PATH_PREFIX = "/knapweed/"
OUTCOME_PATH = "/knapweed/v1/outcome"
READY_PATH = "/knapweed/v1/ready"

REJECTION_RETRY_AFTER_S = 1.0
"""Retry-After of rejections by a full process and of the readiness endpoint."""


class ProxyHandler:
    """Reads requests, submits them to the dispatch loop and writes the responses.

    Attributes:
        reader: Reads and checks requests.
        request_limit: Maximum number of requests in the process.
        member_state: State of the process.
        close_connections: Whether connections are closed after their next response.
        active_requests: Number of requests that are being read, run or responded to.
        request_numbers: Source of request identifiers.
    """

    def __init__(
        self,
        *,
        dispatch_loop: DispatchLoop,
        reader: RequestReader,
        tracing: Tracing,
        metrics: EntryMetrics,
        clock: Clock,
        incarnation: Incarnation,
        request_limit: int,
    ) -> None:
        self.dispatch_loop = dispatch_loop
        self.reader = reader
        self.tracing = tracing
        self.metrics = metrics
        self.clock = clock
        self.incarnation = incarnation
        self.request_limit = request_limit
        self.member_state = MemberState.JOINING
        self.close_connections = False
        self.active_requests = 0
        self.request_numbers = itertools.count(1)

    async def handle_public(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request on the public port."""
        path = request.raw_path.partition("?")[0]
        if path.startswith(OWN_PATH_PREFIX):
            return await self._handle_own_path(request, path)
        return await self._proxy(request, granted=False)

    async def handle_internal(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request of another entry, on the internal port."""
        return await self._proxy(request, granted=True)

    # Requests for backend servers

    async def _proxy(self, request: web.BaseRequest, *, granted: bool) -> web.StreamResponse:
        started_at = self.clock.monotonic()
        self.active_requests += 1
        try:
            parent_context = self.tracing.extract(request.headers)
            with self.tracing.span("handle", SpanKind.SERVER, parent_context) as span:
                trace_context = self.tracing.context_of(span)
                try:
                    incoming = await self._read_request(request, trace_context, granted=granted)
                except RequestRejected as error:
                    response = await self._rejection_response(request, error, granted=granted)
                    web_response = await write_response(request, response, close_connection=True)
                else:
                    response, web_response = await self._dispatch(request, incoming)
                code = response.code if isinstance(response, CodeResponse) else ResultCode.OK
                span.set_attribute("knapweed.code", int(code))
        finally:
            self.active_requests -= 1
        port = "internal" if granted else "public"
        self.metrics.record_response(port, code, self.clock.monotonic() - started_at)
        return web_response

    async def _read_request(
        self, request: web.BaseRequest, trace_context: Context, *, granted: bool
    ) -> IncomingRequest:
        if self.active_requests > self.request_limit:
            raise RequestRejected(
                f"the entry handles {self.request_limit} requests already",
                code=ResultCode.QUEUE_FULL,
            )
        request_id = RequestId(str(next(self.request_numbers)))
        if granted:
            return await self.reader.read_granted(request, request_id, trace_context)
        return await self.reader.read(request, request_id, trace_context)

    async def _dispatch(
        self, request: web.BaseRequest, incoming: IncomingRequest
    ) -> tuple[ProxyResponse, web.StreamResponse]:
        pending = self.dispatch_loop.submit(incoming)
        try:
            response = await pending.response
            return response, await write_response(
                request, response, close_connection=self.close_connections
            )
        except (asyncio.CancelledError, ConnectionError):
            self.dispatch_loop.caller_disconnected(pending)
            raise

    async def _rejection_response(
        self, request: web.BaseRequest, error: RequestRejected, *, granted: bool
    ) -> ProxyResponse:
        """Return the response to a request that is rejected before it is dispatched.

        The rejection states "not run". For a repeated key that is true only if the
        first request was not started. A new key is revoked, so that a delayed copy of
        the request cannot start later.
        """
        retry_after_s = REJECTION_RETRY_AFTER_S if error.code is ResultCode.QUEUE_FULL else None
        rejection = CodeResponse(code=error.code, retry_after_s=retry_after_s, message=str(error))
        try:
            key = None if granted else parse_idempotency_key(request.headers)
        except RequestRejected:
            return rejection
        if key is None:
            return rejection
        result = await self.dispatch_loop.query_outcome(key)
        match result.outcome.state:
            case KeyState.NOT_RUN:
                return rejection
            case KeyState.COMPLETE if result.stored_response is not None:
                return result.stored_response
            case KeyState.PENDING:
                return CodeResponse(
                    code=ResultCode.DEADLINE_DURING_RUN, retry_after_s=retry_after_s
                )
        return CodeResponse(code=result.outcome.code, owner_url=result.owner_url)

    # Endpoints of the entry itself

    async def _handle_own_path(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        match request.method, path:
            case hdrs.METH_POST, "/knapweed/v1/outcome":
                return await self._outcome_response(request)
            case hdrs.METH_GET, "/knapweed/v1/ready":
                return self._ready_response()
        allowed = f"POST {OUTCOME_PATH} and GET {READY_PATH}"
        return code_response(
            CodeResponse(code=ResultCode.UNKNOWN_CLASS, message=f"Allowed here: {allowed}.")
        )

    async def _outcome_response(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            key = parse_idempotency_key(request.headers)
        except RequestRejected as error:
            return code_response(CodeResponse(code=error.code, message=str(error)))
        if key is None:
            return code_response(CodeResponse(code=ResultCode.KEY_MISSING))
        return outcome_response(await self.dispatch_loop.query_outcome(key))

    def _ready_response(self) -> web.StreamResponse:
        match self.member_state:
            case MemberState.SERVING:
                body = ReadyBody(
                    state=self.member_state.value,
                    incarnation=self.incarnation,
                    config_version=self.dispatch_loop.node_state.config_version,
                )
                return web.Response(body=msgspec.json.encode(body), content_type="application/json")
            case MemberState.JOINING:
                code = ResultCode.NOT_READY
            case _:
                code = ResultCode.DRAINING
        return code_response(CodeResponse(code=code, retry_after_s=REJECTION_RETRY_AFTER_S))


class ReadyBody(msgspec.Struct, kw_only=True):
    """JSON body of the readiness endpoint of a process that accepts requests."""

    state: str
    incarnation: str
    config_version: int

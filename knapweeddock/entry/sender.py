"""Runs attempts and calls to lenders, each in a task of its own."""

import asyncio
import math
from collections.abc import Coroutine

import structlog
from aiohttp import hdrs
from opentelemetry.trace import SpanKind

from knapweeddock.clock import Clock
from knapweeddock.codes import CODE_INFO, Outcome, ResultCode
from knapweeddock.entry import headers as header_names
from knapweeddock.entry.dispatchloop import ActionExecutor, DispatchLoop
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.entry.lendingservice import LendingClient
from knapweeddock.entry.messages import (
    BufferedResponse,
    CallResult,
    IncomingRequest,
    StreamedResponse,
)
from knapweeddock.events import AttemptOutcome, Borrow, BorrowEnded, SendToEntry, SendToServer
from knapweeddock.ids import AttemptId
from knapweeddock.slottypes import ServerHealth, ServerReport
from knapweeddock.tracing import Tracing

log = structlog.get_logger(__name__)

SHED_STATUS = 503


class Sender(ActionExecutor):
    """Runs attempts and calls to lenders.

    Attributes:
        attempt_tasks: Task of each running attempt.
        borrow_tasks: Running calls to lenders.
    """

    def __init__(
        self,
        *,
        dispatch_loop: DispatchLoop,
        http_client: HttpClient,
        lending_client: LendingClient,
        clock: Clock,
        tracing: Tracing,
        metrics: EntryMetrics,
    ) -> None:
        self.dispatch_loop = dispatch_loop
        self.http_client = http_client
        self.lending_client = lending_client
        self.clock = clock
        self.tracing = tracing
        self.metrics = metrics
        self.attempt_tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self.borrow_tasks: set[asyncio.Task[None]] = set()

    def send(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> None:
        """Start an attempt."""
        task = _create_task(self._run_attempt(action, incoming))
        self.attempt_tasks[action.attempt] = task

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt, which closes its connection."""
        task = self.attempt_tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    def borrow(self, action: Borrow) -> None:
        """Start a call to a lender."""
        task = _create_task(self._call_lender(action))
        self.borrow_tasks.add(task)
        task.add_done_callback(self.borrow_tasks.discard)

    async def close(self) -> None:
        """Cancel all attempts and calls to lenders."""
        tasks = [*self.attempt_tasks.values(), *self.borrow_tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _run_attempt(
        self, action: SendToServer | SendToEntry, incoming: IncomingRequest
    ) -> None:
        result = CallResult(outcome=AttemptOutcome.LOST)
        try:
            with self.tracing.span("send", SpanKind.CLIENT, incoming.trace_context) as span:
                call = self._build_call(action, incoming)
                self.tracing.inject(span, call.headers)
                result = await self._send(action, call)
                span.set_attribute("knapweed.outcome", result.outcome.value)
        except Exception:
            log.exception("attempt failed", attempt=action.attempt)
        self.attempt_tasks.pop(action.attempt, None)
        self.dispatch_loop.attempt_ended(action.attempt, result)

    async def _send(self, action: SendToServer | SendToEntry, call: Call) -> CallResult:
        def commit(response: StreamedResponse) -> bool:
            return self.dispatch_loop.attempt_committed(action.attempt, response)

        result = await self.http_client.call(call, commit)
        match action:
            case SendToServer():
                result = interpret_server_response(result, call.method)
                if result.draining:
                    self._report_draining(action)
                self.metrics.record_attempt("server", result.outcome)
            case SendToEntry():
                result = interpret_entry_response(result, call.method)
                self.metrics.record_attempt("entry", result.outcome)
        return result

    def _build_call(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> Call:
        remaining_s = max(0.0, action.deadline - self.clock.monotonic())
        remaining_ms = str(int(remaining_s * 1000))
        headers = incoming.headers.copy()
        match action:
            case SendToServer(slot=slot):
                address = slot.address
                headers[header_names.BACKEND_DEADLINE_MS] = remaining_ms
            case SendToEntry(borrowed_slot=borrowed):
                address = borrowed.internal_address
                headers[header_names.DEADLINE_MS] = remaining_ms
                headers[header_names.GRANT] = borrowed.grant_id
                headers[header_names.GRANT_INCARNATION] = borrowed.incarnation
                headers[header_names.GRANT_SITE] = borrowed.site
        return Call(
            address=address,
            method=incoming.method,
            target=incoming.target,
            headers=headers,
            body=incoming.body,
            timeout_s=remaining_s,
            start_within_s=self._remaining_start_s(incoming),
            idempotent=action.idempotent,
            streaming=action.streaming,
        )

    def _remaining_start_s(self, incoming: IncomingRequest) -> float:
        """Return the time in seconds within which a keyed request may still be started.

        The dispatcher checked not-after, too, but the process may have been paused
        since then, and connecting takes time.
        """
        key = incoming.arrival.key
        return math.inf if key is None else key.not_after - self.clock.wall()

    def _report_draining(self, action: SendToServer) -> None:
        report = ServerReport(
            server=action.slot.server,
            health=ServerHealth.DRAINING_ANNOUNCED,
            in_flight=None,
            measured_at=self.clock.monotonic(),
        )
        self.dispatch_loop.post(report)

    async def _call_lender(self, action: Borrow) -> None:
        asked_at = self.clock.monotonic()
        result = None
        try:
            result = await self.lending_client.borrow(action)
        finally:
            ended = BorrowEnded(
                lender=action.lender.vm, site=action.lender.site, asked_at=asked_at, result=result
            )
            self.dispatch_loop.post(ended)


def interpret_server_response(result: CallResult, method: str) -> CallResult:
    """Interpret the status and headers of a backend server's response."""
    response = result.response
    if response is None:
        return result
    draining = response.headers.get(header_names.BACKEND_DRAINING) == "1"
    if response.status == SHED_STATUS and response.headers.get(header_names.BACKEND_NOT_RUN) == "1":
        return CallResult(
            outcome=AttemptOutcome.SHED,
            retry_after_s=header_names.parse_retry_after_s(response.headers),
            draining=draining,
        )
    return _answered_result(result, response, method, draining=draining)


def interpret_entry_response(result: CallResult, method: str) -> CallResult:
    """Interpret the headers of a lender's response."""
    response = result.response
    if response is None:
        return result
    code = _parse_result_code(response.headers.get(header_names.RESULT, ""))
    match code:
        case None:
            return CallResult(outcome=AttemptOutcome.INCOMPLETE)
        case ResultCode.OK:
            return _answered_result(result, response, method, draining=False)
    not_run = CODE_INFO[code].outcome is Outcome.NOT_RUN
    return CallResult(
        outcome=AttemptOutcome.SHED if not_run else AttemptOutcome.LOST,
        code=code,
        retry_after_s=header_names.parse_retry_after_s(response.headers),
    )


def _answered_result(
    result: CallResult, response: BufferedResponse, method: str, *, draining: bool
) -> CallResult:
    keep_length = method == hdrs.METH_HEAD
    forwarded = BufferedResponse(
        status=response.status,
        reason=response.reason,
        headers=header_names.forwarded_response_headers(response.headers, keep_length=keep_length),
        body=response.body,
    )
    return CallResult(
        outcome=AttemptOutcome.ANSWERED,
        response=forwarded,
        response_bytes=result.response_bytes,
        draining=draining,
    )


def _parse_result_code(text: str) -> ResultCode | None:
    try:
        return ResultCode(int(text))
    except ValueError:
        return None


def _create_task(coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(coroutine)

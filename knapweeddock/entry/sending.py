"""Carries out the dispatcher's sends and calls to lenders, one task for each."""

import asyncio
import math
from collections.abc import Coroutine

import structlog
from aiohttp import hdrs
from opentelemetry.trace import SpanKind

from knapweeddock.clock import Clock
from knapweeddock.codes import CODE_INFO, Outcome, ResultCode
from knapweeddock.entry import headers as names
from knapweeddock.entry.dispatchloop import Carrier, DispatchLoop
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.entry.lending import LendingClient
from knapweeddock.entry.messages import BufferedAnswer, CallResult, IncomingRequest, StreamedAnswer
from knapweeddock.events import AttemptOutcome, Borrow, BorrowEnded, SendToEntry, SendToServer
from knapweeddock.ids import AttemptId
from knapweeddock.slottypes import ServerHealth, ServerReport
from knapweeddock.tracing import Tracing

log = structlog.get_logger(__name__)

SHED_STATUS = 503


class Sender(Carrier):
    """Runs attempts and calls to lenders.

    Attributes:
        attempts: Task of each running attempt.
    """

    def __init__(
        self,
        *,
        loop: DispatchLoop,
        http: HttpClient,
        lending: LendingClient,
        clock: Clock,
        tracing: Tracing,
        metrics: EntryMetrics,
    ) -> None:
        self.loop = loop
        self.http = http
        self.lending = lending
        self.clock = clock
        self.tracing = tracing
        self.metrics = metrics
        self.attempts: dict[AttemptId, asyncio.Task[None]] = {}
        self.borrows: set[asyncio.Task[None]] = set()

    def send(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> None:
        """Start an attempt."""
        task = _start(self._attempt(action, incoming))
        self.attempts[action.attempt] = task

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel the task of an attempt, which closes its connection."""
        task = self.attempts.pop(attempt, None)
        if task is not None:
            task.cancel()

    def borrow(self, action: Borrow) -> None:
        """Start a call to a lender."""
        task = _start(self._borrow(action))
        self.borrows.add(task)
        task.add_done_callback(self.borrows.discard)

    async def close(self) -> None:
        """Cancel what still runs."""
        tasks = [*self.attempts.values(), *self.borrows]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _attempt(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> None:
        result = CallResult(outcome=AttemptOutcome.LOST)
        try:
            with self.tracing.span("send", SpanKind.CLIENT, incoming.context) as span:
                call = self._call(action, incoming)
                self.tracing.inject(span, call.headers)
                result = await self._run(action, call)
                span.set_attribute("knapweed.outcome", result.outcome.value)
        except Exception:
            log.exception("attempt failed", attempt=action.attempt)
        self.attempts.pop(action.attempt, None)
        self.loop.attempt_ended(action.attempt, result)

    async def _run(self, action: SendToServer | SendToEntry, call: Call) -> CallResult:
        def commit(answer: StreamedAnswer) -> bool:
            return self.loop.attempt_committed(action.attempt, answer)

        result = await self.http.call(call, commit)
        match action:
            case SendToServer():
                result = from_server(result, call.method)
                if result.draining:
                    self._report_draining(action)
                self.metrics.attempted("server", result.outcome)
            case SendToEntry():
                result = from_entry(result, call.method)
                self.metrics.attempted("entry", result.outcome)
        return result

    def _call(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> Call:
        remaining_s = max(0.0, action.deadline - self.clock.monotonic())
        remaining_ms = str(int(remaining_s * 1000))
        headers = incoming.headers.copy()
        match action:
            case SendToServer(slot=slot):
                address = slot.address
                headers[names.BACKEND_DEADLINE_MS] = remaining_ms
            case SendToEntry(borrowed_slot=borrowed):
                address = borrowed.internal_address
                headers[names.DEADLINE_MS] = remaining_ms
                headers[names.GRANT] = borrowed.grant_id
                headers[names.GRANT_INCARNATION] = borrowed.incarnation
                headers[names.GRANT_SITE] = borrowed.site
        return Call(
            address=address,
            method=incoming.method,
            target=incoming.target,
            headers=headers,
            body=incoming.body,
            timeout_s=remaining_s,
            start_within_s=self._start_within_s(incoming),
            idempotent=action.idempotent,
            streaming=action.streaming,
        )

    def _start_within_s(self, incoming: IncomingRequest) -> float:
        """Return how long a keyed request may still be started.

        The dispatcher checked this too, but the process may have been paused
        since, and connecting takes time.
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
        self.loop.post(report)

    async def _borrow(self, action: Borrow) -> None:
        asked_at = self.clock.monotonic()
        result = None
        try:
            result = await self.lending.borrow(action)
        finally:
            ended = BorrowEnded(
                lender=action.lender.vm, site=action.lender.site, asked_at=asked_at, result=result
            )
            self.loop.post(ended)


def from_server(result: CallResult, method: str) -> CallResult:
    """Interpret the headers of a backend server's answer."""
    answer = result.answer
    if answer is None:
        return result
    draining = answer.headers.get(names.BACKEND_DRAINING) == "1"
    if answer.status == SHED_STATUS and answer.headers.get(names.BACKEND_NOT_RUN) == "1":
        return CallResult(
            outcome=AttemptOutcome.SHED,
            retry_after_s=names.seconds_of(answer.headers),
            draining=draining,
        )
    return _answered(result, answer, method, draining=draining)


def from_entry(result: CallResult, method: str) -> CallResult:
    """Interpret the headers of a lender's answer."""
    answer = result.answer
    if answer is None:
        return result
    code = _code_of(answer.headers.get(names.RESULT, ""))
    match code:
        case None:
            return CallResult(outcome=AttemptOutcome.INCOMPLETE)
        case ResultCode.OK:
            return _answered(result, answer, method, draining=False)
    not_run = CODE_INFO[code].outcome is Outcome.NOT_RUN
    return CallResult(
        outcome=AttemptOutcome.SHED if not_run else AttemptOutcome.LOST,
        code=code,
        retry_after_s=names.seconds_of(answer.headers),
    )


def _answered(
    result: CallResult, answer: BufferedAnswer, method: str, *, draining: bool
) -> CallResult:
    keep_length = method == hdrs.METH_HEAD
    passed_on = BufferedAnswer(
        status=answer.status,
        reason=answer.reason,
        headers=names.answer_headers(answer.headers, keep_length=keep_length),
        body=answer.body,
    )
    return CallResult(
        outcome=AttemptOutcome.ANSWERED,
        answer=passed_on,
        answer_bytes=result.answer_bytes,
        draining=draining,
    )


def _code_of(text: str) -> ResultCode | None:
    try:
        return ResultCode(int(text))
    except ValueError:
        return None


def _start(coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(coroutine)

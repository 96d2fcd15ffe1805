"""The task that owns the dispatcher and the slot accounting.

Other tasks send it events and calls through a queue. It carries out the actions that
the dispatcher returns: it resolves requests with their responses itself and passes
attempts and calls to lenders to an ``ActionExecutor``.
"""

import asyncio
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass

import structlog
from mode import Service

from knapweeddock.clock import MAX_CLOCK_DRIFT_FRACTION, Clock
from knapweeddock.codes import ResultCode
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.messages import (
    BufferedResponse,
    CallResult,
    CodeResponse,
    IncomingRequest,
    OutcomeResult,
    PendingRequest,
    StreamedResponse,
)
from knapweeddock.events import (
    Action,
    Arrival,
    AttemptCommitted,
    AttemptEnded,
    AttemptOutcome,
    Borrow,
    CallerDisconnected,
    CancelAttempt,
    Deliver,
    DiscardResponse,
    Event,
    IdempotencyKey,
    Reply,
    SendToEntry,
    SendToServer,
    Tick,
)
from knapweeddock.ids import AttemptId, Incarnation, RequestId, SiteId, ViewId
from knapweeddock.slottypes import BorrowRequest, Grant, Refusal, ServerReport
from knapweeddock.state import NodeState

log = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.05
"""Interval between ticks of the dispatcher while requests are in the process."""

IDLE_TICK_INTERVAL_S = 0.2
"""Interval between ticks while no request is in the process. Shorter than
``MAX_TICK_AGE_S``, so that an idle process does not look like a paused one.
"""

MAX_TICK_AGE_S = 0.25
"""Age of the last tick above which a tick is processed before any other item."""


class ActionExecutor(ABC):
    """Carries out the actions that need connections to other processes."""

    @abstractmethod
    def send(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> None:
        """Start an attempt; ``DispatchLoop.attempt_ended`` is called when it ends."""

    @abstractmethod
    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt and close its connection; no result is reported."""

    @abstractmethod
    def borrow(self, action: Borrow) -> None:
        """Call a lender; the result is posted as a ``BorrowEnded`` event."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StateUpdate:
    """A new snapshot of the agent."""

    state: NodeState


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeQuery:
    """A caller's query for the outcome of an idempotency key."""

    key: IdempotencyKey
    result: asyncio.Future[OutcomeResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class LendRequest:
    """Request of another entry to borrow slots."""

    request: BorrowRequest
    result: asyncio.Future[Grant | Refusal]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """Result of an attempt, including its response."""

    attempt: AttemptId
    result: CallResult


QueueItem = Event | StateUpdate | ServerReport | OutcomeQuery | LendRequest | AttemptResult


class DispatchLoop(Service):
    """Passes events to the dispatcher and carries out its actions.

    Attributes:
        executor: Carries out attempts and calls to lenders.
        node_state: The newest snapshot; None before the first one.
        configured: Set once there is a snapshot.
        report_due: Set when the agent should be sent a report.
        request_received: Set when a request is submitted.
        pending: Requests that have no response yet.
        disconnected: Keyed requests whose caller disconnected while their operation
            was queued or running.
        attempt_requests: Request of each running attempt.
        stored_responses: Responses by attempt. Those of keyed attempts are kept until the
            dispatcher discards them, others until the end of the attempt is processed.
        keyed_attempts: Running attempts of non-idempotent requests that arrived without
            a grant. These requests have an idempotency key.
        settled_views: View by site, as last reported by the slot accounting.
        last_tick_at: Time of the last tick that was processed.
        last_grant_end: Latest time at which a grant to another entry ends.
    """

    def __init__(self, *, dispatcher: Dispatcher, clock: Clock, metrics: EntryMetrics) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics
        self.executor: ActionExecutor | None = None
        self.queue: asyncio.Queue[QueueItem] = asyncio.Queue()
        self.node_state: NodeState | None = None
        self.configured = asyncio.Event()
        self.report_due = asyncio.Event()
        self.request_received = asyncio.Event()
        self.pending: dict[RequestId, PendingRequest] = {}
        self.disconnected: dict[RequestId, PendingRequest] = {}
        self.attempt_requests: dict[AttemptId, RequestId] = {}
        self.stored_responses: dict[AttemptId, BufferedResponse] = {}
        self.keyed_attempts: set[AttemptId] = set()
        self.settled_views: dict[SiteId, ViewId] = {}
        self.last_tick_at = clock.monotonic()
        self.last_grant_end = 0.0

    # Methods for other tasks

    def submit(self, incoming: IncomingRequest) -> PendingRequest:
        """Queue a request for the dispatcher."""
        pending = PendingRequest(
            request=incoming.arrival.request,
            incoming=incoming,
            response=asyncio.get_running_loop().create_future(),
        )
        self.pending[pending.request] = pending
        self.request_received.set()
        self.queue.put_nowait(incoming.arrival)
        return pending

    def caller_disconnected(self, pending: PendingRequest) -> None:
        """Record that the caller of a request disconnected."""
        pending.response.cancel()
        self.queue.put_nowait(CallerDisconnected(request=pending.request))

    def post(self, item: Event | ServerReport) -> None:
        """Queue an event or a server report."""
        self.queue.put_nowait(item)

    def update(self, state: NodeState) -> None:
        """Queue a new snapshot."""
        self.queue.put_nowait(StateUpdate(state=state))

    def attempt_ended(self, attempt: AttemptId, result: CallResult) -> None:
        """Queue the result of an attempt."""
        self.queue.put_nowait(AttemptResult(attempt=attempt, result=result))

    def attempt_committed(self, attempt: AttemptId, response: StreamedResponse) -> bool:
        """Start to forward a streamed response.

        Returns:
            False if no caller waits for it; the attempt must then be abandoned.
        """
        request = self.attempt_requests.get(attempt)
        pending = self.pending.get(request)
        if pending is None or not pending.resolve(response):
            return False
        self.queue.put_nowait(AttemptCommitted(attempt=attempt))
        return True

    async def query_outcome(self, key: IdempotencyKey) -> OutcomeResult:
        """Return the outcome of an idempotency key."""
        result = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(OutcomeQuery(key=key, result=result))
        return await result

    async def lend(self, request: BorrowRequest) -> Grant | Refusal:
        """Grant or refuse another entry's request to borrow slots."""
        result = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(LendRequest(request=request, result=result))
        return await result

    # The task that owns the dispatcher

    @Service.task
    async def run(self) -> None:
        """Process the items of the queue until the service stops."""
        while True:
            item = await self.queue.get()
            self.process(item)

    @Service.task
    async def tick(self) -> None:
        """Queue a tick at regular intervals, less often while no request is in the process."""
        while True:
            if self.pending or self.disconnected:
                await asyncio.sleep(TICK_INTERVAL_S)
            else:
                await self._wait_for_request(IDLE_TICK_INTERVAL_S)
            self.queue.put_nowait(Tick())

    async def _wait_for_request(self, timeout_s: float) -> None:
        """Wait until a request is submitted or the timeout expires."""
        self.request_received.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.request_received.wait()

    def process(self, item: QueueItem) -> None:
        """Process an item; an exception must not stop the processing of other requests."""
        now = self.clock.monotonic()
        try:
            if now - self.last_tick_at > MAX_TICK_AGE_S:
                # After a pause, slots whose term has ended must expire before they are used.
                self._process(Tick(), now)
            self._process(item, now)
        except Exception:
            log.exception("processing an item failed", item=type(item).__name__)
            self.metrics.faults.inc({})
            self._on_processing_error(item)

    def _process(self, item: QueueItem, now: float) -> None:
        match item:
            case AttemptResult():
                self._on_attempt_result(item, now)
            case StateUpdate(state=state):
                self._apply_state(state, now)
            case ServerReport() as report:
                self.dispatcher.capacity.observe(report, now)
            case OutcomeQuery():
                self._on_outcome_query(item, now)
            case LendRequest(request=request, result=result):
                decision = self.dispatcher.capacity.grant(request, now)
                if isinstance(decision, Grant):
                    grant_end = now + decision.term_s * (1 + MAX_CLOCK_DRIFT_FRACTION)
                    self.last_grant_end = max(self.last_grant_end, grant_end)
                if not result.done():
                    result.set_result(decision)
            case CallerDisconnected(request=request):
                self._on_caller_disconnected(request)
                self._handle(item, now)
            case Tick():
                self.last_tick_at = now
                self._handle(item, now)
                self._after_tick()
            case _:
                self._handle(item, now)

    def _apply_state(self, state: NodeState, now: float) -> None:
        previous = self.node_state
        if previous is None or previous.config_version != state.config_version:
            # Operators wait for the report that a configuration version is in force.
            self.report_due.set()
        self.node_state = state
        self.configured.set()
        self.dispatcher.update(state, now)
        self._handle(Tick(), now)

    def _handle(self, event: Event, now: float) -> None:
        for action in self.dispatcher.handle(event, now):
            try:
                self._execute(action)
            except Exception:
                log.exception("action failed", action=type(action).__name__)
                self.metrics.faults.inc({})
                if isinstance(action, SendToServer | SendToEntry):
                    result = CallResult(outcome=AttemptOutcome.LOST)
                    self.attempt_ended(action.attempt, result)

    def _execute(self, action: Action) -> None:
        match action:
            case SendToServer() | SendToEntry():
                self._send(action)
            case Deliver(request=request, attempt=attempt):
                self._resolve(request, self.stored_responses.get(attempt))
            case Reply():
                self._reply(action)
            case CancelAttempt(attempt=attempt):
                self._forget_attempt(attempt)
                self.executor.cancel(attempt)
            case Borrow():
                self.executor.borrow(action)
            case DiscardResponse(attempt=attempt):
                self.stored_responses.pop(attempt, None)

    def _send(self, action: SendToServer | SendToEntry) -> None:
        self.attempt_requests[action.attempt] = action.request
        pending = self.pending.get(action.request) or self.disconnected[action.request]
        if not action.idempotent and pending.incoming.arrival.grant_use is None:
            self.keyed_attempts.add(action.attempt)
        self.executor.send(action, pending.incoming)

    def _on_attempt_result(self, item: AttemptResult, now: float) -> None:
        attempt, result = item.attempt, item.result
        if attempt not in self.attempt_requests:
            return
        if result.response is not None:
            self.stored_responses[attempt] = result.response
        ended = AttemptEnded(
            attempt=attempt,
            outcome=result.outcome,
            code=result.code,
            retry_after_s=result.retry_after_s,
            response_bytes=result.response_bytes,
        )
        self._handle(ended, now)
        if attempt not in self.keyed_attempts:
            # The dispatcher discards only the responses of keyed requests.
            self.stored_responses.pop(attempt, None)
        self._forget_attempt(attempt)

    def _forget_attempt(self, attempt: AttemptId) -> None:
        self.attempt_requests.pop(attempt, None)
        self.keyed_attempts.discard(attempt)

    # Responses

    def _reply(self, reply: Reply) -> None:
        response = CodeResponse(
            code=reply.code,
            retry_after_s=reply.retry_after_s,
            owner_url=self.public_url(reply.key_owner),
        )
        self._resolve(reply.request, response)

    def _resolve(
        self, request: RequestId, response: BufferedResponse | CodeResponse | None
    ) -> None:
        """Set the response of a request; a streamed one was set when it was committed."""
        pending = self.pending.pop(request, None)
        if pending is None or pending.response.done():
            return
        if response is None:
            log.error("stored response is missing", request=request)
            response = CodeResponse(code=ResultCode.ANSWER_NOT_KEPT)
        pending.resolve(response)

    def public_url(self, incarnation: Incarnation | None) -> str | None:
        """Return the URL of the entry with ``incarnation``, or None if it is not known."""
        if incarnation is None or self.node_state is None:
            return None
        for member in self.node_state.members.values():
            if member.incarnation == incarnation and not member.down:
                return f"http://{member.public_address}"
        return None

    def _on_outcome_query(self, query: OutcomeQuery, now: float) -> None:
        outcome = self.dispatcher.query_outcome(query.key, now)
        result = OutcomeResult(
            outcome=outcome,
            stored_response=None
            if outcome.attempt is None
            else self.stored_responses.get(outcome.attempt),
            owner_url=self.public_url(outcome.key_owner),
        )
        if not query.result.done():
            query.result.set_result(result)

    # Requests whose caller disconnected

    def _on_caller_disconnected(self, request: RequestId) -> None:
        """Keep a keyed request, since its operation continues without the caller."""
        pending = self.pending.pop(request, None)
        if pending is not None and pending.incoming.arrival.key is not None:
            self.disconnected[request] = pending

    def _after_tick(self) -> None:
        for request in list(self.disconnected):
            if not self._has_running_operation(request):
                del self.disconnected[request]
        settled_views = self.dispatcher.capacity.settled_reports()
        if settled_views != self.settled_views:
            self.settled_views = settled_views
            self.report_due.set()
        self.metrics.set_gauges(
            pending=len(self.pending),
            stored=len(self.stored_responses),
            load=self.dispatcher.capacity.load(),
        )

    def _has_running_operation(self, request: RequestId) -> bool:
        key = self.disconnected[request].incoming.arrival.key
        record = self.dispatcher.key_table.records.get(key.value)
        return (
            record is not None
            and record.operation is not None
            and record.operation.request == request
        )

    # Errors

    def _on_processing_error(self, item: QueueItem) -> None:
        """Send an error to whoever waits for an item whose processing failed."""
        match item:
            case Arrival(request=request):
                # No action was carried out, so the request was not sent.
                self._resolve(request, CodeResponse(code=ResultCode.NOT_READY, retry_after_s=1.0))
            case AttemptResult(attempt=attempt):
                request = self.attempt_requests.get(attempt)
                self._resolve(request, CodeResponse(code=ResultCode.SERVER_LOST))
                self._forget_attempt(attempt)
            case OutcomeQuery(result=result) | LendRequest(result=result) if not result.done():
                result.set_exception(RuntimeError("processing in the dispatch loop failed"))

"""The one task that owns the dispatcher and the slot accounting.

Other tasks hand it events and calls through a queue. It carries out the
actions that the dispatcher gives out: it resolves requests with their answers
itself and hands sends and calls to lenders to a ``Carrier``.
"""

import asyncio
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass

import structlog
from mode import Service

from knapweeddock.clock import CLOCK_DRIFT, Clock
from knapweeddock.codes import ResultCode
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.messages import (
    BufferedAnswer,
    CallResult,
    CodeAnswer,
    IncomingRequest,
    OutcomeResult,
    PendingRequest,
    StreamedAnswer,
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

TICK_S = 0.05
"""Time between two ticks of the dispatcher."""

IDLE_TICK_S = 0.2
"""Interval while no request is in the process. Shorter than ``LATE_TICK_S``, so that
an idle process does not look like a paused one.
"""

LATE_TICK_S = 0.25
"""A tick is taken in before any other item when the last one is older."""


class Carrier(ABC):
    """Carries out the actions that need connections to other processes."""

    @abstractmethod
    def send(self, action: SendToServer | SendToEntry, incoming: IncomingRequest) -> None:
        """Start an attempt; its end comes back as ``DispatchLoop.attempt_ended``."""

    @abstractmethod
    def cancel(self, attempt: AttemptId) -> None:
        """Close the connection of an attempt; nothing comes back."""

    @abstractmethod
    def borrow(self, action: Borrow) -> None:
        """Call a lender; the result comes back as a ``BorrowEnded`` event."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StateUpdate:
    """The agent sent a new snapshot."""

    state: NodeState


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeQuery:
    """A caller asks what happened to a key."""

    key: IdempotencyKey
    result: asyncio.Future[OutcomeResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class LendCall:
    """Another entry asks to borrow."""

    request: BorrowRequest
    result: asyncio.Future[Grant | Refusal]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """An attempt ended; carries the answer beside the event."""

    attempt: AttemptId
    result: CallResult


Item = Event | StateUpdate | ServerReport | OutcomeQuery | LendCall | AttemptResult


class DispatchLoop(Service):
    """Feeds the dispatcher and carries out its actions.

    Attributes:
        node_state: The newest snapshot; None before the first one.
        configured: Set when there is a snapshot.
        changed: Set when something that the agent should know changed.
        requested: Set when a request came in.
        pending: Requests without an answer.
        last_grant_end: When the newest grant to another entry ends.
    """

    def __init__(self, *, dispatcher: Dispatcher, clock: Clock, metrics: EntryMetrics) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics
        self.carrier: Carrier | None = None
        self.queue: asyncio.Queue[Item] = asyncio.Queue()
        self.node_state: NodeState | None = None
        self.configured = asyncio.Event()
        self.changed = asyncio.Event()
        self.requested = asyncio.Event()
        self.pending: dict[RequestId, PendingRequest] = {}
        self.gone: dict[RequestId, PendingRequest] = {}
        self.attempt_requests: dict[AttemptId, RequestId] = {}
        self.answers: dict[AttemptId, BufferedAnswer] = {}
        self.keyed_attempts: set[AttemptId] = set()
        self.settled: dict[SiteId, ViewId] = {}
        self.ticked_at = clock.monotonic()
        self.last_grant_end = 0.0

    # Called by other tasks

    def submit(self, incoming: IncomingRequest) -> PendingRequest:
        """Hand a request to the dispatcher."""
        pending = PendingRequest(
            request=incoming.arrival.request,
            incoming=incoming,
            answer=asyncio.get_running_loop().create_future(),
        )
        self.pending[pending.request] = pending
        self.requested.set()
        self.queue.put_nowait(incoming.arrival)
        return pending

    def caller_gone(self, pending: PendingRequest) -> None:
        """Note that nobody waits for the answer of a request any more."""
        pending.answer.cancel()
        self.queue.put_nowait(CallerDisconnected(request=pending.request))

    def post(self, item: Event | ServerReport) -> None:
        """Hand over an event or a measurement."""
        self.queue.put_nowait(item)

    def update(self, state: NodeState) -> None:
        """Hand over a new snapshot."""
        self.queue.put_nowait(StateUpdate(state=state))

    def attempt_ended(self, attempt: AttemptId, result: CallResult) -> None:
        """Hand over the end of an attempt."""
        self.queue.put_nowait(AttemptResult(attempt=attempt, result=result))

    def attempt_committed(self, attempt: AttemptId, answer: StreamedAnswer) -> bool:
        """Pass the first part of an answer on.

        Returns:
            False when nobody waits for it; the attempt must be given up then.
        """
        request = self.attempt_requests.get(attempt)
        pending = self.pending.get(request)
        if pending is None or not pending.resolve(answer):
            return False
        self.queue.put_nowait(AttemptCommitted(attempt=attempt))
        return True

    async def outcome(self, key: IdempotencyKey) -> OutcomeResult:
        """Return what happened to a key."""
        result = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(OutcomeQuery(key=key, result=result))
        return await result

    async def lend(self, request: BorrowRequest) -> Grant | Refusal:
        """Decide on another entry's request to borrow."""
        result = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(LendCall(request=request, result=result))
        return await result

    # The owning task

    @Service.task
    async def run(self) -> None:
        """Take items until the service stops."""
        while True:
            item = await self.queue.get()
            self.take(item)

    @Service.task
    async def tick(self) -> None:
        """Put a tick into the queue at regular intervals, fewer while nothing waits."""
        while True:
            if self.pending or self.gone:
                await asyncio.sleep(TICK_S)
            else:
                await self._wait_for_request(IDLE_TICK_S)
            self.queue.put_nowait(Tick())

    async def _wait_for_request(self, seconds: float) -> None:
        """Return when a request has come in, or after a time."""
        self.requested.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.requested.wait()

    def take(self, item: Item) -> None:
        """Take one item in; a fault of one request must not stop the others."""
        now = self.clock.monotonic()
        try:
            if now - self.ticked_at > LATE_TICK_S:
                # After a pause the terms of slots must lapse before they are used.
                self._take(Tick(), now)
            self._take(item, now)
        except Exception:
            log.exception("dispatch failed", item=type(item).__name__)
            self.metrics.faults.inc({})
            self._fail(item)

    def _take(self, item: Item, now: float) -> None:
        match item:
            case AttemptResult():
                self._attempt_result(item, now)
            case StateUpdate(state=state):
                self._take_state(state, now)
            case ServerReport() as report:
                self.dispatcher.capacity.observe(report, now)
            case OutcomeQuery():
                self._outcome_query(item, now)
            case LendCall(request=request, result=result):
                granted = self.dispatcher.capacity.grant(request, now)
                if isinstance(granted, Grant):
                    end = now + granted.term_s * (1 + CLOCK_DRIFT)
                    self.last_grant_end = max(self.last_grant_end, end)
                if not result.done():
                    result.set_result(granted)
            case CallerDisconnected(request=request):
                self._caller_gone(request)
                self._handle(item, now)
            case Tick():
                self.ticked_at = now
                self._handle(item, now)
                self._after_tick()
            case _:
                self._handle(item, now)

    def _take_state(self, state: NodeState, now: float) -> None:
        before = self.node_state
        if before is None or before.config_version != state.config_version:
            # Operators wait for the report of the version in force.
            self.changed.set()
        self.node_state = state
        self.configured.set()
        self.dispatcher.update(state, now)
        self._handle(Tick(), now)

    def _handle(self, event: Event, now: float) -> None:
        for action in self.dispatcher.handle(event, now):
            try:
                self._carry_out(action)
            except Exception:
                log.exception("action failed", action=type(action).__name__)
                self.metrics.faults.inc({})
                if isinstance(action, SendToServer | SendToEntry):
                    lost = CallResult(outcome=AttemptOutcome.LOST)
                    self.attempt_ended(action.attempt, lost)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendToServer() | SendToEntry():
                self._send(action)
            case Deliver(request=request, attempt=attempt):
                self._resolve(request, self.answers.get(attempt))
            case Reply():
                self._reply(action)
            case CancelAttempt(attempt=attempt):
                self._forget_attempt(attempt)
                self.carrier.cancel(attempt)
            case Borrow():
                self.carrier.borrow(action)
            case DiscardResponse(attempt=attempt):
                self.answers.pop(attempt, None)

    def _send(self, action: SendToServer | SendToEntry) -> None:
        self.attempt_requests[action.attempt] = action.request
        pending = self.pending.get(action.request) or self.gone[action.request]
        if not action.idempotent and pending.incoming.arrival.grant is None:
            self.keyed_attempts.add(action.attempt)
        self.carrier.send(action, pending.incoming)

    def _attempt_result(self, item: AttemptResult, now: float) -> None:
        attempt, result = item.attempt, item.result
        if attempt not in self.attempt_requests:
            return
        if result.answer is not None:
            self.answers[attempt] = result.answer
        ended = AttemptEnded(
            attempt=attempt,
            outcome=result.outcome,
            code=result.code,
            retry_after_s=result.retry_after_s,
            response_bytes=result.answer_bytes,
        )
        self._handle(ended, now)
        if attempt not in self.keyed_attempts:
            # The dispatcher asks to forget answers of keyed requests only.
            self.answers.pop(attempt, None)
        self._forget_attempt(attempt)

    def _forget_attempt(self, attempt: AttemptId) -> None:
        self.attempt_requests.pop(attempt, None)
        self.keyed_attempts.discard(attempt)

    # Answers

    def _reply(self, reply: Reply) -> None:
        answer = CodeAnswer(
            code=reply.code, retry_after_s=reply.retry_after_s, ask=self.url_of(reply.key_owner)
        )
        self._resolve(reply.request, answer)

    def _resolve(self, request: RequestId, answer: BufferedAnswer | CodeAnswer | None) -> None:
        """Resolve a request; a streamed answer was resolved when it was committed."""
        pending = self.pending.pop(request, None)
        if pending is None or pending.answer.done():
            return
        if answer is None:
            log.error("answer to deliver is missing", request=request)
            answer = CodeAnswer(code=ResultCode.ANSWER_NOT_KEPT)
        pending.resolve(answer)

    def url_of(self, incarnation: Incarnation | None) -> str | None:
        """Return the URL of the entry with ``incarnation`` if it is known."""
        if incarnation is None or self.node_state is None:
            return None
        for member in self.node_state.members.values():
            if member.incarnation == incarnation and not member.down:
                return f"http://{member.public_address}"
        return None

    def _outcome_query(self, query: OutcomeQuery, now: float) -> None:
        outcome = self.dispatcher.query_outcome(query.key, now)
        result = OutcomeResult(
            outcome=outcome,
            kept=None if outcome.attempt is None else self.answers.get(outcome.attempt),
            ask=self.url_of(outcome.key_owner),
        )
        if not query.result.done():
            query.result.set_result(result)

    # Requests whose caller is gone

    def _caller_gone(self, request: RequestId) -> None:
        """Keep a keyed request, since its work goes on without the caller."""
        pending = self.pending.pop(request, None)
        if pending is not None and pending.incoming.arrival.key is not None:
            self.gone[request] = pending

    def _after_tick(self) -> None:
        for request in list(self.gone):
            if not self._has_work(request):
                del self.gone[request]
        settled = self.dispatcher.capacity.settled_reports()
        if settled != self.settled:
            self.settled = settled
            self.changed.set()
        self.metrics.observe_loop(
            pending=len(self.pending),
            kept=len(self.answers),
            load=self.dispatcher.capacity.load(),
        )

    def _has_work(self, request: RequestId) -> bool:
        key = self.gone[request].incoming.arrival.key
        record = self.dispatcher.key_table.records.get(key.value)
        return (
            record is not None
            and record.operation is not None
            and record.operation.request == request
        )

    # Faults

    def _fail(self, item: Item) -> None:
        """Answer those who wait for an item that could not be taken in."""
        match item:
            case Arrival(request=request):
                # No action was carried out, so nothing was sent.
                self._resolve(request, CodeAnswer(code=ResultCode.NOT_READY, retry_after_s=1.0))
            case AttemptResult(attempt=attempt):
                request = self.attempt_requests.get(attempt)
                self._resolve(request, CodeAnswer(code=ResultCode.SERVER_LOST))
                self._forget_attempt(attempt)
            case OutcomeQuery(result=result) | LendCall(result=result) if not result.done():
                result.set_exception(RuntimeError("dispatch failed"))

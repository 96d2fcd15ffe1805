"""Proxies client requests: routing, attempts, retries and the response."""

import asyncio
import time
from http import HTTPStatus

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.errors import IncompleteRequest
from knapweeddock.gateway.evidence.quarantine import Quarantined, Suspected, Unsuspected
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.evidence.reachcheck import ReachChecker
from knapweeddock.gateway.limits.dividedlimit import SentRequest
from knapweeddock.gateway.peering.peerattempts import PeerAttempts
from knapweeddock.gateway.placement.selection import Rejection, Selection, SelectionRequest
from knapweeddock.gateway.placement.serverselection import ServerSelector
from knapweeddock.gateway.requests.attempt import (
    AttemptOutcome,
    AttemptResult,
    AttemptRunner,
    OutgoingRequest,
)
from knapweeddock.gateway.requests.attempttracker import AttemptTracker
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.requests.requestdigest import host_and_path
from knapweeddock.gateway.requests.requestguard import RequestGuard
from knapweeddock.gateway.requests.responder import Responder
from knapweeddock.gateway.shutdown import Departure
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.wire import WireFormat
from knapweeddock.http1.responsewriter import ResponseState
from knapweeddock.http1.server import IncomingRequest

log = structlog.get_logger(__name__)

RETRY_BUFFER_BYTES = 64 * 1024
"""Size in bytes up to which request bodies are buffered so that a retry can send them
again. A request is forwarded once its body is complete or larger than this, so that a
slow upload does not occupy a server's slot."""

DEFAULT_TIMEOUT_S = 30.0
"""Timeout in seconds of a request that specifies none. The timeout of the route is
an upper limit, as for every request."""

NOT_READY_RETRY_AFTER_S = 1.0
"""Retry-After in seconds of a gateway that has no configuration or server list yet."""

LEAVING = Rejection(code=ResultCode.DRAINING, retry_after_s=0.0)
"""Rejection by a gateway that shuts down: the other gateways serve the request at once."""

RESPONSE_GRACE_S = 0.08
"""Time in seconds after the deadline in which the gateway still accepts a response
that the server sent at the last moment."""


class Forwarder:
    """Request handler of a gateway.

    Attributes:
        departure: Which attempts may begin while the gateway shuts down.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        wire: WireFormat,
        attempt_runner: AttemptRunner,
        server_selector: ServerSelector,
        attempt_tracker: AttemptTracker,
        decision_log: DecisionLog,
        request_guard: RequestGuard,
        responder: Responder,
        reach_board: ReachBoard,
        reach_checker: ReachChecker,
        peer_attempts: PeerAttempts,
        departure: Departure,
    ) -> None:
        self.routing_state = routing_state
        self.wire = wire
        self.attempt_runner = attempt_runner
        self.server_selector = server_selector
        self.attempt_tracker = attempt_tracker
        self.decision_log = decision_log
        self.request_guard = request_guard
        self.responder = responder
        self.reach_board = reach_board
        self.reach_checker = reach_checker
        self.peer_attempts = peer_attempts
        self.departure = departure

    async def handle(self, request: IncomingRequest) -> None:
        """Route a client's request, forward it and respond."""
        metadata = self.wire.parse_request(request.head)
        config = self.routing_state.config
        if not self.departure.allows_attempt(time.monotonic()):
            self.responder.reject(
                request, metadata, LEAVING.code, retry_after_s=LEAVING.retry_after_s
            )
            return
        if config is None or not self.routing_state.fleet.is_loaded:
            self.responder.reject(
                request, metadata, ResultCode.NOT_READY, retry_after_s=NOT_READY_RETRY_AFTER_S
            )
            return
        target = host_and_path(request.head)
        if target is None:
            self.responder.fail_unrouted(
                request, metadata, HTTPStatus.BAD_REQUEST, ResultCode.BAD_REQUEST
            )
            return
        route = config.match(*target)
        if route is None:
            self.responder.fail_unrouted(
                request, metadata, HTTPStatus.NOT_FOUND, ResultCode.UNKNOWN_SERVICE
            )
            return
        timeout_s = DEFAULT_TIMEOUT_S if metadata.timeout_s is None else metadata.timeout_s
        timeout_s = min(timeout_s, route.timeout_s)
        context = RequestContext(
            request=request,
            metadata=metadata,
            config_version=config.version,
            route=route,
            service=self.routing_state.splits.next_service(route),
            deadline=request.arrived_at + timeout_s,
            tried=[],
        )
        self.attempt_tracker.record_request(context.service, request.arrived_at)
        await self.run(context)

    async def run(self, context: RequestContext) -> None:
        """Run the attempts of a request until there is a response or its deadline passes."""
        try:
            async with asyncio.timeout_at(context.deadline + RESPONSE_GRACE_S):
                await self._run_attempts(context)
        except TimeoutError:
            if context.request.response.state is ResponseState.WAITING:
                self._respond_timeout(context)
            else:
                context.request.response.abort()
        except IncompleteRequest:
            self.decision_log.record_client_disconnect(context)
        except Exception:
            log.exception("request not handled", request=context.metadata.request_id)
            self._respond_failed(context)
        except asyncio.CancelledError:
            if context.request.cancelled:
                self.decision_log.record_client_disconnect(context)
            raise

    def _respond_failed(self, context: RequestContext) -> None:
        if context.request.response.state is ResponseState.WAITING:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            self.responder.fail(context, status, ResultCode.HANDLER_FAILED)
        else:
            context.request.response.abort()

    def _respond_timeout(self, context: RequestContext) -> None:
        if context.tried or context.forwarded_to:
            self.responder.fail(context, HTTPStatus.GATEWAY_TIMEOUT, ResultCode.DEADLINE_DURING_RUN)
        else:
            self.responder.reject(
                context.request,
                context.metadata,
                ResultCode.DEADLINE_PASSED,
                retry_after_s=0.0,
                context=context,
            )

    async def _run_attempts(self, context: RequestContext) -> None:
        buffered_body = await context.request.body.read_prefix(RETRY_BUFFER_BYTES)
        outgoing = OutgoingRequest(
            request=context.request,
            metadata=context.metadata,
            buffered_body=buffered_body,
            idempotent=context.route.idempotent,
        )
        match self.request_guard.judge(outgoing, time.monotonic()):
            case Unsuspected():
                await self._try_servers(context, outgoing)
            case Suspected() as verdict:
                context.is_suspect = True
                self.decision_log.record_suspect(context, outgoing, verdict)
                with self.request_guard.running(outgoing):
                    await self._try_servers(context, outgoing)
            case Quarantined() as verdict:
                self.responder.refuse_suspect(context, outgoing, verdict)

    async def _try_servers(self, context: RequestContext, outgoing: OutgoingRequest) -> None:
        """Send the request to one server after the other until there is a response for it."""
        while True:
            if not self.reach_board.of(context.service).reaches_servers:
                await self._respond_out_of_reach(context, outgoing)
                return
            now = time.monotonic()
            selection_request = SelectionRequest(
                route=context.route,
                service=context.service,
                key=context.metadata.object_key if context.route.affinity else "",
                remaining_s=context.deadline - now,
                tried=context.tried,
                prefers_idle=context.is_suspect,
            )
            selection = self.server_selector.select(selection_request, now)
            if isinstance(selection, Rejection):
                if self.server_selector.is_out_of_reach(selection_request):
                    await self._respond_out_of_reach(context, outgoing, selection)
                else:
                    await self._respond_without_server(context, selection)
                return
            if not self.departure.allows_attempt(now, expected_s=selection.expected_s):
                await self._respond_without_server(context, LEAVING)
                return
            sent = self.server_selector.record_sent(selection_request, selection, now)
            context.tried.append(selection.server.entry.server)
            try:
                result = await self.attempt_runner.run(
                    outgoing, selection, sent, remaining_s=context.deadline - now
                )
            except asyncio.CancelledError:
                self.attempt_tracker.record_cancellation(selection, started_at=now)
                raise
            await self._learn_from_attempt(
                context, outgoing, selection, result, sent, started_at=now
            )
            will_retry = self._should_retry(context, outgoing, result)
            self.decision_log.record_attempt(context, selection, result, will_retry=will_retry)
            if not will_retry:
                await self._respond_with_result(context, selection, result)
                if result.outcome is AttemptOutcome.RESPONSE and not result.body_complete:
                    self._learn_from_stream(outgoing, selection, result, sent_at=sent.sent_at)
                return

    async def _learn_from_attempt(
        self,
        context: RequestContext,
        outgoing: OutgoingRequest,
        selection: Selection,
        result: AttemptResult,
        sent: SentRequest,
        *,
        started_at: float,
    ) -> None:
        """Learn from the result of an attempt, and settle whether servers are reached."""
        server = selection.server.entry.server
        if result.outcome is not AttemptOutcome.UNREACHABLE:
            context.sent_attempts += 1
            context.received_by.append(server)
        self.attempt_tracker.record_result(context, selection, result, started_at=started_at)
        if result.connection_lost:
            self.request_guard.record_lost_connection(
                outgoing, selection.server, sent_at=sent.sent_at
            )
        elif result.outcome is AttemptOutcome.RESPONSE and result.body_complete:
            self.request_guard.record_response(outgoing, time.monotonic())
        elif result.outcome is AttemptOutcome.UNREACHABLE:
            self.attempt_runner.pool.close_idle(server)
            # If this gateway is cut off, more attempts of its own would fail as well.
            await self.reach_checker.wait(context.service)

    async def _respond_out_of_reach(
        self,
        context: RequestContext,
        outgoing: OutgoingRequest,
        rejection: Rejection | None = None,
    ) -> None:
        """Let a peer serve a request for which this gateway reaches no server, or refuse it.

        A request that a peer has forwarded is not forwarded again.
        """
        if context.forwarded is None and await self.peer_attempts.run(context, outgoing):
            return
        if not self.departure.allows_attempt(time.monotonic()):
            rejection = LEAVING
        if rejection is None:
            rejection = self.server_selector.rejections.reject_unreached()
        await self._respond_without_server(context, rejection)

    def _learn_from_stream(
        self,
        outgoing: OutgoingRequest,
        selection: Selection,
        result: AttemptResult,
        *,
        sent_at: float,
    ) -> None:
        """Learn from the end of a response that was passed on while it arrived."""
        if result.connection_lost:
            self.request_guard.record_lost_connection(outgoing, selection.server, sent_at=sent_at)
        elif result.connection.complete:
            self.request_guard.record_response(outgoing, time.monotonic())

    def _should_retry(
        self, context: RequestContext, outgoing: OutgoingRequest, result: AttemptResult
    ) -> bool:
        """Decide whether the request may be sent to another server after ``result``.

        The retry is counted against the retry budget, except after an unreachable
        server. Records a lost response or a fallback response in ``context``.
        """
        if not outgoing.is_fully_buffered:
            return False
        if result.outcome is AttemptOutcome.LOST:
            context.response_lost = True
        if result.connection_lost and context.is_suspect:
            return False
        if result.outcome is AttemptOutcome.RESPONSE:
            failed = result.body_complete and result.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            timed_out = failed and result.head.status == HTTPStatus.GATEWAY_TIMEOUT
            if not failed or timed_out:
                return False
        if result.may_have_run and not context.route.idempotent:
            return False
        may_retry = self.attempt_tracker.try_acquire_retry(context, result)
        if may_retry and result.outcome is AttemptOutcome.RESPONSE:
            context.fallback_response = result
        return may_retry

    async def _respond_with_result(
        self, context: RequestContext, selection: Selection, result: AttemptResult
    ) -> None:
        """Respond with the result of the last attempt."""
        if result.outcome is AttemptOutcome.RESPONSE:
            await self.responder.deliver(context, result)
        elif context.fallback_response is not None:
            await self.responder.deliver(context, context.fallback_response)
        elif context.response_lost or result.outcome is AttemptOutcome.LOST:
            self.responder.fail(context, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
        else:
            retry_after_s = self.server_selector.rejections.retry_after_s(selection.wait_s)
            self.responder.reject(
                context.request,
                context.metadata,
                ResultCode.SHED,
                retry_after_s=retry_after_s,
                context=context,
                best=selection,
            )

    async def _respond_without_server(self, context: RequestContext, rejection: Rejection) -> None:
        """Respond to a request for which no server is available (any more)."""
        if context.fallback_response is not None:
            await self.responder.deliver(context, context.fallback_response)
        elif context.response_lost:
            self.responder.fail(context, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
        else:
            self.responder.reject(
                context.request,
                context.metadata,
                rejection.code,
                retry_after_s=rejection.retry_after_s,
                context=context,
                best=rejection.best,
            )

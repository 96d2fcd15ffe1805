"""Proxies client requests: routing, attempts, retries and the response."""

import asyncio
import time
from dataclasses import dataclass
from http import HTTPStatus

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ClientGone, ResponseError
from knapweeddock.gateway.attempt import AttemptEnd, AttemptResult, AttemptRunner, OutgoingRequest
from knapweeddock.gateway.decisionlog import DecisionLog
from knapweeddock.gateway.judgement import Judgement
from knapweeddock.gateway.placement import Placed, Placement, PlacementRequest, Refused
from knapweeddock.gateway.routes import Route
from knapweeddock.gateway.view import View
from knapweeddock.gateway.wire import RequestFacts, WireFormat
from knapweeddock.http1.answer import AnswerState
from knapweeddock.http1.server import IncomingRequest
from knapweeddock.ids import ServerId, ServiceId, Version

log = structlog.get_logger(__name__)

RETRY_BUFFER_BYTES = 64 * 1024
"""Size of the first part of a request body, in bytes, that is buffered so that a
retry can send it again. A request is forwarded once its body is complete or this
much of it has arrived, so that a slow sender does not occupy a server's slot."""

DEFAULT_TIMEOUT_S = 30.0
"""Timeout in seconds of a request that specifies none. The timeout of the route is
an upper limit, as for every request."""

NOT_READY_RETRY_AFTER_S = 1.0
"""Retry-After in seconds of a gateway that has no configuration or server list yet,
or that is shutting down."""

RESPONSE_GRACE_S = 0.08
"""Time in seconds after the deadline in which the gateway still accepts a response
that the server sent at the last moment."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)
"""Response statuses by which clients conclude that a request has not run."""


@dataclass(kw_only=True, slots=True)
class Run:
    """State of a request while the gateway handles it.

    Attributes:
        request: The client's request.
        facts: Metadata from the request's headers.
        config_version: Version of the configuration that the route is from.
        route: Route that the request matches.
        service: Service that runs the request.
        deadline: Monotonic time at which the request times out.
        tried: Servers that attempts were made at.
        arrivals: Number of attempts that reached a server.
        response_lost: Whether the request may have run at a server whose response
            was lost.
        fallback_response: A server's error response that is delivered if no retry
            succeeds.
    """

    request: IncomingRequest
    facts: RequestFacts
    config_version: Version
    route: Route
    service: ServiceId
    deadline: float
    tried: list[ServerId]
    arrivals: int = 0
    response_lost: bool = False
    fallback_response: AttemptResult | None = None


class Forwarder:
    """Request handler of a gateway.

    Attributes:
        reject_new_requests: Whether requests are rejected because the gateway is
            shutting down.
    """

    def __init__(
        self,
        *,
        view: View,
        wire: WireFormat,
        attempts: AttemptRunner,
        placement: Placement,
        judgement: Judgement,
        decisions: DecisionLog,
    ) -> None:
        self.view = view
        self.wire = wire
        self.attempts = attempts
        self.placement = placement
        self.judgement = judgement
        self.decisions = decisions
        self.reject_new_requests = False

    async def handle(self, request: IncomingRequest) -> None:
        """Route a client's request, forward it and respond."""
        facts = self.wire.request_facts(request.head)
        config = self.view.config
        if config is None or not self.view.fleet.loaded or self.reject_new_requests:
            code = ResultCode.DRAINING if self.reject_new_requests else ResultCode.NOT_READY
            self._reject(request, facts, code, retry_after_s=NOT_READY_RETRY_AFTER_S)
            return
        host_and_path = _host_and_path(request)
        if host_and_path is None:
            self._respond_error(request, facts, HTTPStatus.BAD_REQUEST, ResultCode.BAD_REQUEST)
            return
        route = config.match(*host_and_path)
        if route is None:
            self._respond_error(request, facts, HTTPStatus.NOT_FOUND, ResultCode.UNKNOWN_SERVICE)
            return
        timeout_s = DEFAULT_TIMEOUT_S if facts.budget_s is None else facts.budget_s
        timeout_s = min(timeout_s, route.timeout_s)
        run = Run(
            request=request,
            facts=facts,
            config_version=config.version,
            route=route,
            service=self.view.splits.service_of(route),
            deadline=request.arrived_at + timeout_s,
            tried=[],
        )
        self.judgement.arrived(run.service, request.arrived_at)
        await self._run_until_deadline(run)

    async def _run_until_deadline(self, run: Run) -> None:
        try:
            async with asyncio.timeout_at(run.deadline + RESPONSE_GRACE_S):
                await self._run_attempts(run)
        except TimeoutError:
            if run.request.answer.state is AnswerState.WAITING:
                self._respond_timeout(run)
            else:
                run.request.answer.abort()
        except ClientGone:
            self.decisions.record_client_disconnect(run)
        except asyncio.CancelledError:
            if run.request.client_gone:
                self.decisions.record_client_disconnect(run)
            raise

    def _respond_timeout(self, run: Run) -> None:
        if run.tried:
            self._respond_routed_error(
                run, HTTPStatus.GATEWAY_TIMEOUT, ResultCode.DEADLINE_DURING_RUN
            )
        else:
            self._reject(
                run.request, run.facts, ResultCode.DEADLINE_PASSED, retry_after_s=0.0, run=run
            )

    async def _run_attempts(self, run: Run) -> None:
        buffered_body = await run.request.body.first_part(RETRY_BUFFER_BYTES)
        outgoing = OutgoingRequest(
            request=run.request,
            facts=run.facts,
            buffered_body=buffered_body,
            idempotent=run.route.idempotent,
        )
        while True:
            now = time.monotonic()
            placement_request = PlacementRequest(
                route=run.route,
                service=run.service,
                key=run.facts.object_key if run.route.affinity else "",
                remaining_s=run.deadline - now,
                tried=run.tried,
            )
            placed = self.placement.choose(placement_request, now)
            if isinstance(placed, Refused):
                await self._respond_without_server(run, placed)
                return
            self.placement.sent(placement_request, placed, now)
            run.tried.append(placed.server.entry.server)
            try:
                result = await self.attempts.run(outgoing, placed, remaining_s=run.deadline - now)
            except asyncio.CancelledError:
                self.judgement.broken_off(placed, started_at=now)
                raise
            run.arrivals += result.end is not AttemptEnd.UNREACHABLE
            self.judgement.judge(run, placed, result, started_at=now)
            if result.end is AttemptEnd.UNREACHABLE:
                self.attempts.pool.close_idle(placed.server.entry.server)
            will_retry = self._should_retry(run, outgoing, result)
            self.decisions.record_attempt(run, placed, result, will_retry=will_retry)
            if not will_retry:
                await self._respond_with_result(run, placed, result)
                return

    def _should_retry(self, run: Run, outgoing: OutgoingRequest, result: AttemptResult) -> bool:
        """Decide whether the request is sent to another server after ``result``.

        Notes a lost response or a fallback response in ``run``.
        """
        if not outgoing.is_fully_buffered:
            return False
        if result.end is AttemptEnd.LOST:
            run.response_lost = True
        if result.end is AttemptEnd.RESPONSE:
            failed = result.body_complete and result.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            timed_out = failed and result.head.status == HTTPStatus.GATEWAY_TIMEOUT
            if not failed or timed_out:
                return False
        if result.may_have_run and not run.route.idempotent:
            return False
        may_retry = self.judgement.may_retry(run, result)
        if may_retry and result.end is AttemptEnd.RESPONSE:
            run.fallback_response = result
        return may_retry

    async def _respond_with_result(self, run: Run, placed: Placed, result: AttemptResult) -> None:
        """Respond with the result of the last attempt."""
        if result.end is AttemptEnd.RESPONSE:
            await self._deliver_response(run, result)
        elif run.fallback_response is not None:
            await self._deliver_response(run, run.fallback_response)
        elif run.response_lost or result.end is AttemptEnd.LOST:
            self._respond_routed_error(run, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
        else:
            retry_after_s = self.placement.retry_after_s(placed.wait_s)
            self._reject(
                run.request,
                run.facts,
                ResultCode.SHED,
                retry_after_s=retry_after_s,
                run=run,
                best=placed,
            )

    async def _respond_without_server(self, run: Run, refused: Refused) -> None:
        """Respond to a request for which no server is available (any more)."""
        if run.fallback_response is not None:
            await self._deliver_response(run, run.fallback_response)
        elif run.response_lost:
            self._respond_routed_error(run, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
        else:
            self._reject(
                run.request,
                run.facts,
                refused.code,
                retry_after_s=refused.retry_after_s,
                run=run,
                best=refused.best,
            )

    async def _deliver_response(self, run: Run, result: AttemptResult) -> None:
        """Send a server's response to the client."""
        head = result.head
        if not run.route.idempotent and head.status in NOT_RUN_STATUSES:
            # To the client this status would mean that the request has not run.
            self._respond_routed_error(run, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
            return
        answer = run.request.answer
        headers = self.wire.client_response(head)
        if result.body_complete:
            length = head.length if run.request.head.method == b"HEAD" else len(result.body)
            answer.start(head.status, headers, length=length, body=result.body)
            answer.finish()
            self.decisions.record_delivery(run, head.status)
            return
        answer.start(head.status, headers, length=head.length, body=result.body)
        connection = result.connection
        try:
            while chunk := await connection.read():
                await answer.write(chunk)
        except ResponseError as error:
            self.decisions.record_delivery(run, head.status, error=str(error))
            answer.abort()
            return
        finally:
            self.attempts.pool.release(result.server, connection)
        answer.finish()
        self.decisions.record_delivery(run, head.status)

    def _reject(
        self,
        request: IncomingRequest,
        facts: RequestFacts,
        code: ResultCode,
        *,
        retry_after_s: float,
        run: Run | None = None,
        best: Placed | None = None,
    ) -> None:
        """Respond that the request has not run and will not run."""
        headers = self.wire.refusal(facts, retry_after_s=retry_after_s)
        request.answer.respond(HTTPStatus.SERVICE_UNAVAILABLE, headers)
        self.decisions.record_rejection(request, facts, code, retry_after_s, run=run, best=best)

    def _respond_error(
        self, request: IncomingRequest, facts: RequestFacts, status: HTTPStatus, code: ResultCode
    ) -> None:
        """Respond with an error that does not say whether the request has run."""
        request.answer.respond(status, self.wire.refusal(facts, retry_after_s=None))
        self.decisions.record_error(request, facts, status, code)

    def _respond_routed_error(self, run: Run, status: HTTPStatus, code: ResultCode) -> None:
        headers = self.wire.refusal(run.facts, retry_after_s=None)
        run.request.answer.respond(status, headers)
        self.decisions.record_error(run.request, run.facts, status, code, run=run)


def _host_and_path(request: IncomingRequest) -> tuple[str, str] | None:
    """Return host and path of a request, or None unless it names exactly one host."""
    target = request.head.target.decode("latin-1")
    hosts = [value for name, value in request.head.headers if name.lower() == b"host"]
    if target.startswith(("http://", "https://")):
        authority, _, path = target.partition("://")[2].partition("/")
        target = "/" + path
    elif len(hosts) != 1:
        return None
    else:
        authority = hosts[0].decode("latin-1")
    host = authority.strip().lower().partition(":")[0]
    return host, target.partition("?")[0]

"""Logs and counts the gateway's decisions about requests.

Requests that succeed at the first attempt are counted but not logged. Log lines
are rate-limited; suppressed lines are counted too.
"""

import time

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.gateway.evidence.quarantine import Quarantined, Suspected
from knapweeddock.gateway.metrics import NO_ROUTE, GatewayMetrics, RequestLabels
from knapweeddock.gateway.peering.forwardedmessages import ForwardedRequest
from knapweeddock.gateway.peering.peerforwarder import PeerReply
from knapweeddock.gateway.placement.selection import Selection
from knapweeddock.gateway.requests.attempt import AttemptOutcome, AttemptResult, OutgoingRequest
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.wire import RequestMetadata
from knapweeddock.http1.server import IncomingRequest
from knapweeddock.ids import ServerId, VmId

log = structlog.get_logger(__name__)

MAX_LINES_PER_S = 50
"""Limit on log lines about requests per second; lines beyond it are only counted."""


class DecisionLog:
    """Counts requests and attempts by result and logs those of interest, at a limited rate.

    Of a request whose deadline passes while its response is streamed, only the attempts
    are recorded.

    Attributes:
        suppressed_lines: Number of log lines that the rate limit suppressed.
    """

    def __init__(self, *, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self.suppressed_lines = 0
        self._current_second = 0
        self._lines_this_second = 0

    def record_delivery(self, context: RequestContext, status: int, *, error: str = "") -> None:
        """Record a server's response that was sent to the client.

        Args:
            context: State of the request.
            status: Status code of the response.
            error: Why the response was cut short, or "" when it is complete.
        """
        outcome = "failed" if error else "delivered"
        self._count(context.request, context, outcome, str(status))
        if not (error or status >= 500 or len(context.tried) > 1) or not self._admit_line():
            return
        log.info(
            "response delivered" if not error else "response cut short",
            request=context.metadata.request_id,
            route=context.route.route,
            servers=context.tried,
            status=status,
            reason=error,
        )

    def record_client_disconnect(self, context: RequestContext) -> None:
        """Record a client that disconnected before its response was complete."""
        self._count(context.request, context, "left", "client_gone")
        if self._admit_line():
            log.info(
                "client disconnected",
                request=context.metadata.request_id,
                route=context.route.route,
                servers=context.tried,
                waited_s=_elapsed_s(context.request),
            )

    def record_rejection(
        self,
        request: IncomingRequest,
        metadata: RequestMetadata,
        code: ResultCode,
        retry_after_s: float,
        *,
        context: RequestContext | None = None,
        best: Selection | None = None,
    ) -> None:
        """Record a request that was rejected without having run, and the reasons."""
        self._count(request, context, "refused", code.name.lower())
        if self._admit_line():
            log.info(
                "request refused",
                request=metadata.request_id,
                code=int(code),
                reason=code.name.lower(),
                retry_after_s=round(retry_after_s, 3),
                **_decision_fields(context, best),
            )

    def record_error(
        self,
        request: IncomingRequest,
        metadata: RequestMetadata,
        status: int,
        code: ResultCode,
        *,
        context: RequestContext | None = None,
    ) -> None:
        """Record a request to which the gateway itself responded with an error."""
        self._count(request, context, "failed", code.name.lower())
        if self._admit_line():
            log.info(
                "request failed",
                request=metadata.request_id,
                status=int(status),
                code=int(code),
                reason=code.name.lower(),
                **_decision_fields(context, None),
            )

    def record_attempt(
        self,
        context: RequestContext,
        selection: Selection,
        result: AttemptResult,
        *,
        will_retry: bool,
    ) -> None:
        """Record the result of an attempt.

        Args:
            context: State of the request.
            selection: The server of the attempt.
            result: Result of the attempt.
            will_retry: Whether another attempt is allowed. It is not made if no server
                can be selected for it.
        """
        self.metrics.record_attempt(result.outcome)
        succeeded = result.outcome is AttemptOutcome.RESPONSE and result.head.status < 500
        if succeeded or not self._admit_line():
            return
        entry = selection.server.entry
        log.info(
            "attempt unsuccessful",
            request=context.metadata.request_id,
            address=f"{entry.address[0]}:{entry.address[1]}",
            end=result.outcome.value,
            status=result.head.status if result.head else None,
            reason=result.reason,
            next_attempt=will_retry,
            **_decision_fields(context, selection),
        )

    def record_forwarded(self, context: RequestContext, peer: VmId, reply: PeerReply) -> None:
        """Record what became of a request that was forwarded to a peer."""
        told = reply.told
        outcome = reply.result.outcome if told is None else told.origin
        self.metrics.record_forwarded("sent", outcome.value)
        if self._admit_line():
            log.info(
                "request forwarded to a peer",
                request=context.metadata.request_id,
                peer=peer,
                end=outcome.value,
                code=int(told.code) if told is not None else None,
                reason=reply.result.reason,
                peer_requests=told.active if told is not None else None,
                **_decision_fields(context, None),
            )

    def record_carried(self, context: RequestContext, forwarded: ForwardedRequest) -> None:
        """Record that a request of another gateway's client is served here."""
        self.metrics.record_forwarded("received", "accepted")
        if self._admit_line():
            log.info(
                "serving a request for a peer",
                request=context.metadata.request_id,
                peer=forwarded.origin,
                peer_version=forwarded.version,
                **_decision_fields(context, None),
            )

    def record_suspect(
        self, context: RequestContext, outgoing: OutgoingRequest, verdict: Suspected
    ) -> None:
        """Record that a request runs although servers have ended under it before."""
        if self._admit_line():
            log.info(
                "suspect request runs",
                request=context.metadata.request_id,
                digest=outgoing.digest.hex(),
                ends=verdict.ends,
                trial=verdict.is_trial,
            )

    def record_quarantine(
        self, context: RequestContext, outgoing: OutgoingRequest, verdict: Quarantined
    ) -> None:
        """Record that a request was refused because servers have ended under it before."""
        code = ResultCode.QUARANTINED
        self._count(context.request, context, "refused", code.name.lower())
        if self._admit_line():
            log.info(
                "request refused",
                request=context.metadata.request_id,
                code=int(code),
                reason=code.name.lower(),
                retry_after_s=round(verdict.retry_after_s, 3),
                digest=outgoing.digest.hex(),
                ends=verdict.ends,
                waiting=verdict.is_waiting,
                **_decision_fields(context, None),
            )

    def record_server_end(self, outgoing: OutgoingRequest, server: ServerId) -> None:
        """Record that a server ended while it ran a request."""
        if self._admit_line():
            log.warning(
                "server ended under a request",
                request=outgoing.metadata.request_id,
                digest=outgoing.digest.hex(),
                server=server,
            )

    def _count(
        self, request: IncomingRequest, context: RequestContext | None, outcome: str, reason: str
    ) -> None:
        route = context.route.route if context is not None else NO_ROUTE
        labels = RequestLabels(route=route, outcome=outcome, reason=reason)
        self.metrics.record_request(labels, _elapsed_s(request))

    def _admit_line(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        if self._lines_this_second >= MAX_LINES_PER_S:
            self.suppressed_lines += 1
            return False
        self._lines_this_second += 1
        return True


def _elapsed_s(request: IncomingRequest) -> float:
    return round(time.monotonic() - request.arrived_at, 4)


def _decision_fields(context: RequestContext | None, best: Selection | None) -> dict[str, object]:
    """Return the log fields on which a decision about a request was based.

    Args:
        context: State of the request; None when it has no route.
        best: The server that was chosen or would have been the best one, if any.
    """
    fields: dict[str, object] = {}
    if context is not None:
        fields["route"] = context.route.route
        fields["service"] = context.service
        fields["object"] = context.metadata.object_key
        fields["config_version"] = context.config_version
        fields["servers"] = list(context.tried)
        fields["remaining_s"] = round(context.deadline - time.monotonic(), 3)
    if best is not None:
        now = time.monotonic()
        fields["server"] = best.server.entry.server
        fields["wait_s"] = round(best.wait_s, 3)
        fields["work_s"] = round(best.processing_s, 3)
        fields["load_age_s"] = best.server.load.report_age_s(now)
        fields["cold"] = best.server.is_cold(now)
    return fields

"""Responds to clients: with the responses of servers, with refusals and with errors."""

from collections.abc import Callable
from http import HTTPStatus

from knapweeddock.codes import ResultCode
from knapweeddock.errors import IncompleteResponse, ResponseError
from knapweeddock.gateway.evidence.quarantine import Quarantined
from knapweeddock.gateway.peering.forwardedmessages import (
    RESULT_HEADER,
    ForwardedRequest,
    ForwardedResult,
    Origin,
    encode_header,
)
from knapweeddock.gateway.placement.selection import Selection
from knapweeddock.gateway.requests.attempt import AttemptResult, OutgoingRequest
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.wire import HeaderList, RequestMetadata, WireFormat
from knapweeddock.http1.server import IncomingRequest

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)
"""Response statuses by which clients conclude that a request has not run."""


class Responder:
    """Writes responses to clients, and records each in the decision log.

    Attributes:
        wire: Format of the responses' headers.
        decision_log: Log of decisions about requests.
        active_requests: Returns the number of requests that this gateway handles.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        decision_log: DecisionLog,
        active_requests: Callable[[], int],
    ) -> None:
        self.wire = wire
        self.active_requests = active_requests
        self.decision_log = decision_log

    async def deliver(self, context: RequestContext, result: AttemptResult) -> None:
        """Send a server's response to the client."""
        head = result.head
        if not context.route.idempotent and head.status in NOT_RUN_STATUSES:
            # To the client this status would mean that the request has not run.
            self.fail(context, HTTPStatus.BAD_GATEWAY, ResultCode.SERVER_LOST)
            return
        response = context.request.response
        headers = [
            *self._told(context, Origin.SERVER),
            *self.wire.forwarded_response_headers(head, context.metadata),
        ]
        if result.body_complete:
            length = (
                head.content_length if context.request.head.method == b"HEAD" else len(result.body)
            )
            response.start(head.status, headers, content_length=length, body=result.body)
            response.finish()
            self.decision_log.record_delivery(context, head.status)
            return
        response.start(head.status, headers, content_length=head.content_length, body=result.body)
        connection = result.connection
        try:
            while chunk := await connection.read():
                await response.write(chunk)
        except ResponseError as error:
            result.connection_lost = isinstance(error, IncompleteResponse)
            self.decision_log.record_delivery(context, head.status, error=str(error))
            response.abort()
            return
        finally:
            result.release()
        response.finish()
        self.decision_log.record_delivery(context, head.status)

    def reject(
        self,
        request: IncomingRequest,
        metadata: RequestMetadata,
        code: ResultCode,
        *,
        retry_after_s: float,
        context: RequestContext | None = None,
        best: Selection | None = None,
    ) -> None:
        """Respond that the request has not run and will not run."""
        told = self._told(context, Origin.NOT_RUN, code, retry_after_s)
        headers = self.wire.error_headers(metadata, retry_after_s=retry_after_s)
        request.response.send(HTTPStatus.SERVICE_UNAVAILABLE, [*told, *headers])
        self.decision_log.record_rejection(
            request, metadata, code, retry_after_s, context=context, best=best
        )

    def refuse_suspect(
        self, context: RequestContext, outgoing: OutgoingRequest, verdict: Quarantined
    ) -> None:
        """Respond that a request has not run because servers have ended under it before."""
        told = self._told(context, Origin.NOT_RUN, ResultCode.QUARANTINED, verdict.retry_after_s)
        headers = self.wire.error_headers(context.metadata, retry_after_s=verdict.retry_after_s)
        context.request.response.send(HTTPStatus.SERVICE_UNAVAILABLE, [*told, *headers])
        self.decision_log.record_quarantine(context, outgoing, verdict)

    def fail_unrouted(
        self,
        request: IncomingRequest,
        metadata: RequestMetadata,
        status: HTTPStatus,
        code: ResultCode,
    ) -> None:
        """Respond with an error to a request that cannot be routed."""
        request.response.send(status, self.wire.error_headers(metadata, retry_after_s=None))
        self.decision_log.record_error(request, metadata, status, code)

    def fail(self, context: RequestContext, status: HTTPStatus, code: ResultCode) -> None:
        """Respond with an error to a request that may have run."""
        told = self._told(context, Origin.FAILED, code)
        headers = self.wire.error_headers(context.metadata, retry_after_s=None)
        context.request.response.send(status, [*told, *headers])
        self.decision_log.record_error(
            context.request, context.metadata, status, code, context=context
        )

    def refuse_forwarded(
        self,
        request: IncomingRequest,
        metadata: RequestMetadata,
        code: ResultCode,
        forwarded: ForwardedRequest,
        *,
        retry_after_s: float,
    ) -> None:
        """Respond to a peer that its request has not run, before it has a context."""
        told = self._result(
            Origin.NOT_RUN, code, retry_after_s, sent_attempts=forwarded.sent_attempts
        )
        headers = self.wire.error_headers(metadata, retry_after_s=retry_after_s)
        request.response.send(HTTPStatus.SERVICE_UNAVAILABLE, [told, *headers])
        self.decision_log.record_rejection(request, metadata, code, retry_after_s)

    def _told(
        self,
        context: RequestContext | None,
        origin: Origin,
        code: ResultCode = ResultCode.OK,
        retry_after_s: float = 0.0,
    ) -> HeaderList:
        """Return what a peer is told with the response to a request that it has forwarded."""
        if context is None or context.forwarded is None:
            return []
        return [self._result(origin, code, retry_after_s, sent_attempts=context.sent_attempts)]

    def _result(
        self, origin: Origin, code: ResultCode, retry_after_s: float, *, sent_attempts: int
    ) -> tuple[bytes, bytes]:
        message = ForwardedResult(
            origin=origin,
            active=self.active_requests(),
            sent_attempts=sent_attempts,
            code=code,
            retry_after_s=retry_after_s,
        )
        return encode_header(RESULT_HEADER, message)

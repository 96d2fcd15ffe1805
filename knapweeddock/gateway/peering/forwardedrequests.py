"""Serves requests that peers forward, since they reach no server themselves.

Such a request is never forwarded again. It is refused at once, as not run, if this gateway
reaches no server either, is leaving, or handles too many: the peer then looks for another one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import replace
from http import HTTPStatus

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.peering.forwardedmessages import (
    MAX_HEADER_BYTES,
    REQUEST_HEADER,
    ForwardedRequest,
    take_header,
)
from knapweeddock.gateway.placement.rejections import MAX_URGENT_PRIORITY
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.requests.requestdigest import host_and_path
from knapweeddock.gateway.requests.responder import Responder
from knapweeddock.gateway.routes import Route
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.wire import WireFormat
from knapweeddock.http1.server import ClientLimits, IncomingRequest
from knapweeddock.ids import ServiceId, Version

log = structlog.get_logger(__name__)

MAX_FORWARDED_REQUESTS = 192
"""Largest number of forwarded requests at a time that are not urgent. Each one may hold a body
and a response in memory."""

MAX_URGENT_FORWARDED_REQUESTS = 256
"""Largest number of forwarded requests at a time."""

CONFIG_WAIT_S = 0.3
"""Longest time in seconds for which a request waits for the configuration by which the peer
has routed it; gateways of a region get one within this time of each other."""

CONFIG_POLL_S = 0.02

REFUSAL_RETRY_AFTER_S = 0.3


class ForwardedRequests:
    """Request handler of the port for requests that peers forward.

    Attributes:
        routing_state: Latest known state of the store.
        wire: Format of the requests' headers.
        reach_board: Whether this gateway reaches servers.
        responder: Writes responses.
        decision_log: Log of decisions about requests.
        run: Runs the attempts of a request until its deadline.
        is_leaving: Returns whether this gateway takes no new requests.
        active: Number of forwarded requests that are being handled.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        wire: WireFormat,
        reach_board: ReachBoard,
        responder: Responder,
        decision_log: DecisionLog,
        run: Callable[[RequestContext], Awaitable[None]],
        is_leaving: Callable[[], bool],
    ) -> None:
        self.routing_state = routing_state
        self.wire = wire
        self.reach_board = reach_board
        self.responder = responder
        self.decision_log = decision_log
        self.run = run
        self.is_leaving = is_leaving
        self.active = 0

    def limits(self) -> ClientLimits:
        """Return the limits on forwarded requests: those on clients', and the added header."""
        limits = self.routing_state.client_limits()
        return replace(limits, header_bytes=limits.header_bytes + MAX_HEADER_BYTES)

    async def handle(self, request: IncomingRequest) -> None:
        """Serve a request that a peer forwards."""
        try:
            forwarded, headers = take_header(request.head.headers, REQUEST_HEADER, ForwardedRequest)
        except MessageError as error:
            log.warning("forwarded request unreadable", reason=str(error))
            request.response.send(HTTPStatus.BAD_REQUEST, [])
            return
        request.head = replace(request.head, headers=headers)
        self.active += 1
        try:
            await self._serve(request, forwarded)
        finally:
            self.active -= 1

    async def _serve(self, request: IncomingRequest, forwarded: ForwardedRequest) -> None:
        await self._wait_for_config(forwarded.version)
        context = self._context(request, forwarded)
        code = self._refusal(context, forwarded)
        if code is not None:
            metadata = self.wire.parse_request(request.head)
            self.responder.refuse_forwarded(
                request, metadata, code, forwarded, retry_after_s=REFUSAL_RETRY_AFTER_S
            )
            return
        self.decision_log.record_carried(context, forwarded)
        await self.run(context)

    def _refusal(
        self, context: RequestContext | None, forwarded: ForwardedRequest
    ) -> ResultCode | None:
        """Return why a request is refused, or None."""
        config = self.routing_state.config
        if self.is_leaving():
            return ResultCode.DRAINING
        if config is None or config.version < forwarded.version:
            return ResultCode.NOT_READY
        if context is None:
            # A later configuration has no such route; the peer will have it in a moment.
            return ResultCode.UNKNOWN_SERVICE
        if not self.reach_board.of(context.service).reaches_servers:
            return ResultCode.NO_SITE
        is_urgent = context.route.priority <= MAX_URGENT_PRIORITY
        limit = MAX_URGENT_FORWARDED_REQUESTS if is_urgent else MAX_FORWARDED_REQUESTS
        if self.active > limit:
            return ResultCode.PEER_BUSY
        return None

    async def _wait_for_config(self, version: Version) -> None:
        """Wait for a configuration that the peer has already, for a moment."""
        deadline = asyncio.get_running_loop().time() + CONFIG_WAIT_S
        while asyncio.get_running_loop().time() < deadline:
            config = self.routing_state.config
            if config is not None and config.version >= version:
                return
            await asyncio.sleep(CONFIG_POLL_S)

    def _context(
        self, request: IncomingRequest, forwarded: ForwardedRequest
    ) -> RequestContext | None:
        """Return the state of a forwarded request, or None if it has no route."""
        config = self.routing_state.config
        target = host_and_path(request.head)
        route = config.match(*target) if config is not None and target is not None else None
        if route is None:
            return None
        metadata = self.wire.parse_request(request.head)
        timeout_s = route.timeout_s if metadata.timeout_s is None else metadata.timeout_s
        return RequestContext(
            request=request,
            metadata=metadata,
            config_version=config.version,
            route=route,
            service=self._service(route, forwarded.service),
            deadline=request.arrived_at + min(timeout_s, route.timeout_s),
            tried=list(forwarded.received_by),
            received_by=list(forwarded.received_by),
            sent_attempts=max(0, forwarded.sent_attempts),
            forwarded=forwarded,
        )

    def _service(self, route: Route, chosen: ServiceId) -> ServiceId:
        """Return the service that the peer has chosen, unless the route has it no longer."""
        services: Collection[ServiceId] = [each.service for each in route.services]
        return chosen if chosen in services else self.routing_state.splits.next_service(route)

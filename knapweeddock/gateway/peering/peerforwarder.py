"""Forwards requests to a peer, for a gateway that reaches no server itself."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from knapweeddock.errors import MessageError, PeerUnavailable, ResponseError
from knapweeddock.gateway.peering.forwardedmessages import (
    REQUEST_HEADER,
    RESULT_HEADER,
    ForwardedRequest,
    ForwardedResult,
    Origin,
    encode_header,
    take_header,
)
from knapweeddock.gateway.peering.peerchoice import PeerChoice, PeerView
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.gateway.requests.attempt import (
    AttemptOutcome,
    AttemptResult,
    AttemptRunner,
    OutgoingRequest,
    lost_result,
)
from knapweeddock.gateway.requests.connectionpool import ConnectionPool
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.wire import WireFormat
from knapweeddock.http1.client import HttpClientConnection, connect
from knapweeddock.ids import RegionId, VmId

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.25
"""Timeout in seconds for connecting to a peer."""

MAX_IDLE_CONNECTIONS = 16
"""Largest number of idle connections to a peer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerDestination:
    """Where a peer accepts forwarded requests.

    Attributes:
        server: The peer.
        address: Its address for forwarded requests.
    """

    server: VmId
    address: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReply:
    """What became of a forwarded request.

    Attributes:
        result: The response of a server, or why there is none.
        told: What the peer has told; None if nothing was received from it.
    """

    result: AttemptResult
    told: ForwardedResult | None = None


async def connect_to_peer(destination: PeerDestination) -> HttpClientConnection:
    """Open a connection to a peer.

    Raises:
        PeerUnavailable: The connection failed or was not established in time.
    """
    return await connect(destination.address, timeout_s=CONNECT_TIMEOUT_S)


class PeerForwarder:
    """Sends requests to peers and reads their responses.

    Attributes:
        vm: VM of this gateway.
        wire: Format of the requests' headers.
        attempt_runner: Sends requests and reads responses.
        choice: Chooses the peers.
        view: Returns which gateways can serve requests for this one.
        pool: Connections to peers.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        wire: WireFormat,
        attempt_runner: AttemptRunner,
        choice: PeerChoice,
        view: Callable[[], PeerView],
    ) -> None:
        self.vm = vm
        self.wire = wire
        self.attempt_runner = attempt_runner
        self.choice = choice
        self.view = view
        self.pool = ConnectionPool(
            connect=connect_to_peer, get_max_idle=lambda _: MAX_IDLE_CONNECTIONS
        )

    def choose(
        self, tried: list[VmId], regions: frozenset[RegionId] | tuple[RegionId, ...]
    ) -> GatewayEntry | None:
        """Return the peer for a request that was forwarded to ``tried``, None if there is none."""
        return self.choice.choose(self.view(), time.monotonic(), regions=regions, tried=tried)

    async def run(
        self, outgoing: OutgoingRequest, context: RequestContext, peer: GatewayEntry
    ) -> PeerReply:
        """Forward a request to ``peer`` and wait for the response."""
        destination = PeerDestination(server=peer.vm, address=peer.forwarding_address)
        self.choice.record_sent(peer.vm)
        try:
            reply = await self._exchange(outgoing, context, destination)
        finally:
            self.choice.record_end(peer.vm)
        now = time.monotonic()
        if reply.told is None:
            self.choice.record_failure(peer.vm, now)
        else:
            self.choice.record_load(peer.vm, reply.told.active, now)
        return reply

    async def _exchange(
        self, outgoing: OutgoingRequest, context: RequestContext, destination: PeerDestination
    ) -> PeerReply:
        try:
            connection = await self.pool.acquire(
                destination, idempotent=outgoing.idempotent, has_id=outgoing.has_id
            )
        except PeerUnavailable as error:
            return _unreachable(error)
        try:
            result = await self.attempt_runner.exchange(
                outgoing,
                connection,
                self._headers(context),
                remaining_s=context.deadline - time.monotonic(),
            )
        except PeerUnavailable as error:
            return _unreachable(error)
        except ResponseError as error:
            connection.abort()
            return PeerReply(result=lost_result(error))
        except BaseException:
            # The client disconnected or the deadline passed: closing the connection tells
            # the peer, which closes its own to the server.
            connection.abort()
            raise
        result.destination = destination
        result.pool = self.pool
        if result.outcome is AttemptOutcome.LOST:
            return PeerReply(result=result)
        return self._read_result(result)

    def _headers(self, context: RequestContext) -> list[tuple[bytes, bytes]]:
        message = ForwardedRequest(
            origin=self.vm,
            version=context.config_version,
            service=context.service,
            sent_attempts=context.sent_attempts,
            received_by=tuple(context.received_by),
        )
        headers = self.wire.forwarded_request_headers(
            context.request.head,
            server_id=None,
            remaining_s=context.deadline - time.monotonic(),
        )
        return [encode_header(REQUEST_HEADER, message), *headers]

    def _read_result(self, result: AttemptResult) -> PeerReply:
        """Take the peer's own header out of a response, and classify the response by it."""
        try:
            told, headers = take_header(result.head.headers, RESULT_HEADER, ForwardedResult)
        except MessageError as error:
            log.warning("response of a peer unreadable", reason=str(error))
            result.connection.abort()
            reason = AttemptResult(outcome=AttemptOutcome.LOST, reason=str(error))
            return PeerReply(result=reason)
        result.head = replace(result.head, headers=headers)
        match told.origin:
            case Origin.NOT_RUN:
                result.outcome = AttemptOutcome.NOT_RUN
            case Origin.FAILED:
                result.outcome = AttemptOutcome.LOST
            case Origin.SERVER:
                result.outcome = AttemptOutcome.RESPONSE
        if result.body_complete:
            result.release()
        return PeerReply(result=result, told=told)


def _unreachable(error: PeerUnavailable) -> PeerReply:
    """Return what is known of a request that was not sent."""
    result = AttemptResult(outcome=AttemptOutcome.UNREACHABLE, reason=str(error))
    return PeerReply(result=result)

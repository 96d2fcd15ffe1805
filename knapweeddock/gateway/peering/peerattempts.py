"""Forwards a request to one peer after the other, until there is a response for it."""

import time
from http import HTTPStatus

from knapweeddock.codes import ResultCode
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.peering.forwardedmessages import ForwardedResult, Origin
from knapweeddock.gateway.peering.peerforwarder import PeerForwarder, PeerReply
from knapweeddock.gateway.placement.rejections import MIN_RETRY_AFTER_S
from knapweeddock.gateway.requests.attempt import AttemptOutcome, OutgoingRequest
from knapweeddock.gateway.requests.attempttracker import AttemptTracker
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.requests.responder import Responder
from knapweeddock.gateway.shutdown import Departure
from knapweeddock.ids import VmId

MAX_PEERS = 2
"""Largest number of peers to which a request is forwarded, one after the other."""

REFUSALS_OF_PEER = frozenset(
    {
        ResultCode.DRAINING,
        ResultCode.NOT_READY,
        ResultCode.NO_SITE,
        ResultCode.PEER_BUSY,
        ResultCode.UNKNOWN_SERVICE,
    }
)
"""Reasons for refusals that concern the peer; another one may serve the request."""


class PeerAttempts:
    """Lets peers serve the requests for which this gateway reaches no server.

    Attributes:
        forwarder: Sends requests to peers.
        reach_board: Learns that peers reach servers.
        attempt_tracker: Allows retries.
        responder: Writes responses.
        decision_log: Log of decisions about requests.
        departure: Which attempts may begin while the gateway shuts down.
    """

    def __init__(
        self,
        *,
        forwarder: PeerForwarder,
        reach_board: ReachBoard,
        attempt_tracker: AttemptTracker,
        responder: Responder,
        decision_log: DecisionLog,
        departure: Departure,
    ) -> None:
        self.forwarder = forwarder
        self.reach_board = reach_board
        self.attempt_tracker = attempt_tracker
        self.responder = responder
        self.decision_log = decision_log
        self.departure = departure

    async def run(self, context: RequestContext, outgoing: OutgoingRequest) -> bool:
        """Forward a request to one peer after the other, and pass the response on.

        Returns:
            Whether the client has got a response.
        """
        tried = context.forwarded_to
        refused: ForwardedResult | None = None
        while len(tried) < MAX_PEERS and self.departure.allows_attempt(time.monotonic()):
            peer = self.forwarder.choose(tried, context.route.regions)
            if peer is None:
                break
            tried.append(peer.vm)
            reply = await self.forwarder.run(outgoing, context, peer)
            self.decision_log.record_forwarded(context, peer.vm, reply)
            if self._learn_from_peer(context, peer.vm, reply):
                await self._respond_with_reply(context, reply)
                return True
            refused = reply.told or refused
            if not self._may_try_another_peer(context, outgoing, reply):
                break
        if context.response_lost or context.fallback_response is not None or refused is None:
            return False
        self.responder.reject(
            context.request,
            context.metadata,
            refused.code,
            retry_after_s=max(MIN_RETRY_AFTER_S, refused.retry_after_s),
            context=context,
        )
        return True

    def _learn_from_peer(self, context: RequestContext, vm: VmId, reply: PeerReply) -> bool:
        """Learn from what a peer has told; return whether its response is the final one."""
        told = reply.told
        if told is None:
            return False
        context.sent_attempts = max(context.sent_attempts, told.sent_attempts)
        match told.origin:
            case Origin.NOT_RUN:
                if told.code in REFUSALS_OF_PEER:
                    self.forwarder.choice.record_failure(vm, time.monotonic())
                return False
            case Origin.FAILED:
                return True
            case Origin.SERVER:
                self.reach_board.of(context.service).record_served_by_peer(time.monotonic())
                return True

    def _may_try_another_peer(
        self, context: RequestContext, outgoing: OutgoingRequest, reply: PeerReply
    ) -> bool:
        """Whether a request without a final response may go to another peer.

        One that was lost after it was sent may have run.
        """
        can_be_repeated = outgoing.is_fully_buffered
        match reply.result.outcome:
            case AttemptOutcome.UNREACHABLE:
                return can_be_repeated
            case AttemptOutcome.NOT_RUN:
                is_refusal_of_peer = reply.told.code in REFUSALS_OF_PEER
                has_new_attempts = reply.told.sent_attempts > len(context.received_by)
                return can_be_repeated and is_refusal_of_peer and not has_new_attempts
            case _:
                context.response_lost = True
                context.sent_attempts += 1
                may_repeat = context.route.idempotent and not context.is_suspect
                if not (can_be_repeated and may_repeat):
                    return False
                return self.attempt_tracker.try_acquire_retry(context, reply.result)

    async def _respond_with_reply(self, context: RequestContext, reply: PeerReply) -> None:
        """Pass on a server's response from a peer, or the peer's own failure."""
        if reply.told.origin is Origin.SERVER:
            await self.responder.deliver(context, reply.result)
            return
        status = HTTPStatus(reply.result.head.status)
        self.responder.fail(context, status, reply.told.code)

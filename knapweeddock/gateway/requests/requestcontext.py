"""State of a request while the gateway handles it."""

from dataclasses import dataclass, field

from knapweeddock.gateway.peering.forwardedmessages import ForwardedRequest
from knapweeddock.gateway.requests.attempt import AttemptResult
from knapweeddock.gateway.routes import Route
from knapweeddock.gateway.wire import RequestMetadata
from knapweeddock.http1.server import IncomingRequest
from knapweeddock.ids import ServerId, ServiceId, Version, VmId


@dataclass(kw_only=True, slots=True)
class RequestContext:
    """State of a request while the gateway handles it.

    Attributes:
        request: The client's request.
        metadata: Metadata from the request's headers.
        config_version: Version of the configuration that the route is from.
        route: Route that the request matches.
        service: Service that runs the request.
        deadline: Monotonic time at which the request times out.
        tried: Servers selected so far, including unreachable ones.
        received_by: Servers that the request has reached, whether or not it ran there.
        sent_attempts: Number of attempts that reached a server.
        is_suspect: Whether servers have ended under the same request before, so that it is not
            sent to another one if its server ends.
        response_lost: Whether the request may have run at a server whose response
            was lost.
        fallback_response: A server's error response after which a retry was allowed.
            It is delivered if no later attempt brings a response.
        forwarded_to: Peers to which the request was forwarded, including unreachable ones.
        forwarded: What the peer tells that has forwarded the request to this gateway; None for
            a request of a client.
    """

    request: IncomingRequest
    metadata: RequestMetadata
    config_version: Version
    route: Route
    service: ServiceId
    deadline: float
    tried: list[ServerId]
    sent_attempts: int = 0
    is_suspect: bool = False
    response_lost: bool = False
    fallback_response: AttemptResult | None = None
    received_by: list[ServerId] = field(default_factory=list)
    forwarded_to: list[VmId] = field(default_factory=list)
    forwarded: ForwardedRequest | None = None

"""A request for which a server is selected, and what comes of it."""

from collections.abc import Collection
from dataclasses import dataclass, field

from knapweeddock.codes import ResultCode
from knapweeddock.gateway.placement.fleet import ServerState
from knapweeddock.gateway.routes import Route
from knapweeddock.ids import ServerId, ServiceId

INTER_REGION_RTT_S = 0.026
"""Assumed round-trip time to a server in another region, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SelectionRequest:
    """Properties of a request that the selection of a server depends on.

    Attributes:
        route: Route of the request.
        service: Service that handles the request.
        key: Object that the request concerns, for cache affinity; "" if there is none.
        remaining_s: Seconds until the deadline, after which nobody waits for the response.
        tried: Servers to which the request was already sent.
        prefers_idle: Whether a server that runs nothing else is preferred, since the request
            may end it.
    """

    route: Route
    service: ServiceId
    key: str
    remaining_s: float
    tried: Collection[ServerId] = field(default=frozenset())
    prefers_idle: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Selection:
    """A selected server and the response time expected of it.

    Attributes:
        server: The selected server.
        cached: Whether the server is expected to have the object cached.
        cache_state_known: Whether ``cached`` is reliable enough to learn processing times
            from the response: this gateway sent the server a request for the object
            recently, or the server is not one of the object's preferred servers in its
            home region, to which other gateways may have sent some. The preferred
            servers of a request without an object are the first ones in a random order.
        wait_s: Expected time in the server's queue, in seconds.
        certain_wait_s: Time in the queue in seconds for which there is recent evidence.
        processing_s: Expected processing time in seconds, multiplied by the server's
            latency ratio.
        remote: Whether the server is in another region than this gateway.
    """

    server: ServerState
    cached: bool
    cache_state_known: bool
    wait_s: float
    certain_wait_s: float
    processing_s: float
    remote: bool

    @property
    def expected_s(self) -> float:
        """Expected response time in seconds."""
        return self.wait_s + self.processing_s + (INTER_REGION_RTT_S if self.remote else 0.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """No server is available or can respond in time.

    Attributes:
        code: Reason for the rejection.
        retry_after_s: Delay in seconds after which the client may retry.
        best: The best server that was found, if any.
    """

    code: ResultCode
    retry_after_s: float
    best: Selection | None = None

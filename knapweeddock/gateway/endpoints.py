"""What a gateway answers besides requests for servers: readiness, look-ups and metrics."""

import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import structlog

from knapweeddock.gateway.membership import lookups
from knapweeddock.gateway.membership.heartbeats import GatewayPhase
from knapweeddock.gateway.membership.regionfeed import RegionFeed
from knapweeddock.gateway.metrics import GatewayMetrics
from knapweeddock.gateway.settings import GatewaySettings
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.wire import WireFormat
from knapweeddock.http1.listener import HttpListener, listening
from knapweeddock.http1.messages import get_header_text
from knapweeddock.http1.server import ClientLimits, IncomingRequest
from knapweeddock.metrics import METRICS_PATH

log = structlog.get_logger(__name__)

LOOKUP_TTL_FRACTION = 0.4
"""TTL of look-up responses as a fraction of the longest one that callers accept."""


class Endpoints:
    """Handlers of the ports on which a gateway speaks for itself.

    Attributes:
        wire: Format of readiness checks and look-ups.
        routing_state: Latest known state of the store.
        feed: What other gateways tell.
        metrics: Metrics of this gateway.
        phase: Returns whether the gateway starts, serves or shuts down.
        max_lookup_ttl_s: Returns the longest time in seconds for which callers cache a
            look-up response.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        routing_state: RoutingState,
        feed: RegionFeed,
        metrics: GatewayMetrics,
        phase: Callable[[], GatewayPhase],
        max_lookup_ttl_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.wire = wire
        self.routing_state = routing_state
        self.feed = feed
        self.metrics = metrics
        self.phase = phase
        self.max_lookup_ttl_s = max_lookup_ttl_s
        self.rng = rng

    async def handle_metrics(self, request: IncomingRequest) -> None:
        """Answer a scrape of the metrics."""
        path = request.head.target.partition(b"?")[0].decode("latin-1")
        if path != METRICS_PATH:
            request.response.send(HTTPStatus.NOT_FOUND, [])
            return
        accept = [get_header_text(request.head.headers, b"accept")]
        content, headers = self.metrics.process_metrics.render(accept)
        encoded = [(name.encode(), value.encode()) for name, value in headers.items()]
        request.response.send(HTTPStatus.OK, encoded, content)

    async def handle_ready(self, request: IncomingRequest) -> None:
        """Answer a readiness check."""
        if not self.wire.is_readiness_check(request.head):
            status = HTTPStatus.NOT_FOUND
        elif self.phase() is GatewayPhase.SERVING:
            status = HTTPStatus.OK
        else:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        request.response.send(status, [])

    async def handle_lookup(self, request: IncomingRequest) -> None:
        """Answer a client that asks which gateways it may use."""
        query = self.wire.parse_lookup(request.head)
        if query is None:
            request.response.send(HTTPStatus.NOT_FOUND, [])
            return
        entries = lookups.choose_gateways(
            region=query.region,
            failure_domain=query.failure_domain,
            gateways=self.routing_state.gateways,
            members=self.feed.live_members(time.monotonic()),
            rng=self.rng,
        )
        ttl_s = LOOKUP_TTL_FRACTION * self.max_lookup_ttl_s()
        addresses = [entry.front_address for entry in entries]
        body = self.wire.encode_lookup_response(addresses, ttl_s=ttl_s)
        request.response.send(
            lookups.response_status(entries), [(b"Content-Type", b"application/json")], body
        )


@contextlib.asynccontextmanager
async def serving_endpoints(endpoints: Endpoints, settings: GatewaySettings) -> AsyncIterator[None]:
    """Answer readiness checks, look-ups and scrapes within the block.

    The configuration limits clients' requests only; these have the default limits.
    """
    ready = HttpListener(handler=endpoints.handle_ready, get_limits=ClientLimits)
    lookup = HttpListener(handler=endpoints.handle_lookup, get_limits=ClientLimits)
    async with (
        listening(ready, settings.ready),
        listening(lookup, settings.lookup),
        _serving_metrics(endpoints, settings),
    ):
        yield


@contextlib.asynccontextmanager
async def _serving_metrics(endpoints: Endpoints, settings: GatewaySettings) -> AsyncIterator[None]:
    """Serve metrics, or only log an error if their port cannot be bound.

    Requests do not depend on metrics.
    """
    listener = HttpListener(handler=endpoints.handle_metrics, get_limits=ClientLimits)
    async with contextlib.AsyncExitStack() as stack:
        try:
            await stack.enter_async_context(listening(listener, settings.metrics))
        except OSError as error:
            log.error("metrics unavailable", reason=str(error))
        yield

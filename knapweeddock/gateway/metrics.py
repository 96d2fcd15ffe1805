"""Counters, histograms and gauges of a gateway.

Collectors check and encode their labels at each call, so counts are added up
here and handed over when the metrics are read; the histogram of each route is
kept.
"""

from collections import Counter
from dataclasses import dataclass

from aioprometheus.histogram import Histogram

from knapweeddock.gateway.attempt import AttemptEnd
from knapweeddock.ids import RouteId, VmId
from knapweeddock.metrics import ProcessMetrics

NO_ROUTE = RouteId("-")
"""Label of requests that match no route."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLabels:
    """How a request ended, as it is counted.

    Attributes:
        route: Its route.
        outcome: What the client got: ``delivered``, ``refused``, ``failed`` or ``left``.
        reason: Name of the result code, or status of the delivered response.
    """

    route: RouteId
    outcome: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GaugeValues:
    """State that is shown as gauges.

    Attributes:
        config_version: Version of the configuration in force; 0 before the first.
        store_age_s: Seconds since the store answered last.
        store_calls: Calls to the store since the start.
        active: Requests without a complete response.
        connections: Connections of clients.
        servers: Servers by state.
        gateways_alive: Other gateways that were heard a short time ago.
        server_connections: Connections opened to servers since the start.
        probes: Probes sent since the start.
        retries_left: Retries that the budget allows now, by service.
        lines_left_out: Log lines about requests that were not written.
        stalled_s: Seconds for which the process did not run since its start.
    """

    config_version: int
    store_age_s: float
    store_calls: int
    active_requests: int
    client_connections: int
    servers: dict[str, int]
    gateways_alive: int
    server_connections_opened: int
    probes_sent: int
    retries_left: dict[str, int]
    suppressed_lines: int
    stalled_s: float


class GatewayMetrics:
    """The collectors of one gateway process."""

    def __init__(self, *, vm: VmId) -> None:
        self.process_metrics = ProcessMetrics(process="knapweed-gateway", vm=vm)
        process = self.process_metrics
        self.requests = process.counter(
            "knapweed_requests_total", "Requests by route, outcome and reason."
        )
        self.request_seconds = process.seconds(
            "knapweed_request_seconds", "Time from a request's headers to its response."
        )
        self.attempts = process.counter("knapweed_attempts_total", "Attempts by how they ended.")
        self.config_version = process.gauge("knapweed_config_version", "Configuration in force.")
        self.store_age = process.gauge(
            "knapweed_store_age_seconds", "Time since the store answered last."
        )
        self.store_calls = process.gauge("knapweed_store_calls", "Calls to the store.")
        self.active_requests = process.gauge(
            "knapweed_active_requests", "Requests without a response."
        )
        self.client_connections = process.gauge(
            "knapweed_client_connections", "Connections of clients."
        )
        self.servers = process.gauge("knapweed_servers", "Backend servers by state.")
        self.gateways_alive = process.gauge(
            "knapweed_gateways_alive", "Other gateways that are heard."
        )
        self.server_connections_opened = process.gauge(
            "knapweed_server_connections_opened", "Connections opened to servers."
        )
        self.probes = process.gauge("knapweed_probes", "Probes sent to servers.")
        self.retries = process.gauge(
            "knapweed_retries_left", "Retries that the budget allows, by service."
        )
        self.suppressed_lines = process.gauge(
            "knapweed_log_lines_left_out", "Log lines that were not written."
        )
        self.stalled_seconds = process.gauge(
            "knapweed_stalled_seconds", "Time for which the process did not run."
        )
        self.request_counts: Counter[RequestLabels] = Counter()
        self.attempt_counts: Counter[AttemptEnd] = Counter()
        self.route_histograms: dict[RouteId, Histogram] = {}

    def record_request(self, request: RequestLabels, seconds: float) -> None:
        """Count a request that has ended."""
        self.request_counts[request] += 1
        histogram = self.route_histograms.get(request.route)
        if histogram is not None:
            histogram.observe(seconds)
            return
        labels = {"route": request.route}
        self.request_seconds.observe(labels, seconds)
        self.route_histograms[request.route] = self.request_seconds.get_value(labels)

    def record_attempt(self, end: AttemptEnd) -> None:
        """Count an attempt that has ended."""
        self.attempt_counts[end] += 1

    def update(self, values: GaugeValues) -> None:
        """Hand over to the collectors what was added up, and set the gauges."""
        for request, count in self.request_counts.items():
            labels = {"route": request.route, "outcome": request.outcome, "reason": request.reason}
            self.requests.add(labels, count)
        for attempt_end, count in self.attempt_counts.items():
            self.attempts.add({"end": attempt_end.value}, count)
        self.request_counts.clear()
        self.attempt_counts.clear()
        self.config_version.set({}, values.config_version)
        self.store_age.set({}, round(values.store_age_s, 3))
        self.store_calls.set({}, values.store_calls)
        self.active_requests.set({}, values.active_requests)
        self.client_connections.set({}, values.client_connections)
        for name, count in values.servers.items():
            self.servers.set({"state": name}, count)
        self.gateways_alive.set({}, values.gateways_alive)
        self.server_connections_opened.set({}, values.server_connections_opened)
        self.probes.set({}, values.probes_sent)
        for service, retries_left in values.retries_left.items():
            self.retries.set({"service": service}, retries_left)
        self.suppressed_lines.set({}, values.suppressed_lines)
        self.stalled_seconds.set({}, round(values.stalled_s, 3))

"""Prometheus metrics of a gateway.

Collectors validate and encode their labels on each call. Counts are therefore
accumulated here and passed to the collectors when the metrics are scraped, and
the histogram of each route is cached.
"""

from collections import Counter
from dataclasses import dataclass

from aioprometheus.histogram import Histogram

from knapweeddock.gateway.requests.attempt import AttemptOutcome
from knapweeddock.ids import RouteId, VmId
from knapweeddock.metrics import ProcessMetrics

NO_ROUTE = RouteId("-")
"""Value of the ``route`` label for requests that match no route."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLabels:
    """Labels under which a request is counted when it has ended.

    Attributes:
        route: Route of the request, or ``NO_ROUTE``.
        outcome: ``delivered`` (a server's response), ``refused`` (rejected, not run),
            ``failed`` (an error) or ``left`` (the client disconnected).
        reason: Name of the result code, status of the server's response (also of one
            that was cut short), or ``client_gone``.
    """

    route: RouteId
    outcome: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GaugeValues:
    """Current values of the gauges.

    Attributes:
        config_version: Version of the configuration in force; 0 before the first.
        store_age_s: Seconds since the last response of the store.
        store_calls: Calls to the store since the start.
        active_requests: Requests without a complete response.
        client_connections: Open connections of clients.
        servers: Number of backend servers by state.
        gateways_alive: Other gateways with a recent heartbeat.
        server_connections_opened: Connections opened to servers since the start.
        probes_sent: Probes sent since the start.
        suspects: Number of requests under which servers have ended, by how they are treated.
        retries_left: Retries that the retry budget allows now, by service.
        suppressed_lines: Log lines about requests that the rate limit suppressed.
        reaches_servers: Whether the gateway reaches backend servers.
        stalled_s: Total time in seconds since the start in which the process did
            not run.
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
    suspects: dict[str, int]
    retries_left: dict[str, int]
    suppressed_lines: int
    stalled_s: float
    reaches_servers: bool


class GatewayMetrics:
    """Metrics of one gateway process.

    Attributes:
        request_counts: Requests that ended since the last scrape.
        attempt_counts: Attempts that ended since the last scrape.
        forwarded_counts: Requests between gateways since the last scrape, by direction and end.
        route_histograms: Histogram of ``request_seconds`` by route.
    """

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
        self.forwarded = process.counter(
            "knapweed_forwarded_requests_total", "Requests between gateways, by how they ended."
        )
        self.reaches_servers = process.gauge(
            "knapweed_reaches_servers", "Whether the gateway reaches backend servers."
        )
        self.config_version = process.gauge("knapweed_config_version", "Configuration in force.")
        self.store_age = process.gauge(
            "knapweed_store_age_seconds", "Time since the store answered last."
        )
        self.store_calls = process.gauge("knapweed_store_calls", "Calls to the store.")
        self._add_gauges(process)
        self.request_counts: Counter[RequestLabels] = Counter()
        self.attempt_counts: Counter[AttemptOutcome] = Counter()
        self.forwarded_counts: Counter[tuple[str, str]] = Counter()
        self.route_histograms: dict[RouteId, Histogram] = {}

    def _add_gauges(self, process: ProcessMetrics) -> None:
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
        self.suspects = process.gauge(
            "knapweed_suspect_requests", "Requests under which servers have ended, by treatment."
        )
        self.retries = process.gauge(
            "knapweed_retries_left", "Retries that the budget allows, by service."
        )
        self.suppressed_lines = process.gauge(
            "knapweed_log_lines_left_out", "Log lines that were not written."
        )
        self.stalled_seconds = process.gauge(
            "knapweed_stalled_seconds", "Time for which the process did not run."
        )

    def record_request(self, labels: RequestLabels, seconds: float) -> None:
        """Count a request that ended, however it did.

        Args:
            labels: Labels under which the request is counted.
            seconds: Time from the request's headers to its end.
        """
        self.request_counts[labels] += 1
        histogram = self.route_histograms.get(labels.route)
        if histogram is not None:
            histogram.observe(seconds)
            return
        route_label = {"route": labels.route}
        self.request_seconds.observe(route_label, seconds)
        self.route_histograms[labels.route] = self.request_seconds.get_value(route_label)

    def record_attempt(self, outcome: AttemptOutcome) -> None:
        """Count an attempt by its outcome."""
        self.attempt_counts[outcome] += 1

    def record_forwarded(self, direction: str, outcome: str) -> None:
        """Count a request between gateways.

        Args:
            direction: ``sent`` or ``received``.
            outcome: How it ended, or that it was accepted.
        """
        self.forwarded_counts[direction, outcome] += 1

    def update(self, values: GaugeValues) -> None:
        """Pass the accumulated counts to the collectors and set the gauges."""
        for labels, count in self.request_counts.items():
            label_values = {
                "route": labels.route,
                "outcome": labels.outcome,
                "reason": labels.reason,
            }
            self.requests.add(label_values, count)
        for outcome, count in self.attempt_counts.items():
            self.attempts.add({"end": outcome.value}, count)
        for (direction, outcome), count in self.forwarded_counts.items():
            self.forwarded.add({"direction": direction, "end": outcome}, count)
        self.forwarded_counts.clear()
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
        for treatment, count in values.suspects.items():
            self.suspects.set({"treatment": treatment}, count)
        for service, retries_left in values.retries_left.items():
            self.retries.set({"service": service}, retries_left)
        self.reaches_servers.set({}, int(values.reaches_servers))
        self.suppressed_lines.set({}, values.suppressed_lines)
        self.stalled_seconds.set({}, round(values.stalled_s, 3))

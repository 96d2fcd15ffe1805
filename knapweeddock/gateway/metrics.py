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
class Ending:
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
class GatewayState:
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
    active: int
    connections: int
    servers: dict[str, int]
    gateways_alive: int
    server_connections: int
    probes: int
    retries_left: dict[str, int]
    lines_left_out: int
    stalled_s: float


class GatewayMetrics:
    """The collectors of one gateway process."""

    def __init__(self, *, vm: VmId) -> None:
        self.process = ProcessMetrics(process="knapweed-gateway", vm=vm)
        process = self.process
        self.requests = process.counter(
            "knapweed_requests_total", "Requests by route, outcome and reason."
        )
        self.request_seconds = process.seconds(
            "knapweed_request_seconds", "Time from a request's headers to its response."
        )
        self.attempts = process.counter("knapweed_attempts_total", "Attempts by how they ended.")
        self.version = process.gauge("knapweed_config_version", "Configuration in force.")
        self.store_age = process.gauge(
            "knapweed_store_age_seconds", "Time since the store answered last."
        )
        self.store_calls = process.gauge("knapweed_store_calls", "Calls to the store.")
        self.active = process.gauge("knapweed_active_requests", "Requests without a response.")
        self.connections = process.gauge("knapweed_client_connections", "Connections of clients.")
        self.servers = process.gauge("knapweed_servers", "Backend servers by state.")
        self.gateways = process.gauge("knapweed_gateways_alive", "Other gateways that are heard.")
        self.opened = process.gauge(
            "knapweed_server_connections_opened", "Connections opened to servers."
        )
        self.probes = process.gauge("knapweed_probes", "Probes sent to servers.")
        self.retries = process.gauge(
            "knapweed_retries_left", "Retries that the budget allows, by service."
        )
        self.left_out = process.gauge(
            "knapweed_log_lines_left_out", "Log lines that were not written."
        )
        self.stalled = process.gauge(
            "knapweed_stalled_seconds", "Time for which the process did not run."
        )
        self.endings: Counter[Ending] = Counter()
        self.ends: Counter[AttemptEnd] = Counter()
        self.durations: dict[RouteId, Histogram] = {}

    def ended(self, ending: Ending, seconds: float) -> None:
        """Count a request that has ended."""
        self.endings[ending] += 1
        durations = self.durations.get(ending.route)
        if durations is not None:
            durations.observe(seconds)
            return
        labels = {"route": ending.route}
        self.request_seconds.observe(labels, seconds)
        self.durations[ending.route] = self.request_seconds.get_value(labels)

    def attempted(self, end: AttemptEnd) -> None:
        """Count an attempt that has ended."""
        self.ends[end] += 1

    def show(self, state: GatewayState) -> None:
        """Hand over to the collectors what was added up, and set the gauges."""
        for ending, count in self.endings.items():
            labels = {"route": ending.route, "outcome": ending.outcome, "reason": ending.reason}
            self.requests.add(labels, count)
        for end, count in self.ends.items():
            self.attempts.add({"end": end.value}, count)
        self.endings.clear()
        self.ends.clear()
        self.version.set({}, state.config_version)
        self.store_age.set({}, round(state.store_age_s, 3))
        self.store_calls.set({}, state.store_calls)
        self.active.set({}, state.active)
        self.connections.set({}, state.connections)
        for name, count in state.servers.items():
            self.servers.set({"state": name}, count)
        self.gateways.set({}, state.gateways_alive)
        self.opened.set({}, state.server_connections)
        self.probes.set({}, state.probes)
        for service, left in state.retries_left.items():
            self.retries.set({"service": service}, left)
        self.left_out.set({}, state.lines_left_out)
        self.stalled.set({}, round(state.stalled_s, 3))

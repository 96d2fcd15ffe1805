"""Many gateways that select servers for the objects of one region, in virtual time.

Servers run requests in slots, queue a few, cache the objects that they handled last, and
report their load with each response. The gateways are the real selection code, the learned
times and the reports; the relay is reduced to its intervals.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate, count

from knapweeddock.gateway.evidence.serverreports import ReportBoard
from knapweeddock.gateway.membership.regionfeed import RegionFeed
from knapweeddock.gateway.membership.relay import PULSE_INTERVAL_S, REPORT_INTERVAL_S
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.selection import Selection, SelectionRequest
from knapweeddock.gateway.placement.serverload import PendingRequest
from knapweeddock.gateway.placement.serverselection import ServerSelector
from knapweeddock.gateway.placement.shiftlimit import ShiftLimit
from tests.gateway.support import REGION, SERVICE, make_feed, make_quotas, make_route, make_server

LINK_S = 0.002
QUEUE_LIMIT = 9
SLOTS = 3


@dataclass(frozen=True, kw_only=True)
class Workload:
    """What the clients of the region ask for.

    Attributes:
        requests_per_s: Rate of all requests.
        objects: Number of objects; the frequency of one falls slowly with its rank.
        cached_s: Time that a request for a cached object takes.
        uncached_s: Time that it takes for any other object.
        target_latency_s: Time within which a response is in time.
    """

    requests_per_s: float
    objects: int
    cached_s: float = 0.35
    uncached_s: float = 1.4
    target_latency_s: float = 0.9


class SimulatedServer:
    """Slots, queue and cache of one server."""

    def __init__(self, *, name: str, cached_objects: int) -> None:
        self.name = name
        self.cached_objects = cached_objects
        self.running = 0
        self.queue: deque[SimulatedRequest] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()

    def handles_cached(self, key: str) -> bool:
        """Note that the server handles an object, and return whether it had cached it."""
        cached = key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > self.cached_objects:
            self.cache.popitem(last=False)
        return cached


class SimulatedGateway:
    """The parts of a gateway that place requests."""

    def __init__(self, *, number: int, servers: list[str]) -> None:
        self.fleet = Fleet()
        self.fleet.replace_all([make_server(name, slots=SLOTS) for name in servers], 0.0, grace_s=0)
        self.processing_times = ProcessingTimes()
        self.report_board = ReportBoard(fleet=self.fleet)
        self.feed: RegionFeed = make_feed(f"vm-{number}", report_board=self.report_board)
        self.selector = ServerSelector(
            fleet=self.fleet,
            processing_times=self.processing_times,
            failure_domain="north-a",
            region=REGION,
            quotas=make_quotas(),
            shift_limit=ShiftLimit(max_shift=0.15),
            shares_by_service={},
            rng=random.Random(number),
        )


@dataclass(kw_only=True)
class SimulatedRequest:
    """A request under way."""

    gateway: SimulatedGateway
    key: str
    arrived_at: float
    tried: list[str] = field(default_factory=list)
    sent_at: float = 0.0
    selection: Selection | None = None
    pending: PendingRequest | None = None


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request ended; ``latency_s`` is None for one that was refused."""

    arrived_at: float
    latency_s: float | None


class LoadSimulation:
    """Runs a workload.

    Args:
        sharing: Whether the gateways exchange their feeds through a relay.
    """

    def __init__(
        self,
        *,
        workload: Workload,
        gateways: int,
        servers: int,
        cached_objects: int,
        sharing: bool,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.workload = workload
        names = [f"i-{number:03}" for number in range(servers)]
        self.servers = {
            name: SimulatedServer(name=name, cached_objects=cached_objects) for name in names
        }
        self.gateways = [SimulatedGateway(number=n, servers=names) for n in range(gateways)]
        self.route = make_route(target_latency_s=workload.target_latency_s, timeout_s=5.0)
        self.weights = list(accumulate(rank**-0.2 for rank in range(1, workload.objects + 1)))
        self.outcomes: list[Outcome] = []
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = count()
        if sharing:
            self._at(PULSE_INTERVAL_S, self._pulse)
            for gateway in self.gateways[1:]:
                self._at(self.rng.random() * REPORT_INTERVAL_S, self._report, gateway)

    def run(self, length_s: float) -> None:
        """Run the workload for ``length_s`` seconds."""
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] < length_s:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def share_in_time(self, start: float, end: float) -> float:
        """Return the share of the requests of a span that were answered in time."""
        outcomes = [each for each in self.outcomes if start <= each.arrived_at < end]
        limit_s = self.workload.target_latency_s
        in_time = [
            each for each in outcomes if each.latency_s is not None and each.latency_s <= limit_s
        ]
        return len(in_time) / len(outcomes)

    def _at(self, time: float, function: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), function, arguments))

    # The relay, which is the first gateway

    def _report(self, gateway: SimulatedGateway) -> None:
        report = gateway.feed.take_report(self.now)
        self._at(self.now + LINK_S, self.gateways[0].feed.apply_report, report, self.now + LINK_S)
        self._at(self.now + REPORT_INTERVAL_S, self._report, gateway)

    def _pulse(self) -> None:
        pulse = self.gateways[0].feed.take_pulse(self.now, connected=True)
        for gateway in self.gateways[1:]:
            self._at(self.now + LINK_S, gateway.feed.apply_pulse, pulse, self.now + LINK_S)
        self._at(self.now + PULSE_INTERVAL_S, self._pulse)

    # Requests

    def _arrive(self) -> None:
        self._at(self.now + self.rng.expovariate(self.workload.requests_per_s), self._arrive)
        rank = self.rng.choices(range(self.workload.objects), cum_weights=self.weights)[0]
        gateway = self.rng.choice(self.gateways)
        self._send(SimulatedRequest(gateway=gateway, key=f"o{rank}", arrived_at=self.now))

    def _send(self, request: SimulatedRequest) -> None:
        gateway = request.gateway
        selection_request = SelectionRequest(
            route=self.route,
            service=SERVICE,
            key=request.key,
            remaining_s=5.0 - (self.now - request.arrived_at),
            tried=request.tried,
        )
        selection = gateway.selector.select(selection_request, self.now)
        if not isinstance(selection, Selection):
            self.outcomes.append(Outcome(arrived_at=request.arrived_at, latency_s=None))
            return
        gateway.selector.record_sent(selection_request, selection, self.now)
        request.selection = selection
        request.sent_at = self.now
        request.pending = PendingRequest(sent_at=self.now, expected_s=selection.expected_s)
        selection.server.load.pending.append(request.pending)
        server = self.servers[selection.server.entry.server]
        self._at(self.now + LINK_S, self._reach, server, request)

    def _reach(self, server: SimulatedServer, request: SimulatedRequest) -> None:
        if server.running < SLOTS:
            self._start(server, request)
        elif len(server.queue) < QUEUE_LIMIT:
            server.queue.append(request)
        else:
            self._at(self.now + LINK_S, self._rejected, request, server.running + QUEUE_LIMIT)

    def _start(self, server: SimulatedServer, request: SimulatedRequest) -> None:
        server.running += 1
        cached = server.handles_cached(request.key)
        work_s = self.workload.cached_s if cached else self.workload.uncached_s
        self._at(self.now + work_s * self.rng.uniform(0.8, 1.2), self._finish, server, request)

    def _finish(self, server: SimulatedServer, request: SimulatedRequest) -> None:
        server.running -= 1
        load = server.running + len(server.queue)
        if server.queue:
            self._start(server, server.queue.popleft())
        self._at(self.now + LINK_S, self._answered, request, load)

    def _answered(self, request: SimulatedRequest, load: int) -> None:
        self._learn_load(request, load)
        gateway = request.gateway
        selection = request.selection
        elapsed_s = self.now - request.sent_at
        ratio = elapsed_s / selection.expected_s if selection.wait_s == 0 else None
        selection.server.health.record_response(failed=False, latency_ratio=ratio, now=self.now)
        processing_s = elapsed_s - selection.wait_s
        times = gateway.processing_times
        if processing_s > 0 and selection.cache_state_known:
            times.observe(self.route, SERVICE, cached=selection.cached, processing_s=processing_s)
        elif processing_s > 0 and not selection.cached and selection.wait_s == 0:
            times.observe_later_server(self.route, SERVICE, processing_s=processing_s)
        latency_s = self.now - request.arrived_at
        self.outcomes.append(Outcome(arrived_at=request.arrived_at, latency_s=latency_s))

    def _rejected(self, request: SimulatedRequest, load: int) -> None:
        self._learn_load(request, load)
        request.tried.append(request.selection.server.entry.server)
        if len(request.tried) < self.route.max_attempts:
            self._send(request)
        else:
            self.outcomes.append(Outcome(arrived_at=request.arrived_at, latency_s=None))

    def _learn_load(self, request: SimulatedRequest, load: int) -> None:
        state = request.selection.server
        state.load.pending.remove(request.pending)
        state.load.record_reported_load(running=load, waiting=0, now=self.now)
        request.gateway.report_board.record(state, load, self.now)

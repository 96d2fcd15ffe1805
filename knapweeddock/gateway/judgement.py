"""What attempts say about servers, and whether a request may be sent again."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from knapweeddock.gateway.attempt import AttemptEnd, AttemptResult
from knapweeddock.gateway.demand import Demand
from knapweeddock.gateway.placement import INTER_REGION_RTT_S, Placed
from knapweeddock.gateway.retryshare import RetryBounds, RetryShare
from knapweeddock.gateway.settings import GatewayBounds
from knapweeddock.gateway.worktimes import WorkTimes
from knapweeddock.ids import ServiceId

if TYPE_CHECKING:
    from knapweeddock.gateway.forward import Run

MAX_UNREACHABLE = 2
"""Servers that cannot be reached for which others are tried in their place."""

MIN_EXPECTED_S = 0.001
"""Shortest expected time in seconds that an actual one is compared with."""

MIN_RETRY_S = 0.02
"""Time in seconds that must be left for another attempt."""


class Judgement:
    """Learns from attempts and keeps the retry budget."""

    def __init__(
        self,
        *,
        work: WorkTimes,
        bounds: GatewayBounds,
        demand: Demand,
        gateways: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.work = work
        self.bounds = bounds
        self.demand = demand
        self.gateways = gateways
        self.now = now
        self._shares: dict[ServiceId, RetryShare] = {}

    def take_bounds(self, bounds: GatewayBounds) -> None:
        """Take changed bounds."""
        self.bounds = bounds
        for share in self._shares.values():
            share.bounds = _retry_bounds(bounds)

    def arrived(self, service: ServiceId, now: float) -> None:
        """Count a request of a client."""
        self._share(service).record_request(now)
        self.demand.arrived(service, now)

    def judge(
        self, run: "Run", placed: Placed, result: AttemptResult, *, started_at: float
    ) -> None:
        """Learn from the end of an attempt."""
        now = self.now()
        state = placed.server
        if result.facts is not None:
            self._learn_load(placed, result, now)
        match result.end:
            case AttemptEnd.UNREACHABLE | AttemptEnd.MISDIRECTED:
                state.standing.unreachable(now)
            case AttemptEnd.LOST:
                state.standing.record_broken_connection(now)
            case AttemptEnd.NOT_RUN:
                state.load.turned_away(now)
                state.standing.record_response(failed=True, latency_ratio=None, now=now)
            case AttemptEnd.RESPONSE:
                self._learn_time(run, placed, result, now - started_at, now)

    def broken_off(self, placed: Placed, *, started_at: float) -> None:
        """Learn from an attempt that was ended before its response came."""
        now = self.now()
        latency_ratio = (now - started_at) / max(MIN_EXPECTED_S, placed.expected_s)
        if latency_ratio > placed.server.standing.latency_ratio(now):
            placed.server.standing.record_response(
                failed=False, latency_ratio=latency_ratio, now=now
            )

    def _learn_load(self, placed: Placed, result: AttemptResult, now: float) -> None:
        load = result.facts.load
        if load is not None:
            placed.server.load.announced(running=load.running, waiting=load.waiting, now=now)
        warmup_s = result.facts.warmup_left_s
        if warmup_s:
            placed.server.cold_until = max(placed.server.cold_until, now + warmup_s)

    def _learn_time(
        self, run: "Run", placed: Placed, result: AttemptResult, elapsed_s: float, now: float
    ) -> None:
        failed = result.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed:
            placed.server.standing.record_response(failed=True, latency_ratio=None, now=now)
            return
        work_s = elapsed_s - placed.wait_s - (INTER_REGION_RTT_S if placed.remote else 0.0)
        # A wait may be longer than estimated because of others; it says nothing of speed.
        latency_ratio = None
        if placed.wait_s == 0:
            latency_ratio = elapsed_s / max(MIN_EXPECTED_S, placed.expected_s)
        placed.server.standing.record_response(failed=False, latency_ratio=latency_ratio, now=now)
        if work_s > 0 and placed.cached_is_certain:
            self.work.observe(run.route, run.service, cached=placed.cached, work_s=work_s)

    def may_retry(self, run: "Run", result: AttemptResult) -> bool:
        """Decide whether the request may be sent to one more server, and count it."""
        now = self.now()
        if run.deadline - now < MIN_RETRY_S:
            return False
        if run.arrivals >= run.route.max_attempts:
            return False
        share = self._share(run.service)
        if result.end is AttemptEnd.UNREACHABLE:
            # Nothing arrived at a server, so nothing is repeated.
            return len(run.tried) < run.route.max_attempts + MAX_UNREACHABLE
        if not share.allows(self.gateways(), now):
            return False
        share.record_retry(now)
        return True

    def retries_left(self) -> dict[str, int]:
        """Return how many retries the budget allows now, by service."""
        now = self.now()
        gateways = self.gateways()
        return {service: share.left(gateways, now) for service, share in self._shares.items()}

    def _share(self, service: ServiceId) -> RetryShare:
        share = self._shares.get(service)
        if share is None:
            share = RetryShare(bounds=_retry_bounds(self.bounds))
            self._shares[service] = share
        return share


def _retry_bounds(bounds: GatewayBounds) -> RetryBounds:
    return RetryBounds(
        ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
    )

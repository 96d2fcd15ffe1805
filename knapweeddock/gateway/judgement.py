"""Learns about servers from the results of attempts, and decides on retries."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from knapweeddock.gateway.attempt import AttemptOutcome, AttemptResult
from knapweeddock.gateway.demand import Demand
from knapweeddock.gateway.placement import INTER_REGION_RTT_S, Placed
from knapweeddock.gateway.retryshare import RetryBudgetLimits, RetryBudgetShare
from knapweeddock.gateway.settings import GatewayLimits
from knapweeddock.gateway.worktimes import WorkTimes
from knapweeddock.ids import ServiceId

if TYPE_CHECKING:
    from knapweeddock.gateway.forward import RequestContext

MAX_EXTRA_UNREACHABLE = 2
"""Number of servers beyond the route's ``max_attempts`` that may be tried in place of
unreachable ones."""

MIN_EXPECTED_LATENCY_S = 0.001
"""Lower limit in seconds of the expected response time in a latency ratio."""

MIN_RETRY_TIME_S = 0.02
"""Time in seconds that must be left before the deadline for another attempt."""


class Judgement:
    """Learns from the results of attempts and enforces the retry budget.

    Attributes:
        work: Learned processing times.
        bounds: Bounds on the whole deployment.
        demand: Offered load of this gateway's clients.
        gateways: Returns the number of registered gateways, this one included.
        now: Returns the monotonic time.
    """

    def __init__(
        self,
        *,
        work: WorkTimes,
        bounds: GatewayLimits,
        demand: Demand,
        gateways: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.work = work
        self.bounds = bounds
        self.demand = demand
        self.gateways = gateways
        self.now = now
        self._retry_budgets: dict[ServiceId, RetryBudgetShare] = {}

    def take_bounds(self, bounds: GatewayLimits) -> None:
        """Apply changed bounds."""
        self.bounds = bounds
        for budget in self._retry_budgets.values():
            budget.bounds = _retry_limits(bounds)

    def arrived(self, service: ServiceId, now: float) -> None:
        """Count a request of a client."""
        self._retry_budget(service).record_request(now)
        self.demand.arrived(service, now)

    def judge(
        self, context: "RequestContext", placed: Placed, result: AttemptResult, *, started_at: float
    ) -> None:
        """Learn from the result of an attempt."""
        now = self.now()
        server = placed.server
        if result.metadata is not None:
            self._record_server_state(placed, result, now)
        match result.outcome:
            case AttemptOutcome.UNREACHABLE | AttemptOutcome.MISDIRECTED:
                server.health.unreachable(now)
            case AttemptOutcome.LOST:
                server.health.record_broken_connection(now)
            case AttemptOutcome.NOT_RUN:
                server.load.record_rejection(now)
                server.health.record_response(failed=True, latency_ratio=None, now=now)
            case AttemptOutcome.RESPONSE:
                self._record_response_time(context, placed, result, now - started_at, now)

    def broken_off(self, placed: Placed, *, started_at: float) -> None:
        """Learn from an attempt that was cancelled before its response arrived.

        It is recorded only if it shows the server to be slower than assumed.
        """
        now = self.now()
        latency_ratio = (now - started_at) / max(MIN_EXPECTED_LATENCY_S, placed.expected_s)
        if latency_ratio > placed.server.health.latency_ratio(now):
            placed.server.health.record_response(failed=False, latency_ratio=latency_ratio, now=now)

    def _record_server_state(self, placed: Placed, result: AttemptResult, now: float) -> None:
        load = result.metadata.load
        if load is not None:
            placed.server.load.record_reported_load(
                running=load.running, waiting=load.waiting, now=now
            )
        warmup_s = result.metadata.warmup_left_s
        if warmup_s:
            placed.server.cold_until = max(placed.server.cold_until, now + warmup_s)

    def _record_response_time(
        self,
        context: "RequestContext",
        placed: Placed,
        result: AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        failed = result.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed:
            placed.server.health.record_response(failed=True, latency_ratio=None, now=now)
            return
        work_s = elapsed_s - placed.wait_s - (INTER_REGION_RTT_S if placed.remote else 0.0)
        # Requests of other gateways may make the wait longer than estimated, so the
        # response time shows the server's speed only if no wait was expected.
        latency_ratio = None
        if placed.wait_s == 0:
            latency_ratio = elapsed_s / max(MIN_EXPECTED_LATENCY_S, placed.expected_s)
        placed.server.health.record_response(failed=False, latency_ratio=latency_ratio, now=now)
        if work_s > 0 and placed.cached_is_certain:
            self.work.observe(context.route, context.service, cached=placed.cached, work_s=work_s)

    def may_retry(self, context: "RequestContext", result: AttemptResult) -> bool:
        """Return whether the request may be sent to one more server, and count the retry."""
        now = self.now()
        if context.deadline - now < MIN_RETRY_TIME_S:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        budget = self._retry_budget(context.service)
        if result.outcome is AttemptOutcome.UNREACHABLE:
            # No server received the request, so another attempt is not a retry.
            return len(context.tried) < context.route.max_attempts + MAX_EXTRA_UNREACHABLE
        if not budget.allows(self.gateways(), now):
            return False
        budget.record_retry(now)
        return True

    def retries_left(self) -> dict[str, int]:
        """Return how many more retries the budget allows, by service."""
        now = self.now()
        gateways = self.gateways()
        return {
            service: budget.remaining(gateways, now)
            for service, budget in self._retry_budgets.items()
        }

    def _retry_budget(self, service: ServiceId) -> RetryBudgetShare:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudgetShare(bounds=_retry_limits(self.bounds))
            self._retry_budgets[service] = budget
        return budget


def _retry_limits(bounds: GatewayLimits) -> RetryBudgetLimits:
    return RetryBudgetLimits(
        ratio=bounds.retry_ratio, slack=bounds.retry_allowance, window_s=bounds.retry_window_s
    )

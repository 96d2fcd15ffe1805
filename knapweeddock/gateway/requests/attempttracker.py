"""Learns about servers from the results of attempts, and decides on retries."""

from collections.abc import Callable
from http import HTTPStatus

from knapweeddock.gateway.evidence.outages import Outages
from knapweeddock.gateway.evidence.serverreports import ReportBoard
from knapweeddock.gateway.limits.retrybudget import RetryBudgetLimits, RetryBudgetShare
from knapweeddock.gateway.placement.demand import SpilloverController
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.selection import INTER_REGION_RTT_S, Selection
from knapweeddock.gateway.requests.attempt import AttemptOutcome, AttemptResult
from knapweeddock.gateway.requests.requestcontext import RequestContext
from knapweeddock.gateway.settings import GatewayLimits
from knapweeddock.ids import ServiceId

MAX_EXTRA_UNREACHABLE = 2
"""Number of servers beyond the route's ``max_attempts`` that may be tried in place of
unreachable ones."""

MIN_EXPECTED_LATENCY_S = 0.001
"""Lower limit in seconds of the expected response time in a latency ratio."""

MIN_RETRY_TIME_S = 0.02
"""Time in seconds that must be left before the deadline for another attempt."""


class AttemptTracker:
    """Learns from the results of attempts and enforces the retry budget.

    Attributes:
        processing_times: Learned processing times.
        limits: Limits of the whole deployment.
        spillover_controller: Counts requests to measure the offered load.
        fleet: Backend servers.
        report_board: Shares the load of busy servers with the other gateways.
        outages: Learns which servers cannot be reached.
        gateway_count: Returns the number of registered gateways, this one included.
        now: Returns the monotonic time.
    """

    def __init__(
        self,
        *,
        processing_times: ProcessingTimes,
        limits: GatewayLimits,
        spillover_controller: SpilloverController,
        fleet: Fleet,
        report_board: ReportBoard,
        outages: Outages,
        gateway_count: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.processing_times = processing_times
        self.limits = limits
        self.spillover_controller = spillover_controller
        self.fleet = fleet
        self.report_board = report_board
        self.outages = outages
        self.gateway_count = gateway_count
        self.now = now
        self._retry_budgets: dict[ServiceId, RetryBudgetShare] = {}

    def apply_limits(self, limits: GatewayLimits) -> None:
        """Apply changed limits."""
        self.limits = limits
        for budget in self._retry_budgets.values():
            budget.limits = _retry_limits(limits)

    def record_request(self, service: ServiceId, now: float) -> None:
        """Count a request of a client."""
        self._retry_budget(service).record_request(now)
        self.spillover_controller.record_request(service, now)

    def record_result(
        self,
        context: RequestContext,
        selection: Selection,
        result: AttemptResult,
        *,
        started_at: float,
    ) -> None:
        """Learn from the result of an attempt."""
        now = self.now()
        server = selection.server
        if result.metadata is not None:
            self._record_server_state(selection, result, now)
        match result.outcome:
            case AttemptOutcome.UNREACHABLE:
                self.outages.record_unreachable(server, now)
            case AttemptOutcome.MISDIRECTED:
                server.health.record_unreachable(now)
                self.outages.cold_board.record_unreachable(server, now)
            case AttemptOutcome.LOST:
                server.health.record_broken_connection(now)
            case AttemptOutcome.NOT_RUN:
                if result.metadata.load is None:
                    # A server that reports its load may reject requests while it has slots.
                    server.load.record_rejection(now)
                    self.report_board.record(server, round(server.load.total_requests(now)), now)
                server.health.record_response(failed=True, latency_ratio=None, now=now)
            case AttemptOutcome.RESPONSE:
                self._record_response_time(context, selection, result, now - started_at, now)

    def record_cancellation(self, selection: Selection, *, started_at: float) -> None:
        """Learn from an attempt that was cancelled before its response arrived.

        The elapsed time is a lower bound of the response time. It is recorded only if its
        ratio to the expected response time, which already includes the server's latency
        ratio, is above that latency ratio.
        """
        now = self.now()
        latency_ratio = (now - started_at) / max(MIN_EXPECTED_LATENCY_S, selection.expected_s)
        if latency_ratio > selection.server.health.latency_ratio(now):
            selection.server.health.record_response(
                failed=False, latency_ratio=latency_ratio, now=now
            )

    def _record_server_state(self, selection: Selection, result: AttemptResult, now: float) -> None:
        server = selection.server
        metadata = result.metadata
        server.health.responded_at = now
        self.outages.reach_board.of(server.entry.service).record_heard(now)
        server.observe_limit(metadata.limit_per_s, now)
        if metadata.load is not None:
            server.load.record_reported_load(
                running=metadata.load.running, waiting=metadata.load.waiting, now=now
            )
            requests = metadata.load.running + metadata.load.waiting
            self.report_board.record(server, requests, now)
        elif metadata.limit_per_s is not None:
            self.report_board.record(server, round(server.load.total_requests(now)), now)
        if metadata.warmup_left_s:
            server.become_cold(now + metadata.warmup_left_s, now)
        if metadata.leaving:
            self.fleet.record_leaving(server)
        if metadata.pause_s:
            server.begin_pause(metadata.pause_s, now)

    def _record_response_time(
        self,
        context: RequestContext,
        selection: Selection,
        result: AttemptResult,
        elapsed_s: float,
        now: float,
    ) -> None:
        failed = result.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed:
            selection.server.health.record_response(failed=True, latency_ratio=None, now=now)
            return
        processing_s = (
            elapsed_s - selection.wait_s - (INTER_REGION_RTT_S if selection.remote else 0.0)
        )
        # Requests of other gateways may make the wait longer than estimated, so the
        # latency ratio is learned only if no wait was expected. The processing time is
        # also learned after a wait, less the estimated wait.
        latency_ratio = None
        if selection.wait_s == 0:
            latency_ratio = elapsed_s / max(MIN_EXPECTED_LATENCY_S, selection.expected_s)
        selection.server.health.record_response(failed=False, latency_ratio=latency_ratio, now=now)
        if processing_s <= 0:
            return
        if selection.cache_state_known:
            self.processing_times.observe(
                context.route, context.service, cached=selection.cached, processing_s=processing_s
            )
        elif not selection.cached and context.metadata.object_key and selection.wait_s == 0:
            self.processing_times.observe_later_server(
                context.route, context.service, processing_s=processing_s
            )

    def try_acquire_retry(self, context: RequestContext, result: AttemptResult) -> bool:
        """Return whether the request may be sent to one more server, and count the retry.

        An attempt after an unreachable server does not count. One after a misdirected
        request does, because another server received that request.
        """
        now = self.now()
        if context.deadline - now < MIN_RETRY_TIME_S:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        budget = self._retry_budget(context.service)
        if result.outcome is AttemptOutcome.UNREACHABLE:
            # No server received the request, so another attempt is not a retry.
            return len(context.tried) < context.route.max_attempts + MAX_EXTRA_UNREACHABLE
        if not budget.allows(self.gateway_count(), now):
            return False
        budget.record_retry(now)
        return True

    def remaining_retries(self) -> dict[str, int]:
        """Return how many more retries the budget allows, by service."""
        now = self.now()
        gateway_count = self.gateway_count()
        return {
            service: budget.remaining(gateway_count, now)
            for service, budget in self._retry_budgets.items()
        }

    def _retry_budget(self, service: ServiceId) -> RetryBudgetShare:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudgetShare(limits=_retry_limits(self.limits))
            self._retry_budgets[service] = budget
        return budget


def _retry_limits(limits: GatewayLimits) -> RetryBudgetLimits:
    return RetryBudgetLimits(
        ratio=limits.retry_ratio, allowance=limits.retry_allowance, window_s=limits.retry_window_s
    )

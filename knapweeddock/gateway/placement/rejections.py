"""Which requests are rejected, and when their clients may come back.

Load pattern: a burst on top of a peak, or a region whose servers are all paused or cold. A
request that cannot be served in time is rejected at once: a longer queue would make every
request late without serving more of them.
"""

import random
from collections.abc import Iterable

from knapweeddock.codes import ResultCode
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.selection import Rejection, Selection, SelectionRequest
from knapweeddock.gateway.routes import Route
from knapweeddock.ids import RegionId

MAX_LATENCY_FACTOR = 1.0
"""Limit on the expected wait plus the processing time for a cached object, relative to
the target latency. Requests that would wait longer are rejected: a longer queue would
make every request late without serving more of them."""

URGENT_MAX_LATENCY_FACTOR = 1.25
"""``MAX_LATENCY_FACTOR`` for urgent routes, so that they are rejected last."""

MAX_URGENT_PRIORITY = 1
"""Largest priority number of an urgent route; smaller numbers are more urgent."""

MIN_WAIT_LIMIT_FACTOR = 0.25
"""Expected wait, relative to the target latency, that is always accepted, so that
routes whose processing time exceeds their target latency are served at all."""

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 1.0
"""Bounds of the Retry-After delay in seconds, before jitter."""

RETRY_AFTER_JITTER = 0.5
"""Largest random addition to a Retry-After delay, as a fraction of it, so that clients
do not all retry at once."""


class RejectionPolicy:
    """Rejects the requests that no server can serve in time.

    Attributes:
        fleet: Backend servers and their observed state.
        processing_times: Learned processing times.
        rng: Source of jitter.
    """

    def __init__(
        self, *, fleet: Fleet, processing_times: ProcessingTimes, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.processing_times = processing_times
        self.rng = rng

    def judge(self, request: SelectionRequest, best: Selection) -> Rejection | None:
        """Return the rejection of a request for which ``best`` is the best server, if any."""
        if best.certain_wait_s > self._max_wait_s(request.route):
            return self._reject(ResultCode.WAIT_TOO_LONG, best)
        # A request takes at least the processing time for a cached object, so one that
        # cannot finish before its deadline even then is rejected. The round trip to
        # another region is not counted.
        shortest_s = best.certain_wait_s + self.processing_times.measured_cached_s(request.route)
        if shortest_s > request.remaining_s:
            return self._reject(ResultCode.WAIT_TOO_LONG, best)
        return None

    def reject_without_server(
        self, request: SelectionRequest, regions: Iterable[RegionId], now: float
    ) -> Rejection:
        """Reject a request that no server may get now.

        If servers have asked for a pause, the client may come back when the first ends.
        """
        pauses_s = [
            server.pause.remaining_s(now)
            for region in regions
            for server in self.fleet.group(request.service, region)
            if server.pause.is_active(now)
        ]
        if not pauses_s:
            return self._reject(ResultCode.NO_SITE)
        return Rejection(
            code=ResultCode.SHED,
            retry_after_s=self._with_jitter(max(MIN_RETRY_AFTER_S, min(pauses_s))),
        )

    def reject_unreached(self) -> Rejection:
        """Reject a request since this gateway reaches no server, and no peer serves it."""
        return self._reject(ResultCode.NO_SITE)

    def retry_after_s(self, wait_s: float) -> float:
        """Return the Retry-After delay in seconds, with jitter to spread the retries.

        Args:
            wait_s: Expected wait at the best server, in seconds.
        """
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return self._with_jitter(base_s)

    def _max_wait_s(self, route: Route) -> float:
        factor = (
            URGENT_MAX_LATENCY_FACTOR
            if route.priority <= MAX_URGENT_PRIORITY
            else MAX_LATENCY_FACTOR
        )
        max_wait_s = factor * route.target_latency_s - self.processing_times.expected_s(
            route, cached=True
        )
        return max(MIN_WAIT_LIMIT_FACTOR * route.target_latency_s, max_wait_s)

    def _reject(self, code: ResultCode, best: Selection | None = None) -> Rejection:
        wait_s = best.wait_s if best is not None else 0.0
        return Rejection(code=code, retry_after_s=self.retry_after_s(wait_s), best=best)

    def _with_jitter(self, delay_s: float) -> float:
        return delay_s * (1 + RETRY_AFTER_JITTER * self.rng.random())

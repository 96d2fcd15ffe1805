"""This gateway's share of the retry budget of the whole deployment.

If many servers shed load or fail at once and every gateway retries what it can, the
load on the remaining servers doubles. The part of the budget that is proportional to
the requests needs no coordination, since each gateway counts its own; the fixed part
is divided among the registered gateways.
"""

from collections import deque
from dataclasses import dataclass

USED_RATIO_FRACTION = 0.8
"""Fraction of the budget's proportional part that is used."""

USED_ALLOWANCE_FRACTION = 0.7
"""Fraction of the budget's fixed part that is used. The rest of both parts covers
requests that the gateway counts as not sent but that reached a server, and gateways that
restart and do not know which retries they sent before."""

BUCKET_LENGTH_S = 1.0
"""Length in seconds of the buckets in which requests are counted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudgetLimits:
    """Retry budget of the whole deployment for one service.

    Attributes:
        ratio: Retries allowed per request.
        allowance: Further retries allowed per window, independent of the requests.
        window_s: Length of the sliding window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryBudgetShare:
    """This gateway's share of the retry budget of one service, in a sliding window.

    Attributes:
        limits: Budget of the whole deployment; it may be replaced at any time.
    """

    def __init__(self, *, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self._request_buckets: deque[list[float]] = deque()
        self._retried_at: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        if not self._request_buckets or now - self._request_buckets[-1][0] >= BUCKET_LENGTH_S:
            self._request_buckets.append([now, 0.0])
        self._request_buckets[-1][1] += 1

    def remaining(self, gateway_count: int, now: float) -> int:
        """Return how many more retries the budget allows.

        Args:
            gateway_count: Number of registered gateways, this one included.
            now: Monotonic time.
        """
        self._drop_expired(now)
        requests = sum(count for _, count in self._request_buckets)
        by_requests = USED_RATIO_FRACTION * self.limits.ratio * requests
        limit = by_requests + USED_ALLOWANCE_FRACTION * self.limits.allowance / max(
            1, gateway_count
        )
        return max(0, int(limit) - len(self._retried_at))

    def allows(self, gateway_count: int, now: float) -> bool:
        """Return whether the budget allows one more retry."""
        return self.remaining(gateway_count, now) > 0

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retried_at.append(now)

    def _drop_expired(self, now: float) -> None:
        while self._request_buckets and self._request_buckets[0][0] <= now - self.limits.window_s:
            self._request_buckets.popleft()
        while self._retried_at and self._retried_at[0] <= now - self.limits.window_s:
            self._retried_at.popleft()

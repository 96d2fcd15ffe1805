"""This gateway's part of the retry budget of the whole deployment.

Load pattern: many servers shed or fail at once and every gateway repeats what
it can, which doubles the load on those that are left. The part that follows the
requests needs no exchange, since each gateway counts its own; the fixed part is
divided among the gateways that are registered.
"""

from collections import deque
from dataclasses import dataclass

RATIO_PART = 0.8
SLACK_PART = 0.7
"""Parts of the budget that are used; the rest covers requests that servers
receive although their gateway takes them for not sent, and gateways that
restart and do not know what they spent before."""

BUCKET_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryBounds:
    """The budget of the whole deployment for one service.

    Attributes:
        ratio: Retries per request.
        slack: Further retries per window.
        window_s: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class RetryShare:
    """Retries of requests to one service within a sliding window.

    Attributes:
        bounds: The budget; it may be replaced at any time.
    """

    def __init__(self, *, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self._requests: deque[list[float]] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        if not self._requests or now - self._requests[-1][0] >= BUCKET_S:
            self._requests.append([now, 0.0])
        self._requests[-1][1] += 1

    def left(self, gateways: int, now: float) -> int:
        """Return how many more retries fit.

        Args:
            gateways: Number of registered gateways, this one included.
            now: Monotonic time.
        """
        self._forget(now)
        requests = sum(count for _, count in self._requests)
        by_requests = RATIO_PART * self.bounds.ratio * requests
        bound = by_requests + SLACK_PART * self.bounds.slack / max(1, gateways)
        return max(0, int(bound) - len(self._retries))

    def allows(self, gateways: int, now: float) -> bool:
        """Whether one more retry fits."""
        return self.left(gateways, now) > 0

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def _forget(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now - self.bounds.window_s:
            self._requests.popleft()
        while self._retries and self._retries[0] <= now - self.bounds.window_s:
            self._retries.popleft()

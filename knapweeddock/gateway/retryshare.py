"""This gateway's part of the retry budget of the whole deployment.

Load pattern: many servers shed or fail at once and every gateway repeats what
it can, which doubles the load on those that are left. The part that follows the
requests needs no exchange, since each gateway counts its own; the fixed part is
divided among the gateways that are registered.
"""

from collections import deque

RATIO_PART = 0.8
SLACK_PART = 0.7
"""Parts of the budget that are used; the rest covers requests that servers
receive although their gateway takes them for not sent, and gateways that
restart and do not know what they spent before."""

BUCKET_S = 1.0


class RetryShare:
    """Retries of requests to one service within a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
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
        bound = RATIO_PART * self.ratio * requests + SLACK_PART * self.slack / max(1, gateways)
        return max(0, int(bound) - len(self._retries))

    def allows(self, gateways: int, now: float) -> bool:
        """Whether one more retry fits."""
        return self.left(gateways, now) > 0

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def _forget(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now - self.window_s:
            self._requests.popleft()
        while self._retries and self._retries[0] <= now - self.window_s:
            self._retries.popleft()

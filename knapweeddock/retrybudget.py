"""Retry budget: limits the extra load that retries put on failing servers."""

from knapweeddock.dispatchsettings import RetryBudgetLimits


class RetryBudget:
    """Retries that are available to one service.

    Each request earns a fraction of a retry. A small minimum is refilled over
    time, so that a service with little traffic can retry at all.

    Attributes:
        earned_retries: Retries earned by requests and not yet used.
        minimum_retries: Remaining retries of the minimum that refills over time.
        refilled_at: Monotonic time of the last refill.
    """

    def __init__(self, *, limits: RetryBudgetLimits, now: float) -> None:
        self.limits = limits
        self.earned_retries = 0.0
        self.minimum_retries = limits.min_retries_per_s
        self.refilled_at = now

    def record_request(self) -> None:
        """Earn a fraction of a retry for a request that is not itself a retry."""
        self.earned_retries = min(
            self.limits.max_earned_retries, self.earned_retries + self.limits.ratio
        )

    def withdraw(self, now: float) -> bool:
        """Use one retry and return whether one was available."""
        self._refill(now)
        if self.minimum_retries >= 1.0:
            self.minimum_retries -= 1.0
            return True
        if self.earned_retries >= 1.0:
            self.earned_retries -= 1.0
            return True
        return False

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.minimum_retries = min(
            self.limits.min_retries_per_s,
            self.minimum_retries + elapsed_s * self.limits.min_retries_per_s,
        )

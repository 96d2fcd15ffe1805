"""Retry budget: bounds the extra load that retries put on failing servers."""

from knapweeddock.dispatchsettings import RetryBudgetLimits


class RetryBudget:
    """Retries that one service may make.

    Each request earns a fraction of a retry. A small floor refills with time,
    so that a service with little traffic can retry at all.
    """

    def __init__(self, *, limits: RetryBudgetLimits, now: float) -> None:
        self.limits = limits
        self.earned_retries = 0.0
        self.floor_retries = limits.min_retries_per_s
        self.refilled_at = now

    def record_request(self) -> None:
        """Count one request that is not a retry."""
        self.earned_retries = min(
            self.limits.max_earned_retries, self.earned_retries + self.limits.ratio
        )

    def withdraw(self, now: float) -> bool:
        """Take one retry and return whether there was one left."""
        self._refill(now)
        if self.floor_retries >= 1.0:
            self.floor_retries -= 1.0
            return True
        if self.earned_retries >= 1.0:
            self.earned_retries -= 1.0
            return True
        return False

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.floor_retries = min(
            self.limits.min_retries_per_s,
            self.floor_retries + elapsed_s * self.limits.min_retries_per_s,
        )

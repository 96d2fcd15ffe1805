"""Retry budget: bounds the extra load that retries put on failing servers."""

from knapweeddock.dispatchsettings import BudgetLimits


class RetryBudget:
    """Retries that one service may make.

    Each request earns a fraction of a retry. A small floor refills with time,
    so that a service with little traffic can retry at all.
    """

    def __init__(self, *, limits: BudgetLimits, now: float) -> None:
        self.limits = limits
        self.earned = 0.0
        self.floor = limits.floor_per_s
        self.refilled_at = now

    def record_request(self) -> None:
        """Count one request that is not a retry."""
        self.earned = min(self.limits.max_earned, self.earned + self.limits.ratio)

    def withdraw(self, now: float) -> bool:
        """Take one retry and return whether there was one left."""
        self._refill(now)
        if self.floor >= 1.0:
            self.floor -= 1.0
            return True
        if self.earned >= 1.0:
            self.earned -= 1.0
            return True
        return False

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.floor = min(self.limits.floor_per_s, self.floor + elapsed_s * self.limits.floor_per_s)

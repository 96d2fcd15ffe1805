"""Limit on remote work that rises slowly, because remote work meets cold caches."""

FALLBACK_S = 10.0
"""Time without remote use after which the limit halves, in seconds."""


class Ramp:
    """How many slots one lender may have lent to other failure domains.

    Attributes:
        base: Own slots of the lender; the fractions refer to them, so that all
            lenders of a site together follow the site's configuration.
        start: Fraction of the base that may be lent at once.
        growth_per_s: Fraction of the base by which the limit may rise per second.
        limit: Current limit in slots (fractional).
    """

    def __init__(self, *, base: int, start: float, growth_per_s: float, now: float) -> None:
        self.base = base
        self.start = start
        self.growth_per_s = growth_per_s
        self.limit = base * start
        self.updated_at = now
        self.last_use_at = now

    def configure(self, *, base: int, start: float, growth_per_s: float) -> None:
        """Take new settings; the reached limit is kept within the new bounds."""
        self.base = base
        self.start = start
        self.growth_per_s = growth_per_s
        self.limit = min(max(self.limit, self.floor), max(float(base), self.floor))

    @property
    def floor(self) -> float:
        """Limit after a long time without remote use."""
        return self.base * self.start

    def advance(self, in_use: int, now: float) -> None:
        """Let the limit follow ``in_use`` remote slots up to ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if in_use > 0:
            self.last_use_at = now
        if 2 * in_use > self.limit:
            grown = self.limit + elapsed * self.base * self.growth_per_s
            self.limit = min(grown, float(self.base))
            return
        while now - self.last_use_at >= FALLBACK_S and self.limit > self.floor:
            self.limit = max(self.limit / 2, self.floor)
            self.last_use_at += FALLBACK_S

    def allowed(self) -> int:
        """Return how many slots may be lent; at least one."""
        return max(1, int(self.limit))

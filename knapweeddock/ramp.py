"""Limit on remote use that rises slowly, because remote requests meet cold caches."""

HALVING_INTERVAL_S = 10.0
"""Time without remote use after which the limit halves, in seconds."""


class Ramp:
    """How many slots of a site one lender may lend beyond guaranteed shares.

    Remote use means here the use of slots by other failure domains beyond their
    guaranteed shares. The limit starts at a fraction of the lender's own slots, grows
    while more than half of it is used, and halves after each interval without remote
    use.

    Attributes:
        own_slots: Number of the lender's own slots. The fractions refer to it, so
            that the lenders of a site together follow the site's configuration.
        start_fraction: Fraction of the own slots that may be lent at once.
        growth_per_s: Fraction of the own slots by which the limit may grow per second.
        limit: Current limit in slots (fractional).
        updated_at: Monotonic time of the last update of the limit.
        last_use_or_halving_at: Monotonic time of the last remote use, moved forward by
            an interval at each halving.
    """

    def __init__(
        self, *, own_slots: int, start_fraction: float, growth_per_s: float, now: float
    ) -> None:
        self.own_slots = own_slots
        self.start_fraction = start_fraction
        self.growth_per_s = growth_per_s
        self.limit = own_slots * start_fraction
        self.updated_at = now
        self.last_use_or_halving_at = now

    def configure(self, *, own_slots: int, start_fraction: float, growth_per_s: float) -> None:
        """Apply new settings and clamp the current limit to the new bounds."""
        self.own_slots = own_slots
        self.start_fraction = start_fraction
        self.growth_per_s = growth_per_s
        self.limit = min(max(self.limit, self.min_limit), max(float(own_slots), self.min_limit))

    @property
    def min_limit(self) -> float:
        """Limit at the start and after a long time without remote use."""
        return self.own_slots * self.start_fraction

    def advance(self, in_use: int, now: float) -> None:
        """Update the limit to ``now``, given ``in_use`` remote slots since the last update."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if in_use > 0:
            self.last_use_or_halving_at = now
        if 2 * in_use > self.limit:
            grown = self.limit + elapsed * self.own_slots * self.growth_per_s
            self.limit = min(grown, float(self.own_slots))
            return
        while (
            now - self.last_use_or_halving_at >= HALVING_INTERVAL_S and self.limit > self.min_limit
        ):
            self.limit = max(self.limit / 2, self.min_limit)
            self.last_use_or_halving_at += HALVING_INTERVAL_S

    def max_slots_beyond_shares(self) -> int:
        """Return how many slots may be lent beyond guaranteed shares; at least one."""
        return max(1, int(self.limit))

"""Limits that backend servers name in their responses.

A server in need names the requests per second that it takes from all gateways together, in
each response for as long as it wants. The gateways of a region tell each other what they are
told, since a gateway may hear of a server once in a minute. The latest word counts.
"""

LIMIT_MEMORY_S = 30.0
"""Time in seconds after the last word of a server for which its limit holds. It ends the
limit of a server from which no gateway has had a response since."""

MAX_LIMIT_PER_S = 1e6
"""Largest limit in requests per second that is understood."""


class ServerLimit:
    """The limit that one server has named last.

    Attributes:
        per_s: Requests per second from all gateways together; None if it names none.
        known_at: Monotonic time of the response that said so.
    """

    __slots__ = ("known_at", "per_s")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.known_at = float("-inf")

    def observe(self, per_s: float | None, known_at: float) -> bool:
        """Record what a response says, unless a later one is known.

        Args:
            per_s: The limit; None if the response names none.
            known_at: Monotonic time of the response.

        Returns:
            Whether the limit has begun, changed or ended.
        """
        if known_at <= self.known_at:
            return False
        has_changed = per_s != self.per_s
        self.per_s = per_s
        self.known_at = known_at
        return has_changed

    def active_per_s(self, now: float) -> float | None:
        """Return the limit in requests per second, None if there is none."""
        return self.per_s if now - self.known_at < LIMIT_MEMORY_S else None

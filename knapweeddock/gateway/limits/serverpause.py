"""Pauses for which backend servers have asked.

A server that is overloaded rejects a request and may ask the gateway to send nothing for
some time. If all servers of a service ask at once, each request that is still sent, and
each probe, prolongs the overload; if all gateways resumed at full rate at the end, the
overload would return. The server therefore counts as cold for ``RESUME_S`` after its pause.
"""

MAX_PAUSE_S = 30.0
"""Longest pause in seconds that a response can ask for."""

RESUME_S = 1.0
"""Time in seconds after a pause in which the request rate is limited as for a cold server."""


class ServerPause:
    """The pause for which one server has asked this gateway.

    Attributes:
        until: Monotonic time at which it ends.
    """

    __slots__ = ("until",)

    def __init__(self) -> None:
        self.until = 0.0

    def begin(self, pause_s: float, now: float) -> None:
        """Begin a pause of ``pause_s`` seconds; it does not shorten one that is under way."""
        self.until = max(self.until, now + min(pause_s, MAX_PAUSE_S))

    def is_active(self, now: float) -> bool:
        """Whether nothing may be sent to the server."""
        return now < self.until

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the end of the pause, 0 if there is none."""
        return max(0.0, self.until - now)

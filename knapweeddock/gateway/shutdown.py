"""What a gateway still begins while it shuts down, and how it closes clients' connections."""

import asyncio
import time
from collections.abc import Callable

from knapweeddock.http1.listener import HttpListener

STOP_ACCEPTING_FRACTION = 0.45
"""Fraction of ``shutdown_timeout_s`` after which new connections and requests are
rejected and idle connections are closed. Until then clients with older, cached look-up
responses are still served, so the TTL of these has to be shorter."""

MAX_ACCEPTING_S = 3.0
"""Longest such time in seconds; a longer shutdown leaves more time for what runs."""

SHUTDOWN_FRACTION = 0.95
"""Fraction of ``shutdown_timeout_s`` after which the process exits even if requests are
unfinished."""

EXPECTED_TIME_FACTOR = 1.5
"""Multiple of the expected time that an attempt must have until the exit. Queues grow while
other gateways stop as well, and the client can have the request run elsewhere at once."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval in seconds at which a shutdown closes connections that became idle."""

MIN_IDLE_S = 0.2
"""Time in seconds for which a connection must be idle before a shutdown closes it. The request of
a connection that was just accepted may have arrived without having been read."""


class Departure:
    """Decides which attempts a gateway begins while it shuts down.

    Load pattern: the gateways are restarted one after the other under load. Requests whose body
    is still arriving, whose attempt was rejected late, or that take long would be sent to a
    server and then cut off at the exit, among them some that must not be repeated.

    Attributes:
        stops_at: Monotonic time from which no attempt begins.
        ends_at: Monotonic time of the exit.
    """

    def __init__(self) -> None:
        self.stops_at = float("inf")
        self.ends_at = float("inf")

    def begin(self, now: float, *, timeout_s: float) -> None:
        """Begin to shut down.

        Args:
            now: Monotonic time.
            timeout_s: Time in seconds after which the process is killed.
        """
        self.stops_at = now + min(STOP_ACCEPTING_FRACTION * timeout_s, MAX_ACCEPTING_S)
        self.ends_at = now + SHUTDOWN_FRACTION * timeout_s

    def allows_attempt(self, now: float, *, expected_s: float = 0.0) -> bool:
        """Whether an attempt may begin that is expected to take ``expected_s`` seconds."""
        return now < self.stops_at and now + EXPECTED_TIME_FACTOR * expected_s <= self.ends_at


async def close_in_time(
    listener: HttpListener, departure: Departure, *, has_other_work: Callable[[], bool]
) -> None:
    """Stop accepting when no attempt begins any more, and wait until all connections are closed.

    Args:
        listener: Listener that already closes connections after their last response.
        departure: Times of the shutdown, which has begun. Returns at its end at the latest.
        has_other_work: Returns whether there are requests that the listener does not count.
    """
    # New clients may connect for as long as they cache older look-up responses.
    await asyncio.sleep(departure.stops_at - time.monotonic())
    listener.stop_accepting()
    while time.monotonic() < departure.ends_at:
        if not listener.close_idle_connections(MIN_IDLE_S) and not has_other_work():
            break
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

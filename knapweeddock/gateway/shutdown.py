"""Closes the connections of clients when a gateway shuts down."""

import asyncio
import time
from collections.abc import Callable

from knapweeddock.http1.server import HttpListener

STOP_ACCEPTING_FRACTION = 0.45
"""Fraction of ``shutdown_timeout_s`` after which new connections and requests are
rejected and idle connections are closed. Until then clients with older, cached look-up
responses are still served, so the TTL of these has to be shorter."""

SHUTDOWN_FRACTION = 0.95
"""Fraction of ``shutdown_timeout_s`` after which the process exits even if requests are
unfinished."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval in seconds at which a shutdown closes connections that became idle."""


async def close_in_time(
    listener: HttpListener,
    *,
    timeout_s: float,
    on_stop_accepting: Callable[[], None],
    has_other_work: Callable[[], bool],
) -> None:
    """Stop accepting after some time, and wait until all connections are closed.

    Returns after ``SHUTDOWN_FRACTION`` of ``timeout_s`` at the latest.

    Args:
        listener: Listener that already closes connections after their last response.
        timeout_s: Time in seconds after which the process is killed.
        on_stop_accepting: Called when new connections and requests are no longer accepted.
        has_other_work: Returns whether there are requests that the listener does not count.
    """
    started_at = time.monotonic()
    # New clients may connect for as long as they cache older look-up responses.
    await asyncio.sleep(STOP_ACCEPTING_FRACTION * timeout_s)
    listener.stop_accepting()
    on_stop_accepting()
    while time.monotonic() - started_at < SHUTDOWN_FRACTION * timeout_s:
        if not listener.close_idle_connections() and not has_other_work():
            break
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

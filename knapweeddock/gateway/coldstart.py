"""Bound on the requests that a cold server gets from all gateways together.

Load pattern: a zone's servers come back together and cold, and every gateway
sends each of them its usual share at once. Gateways do not ask each other; each
one has a fixed part of the bound, so that the parts add up to it whatever the
others know.
"""

from collections import deque
from collections.abc import Collection

from knapweeddock.rendezvous import weighted_order

WINDOW_S = 1.1
"""Window of the bound in seconds: one second, and a reserve for requests that
are sent further apart than they arrive."""

USED_PART = 0.8
"""Part of the bound that is handed out; the rest covers gateways that have just
started and do not know what they sent before."""


def part_of(server: str, vm: str, gateways: Collection[str], bound: float) -> int:
    """Return the requests per window that ``vm`` may send to a cold ``server``.

    Args:
        server: The cold server.
        vm: This gateway.
        gateways: Gateways that may send to the server.
        bound: Requests per second that the server bears.
    """
    if vm not in gateways:
        return 0
    total = int(USED_PART * bound)
    each, rest = divmod(total, len(gateways))
    if rest == 0:
        return each
    # The gateways that get one more are the same ones in everybody's view.
    first = weighted_order(server, dict.fromkeys(gateways, 1.0))[:rest]
    return each + (vm in first)


def take(sent_at: deque[float], part: int, now: float, *, dry: bool = False) -> bool:
    """Count a request against a gateway's part of the bound.

    Args:
        sent_at: Times of the requests that were counted before.
        part: Requests that may be sent per window.
        now: Monotonic time.
        dry: Whether to ask only.

    Returns:
        Whether the request may be sent.
    """
    while sent_at and sent_at[0] <= now - WINDOW_S:
        sent_at.popleft()
    if len(sent_at) >= part:
        return False
    if not dry:
        sent_at.append(now)
    return True

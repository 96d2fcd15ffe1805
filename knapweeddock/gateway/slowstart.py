"""Slow start: limit on the request rate of a cold server, across all gateways.

When the servers of a failure domain come back together and cold, every gateway
would send each of them its usual share of the requests at once. Each gateway therefore
has a fixed quota of the limit. The quotas of gateways that know the same list of gateways
never exceed the limit in sum, and the gateways need not tell each other what they sent.
"""

from collections import deque
from collections.abc import Collection

from knapweeddock.rendezvous import weighted_order

WINDOW_S = 1.1
"""Length in seconds of the window in which requests are counted: one second, and a
reserve for requests that arrive closer together than they were sent."""

USED_FRACTION = 0.8
"""Fraction of the limit that is divided into quotas. The rest covers gateways that
have just restarted and do not know what they sent before."""


def gateway_quota(server: str, vm: str, gateway_vms: Collection[str], limit_per_s: float) -> int:
    """Return how many requests per window a gateway may send to a cold server.

    Args:
        server: Identifier of the cold server.
        vm: VM of the gateway.
        gateway_vms: VMs of all gateways that may send requests to the server.
        limit_per_s: Requests per second that the server can handle while it is cold.
    """
    if vm not in gateway_vms:
        return 0
    total = int(USED_FRACTION * limit_per_s)
    quotient, remainder = divmod(total, len(gateway_vms))
    if remainder == 0:
        return quotient
    # Gateways with the same list agree on which of them get one more request.
    with_extra = weighted_order(server, dict.fromkeys(gateway_vms, 1.0))[:remainder]
    return quotient + (vm in with_extra)


def try_acquire(sent_at: deque[float], quota: int, now: float, *, dry_run: bool = False) -> bool:
    """Count a request against the quota of this gateway if the quota allows it.

    Args:
        sent_at: Monotonic times of the requests counted so far; updated in place.
        quota: Requests that may be sent per window.
        now: Monotonic time.
        dry_run: Whether to check the quota only, without counting the request.

    Returns:
        Whether the request may be sent.
    """
    while sent_at and sent_at[0] <= now - WINDOW_S:
        sent_at.popleft()
    if len(sent_at) >= quota:
        return False
    if not dry_run:
        sent_at.append(now)
    return True

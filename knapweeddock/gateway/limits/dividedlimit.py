"""Limits on the request rate of a server, divided among the gateways of its region.

Load patterns: the servers of a failure domain come back together and cold, and every gateway
would send each of them its usual share of the requests at once; or a server in need names in
its responses how many requests per second it takes, while every gateway goes on as before.

Each gateway has a fixed quota of the limit. The quotas of gateways that know the same list
of gateways never exceed the limit in sum, and the gateways need not tell each other what
they sent. Requests for which there is no quota left go to other servers at once.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from knapweeddock.rendezvous import hash_parts

COLD_WINDOW_S = 1.0
"""Time in seconds in which the requests to a cold server are counted."""

COLD_USED_FRACTION = 0.8
"""Fraction of the limit of a cold server that is divided into quotas. The rest covers
gateways that have just restarted and do not know what they sent before."""

NAMED_WINDOW_S = 4.0
"""Time in seconds in which the requests to a server that names a limit are counted. It is
longer if the limit allows no whole request in it."""

ARRIVAL_RESERVE = 1.1
"""Factor applied to windows, for requests that arrive closer together than they were sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DividedLimit:
    """Requests that all gateways together may send to a server.

    Attributes:
        requests: Requests per window.
        window_s: Length of the window in seconds.
    """

    requests: int
    window_s: float


def cold_limit(per_s: float) -> DividedLimit:
    """Return the limit of a server that can handle ``per_s`` requests per second while cold."""
    return DividedLimit(
        requests=int(COLD_USED_FRACTION * per_s * COLD_WINDOW_S),
        window_s=COLD_WINDOW_S * ARRIVAL_RESERVE,
    )


def named_limit(per_s: float) -> DividedLimit:
    """Return the limit of a server that takes ``per_s`` requests per second."""
    window_s = max(NAMED_WINDOW_S, 1 / per_s) if per_s > 0 else NAMED_WINDOW_S
    # A product such as 0.3 * (1 / 0.3) may be just below 1.
    requests = int(per_s * window_s + 1e-9)
    return DividedLimit(requests=requests, window_s=window_s * ARRIVAL_RESERVE)


def gateway_quota(limit: DividedLimit, server: str, vm: str, gateway_vms: Collection[str]) -> int:
    """Return how many requests per window a gateway may send to a server.

    Args:
        limit: Limit for all gateways together.
        server: Identifier of the server.
        vm: VM of the gateway.
        gateway_vms: VMs of all gateways that may send requests to the server.
    """
    if vm not in gateway_vms:
        return 0
    quotient, remainder = divmod(limit.requests, len(gateway_vms))
    if remainder == 0:
        return quotient
    # Gateways with the same list agree on which of them get one more request.
    own = (hash_parts(server, vm), vm)
    better = sum((hash_parts(server, other), other) > own for other in gateway_vms)
    return quotient + (better < remainder)


@dataclass(eq=False, kw_only=True, slots=True)
class SentRequest:
    """A request that this gateway sends to a server.

    Attributes:
        sent_at: Monotonic time at which it was sent, or at which the server was chosen
            while there is no connection yet.
    """

    sent_at: float


class SentRequests:
    """Requests that this gateway has sent to a server lately.

    Attributes:
        requests: Those that may still count.
    """

    __slots__ = ("requests",)

    def __init__(self) -> None:
        self.requests: deque[SentRequest] = deque()

    def allows(self, quota: int, window_s: float, now: float) -> bool:
        """Whether one more request stays within ``quota`` requests per ``window_s`` seconds."""
        return sum(request.sent_at > now - window_s for request in self.requests) < quota

    def record(self, request: SentRequest, window_s: float) -> None:
        """Count a request that is sent, and forget those before the last ``window_s`` seconds."""
        oldest_s = request.sent_at - window_s
        while self.requests and self.requests[0].sent_at <= oldest_s:
            self.requests.popleft()
        self.requests.append(request)

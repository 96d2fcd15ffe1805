"""What this gateway may send to servers whose request rate is limited."""

from collections.abc import Callable, Collection, Iterator

from knapweeddock.gateway.dividedlimit import (
    DividedLimit,
    SentRequests,
    cold_limit,
    gateway_quota,
    named_limit,
)
from knapweeddock.gateway.fleet import ServerState
from knapweeddock.ids import RegionId, ServiceId, VmId


class ServerQuotas:
    """Applies the limits of cold servers and those that servers name.

    Attributes:
        vm: VM of this gateway.
        gateways_in: Returns the registered gateways of a region. Only those of its own
            region send requests to a server whose rate is limited.
        cold_rate_per_s: Returns the requests per second that a cold server of a service can
            handle; 0 if the service is not configured.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        gateways_in: Callable[[RegionId], Collection[VmId]],
        cold_rate_per_s: Callable[[ServiceId], float],
    ) -> None:
        self.vm = vm
        self.gateways_in = gateways_in
        self.cold_rate_per_s = cold_rate_per_s

    def allow(self, server: ServerState, now: float) -> bool:
        """Whether a request may be sent to ``server`` now."""
        return all(
            sent.allows(self._quota(limit, server), limit.window_s, now)
            for limit, sent in self._limits(server, now)
        )

    def record_sent(self, server: ServerState, now: float) -> None:
        """Count a request that is sent to ``server``."""
        for _, sent in self._limits(server, now):
            sent.record(now)

    def _limits(
        self, server: ServerState, now: float
    ) -> Iterator[tuple[DividedLimit, SentRequests]]:
        if server.is_cold(now):
            yield cold_limit(self.cold_rate_per_s(server.entry.service)), server.sent_while_cold
        per_s = server.limit.active_per_s(now)
        if per_s is not None:
            yield named_limit(per_s), server.sent_while_limited

    def _quota(self, limit: DividedLimit, server: ServerState) -> int:
        gateways = self.gateways_in(server.entry.region)
        return gateway_quota(limit, server.entry.server, self.vm, gateways)

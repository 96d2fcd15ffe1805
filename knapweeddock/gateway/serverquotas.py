"""What this gateway may send to servers whose request rate is limited."""

from collections.abc import Callable, Iterator

from knapweeddock.gateway.dividedlimit import (
    DividedLimit,
    SentRequests,
    cold_limit,
    gateway_quota,
    named_limit,
)
from knapweeddock.gateway.fleet import ServerState
from knapweeddock.gateway.quotamembers import QuotaMembers
from knapweeddock.ids import ServerId, ServiceId, VmId


class ServerQuotas:
    """Applies the limits of cold servers and those that servers name.

    Attributes:
        vm: VM of this gateway.
        members: Gateways among which the limits are divided. Only those of its own region
            send requests to a server whose rate is limited.
        cold_rate_per_s: Returns the requests per second that a cold server of a service can
            handle; 0 if the service is not configured.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        members: QuotaMembers,
        cold_rate_per_s: Callable[[ServiceId], float],
    ) -> None:
        self.vm = vm
        self.members = members
        self.cold_rate_per_s = cold_rate_per_s
        self._quotas: dict[tuple[ServerId, int], int] = {}
        self._quotas_revision = -1

    def allow(self, server: ServerState, now: float) -> bool:
        """Whether a request may be sent to ``server`` now."""
        return all(
            self.members.has_part(now)
            and sent.allows(self._quota(limit, server), limit.window_s, now)
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
        """Return this gateway's part of ``limit``, which is the same until the members change."""
        if self._quotas_revision != self.members.revision:
            self._quotas_revision = self.members.revision
            self._quotas.clear()
        key = (server.entry.server, limit.requests)
        quota = self._quotas.get(key)
        if quota is None:
            gateways = self.members.in_region(server.entry.region)
            quota = gateway_quota(limit, server.entry.server, self.vm, gateways)
            self._quotas[key] = quota
        return quota

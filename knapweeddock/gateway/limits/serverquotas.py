"""What this gateway may send to servers whose request rate is limited.

What was sent counts by the identifier of the server: a server that registers again, under the
same or another process, has got the same requests. To a server that turns out to be cold,
those of the last second count, whatever was known of it when they were sent.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from knapweeddock.gateway.limits.dividedlimit import (
    ARRIVAL_RESERVE,
    COLD_WINDOW_S,
    DividedLimit,
    SentRequest,
    SentRequests,
    cold_limit,
    gateway_quota,
    named_limit,
)
from knapweeddock.gateway.limits.quotamembers import QuotaMembers
from knapweeddock.gateway.placement.fleet import ServerState
from knapweeddock.ids import ServerId, ServiceId, VmId

MEMORY_S = 60.0
"""Time in seconds after the last request to a server for which those before it are kept. It
is longer than any window in which a limit allows more than a few requests."""


@dataclass(kw_only=True, slots=True)
class _ServerRequests:
    """Requests to one server.

    Attributes:
        all: All of them.
        while_limited: Those that were sent while the server named a limit.
        last_at: Monotonic time of the last one.
    """

    all: SentRequests = field(default_factory=SentRequests)
    while_limited: SentRequests = field(default_factory=SentRequests)
    last_at: float = float("-inf")


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
        self._sent: dict[ServerId, _ServerRequests] = {}
        self._quotas: dict[tuple[ServerId, int], int] = {}
        self._quotas_revision = -1

    def allow(self, server: ServerState, now: float) -> bool:
        """Whether a request may be sent to ``server`` now."""
        return all(
            self.members.has_part(now)
            and sent.allows(self._quota(limit, server), limit.window_s, now)
            for limit, sent in self._limits(server, now)
        )

    def record_sent(self, server: ServerState, now: float) -> SentRequest:
        """Count a request that is sent to ``server``, and return it.

        The caller sets its ``sent_at`` again if it has to wait for a connection first.
        """
        request = SentRequest(sent_at=now)
        sent = self._sent.setdefault(server.entry.server, _ServerRequests())
        sent.last_at = now
        sent.all.record(request, COLD_WINDOW_S * ARRIVAL_RESERVE)
        per_s = server.limit.active_per_s(now)
        if per_s is not None:
            sent.while_limited.record(request, named_limit(per_s).window_s)
        return request

    def forget_idle(self, now: float) -> None:
        """Forget the servers to which nothing was sent for ``MEMORY_S`` seconds."""
        idle = [server for server, sent in self._sent.items() if now - sent.last_at > MEMORY_S]
        for server in idle:
            del self._sent[server]

    def _limits(
        self, server: ServerState, now: float
    ) -> Iterator[tuple[DividedLimit, SentRequests]]:
        is_cold = server.is_cold(now)
        per_s = server.limit.active_per_s(now)
        if not is_cold and per_s is None:
            return
        sent = self._sent.get(server.entry.server) or _ServerRequests()
        if is_cold:
            yield cold_limit(self.cold_rate_per_s(server.entry.service)), sent.all
        if per_s is not None:
            yield named_limit(per_s), sent.while_limited

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

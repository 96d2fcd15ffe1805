"""Choice of the gateway that serves the clients of one that reaches no server.

Load pattern: most or all gateways of a failure domain are cut off from the servers, at the
peak. The others of the region carry their requests. Gateways of the own failure domain come
first, if at least as many are left there as are cut off; then those of the region, then those of
other regions. What the peers tell of their load with each response keeps all from choosing the
same ones; one that has many requests is passed over while there are others.
"""

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from knapweeddock.gateway.membership.heartbeats import GatewayPhase, Member
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.ids import RegionId, VmId

NEAR_REQUESTS = 32
"""Number of requests of a peer from which farther ones are considered as well."""

FAILURE_PAUSE_S = 1.0
"""Time in seconds for which a peer that was unreachable or refused a request is not chosen."""

LOAD_MEMORY_S = 2.0
"""Time in seconds for which the load that a peer has told counts."""


@dataclass(kw_only=True, slots=True)
class _PeerLoad:
    """What is known of a peer.

    Attributes:
        pending: Requests that this gateway has forwarded to it and that are not done.
        told: Number of requests that it handled when it responded last.
        told_at: Monotonic time of that response.
        failed_at: Monotonic time at which it was last unreachable or refused a request.
    """

    pending: int = 0
    told: int = 0
    told_at: float = float("-inf")
    failed_at: float = float("-inf")

    def requests(self, now: float) -> int:
        """Return how many requests it probably handles."""
        return max(self.pending, self.told if now - self.told_at < LOAD_MEMORY_S else 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerView:
    """The gateways that matter for a choice.

    Attributes:
        peers: Gateways that reach servers and accept forwarded requests.
        cut_off: Number of gateways of the own failure domain that reach no server, this one
            included.
    """

    peers: list[GatewayEntry]
    cut_off: int = 1


class PeerChoice:
    """Chooses peers, and learns from what becomes of the requests.

    Attributes:
        own: Registration of this gateway.
        rng: Source of randomness.
    """

    def __init__(self, *, own: GatewayEntry, rng: random.Random) -> None:
        self.own = own
        self.rng = rng
        self._loads: dict[VmId, _PeerLoad] = {}

    def choose(
        self,
        view: PeerView,
        now: float,
        *,
        regions: Collection[RegionId] = (),
        tried: Collection[VmId] = (),
    ) -> GatewayEntry | None:
        """Return the peer to which a request is forwarded, or None if there is none.

        Args:
            view: What is known of the other gateways.
            now: Monotonic time in seconds.
            regions: Regions that the request may be sent to; any if empty.
            tried: Peers to which it was forwarded already.
        """
        usable = [
            entry
            for entry in view.peers
            if entry.vm not in tried
            and (not regions or entry.region in regions)
            and now - self._load(entry.vm).failed_at >= FAILURE_PAUSE_S
        ]
        best: GatewayEntry | None = None
        for group in self._by_distance(usable, view.cut_off):
            # The better of two at random spreads the requests of gateways that know little.
            for entry in self.rng.sample(group, min(2, len(group))):
                if best is None or self._requests(entry, now) < self._requests(best, now):
                    best = entry
            if best is not None and self._requests(best, now) < NEAR_REQUESTS:
                break
        return best

    def _by_distance(
        self, peers: list[GatewayEntry], cut_off: int
    ) -> tuple[list[GatewayEntry], ...]:
        """Return groups of peers, the nearest one first."""
        same_domain = [entry for entry in peers if entry.failure_domain == self.own.failure_domain]
        same_region = [entry for entry in peers if entry.region == self.own.region]
        others = [entry for entry in peers if entry.region != self.own.region]
        if len(same_domain) < cut_off:
            return same_region, others
        return same_domain, same_region, others

    def record_sent(self, vm: VmId) -> None:
        """Record that a request is forwarded to a peer."""
        self._load(vm).pending += 1

    def record_end(self, vm: VmId) -> None:
        """Record that a forwarded request is done, however it ended."""
        self._load(vm).pending -= 1

    def record_load(self, vm: VmId, active: int, now: float) -> None:
        """Record how many requests a peer handles."""
        load = self._load(vm)
        load.told = active
        load.told_at = now

    def record_failure(self, vm: VmId, now: float) -> None:
        """Record that a peer was unreachable, or cannot take requests now."""
        self._load(vm).failed_at = now

    def _load(self, vm: VmId) -> _PeerLoad:
        return self._loads.setdefault(vm, _PeerLoad())

    def _requests(self, entry: GatewayEntry, now: float) -> int:
        return self._load(entry.vm).requests(now)


def view_peers(
    own: GatewayEntry, gateways: Mapping[VmId, GatewayEntry], members: Iterable[Member]
) -> PeerView:
    """Return which gateways can serve requests for this one.

    Args:
        own: Registration of this gateway.
        gateways: Registered gateways.
        members: Gateways that are alive.
    """
    serving = [
        (member, entry)
        for member in members
        if member.vm != own.vm
        and member.phase is GatewayPhase.SERVING
        and (entry := gateways.get(member.vm)) is not None
        and entry.incarnation == member.incarnation
    ]
    cut_off = sum(
        not member.reaches_servers and entry.failure_domain == own.failure_domain
        for member, entry in serving
    )
    return PeerView(
        peers=[
            entry
            for member, entry in serving
            if member.reaches_servers and entry.forwarding_address is not None
        ],
        cut_off=1 + cut_off,
    )

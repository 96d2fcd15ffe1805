"""Which gateways are alive, from their heartbeats and from what a relay tells of them.

Subscribers send their heartbeats to their relay only, which tells all of them who is alive.
The cost per gateway then does not grow with the region. What a relay tells holds while its
messages arrive; for ``HEARTBEAT_TIMEOUT_S`` after them the gateways that it named last still
count as alive, so that the region has the time to agree on the next relay.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from knapweeddock.gateway.membership.heartbeats import (
    HEARTBEAT_TIMEOUT_S,
    GatewayPhase,
    Heartbeat,
    Member,
)
from knapweeddock.ids import RegionId, VmId

log = structlog.get_logger(__name__)

PHASE_ORDER = list(GatewayPhase)


@dataclass(frozen=True, kw_only=True, slots=True)
class HeardHeartbeat:
    """The latest heartbeat of a gateway.

    Attributes:
        heartbeat: The heartbeat.
        heard_at: Monotonic time at which it was received.
    """

    heartbeat: Heartbeat
    heard_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _ToldMember:
    member: Member
    told_at: float


class Liveness:
    """The gateways that are alive, this one not included.

    Attributes:
        vm: VM of this gateway.
    """

    def __init__(self, *, vm: VmId) -> None:
        self.vm = vm
        self._heard: dict[VmId, HeardHeartbeat] = {}
        self._sampled: dict[VmId, _ToldMember] = {}
        self._told: dict[VmId, _ToldMember] = {}
        self._relay_heard_at = float("-inf")

    # Evidence

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat that a gateway sent, to this one or to one of its subscribers."""
        member = heartbeat.member
        if member.vm == self.vm:
            return
        previous = self._heard.get(member.vm)
        if previous is None or now - previous.heard_at > HEARTBEAT_TIMEOUT_S:
            log.info("gateway is alive", vm=member.vm, phase=member.phase.value)
        self._heard[member.vm] = HeardHeartbeat(heartbeat=heartbeat, heard_at=now)

    def record_sample(self, members: Iterable[Member], now: float) -> None:
        """Record gateways that the summary of a region names."""
        for member in members:
            if member.vm == self.vm:
                continue
            self._sampled[member.vm] = _ToldMember(member=member, told_at=now)

    def confirm_relay(self, now: float) -> None:
        """Record that the relay still tells who is alive."""
        self._relay_heard_at = now

    def apply_relayed(
        self, members: Iterable[Member], gone: Iterable[VmId], now: float, *, complete: bool
    ) -> None:
        """Apply the changes that a relay tells.

        Args:
            members: Gateways that are alive and were not, or have changed.
            gone: Gateways that are no longer alive.
            now: Monotonic time in seconds.
            complete: Whether ``members`` are all that are alive.
        """
        self._relay_heard_at = now
        if complete:
            self._told.clear()
        for member in members:
            if member.vm != self.vm:
                self._told[member.vm] = _ToldMember(member=member, told_at=now)
        for vm in gone:
            self._told.pop(vm, None)

    # Queries

    def live_members(self, now: float) -> dict[VmId, Member]:
        """Return the other gateways that are alive, of all regions.

        Args:
            now: Monotonic time in seconds.
        """
        live: dict[VmId, _ToldMember] = {}
        if now - self._relay_heard_at <= HEARTBEAT_TIMEOUT_S:
            live.update(self._told)
        for vm, sampled in self._sampled.items():
            if now - sampled.told_at <= HEARTBEAT_TIMEOUT_S:
                live.setdefault(vm, sampled)
        for vm, heard in self._heard.items():
            if now - heard.heard_at > HEARTBEAT_TIMEOUT_S:
                continue
            own = _ToldMember(member=heard.heartbeat.member, told_at=heard.heard_at)
            live[vm] = _later(own, live[vm]) if vm in live else own
        return {vm: told.member for vm, told in live.items()}

    def live_heartbeats(self, region: RegionId, now: float) -> list[Heartbeat]:
        """Return the latest heartbeats of the live gateways of ``region`` that were heard."""
        return [
            heard.heartbeat
            for heard in self._heard.values()
            if now - heard.heard_at <= HEARTBEAT_TIMEOUT_S
            and heard.heartbeat.member.region == region
        ]

    def live_in_region(self, region: RegionId, now: float) -> list[VmId]:
        """Return the other live gateways of ``region`` that are not leaving."""
        return sorted(
            vm
            for vm, member in self.live_members(now).items()
            if member.region == region and member.phase is not GatewayPhase.LEAVING
        )

    def is_told(self, vm: VmId) -> bool:
        """Whether the relay names ``vm`` as alive."""
        return vm in self._told

    def drop_silent(self, now: float) -> None:
        """Forget the gateways that have been silent for long."""
        for vm, heard in list(self._heard.items()):
            if now - heard.heard_at > 10 * HEARTBEAT_TIMEOUT_S:
                del self._heard[vm]
        for vm, sampled in list(self._sampled.items()):
            if now - sampled.told_at > HEARTBEAT_TIMEOUT_S:
                del self._sampled[vm]


def _later(first: _ToldMember, second: _ToldMember) -> _ToldMember:
    """Return the later word on a gateway; within one start, phases only advance."""
    if first.member.incarnation == second.member.incarnation:
        return max(first, second, key=lambda told: PHASE_ORDER.index(told.member.phase))
    return max(first, second, key=lambda told: told.told_at)

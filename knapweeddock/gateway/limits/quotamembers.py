"""The gateways among which a limit on the sum of all their requests is divided.

Load pattern: servers come back cold while the gateways of a region do not know the same list
of gateways. The store may have returned from a copy that lacks some registrations, some
gateways may be out of touch and go on with an earlier list, others have just started. If each
divided a limit by the list that it has at the moment, the parts would add up to more than the
limit.

Parts therefore shrink at once and grow late. A gateway counts from the moment at which it is
registered or heard, and for ``ABSENCE_HOLD_S`` seconds after it was last seen, since it may
live and not know that it is missing. A gateway that has just registered or started has no part
for ``SETTLE_S`` seconds, in which the others hear of it and what the process before it sent no
longer counts. What remains is that a gateway that is out of touch divides by too small a number
when others join; ``dividedlimit`` leaves a reserve for that.
"""

from collections.abc import Iterable, Mapping

from knapweeddock.gateway.membership.heartbeats import Member
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.ids import RegionId, VmId

ABSENCE_HOLD_S = 600.0
"""Time in seconds for which a gateway counts after it was last registered or heard; as long as
a registration without a sign of life is kept."""

SETTLE_S = 4.0
"""Time in seconds after the own registration was first seen in which this gateway has no part.
The others hear of a registration within two seconds, even from a slow store."""


class QuotaMembers:
    """The gateways that may send requests to the servers of each region.

    Attributes:
        vm: VM of this gateway.
        revision: Number that increases whenever the members of a region change.
    """

    def __init__(self, *, vm: VmId) -> None:
        self.vm = vm
        self.revision = 0
        self._last_seen: dict[RegionId, dict[VmId, float]] = {}
        self._registered_since: float | None = None

    def update(
        self, registered: Mapping[VmId, GatewayEntry], live: Iterable[Member], now: float
    ) -> None:
        """Record which gateways are known now.

        Args:
            registered: Registered gateways of all regions.
            live: Gateways that are alive, registered or not.
            now: Monotonic time in seconds.
        """
        for entry in registered.values():
            self._record(entry.region, entry.vm, now)
        for member in live:
            self._record(member.region, member.vm, now)
        if self._registered_since is None and self.vm in registered:
            self._registered_since = now
        self._drop_absent(now)

    def has_part(self, now: float) -> bool:
        """Whether this gateway may use its part of a limit."""
        since = self._registered_since
        return since is not None and now - since >= SETTLE_S

    def in_region(self, region: RegionId) -> list[VmId]:
        """Return the gateways that may send requests to the servers of ``region``."""
        return list(self._last_seen.get(region, ()))

    def all_vms(self) -> list[VmId]:
        """Return the gateways of all regions."""
        return sorted({vm for vms in self._last_seen.values() for vm in vms})

    def count(self) -> int:
        """Return the number of gateways of all regions, at least 1."""
        return max(1, sum(len(vms) for vms in self._last_seen.values()))

    def _record(self, region: RegionId, vm: VmId, now: float) -> None:
        vms = self._last_seen.setdefault(region, {})
        if vm not in vms:
            self.revision += 1
        vms[vm] = now

    def _drop_absent(self, now: float) -> None:
        for vms in self._last_seen.values():
            absent = [vm for vm, seen_at in vms.items() if now - seen_at > ABSENCE_HOLD_S]
            for vm in absent:
                del vms[vm]
                self.revision += 1

"""Members as this node sees them: heartbeats, suspicion, down marks and expiry.

Member records spread everywhere. Heartbeat counters and detail records spread
only inside a failure domain, so only members of the own domain can be
suspected; members elsewhere keep their last state until a ``down`` or ``left``
record arrives.
"""

import math
from dataclasses import dataclass

from knapweeddock.ids import FailureDomainId, Incarnation, ServerId, VmId
from knapweeddock.nodestate import member_from_record
from knapweeddock.proto.knapweed_pb2 import (
    DownRecord,
    Heartbeats,
    LeavingRecord,
    MemberRecord,
    MemberView,
    Record,
)
from knapweeddock.records import (
    RecordKind,
    RecordStore,
    detail_key,
    down_key,
    kind_of,
    leaving_key,
    member_key,
)
from knapweeddock.rendezvous import hash_parts
from knapweeddock.state import Member, MemberState

SUSPICION_TIMEOUT_S = 3.0
"""Time without a heartbeat after which a member of a small domain is suspected."""

SMALL_DOMAIN_MEMBERS = 8
"""Members up to which a heartbeat reaches everyone within ``SUSPECT_AFTER_S``."""

SUSPICION_TIMEOUT_PER_DOUBLING_S = 2.0
"""Added each time the domain doubles beyond ``SMALL_DOMAIN``: the exchange
needs about one more round of 2 s to reach everyone."""

MEMBER_EXPIRY_S = 600.0
"""Time for which records of members that are down or have left are kept."""

MAX_HEARTBEATS_PER_MESSAGE = 10_000
"""Longest heartbeat array that is accepted from a peer."""


def heartbeat_id(vm: str, incarnation: str) -> int:
    """Return the number that names an agent process in heartbeat arrays.

    Two members of one domain share a number with a chance of about one in a
    million at 59 members; the consequence is a suspicion that comes late.
    """
    return hash_parts(vm, incarnation) & 0xFFFFFFFF


def suspicion_timeout_s(domain_size: int) -> float:
    """Return the time without a heartbeat after which a member is suspected."""
    if domain_size <= SMALL_DOMAIN_MEMBERS:
        return SUSPICION_TIMEOUT_S
    return SUSPICION_TIMEOUT_S + SUSPICION_TIMEOUT_PER_DOUBLING_S * math.log2(
        domain_size / SMALL_DOMAIN_MEMBERS
    )


@dataclass(slots=True)
class _HeartbeatCounter:
    member_id: int
    counter: int
    advanced_at: float


class HeartbeatTable:
    """Heartbeat counters of the members of the own failure domain."""

    def __init__(self) -> None:
        self._counters: dict[VmId, _HeartbeatCounter] = {}
        self._vm_by_id: dict[int, VmId] = {}

    def track(self, vm: VmId, incarnation: str, now: float) -> None:
        """Follow an agent process from ``now`` on, in place of an older one of the VM."""
        member_id = heartbeat_id(vm, incarnation)
        present = self._counters.get(vm)
        if present is not None and present.member_id == member_id:
            return
        self.untrack(vm)
        self._counters[vm] = _HeartbeatCounter(member_id, 0, now)
        self._vm_by_id[member_id] = vm

    def untrack(self, vm: VmId) -> None:
        """Stop following a VM."""
        entry = self._counters.pop(vm, None)
        if entry is not None:
            self._vm_by_id.pop(entry.member_id, None)

    def increment(self, vm: VmId, now: float) -> None:
        """Increase the counter of the own agent process."""
        present = self._counters.get(vm)
        if present is not None:
            present.counter += 1
            present.advanced_at = now

    def reset_timeouts(self, now: float) -> None:
        """Count the silence of all members from ``now`` on."""
        for entry in self._counters.values():
            entry.advanced_at = now

    def to_message(self) -> Heartbeats:
        """Return the counters as a message."""
        entries = self._counters.values()
        return Heartbeats(
            members=[beat.member_id for beat in entries],
            counters=[beat.counter for beat in entries],
        )

    def merge(self, message: Heartbeats, now: float) -> None:
        """Take the counters of a peer that are higher than those held here."""
        count = min(len(message.members), len(message.counters), MAX_HEARTBEATS_PER_MESSAGE)
        for position in range(count):
            vm = self._vm_by_id.get(message.members[position])
            if vm is None:
                continue
            entry = self._counters[vm]
            counter = message.counters[position]
            if counter > entry.counter:
                entry.counter = counter
                entry.advanced_at = now

    def overdue(self, now: float) -> set[VmId]:
        """Return the VMs whose counter has stood still for too long."""
        timeout_s = suspicion_timeout_s(len(self._counters))
        return {vm for vm, beat in self._counters.items() if now - beat.advanced_at > timeout_s}

    def heartbeat_age_s(self, vm: VmId, now: float) -> float:
        """Return the seconds since the last heartbeat of ``vm``, 0 when not followed."""
        entry = self._counters.get(vm)
        return now - entry.advanced_at if entry else 0.0


def down_record(member: MemberRecord, evidence: str) -> Record:
    """Return the record that an incarnation is gone.

    Its stamp is fixed, so that records of several observers are equal.
    """
    return Record(
        key=down_key(VmId(member.vm), Incarnation(member.entry_incarnation)),
        incarnation=member.entry_incarnation,
        incarnation_start_ms=1,
        version=1,
        failure_domain=member.failure_domain,
        down=DownRecord(
            vm=member.vm, entry_incarnation=member.entry_incarnation, evidence=evidence
        ),
    )


class MemberTable:
    """The members by VM, kept up to date as records are merged.

    Attributes:
        vm: The VM of this agent.
        failure_domain: Failure domain of this agent.
        heartbeats: Heartbeats of the own domain.
        changed: VMs whose view changed since ``take_changed``.
    """

    def __init__(self, *, vm: VmId, failure_domain: FailureDomainId, store: RecordStore) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.store = store
        self.heartbeats = HeartbeatTable()
        self.views: dict[VmId, MemberView] = {}
        self.by_domain: dict[FailureDomainId, set[VmId]] = {}
        self.changed: set[VmId] = set()
        self._overdue: set[VmId] = set()
        self._leaving_vms: set[VmId] = set()
        self._terminated_at: dict[str, float] = {}

    def apply_record(self, record: Record, now: float) -> None:
        """Update the view after ``record`` was merged into the store."""
        match kind_of(record):
            case RecordKind.MEMBER:
                vm = VmId(record.member.vm)
                if record.failure_domain == self.failure_domain:
                    self.heartbeats.track(vm, record.incarnation, now)
                else:
                    self.heartbeats.untrack(vm)
                    self._overdue.discard(vm)
                self._rebuild_view(vm, now)
            case RecordKind.DETAIL:
                self._rebuild_view(VmId(record.detail.vm), now)
            case RecordKind.DOWN:
                self._terminated_at.setdefault(record.key, now)
                self._rebuild_view(VmId(record.down.vm), now)
            case RecordKind.LEAVING:
                if record.failure_domain == self.failure_domain:
                    self._apply_leaving(record.leaving, now)

    def _apply_leaving(self, leaving: LeavingRecord, now: float) -> None:
        vms = {VmId(vm) for vm in leaving.vms}
        affected = vms ^ self._leaving_vms
        self._leaving_vms = vms
        for vm in affected:
            self._rebuild_view(vm, now)

    def _rebuild_view(self, vm: VmId, now: float) -> None:
        record = self.store.records.get(member_key(vm))
        if record is None:
            self._remove(vm)
            return
        view = MemberView(member=record.member, suspected=self._is_suspected(vm))
        member = view.member
        view.down = down_key(vm, Incarnation(member.entry_incarnation)) in self.store.records
        detail = self.store.records.get(detail_key(vm))
        if detail is not None and detail.detail.entry_incarnation == member.entry_incarnation:
            member.settled_views.update(detail.detail.settled_views)
            member.load = detail.detail.load
            member.config_version = max(member.config_version, detail.detail.config_version)
        self._update_termination(record.key, view, now)
        if view == self.views.get(vm):
            return
        previous = self.views.get(vm)
        if previous is not None and previous.member.failure_domain != member.failure_domain:
            self._remove(vm)
        self.views[vm] = view
        self.by_domain.setdefault(FailureDomainId(member.failure_domain), set()).add(vm)
        self.changed.add(vm)

    def _update_termination(self, key: str, view: MemberView, now: float) -> None:
        if self._is_terminated(view):
            self._terminated_at.setdefault(key, now)
        else:
            self._terminated_at.pop(key, None)

    def _remove(self, vm: VmId) -> None:
        view = self.views.pop(vm, None)
        if view is None:
            return
        domain = FailureDomainId(view.member.failure_domain)
        members = self.by_domain[domain]
        members.discard(vm)
        if not members:
            del self.by_domain[domain]
        self.changed.add(vm)

    def _is_suspected(self, vm: VmId) -> bool:
        return vm in self._overdue or vm in self._leaving_vms

    def update_suspicion(self, now: float) -> None:
        """Count the own heartbeat and mark the members that have gone silent."""
        self.heartbeats.increment(self.vm, now)
        overdue = self.heartbeats.overdue(now)
        affected = overdue ^ self._overdue
        self._overdue = overdue
        for vm in affected:
            self._rebuild_view(vm, now)

    def reset_heartbeat_timeouts(self, now: float) -> None:
        """Count silence from ``now`` on, after a pause of this process."""
        self.heartbeats.reset_timeouts(now)

    def expire(self, now: float) -> None:
        """Drop the records of members that were gone for ``EXPIRY_S``."""
        own = member_key(self.vm)
        expired = [
            key for key, since in self._terminated_at.items() if now - since >= MEMBER_EXPIRY_S
        ]
        for key in expired:
            if key == own:
                continue
            del self._terminated_at[key]
            self._delete(key, now)
        self.store.expire_tombstones(now)

    def _delete(self, key: str, now: float) -> None:
        record = self.store.records.get(key)
        if record is None:
            return
        self.store.delete(key, now)
        if kind_of(record) is not RecordKind.MEMBER:
            return
        vm = VmId(record.member.vm)
        self.store.delete(detail_key(vm), now)
        self.heartbeats.untrack(vm)
        self._rebuild_view(vm, now)

    def pop_changed(self) -> set[VmId]:
        """Return the VMs whose view changed since the last call."""
        changed = self.changed
        self.changed = set()
        return changed

    def member(self, vm: VmId) -> Member | None:
        """Return the member of a VM as the other processes see it."""
        view = self.views.get(vm)
        if view is None:
            return None
        return member_from_record(view.member, suspected=view.suspected, down=view.down)

    def overdue_members(self) -> list[MemberView]:
        """Return the members of the own domain without heartbeats that may be alive."""
        overdue = []
        for vm in sorted(self._overdue - {self.vm}):
            view = self.views.get(vm)
            if view and not self._is_terminated(view):
                overdue.append(view)
        return overdue

    def domain_peers(self) -> list[VmId]:
        """Return the other VMs of the own domain that may have an agent, sorted.

        An entry that is down or has left does not mean that its agent is
        gone; missing heartbeats do. A member that is only silent stays in the
        list, so that contact is resumed after a partition.
        """
        peers = []
        for vm in self.by_domain.get(self.failure_domain, ()):
            view = self.views[vm]
            is_agent_dead = self._is_terminated(view) and vm in self._overdue
            if vm != self.vm and not is_agent_dead and view.member.agent_address:
                peers.append(vm)
        return sorted(peers)

    def live_peers(self) -> list[VmId]:
        """Return the other VMs of the own domain whose agents send heartbeats, sorted."""
        return [vm for vm in self.domain_peers() if vm not in self._overdue]

    def remote_members(self, failure_domain: FailureDomainId) -> list[VmId]:
        """Return the VMs of another domain, sorted; those not known to be gone if any."""
        vms = [
            vm
            for vm in sorted(self.by_domain.get(failure_domain, ()))
            if self.views[vm].member.agent_address
        ]
        alive = [vm for vm in vms if not self._is_terminated(self.views[vm])]
        return alive or vms

    def remote_domains(self) -> list[FailureDomainId]:
        """Return the names of the other domains with members, sorted."""
        return sorted(domain for domain in self.by_domain if domain != self.failure_domain)

    def agent_address(self, vm: VmId) -> str:
        """Return ``host:port`` of a VM's agent, or "" when it is not known."""
        view = self.views.get(vm)
        return view.member.agent_address if view else ""

    def _is_terminated(self, view: MemberView) -> bool:
        return view.down or view.member.state == MemberState.LEFT.value

    @property
    def leaving_servers(self) -> list[ServerId]:
        """The servers that the VM list names as leaving."""
        record = self.store.records.get(leaving_key(self.failure_domain))
        return [ServerId(server) for server in record.leaving.servers] if record else []

"""Membership as seen by one agent: heartbeats, suspicion, down records and expiry.

Member records are replicated to every failure domain. Heartbeat counters and
detail records are replicated only within a domain, so only members of the
agent's own domain can be suspected for missing heartbeats. In addition, every
member that the leaving record of the agent's domain lists is suspected, whatever
its own domain. Apart from that, members of other domains keep their last known
state until a down record or a newer member record, such as one in state ``left``,
arrives, or until they expire.
"""

import math
from dataclasses import dataclass

from knapweeddock.ids import FailureDomainId, Incarnation, ServerId, VmId
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
    leaving_key,
    member_key,
    record_kind,
)
from knapweeddock.rendezvous import hash_parts
from knapweeddock.state import Member, MemberState
from knapweeddock.statecodec import member_from_record

SUSPICION_TIMEOUT_S = 3.0
"""Time without a heartbeat after which a member of a small domain is suspected, in seconds."""

SMALL_DOMAIN_MEMBERS = 8
"""Largest domain in which a heartbeat reaches all members within ``SUSPICION_TIMEOUT_S``."""

SUSPICION_TIMEOUT_PER_DOUBLING_S = 2.0
"""Seconds added to the timeout each time the domain doubles beyond
``SMALL_DOMAIN_MEMBERS``: a heartbeat then needs about one more round of
exchanges, 2 s, to reach all members."""

MEMBER_EXPIRY_S = 600.0
"""Time for which records of members that are down or have left are kept, in seconds."""

MAX_HEARTBEATS_PER_MESSAGE = 10_000
"""Largest number of heartbeats read from one message of a peer; the rest are ignored."""


def heartbeat_id(vm: str, incarnation: str) -> int:
    """Return the id of an agent process in heartbeat messages.

    The probability that two members of a domain of 59 share an id is about one
    in 2.5 million. In a collision, the heartbeats of both count for the VM that
    was tracked last, which delays its suspicion; the other VM is suspected even
    if its agent is running.
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
    """Heartbeat counters of the members of the agent's own failure domain.

    Times are monotonic and in seconds.
    """

    def __init__(self) -> None:
        self._counters: dict[VmId, _HeartbeatCounter] = {}
        self._vm_by_id: dict[int, VmId] = {}

    def track(self, vm: VmId, incarnation: str, now: float) -> None:
        """Track an agent process from ``now`` on, replacing an earlier process of the VM."""
        member_id = heartbeat_id(vm, incarnation)
        tracked = self._counters.get(vm)
        if tracked is not None and tracked.member_id == member_id:
            return
        self.untrack(vm)
        self._counters[vm] = _HeartbeatCounter(member_id, 0, now)
        self._vm_by_id[member_id] = vm

    def untrack(self, vm: VmId) -> None:
        """Stop tracking a VM."""
        tracked = self._counters.pop(vm, None)
        if tracked is not None:
            self._vm_by_id.pop(tracked.member_id, None)

    def increment(self, vm: VmId, now: float) -> None:
        """Increment the counter of ``vm``, the VM of this agent, if it is tracked."""
        tracked = self._counters.get(vm)
        if tracked is not None:
            tracked.counter += 1
            tracked.advanced_at = now

    def reset_timeouts(self, now: float) -> None:
        """Restart the suspicion timeout of every member at ``now``."""
        for tracked in self._counters.values():
            tracked.advanced_at = now

    def to_message(self) -> Heartbeats:
        """Return the counters as a protobuf message."""
        tracked_members = self._counters.values()
        return Heartbeats(
            members=[tracked.member_id for tracked in tracked_members],
            counters=[tracked.counter for tracked in tracked_members],
        )

    def merge(self, message: Heartbeats, now: float) -> None:
        """Adopt the counters of a peer that are higher than the local ones."""
        count = min(len(message.members), len(message.counters), MAX_HEARTBEATS_PER_MESSAGE)
        for position in range(count):
            vm = self._vm_by_id.get(message.members[position])
            if vm is None:
                continue
            tracked = self._counters[vm]
            counter = message.counters[position]
            if counter > tracked.counter:
                tracked.counter = counter
                tracked.advanced_at = now

    def overdue(self, now: float) -> set[VmId]:
        """Return the VMs whose suspicion timeout has passed without an advance of the counter."""
        timeout_s = suspicion_timeout_s(len(self._counters))
        return {
            vm for vm, tracked in self._counters.items() if now - tracked.advanced_at > timeout_s
        }

    def heartbeat_age_s(self, vm: VmId, now: float) -> float:
        """Return the seconds since the suspicion timeout of ``vm`` started.

        It starts when tracking begins, when the counter advances and when the
        timeouts are reset. The result is 0 if ``vm`` is not tracked.
        """
        tracked = self._counters.get(vm)
        return now - tracked.advanced_at if tracked else 0.0


def make_down_record(member: MemberRecord, evidence: str) -> Record:
    """Return the record that declares an entry incarnation down.

    The version stamp is constant, so that the records of several observers of the
    same failure do not replace each other. Only their evidence may differ.
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
    """Members by VM, updated as records are merged.

    Times are monotonic and in seconds.

    Attributes:
        vm: The VM of this agent.
        failure_domain: Failure domain of this agent.
        store: The records that the views are built from.
        heartbeats: Heartbeat counters of the agent's own domain.
        views: The members, with what this agent observes of them, by VM.
        by_domain: VMs of the members by failure domain.
        changed: VMs whose view changed since the last ``pop_changed``.
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
        self._expiry_started_at: dict[str, float] = {}

    def apply_record(self, record: Record, now: float) -> None:
        """Update the affected views after ``record`` was merged into the store."""
        match record_kind(record):
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
                self._expiry_started_at.setdefault(record.key, now)
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
        if self._is_down_or_left(view):
            self._expiry_started_at.setdefault(key, now)
        else:
            self._expiry_started_at.pop(key, None)

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
        """Increment this agent's heartbeat and update which members are suspected."""
        self.heartbeats.increment(self.vm, now)
        overdue = self.heartbeats.overdue(now)
        affected = overdue ^ self._overdue
        self._overdue = overdue
        for vm in affected:
            self._rebuild_view(vm, now)

    def reset_heartbeat_timeouts(self, now: float) -> None:
        """Restart all suspicion timeouts after this process was paused."""
        self.heartbeats.reset_timeouts(now)

    def expire(self, now: float) -> None:
        """Delete records of members that have been down or left for ``MEMBER_EXPIRY_S``.

        Down records are deleted that long after their receipt, and expired
        tombstones are removed. The member record of this agent's VM is kept.
        """
        own = member_key(self.vm)
        expired = [
            key for key, since in self._expiry_started_at.items() if now - since >= MEMBER_EXPIRY_S
        ]
        for key in expired:
            if key == own:
                continue
            del self._expiry_started_at[key]
            self._delete(key, now)
        self.store.expire_tombstones(now)

    def _delete(self, key: str, now: float) -> None:
        record = self.store.records.get(key)
        if record is None:
            return
        self.store.delete(key, now)
        if record_kind(record) is not RecordKind.MEMBER:
            return
        vm = VmId(record.member.vm)
        self.store.delete(detail_key(vm), now)
        self.heartbeats.untrack(vm)
        self._rebuild_view(vm, now)

    def pop_changed(self) -> set[VmId]:
        """Return the VMs whose view changed since the last call, and reset the set."""
        changed = self.changed
        self.changed = set()
        return changed

    def member(self, vm: VmId) -> Member | None:
        """Return the member of a VM as local processes see it, or None if it is unknown."""
        view = self.views.get(vm)
        if view is None:
            return None
        return member_from_record(view.member, suspected=view.suspected, down=view.down)

    def overdue_members(self) -> list[MemberView]:
        """Return the members of the agent's own domain with overdue heartbeats.

        This agent and members known to be down or to have left are excluded.
        """
        overdue = []
        for vm in sorted(self._overdue - {self.vm}):
            view = self.views.get(vm)
            if view and not self._is_down_or_left(view):
                overdue.append(view)
        return overdue

    def domain_peers(self) -> list[VmId]:
        """Return the other VMs of the agent's own domain whose agent may be running, sorted.

        The entry process and the agent of a VM fail independently. A VM is omitted
        only if its entry is down or has left and the heartbeats of its agent are
        overdue, or if its agent address is unknown. A member that only misses
        heartbeats stays in the list, so that contact resumes after a network
        partition.
        """
        peers = []
        for vm in self.by_domain.get(self.failure_domain, ()):
            view = self.views[vm]
            is_agent_dead = self._is_down_or_left(view) and vm in self._overdue
            if vm != self.vm and not is_agent_dead and view.member.agent_address:
                peers.append(vm)
        return sorted(peers)

    def responsive_peers(self) -> list[VmId]:
        """Return the ``domain_peers`` whose heartbeats are not overdue, sorted.

        A VM whose entry process is down or has left is included.
        """
        return [vm for vm in self.domain_peers() if vm not in self._overdue]

    def remote_members(self, failure_domain: FailureDomainId) -> list[VmId]:
        """Return the VMs of another domain that have an agent address, sorted.

        Members that are down or have left are returned only if there are no others.
        """
        vms = [
            vm
            for vm in sorted(self.by_domain.get(failure_domain, ()))
            if self.views[vm].member.agent_address
        ]
        not_down_or_left = [vm for vm in vms if not self._is_down_or_left(self.views[vm])]
        return not_down_or_left or vms

    def remote_domains(self) -> list[FailureDomainId]:
        """Return the other failure domains that have members, sorted."""
        return sorted(domain for domain in self.by_domain if domain != self.failure_domain)

    def agent_address(self, vm: VmId) -> str:
        """Return ``host:port`` of a VM's agent, or "" if it is unknown."""
        view = self.views.get(vm)
        return view.member.agent_address if view else ""

    def _is_down_or_left(self, view: MemberView) -> bool:
        return view.down or view.member.state == MemberState.LEFT.value

    @property
    def leaving_servers(self) -> list[ServerId]:
        """Backend servers, of all domains, that the VM list reports as leaving."""
        record = self.store.records.get(leaving_key(self.failure_domain))
        return [ServerId(server) for server in record.leaving.servers] if record else []

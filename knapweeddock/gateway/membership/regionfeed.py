"""What the gateways of a region tell each other through their relay.

A subscriber sends its heartbeat and its reports of busy servers to its relay. The relay
merges them and sends every subscriber, with its pulses, who is alive, what each region's
clients ask for, and the reports. Each gateway thus has one correspondent, whatever the size
of its region. Relays exchange summaries with the other regions.

The feed does no I/O; ``relay`` and ``peers`` carry its messages.
"""

from collections.abc import Callable, Iterable

import msgspec

from knapweeddock.gateway.evidence.duekeys import Direction, Source
from knapweeddock.gateway.evidence.notices import NoticeBoard, Notices
from knapweeddock.gateway.evidence.serverreports import ReportBoard, ServerReport
from knapweeddock.gateway.membership.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    GatewayPhase,
    Heartbeat,
    Member,
    RegionDemand,
    RegionSummary,
    summarize,
)
from knapweeddock.gateway.membership.liveness import Liveness
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storeposition import StorePosition
from knapweeddock.ids import RegionId, VmId
from knapweeddock.rendezvous import weighted_order

SAMPLE_SIZE = 8
"""Number of gateways of a region that its summary names, for look-ups in other regions."""

DEMAND_TIMEOUT_S = 6.0
"""Time in seconds for which the demand of a region counts after its last report. A region
without a report counts as one without clients, to which requests spill over."""


class Pulse(msgspec.Struct, frozen=True, kw_only=True, tag="pulse", omit_defaults=True):
    """Message of a relay to its subscribers, at a fixed interval.

    It follows all changes of the store that the relay has applied so far.

    Attributes:
        connected: Whether the sender receives changes, from the store or from another
            relay; subscribers leave when it does not.
        depth: Number of relays between the sender and the store.
        complete: Whether ``members`` are all live gateways, as in the first pulse of a
            subscription.
        members: Live gateways that have appeared or changed since the last pulse.
        gone: Gateways that are no longer alive.
        demands: Demand of each region, if it is due.
        reports: Reports of backend servers.
        notices: Evidence of other gateways.
    """

    connected: bool
    depth: int = 0
    complete: bool = False
    members: list[Member] = []
    gone: list[VmId] = []
    demands: dict[RegionId, RegionDemand] = {}
    reports: list[ServerReport] = []
    notices: Notices = Notices()


class SubscriberReport(msgspec.Struct, frozen=True, kw_only=True, tag="report", omit_defaults=True):
    """Message of a subscriber to its relay.

    Attributes:
        heartbeats: Its own heartbeat, and those of gateways that the relay may not hear.
        summaries: Summaries of other regions that it has received.
        reports: Reports of backend servers.
        notices: Evidence of this gateway and of others without a relay.
        known: Positions up to which it knows the topics, in its first message to a relay,
            which then sends only those that have changed since.
    """

    heartbeats: list[Heartbeat] = []
    summaries: list[RegionSummary] = []
    reports: list[ServerReport] = []
    notices: Notices = Notices()
    known: dict[Topic, StorePosition] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not (self.heartbeats or self.summaries or self.reports) and self.notices.is_empty


class RegionFeed:
    """This gateway's knowledge of the other gateways and their clients.

    Attributes:
        region: Region of this gateway.
        liveness: Which gateways are alive.
        report_board: Reports of backend servers.
        notice_board: Evidence that is shared at once.
        own_heartbeat: Returns the heartbeat of this gateway.
        region_sizes: Returns the number of registered gateways by region.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        region: RegionId,
        report_board: ReportBoard,
        notice_board: NoticeBoard,
        own_heartbeat: Callable[[], Heartbeat],
        region_sizes: Callable[[], dict[RegionId, int]],
    ) -> None:
        self.region = region
        self.liveness = Liveness(vm=vm)
        self.report_board = report_board
        self.notice_board = notice_board
        self.own_heartbeat = own_heartbeat
        self.region_sizes = region_sizes
        self._told_demands: dict[RegionId, tuple[RegionDemand, float]] = {}
        self._heartbeats_due: dict[VmId, Heartbeat] = {}
        self._summaries_due: dict[RegionId, RegionSummary] = {}
        self._own_heartbeat_at = float("-inf")
        self._told_members: dict[VmId, Member] = {}
        self._demands_at = float("-inf")

    # As a subscriber

    def start_subscription(self) -> None:
        """Begin to report to a relay; what was heard before is not passed on to it."""
        self._heartbeats_due.clear()
        self._summaries_due.clear()
        self.announce()

    def take_report(self, now: float) -> SubscriberReport:
        """Return what is due to the relay."""
        heartbeats = list(self._heartbeats_due.values())
        self._heartbeats_due.clear()
        if now - self._own_heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self._own_heartbeat_at = now
            heartbeats.append(self.own_heartbeat())
        summaries = list(self._summaries_due.values())
        self._summaries_due.clear()
        return SubscriberReport(
            heartbeats=heartbeats,
            summaries=summaries,
            reports=self.report_board.take_up(now),
            notices=self.notice_board.take(Direction.TO_RELAY, now),
        )

    def announce(self) -> None:
        """Make the own heartbeat due at once, since its phase has changed."""
        self._own_heartbeat_at = float("-inf")

    def apply_pulse(self, pulse: Pulse, now: float) -> None:
        """Apply a pulse of the relay."""
        self.liveness.apply_relayed(pulse.members, pulse.gone, now, complete=pulse.complete)
        for region, demand in pulse.demands.items():
            self._told_demands[region] = (demand, now)
        self.report_board.merge(pulse.reports, now, from_relay=True)
        self.notice_board.merge(pulse.notices, now, Source.RELAY)

    # As a relay

    def apply_report(self, report: SubscriberReport, now: float) -> None:
        """Apply the report of a subscriber."""
        for heartbeat in report.heartbeats:
            self.liveness.record_heartbeat(heartbeat, now)
            self._heartbeats_due[heartbeat.member.vm] = heartbeat
        for summary in report.summaries:
            self.record_summary(summary, now)
        self.report_board.merge(report.reports, now, from_relay=False)
        self.notice_board.merge(report.notices, now, Source.SUBSCRIBER)

    def take_pulse(self, now: float, *, connected: bool, depth: int = 0) -> Pulse:
        """Return the pulse for all subscribers.

        Args:
            now: Monotonic time.
            connected: Whether this gateway receives changes.
            depth: Number of relays between this gateway and the store.
        """
        members = self._all_members(now)
        changed = [member for vm, member in members.items() if self._told_members.get(vm) != member]
        gone = [vm for vm in self._told_members if vm not in members]
        self._told_members = members
        demands: dict[RegionId, RegionDemand] = {}
        if now - self._demands_at >= HEARTBEAT_INTERVAL_S:
            self._demands_at = now
            demands = self.region_demands(now)
        return Pulse(
            connected=connected,
            depth=depth,
            members=changed,
            gone=gone,
            demands=demands,
            reports=self.report_board.take_down(now),
            notices=self.notice_board.take(Direction.TO_SUBSCRIBERS, now),
        )

    def first_pulse(self, now: float, *, connected: bool, depth: int = 0) -> Pulse:
        """Return the pulse with which a subscription begins."""
        return Pulse(
            connected=connected,
            depth=depth,
            complete=True,
            members=list(self._all_members(now).values()),
            demands=self.region_demands(now),
            notices=self.notice_board.current(now),
        )

    def summary(self, now: float) -> RegionSummary:
        """Return the summary of this region for the other regions."""
        serving = {
            vm: member
            for vm, member in self._all_members(now).items()
            if member.region == self.region and member.phase is GatewayPhase.SERVING
        }
        reaching = [vm for vm, member in serving.items() if member.reaches_servers]
        sample = weighted_order("sample", dict.fromkeys(reaching or serving, 1.0))[:SAMPLE_SIZE]
        return RegionSummary(
            region=self.region,
            demand=self.region_demands(now)[self.region],
            members=[serving[vm] for vm in sample],
        )

    def _all_members(self, now: float) -> dict[VmId, Member]:
        own = self.own_heartbeat().member
        return {**self.liveness.live_members(now), own.vm: own}

    # Datagrams

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat that came without a relay."""
        self.liveness.record_heartbeat(heartbeat, now)
        member = heartbeat.member
        if member.region == self.region and not self.liveness.is_told(member.vm):
            # The relay has not heard it: the sender is looking for one.
            self._heartbeats_due[member.vm] = heartbeat

    def record_summary(self, summary: RegionSummary, now: float) -> None:
        """Record the summary of a region; of this one, it tells only which gateways live."""
        self.liveness.record_sample(summary.members, now)
        if summary.region == self.region:
            return
        self._told_demands[summary.region] = (summary.demand, now)
        self._summaries_due[summary.region] = summary

    # Queries

    def live_members(self, now: float) -> Iterable[Member]:
        """Return the live gateways of all regions that are known, this one included."""
        return self._all_members(now).values()

    def live_gateways(self, now: float) -> list[VmId]:
        """Return the live gateways of this region that are not leaving, and this one."""
        vms = self.liveness.live_in_region(self.region, now)
        return sorted([*vms, self.liveness.vm])

    def region_demands(self, now: float) -> dict[RegionId, RegionDemand]:
        """Return the demand of each region that has reported one lately.

        That of a region comes from heartbeats if this gateway hears most of them, else from
        the relay or from its summary.
        """
        demands = {
            region: demand
            for region, (demand, told_at) in self._told_demands.items()
            if now - told_at <= DEMAND_TIMEOUT_S
        }
        own_region = [*self.liveness.live_heartbeats(self.region, now), self.own_heartbeat()]
        live = len(self.live_gateways(now))
        hears_most = len(own_region) > 1 and 2 * len(own_region) > live
        if self.region not in demands or hears_most:
            demands[self.region] = summarize(own_region, expected=live)
        for region, size in self.region_sizes().items():
            heartbeats = self.liveness.live_heartbeats(region, now)
            if region not in demands and heartbeats:
                demands[region] = summarize(heartbeats, expected=size)
        return demands

"""How one entry uses and lends its slots of one site in its own failure domain."""

from collections.abc import Callable, Mapping

from knapweeddock.handover import SettledReport, SiteHandover, decode_report
from knapweeddock.health import HealthTracker
from knapweeddock.ids import FailureDomainId, GrantId, RegionId, ServerId, SiteId, ViewId, VmId
from knapweeddock.lending import Lender, PeakMeter, SiteAvailability
from knapweeddock.model import Site
from knapweeddock.ramp import Ramp
from knapweeddock.slots import (
    RankLimits,
    SlotKey,
    ViewMember,
    make_view,
    ranked_slots,
    share_rank_bands,
    slot_key,
)
from knapweeddock.slotselection import select_slot, split_by_health
from knapweeddock.slottable import Allocation, SlotTable
from knapweeddock.slottypes import Slot

WAITING_WINDOW_S = 0.25
"""Time after a failed acquire during which own requests count as waiting for a slot."""


class LocalSite:
    """The slots of one site that one entry may use and lend.

    Attributes:
        site_id: The site.
        vm: VM of the entry.
        slot_table: Slots of the entry at all sites and their use.
        handover: Which slots the entry may use and lend now.
        ramp: Limit on remote use beyond guaranteed shares.
        demand: Recent peak of the entry's own requests at the site.
        last_shortage_at: Last time that an own request got no slot.
        site: Configuration of the site.
        view_inputs: Configuration, limits and members that the current view was
            made from.
        encoded_reports: Encoded reports of the domain's members about this site.
        reports: The same reports, decoded.
        reports_changed: Whether the members' reports changed since the own report,
            which contains a hash of their epochs, was last updated.
        guaranteed: The entry's part of the guaranteed share of each domain: the number
            of its usable slots in the rank band of that domain.
    """

    def __init__(self, *, site_id: SiteId, vm: VmId, slot_table: SlotTable, now: float) -> None:
        self.site_id = site_id
        self.vm = vm
        self.slot_table = slot_table
        self.handover = SiteHandover(vm=vm)
        self.ramp = Ramp(own_slots=0, start_fraction=0.0, growth_per_s=0.0, now=now)
        self.demand = PeakMeter(now=now)
        self.last_shortage_at = float("-inf")
        self.site: Site | None = None
        self.view_inputs: tuple | None = None
        self.encoded_reports: Mapping[VmId, ViewId | None] = {}
        self.reports: Mapping[VmId, SettledReport] = {}
        self.reports_changed = True
        self.guaranteed: dict[FailureDomainId, int] = {}

    def configure(
        self,
        site: Site,
        limits: RankLimits,
        members: tuple[ViewMember, ...],
        next_epoch: Callable[[], int],
    ) -> None:
        """Apply configuration and members, and change the view if it differs.

        Args:
            site: Configuration of the site.
            limits: Limits on remote use of the site.
            members: Members of the failure domain, sorted.
            next_epoch: Returns a new epoch number of this entry.
        """
        if self.view_inputs is not None and self.view_inputs == (site, limits, members):
            return
        self.view_inputs = (site, limits, members)
        self.site = site
        view = make_view(ranked_slots(self.site_id, site), members, limits)
        old = self.handover.view
        if old is None or old.id != view.id:
            self.handover.change_view(view, next_epoch())
        self._apply_slots()

    def set_member_reports(self, encoded_reports: Mapping[VmId, ViewId | None]) -> None:
        """Store the reports of the domain's members.

        The own report must be updated after a change, because it contains a hash of
        the members' epochs.
        """
        if encoded_reports != self.encoded_reports:
            self.encoded_reports = encoded_reports
            self.reports = {vm: decode_report(encoded) for vm, encoded in encoded_reports.items()}
            self.reports_changed = True

    def advance_handover(self, *, takeover_allowed: bool) -> None:
        """Report that the entry has settled, and start using new slots, where possible.

        Args:
            takeover_allowed: Whether the takeover delay after the last evidence
                that a member is gone has passed.
        """
        if self.reports_changed or not self.handover.is_reported:
            uses = self.slot_table.slot_uses(self.site_id, self.site.servers)
            self.handover.refresh_own_report(uses, self.reports)
            self.reports_changed = False
        if self.handover.take_over(self.reports, takeover_allowed):
            self._apply_slots()

    def _apply_slots(self) -> None:
        view = self.handover.view
        usable = {key: view.slots[key] for key in self.handover.usable}
        self.slot_table.set_usable(self.site_id, usable)
        ranks = [slot.rank for slot in usable.values()]
        self.guaranteed = {
            domain: sum(1 for rank in ranks if rank in band)
            for domain, band in share_rank_bands(self.site.shares).items()
        }
        self.ramp.configure(
            own_slots=len(usable),
            start_fraction=self.site.shift_start,
            growth_per_s=self.site.shift_growth_per_s,
        )

    def acquire(
        self,
        health: HealthTracker,
        now: float,
        *,
        domain: FailureDomainId,
        reserved: int,
        exclude: frozenset[ServerId],
    ) -> Slot | None:
        """Allocate a free slot to an own request.

        Args:
            health: Health of the servers.
            now: Monotonic time.
            domain: Own failure domain.
            reserved: Number of free slots that are kept for guaranteed shares of other
                domains.
            exclude: Servers not to use.

        Returns:
            The slot, or None if no suitable one is free beyond the reserved ones.
        """
        slot = None
        if not reserved or self.slot_table.free_count(self.site_id) > reserved:
            free = self.slot_table.free[self.site_id]
            slot = select_slot(
                free, health.records, self.slot_table.in_flight, now, exclude=exclude
            )
        if slot is None:
            self.last_shortage_at = now
            return None
        self.slot_table.allocate(Allocation(slot=slot, domain=domain))
        self.demand.record(self.slot_table.own_request_count[self.site_id], now)
        return slot

    def advance_ramp(self, lender: Lender, now: float) -> None:
        """Update the ramp with the current remote use; call this before that use changes."""
        self.ramp.advance(lender.remote_use_beyond_shares(self.site_id, self.guaranteed), now)

    def availability(
        self, health: HealthTracker, now: float, *, remote: bool, region: RegionId | None
    ) -> SiteAvailability:
        """Return what may be lent to a borrower of ``region``.

        Args:
            health: Health of the servers.
            now: Monotonic time.
            remote: Whether the borrower is in another failure domain.
            region: Region of the borrower.
        """
        lendable_keys = self.handover.lendable.for_region(region) if remote else None
        available_count = 0
        lendable_slots = []
        fit, _ = split_by_health(self.slot_table.free[self.site_id], health.records, now)
        for _, slots, _, open_limit in fit:
            for slot in slots:
                if slot.index >= open_limit:
                    continue
                available_count += 1
                if lendable_keys is None or slot_key(slot) in lendable_keys:
                    lendable_slots.append(slot)
        lendable_slots.sort(key=lambda slot: slot.rank)
        own_use = self.slot_table.own_request_count.get(self.site_id, 0)
        return SiteAvailability(
            lendable=lendable_slots,
            available_count=available_count,
            guaranteed=self.guaranteed,
            lender_headroom=self.demand.peak(own_use, now) - own_use,
            lender_waiting=now - self.last_shortage_at < WAITING_WINDOW_S,
            remote=remote,
            region=region,
            ramp=self.ramp,
        )

    def acquire_lent_slot(
        self,
        lender: Lender,
        grant_id: GrantId,
        health: HealthTracker,
        now: float,
        *,
        exclude: frozenset[ServerId],
    ) -> Slot | None:
        """Allocate a slot of the grant to a request, or exchange it for a free slot.

        Prefers an idle slot of the grant that may still be used and that health and
        slow start leave open, on a server that is not excluded. Without one, an idle
        slot of the grant is exchanged for a free slot that may be lent to the same
        borrower. Only if there is no such free slot, a slot of the grant on an ejected
        server may be used.
        """
        idle = lender.idle_allocations(grant_id)
        if not idle:
            return None
        permitted = self._permitted_keys(idle[0])
        usable_idle: dict[ServerId, list[Slot]] = {}
        for allocation in idle:
            if slot_key(allocation.slot) in permitted:
                usable_idle.setdefault(allocation.slot.server, []).append(allocation.slot)
        choice_args = (health.records, self.slot_table.in_flight, now)
        slot = select_slot(usable_idle, *choice_args, exclude=exclude, lowest_rank_first=True)
        if slot is None or health.records[slot.server].is_blocked(now):
            free = self.slot_table.free[self.site_id]
            replacement = select_slot(
                free, *choice_args, exclude=exclude, allowed=permitted, lowest_rank_first=True
            )
            if replacement is not None:
                allocation = lender.replace_slot(grant_id, idle[0], replacement)
                self.slot_table.start_request(allocation)
                return replacement
        if slot is None:
            return None
        self.slot_table.start_request(self.slot_table.allocation_of(slot))
        return slot

    def has_usable_slot(self, lender: Lender, grant_id: GrantId, health: HealthTracker) -> bool:
        """Whether the grant has a slot that may still be used, on a server that is not draining."""
        for key in lender.grants[grant_id].slot_keys:
            allocation = self.slot_table.allocations.get(self.site_id, {}).get(key)
            record = health.records.get(allocation.slot.server) if allocation else None
            if record and not record.draining and key in self._permitted_keys(allocation):
                return True
        return False

    def _permitted_keys(self, allocation: Allocation) -> set[SlotKey]:
        if not allocation.remote:
            return self.handover.usable
        return self.handover.lendable.for_region(allocation.region)

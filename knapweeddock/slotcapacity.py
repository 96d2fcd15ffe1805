"""Capacity of one entry process, which shares the slots of its sites with other entries."""

import random
from collections.abc import Iterator

from knapweeddock.capacity import Capacity
from knapweeddock.capacityindex import (
    LENDER_CANDIDATES_MAX,
    ConfigIndex,
    LenderDirectory,
    eligible_owners,
)
from knapweeddock.codes import ResultCode
from knapweeddock.handover import TAKEOVER_DELAY_S, DomainMembers
from knapweeddock.health import HealthTracker
from knapweeddock.ids import (
    FailureDomainId,
    GrantId,
    Incarnation,
    PoolId,
    ServerId,
    SiteId,
    ViewId,
    VmId,
)
from knapweeddock.lending import REFUSAL_RETRY_AFTER_S, Borrower, Lender
from knapweeddock.localsite import LocalSite
from knapweeddock.slots import ViewMember
from knapweeddock.slottable import SlotTable
from knapweeddock.slottypes import (
    BorrowedSlot,
    BorrowRequest,
    Grant,
    LenderCandidate,
    Refusal,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.state import MemberState, NodeState

PAUSE_THRESHOLD_S = 3.0
"""Time without any call above which the process counts as having been paused."""

RESUME_WAIT_S = 2.0
"""How long the entry waits for an update after a pause before it uses its slots again."""

CLOSED_RETRY_AFTER_S = 5.0
"""Delay after which to ask a lender again that cannot lend for a longer time.

Its site or VM takes no new requests, or it does not know the borrower's region.
"""


class SlotCapacity(Capacity):
    """Capacity with slot owners, views, leases and ramps.

    Attributes:
        vm: VM of the entry.
        incarnation: Incarnation of the entry process.
        failure_domain: Failure domain of the VM.
        slot_table: The entry's slots and their use.
        health: Health of the local servers.
        lender: Grants that the entry issued.
        borrower: Grants that the entry received.
        domain_members: Members of the failure domain.
        directory: Other entries that may lend slots.
        sites: Sites of the failure domain.
        state: Latest received snapshot of configuration and members. Its configuration
            may be older than that of ``config_index``.
        config_index: Index over the newest configuration.
        config_version: Version of that configuration.
        epoch: Number of the latest view change of the entry at any site.
        last_call_at: Monotonic time of the latest call.
        resume_at: End of the wait after the last pause, which may have passed; None
            after an update.
        marked_down: Whether the own incarnation was marked down or replaced;
            the entry then takes no new requests, finishes running requests and exits.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        incarnation: Incarnation,
        failure_domain: FailureDomainId,
        internal_address: str,
        now: float,
        rng: random.Random,
        takeover_delay_s: float = TAKEOVER_DELAY_S,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.slot_table = SlotTable()
        self.health = HealthTracker(rng=rng, now=now)
        self.lender = Lender(
            vm=vm,
            incarnation=incarnation,
            internal_address=internal_address,
            slot_table=self.slot_table,
        )
        self.borrower = Borrower()
        self.domain_members = DomainMembers(
            vm=vm,
            incarnation=incarnation,
            failure_domain=failure_domain,
            now=now,
            takeover_delay_s=takeover_delay_s,
        )
        self.directory = LenderDirectory(vm=vm, domain=failure_domain)
        self.sites: dict[SiteId, LocalSite] = {}
        self.state: NodeState | None = None
        self.config_index: ConfigIndex | None = None
        self.config_version = -1
        self.epoch = 0
        self.last_call_at = now
        self.resume_at: float | None = None

    @property
    def marked_down(self) -> bool:
        """Whether the records show this process as gone, rightly or not.

        They do when its incarnation was marked down or replaced.
        """
        return self.domain_members.own_marked_down

    def update(self, state: NodeState, now: float) -> None:
        """Apply a new snapshot of configuration and members.

        A configuration older than the current one is ignored.
        """
        self._begin_call(now)
        self.resume_at = None
        self.state = state
        self.domain_members.update(state.members, now)
        self.directory.update(state)
        if self.config_index is None or state.config_version > self.config_version:
            self.config_version = state.config_version
            self.config_index = ConfigIndex(state.config, self.failure_domain)
        leaving = state.leaving_servers | self.config_index.drained_servers
        self.health.configure(self.config_index.local_servers, leaving)
        self._configure_sites(now)
        self._advance_sites(now)

    def _configure_sites(self, now: float) -> None:
        current = self.domain_members.current.values()
        owners = eligible_owners(current, self.config_index.drained_vms)
        view_members = tuple(
            sorted(ViewMember(m.vm, m.incarnation, m.vm in owners) for m in current)
        )
        for site_id in self.sites.keys() - self.config_index.local_sites.keys():
            del self.sites[site_id]
            self.slot_table.remove_site(site_id)
        for site_id, site in self.config_index.local_sites.items():
            local = self.sites.get(site_id)
            if local is None:
                local = LocalSite(site_id=site_id, vm=self.vm, slot_table=self.slot_table, now=now)
                self.sites[site_id] = local
            local.configure(site, self.config_index.limits[site_id], view_members, self._next_epoch)
            local.set_member_reports(self.domain_members.encoded_reports(site_id))

    def _next_epoch(self) -> int:
        self.epoch += 1
        return self.epoch

    def _advance_sites(self, now: float) -> None:
        takeover_allowed = now >= self.domain_members.takeover_at and not self.marked_down
        for local in self.sites.values():
            local.advance_handover(takeover_allowed=takeover_allowed)

    def _begin_call(self, now: float) -> None:
        """Detect a pause of the process and end expired grants, before any decision."""
        if now - self.last_call_at > PAUSE_THRESHOLD_S:
            self.resume_at = now + RESUME_WAIT_S
        self.last_call_at = max(now, self.last_call_at)
        self.lender.expire(now)

    def _accepts_requests(self, now: float) -> bool:
        if self.config_index is None or self.marked_down:
            return False
        return self.resume_at is None or now >= self.resume_at

    def _open_local_sites(self, pool: PoolId) -> Iterator[LocalSite]:
        for site_id in self.config_index.open_sites(pool):
            local = self.sites.get(site_id)
            if local is None:
                return  # Sites of the own domain come first, so the rest are remote.
            yield local

    def observe(self, report: ServerReport, now: float) -> None:
        """Apply a measurement of a backend server."""
        self._begin_call(now)
        self.health.observe(report, now)

    def tick(self, now: float) -> None:
        """Advance grants, ramps, backoffs and handovers to ``now``."""
        self._begin_call(now)
        self.borrower.tick(now)
        self._advance_sites(now)
        for local in self.sites.values():
            local.advance_ramp(self.lender, now)

    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Acquire a free own slot of ``pool`` on a server outside ``exclude``."""
        self._begin_call(now)
        if not self._accepts_requests(now):
            return None
        for local in self._open_local_sites(pool):
            reserved = self.lender.reserved_for_others(local.site_id, None, now)
            slot = local.acquire(
                self.health, now, domain=self.failure_domain, reserved=reserved, exclude=exclude
            )
            if slot is not None:
                self.health.request_started(slot.server)
                return slot
        return None

    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Release an own or lent slot and record how the request ended."""
        self._begin_call(now)
        allocation = self.slot_table.allocation_of(slot)
        if allocation is None or not allocation.busy:
            return
        self.slot_table.end_request(allocation)
        self.health.request_ended(slot.server, outcome, now)

    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Decide on a borrow request of another entry."""
        self._begin_call(now)
        local = self.sites.get(request.site)
        if local is None or self.config_index.is_drained(request.site):
            return Refusal(code=ResultCode.NO_SITE, retry_after_s=CLOSED_RETRY_AFTER_S)
        if self.vm in self.config_index.drained_vms or self.marked_down:
            return Refusal(code=ResultCode.DRAINING, retry_after_s=CLOSED_RETRY_AFTER_S)
        remote = request.failure_domain != self.failure_domain
        region = self.config_index.regions.get(request.failure_domain)
        if remote and region is None and local.handover.view.limits.by_region:
            # Link caps apply by region, so they could not be enforced for this borrower.
            return Refusal(code=ResultCode.NO_SITE, retry_after_s=CLOSED_RETRY_AFTER_S)
        if not self._accepts_requests(now) or request.borrower == self.vm:
            return Refusal(code=ResultCode.NOT_READY, retry_after_s=REFUSAL_RETRY_AFTER_S)
        local.advance_ramp(self.lender, now)
        availability = local.availability(self.health, now, remote=remote, region=region)
        return self.lender.grant(request, availability, now)

    def acquire_lent_slot(
        self,
        grant_id: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Acquire a slot for a request that arrived under a grant of this entry."""
        self._begin_call(now)
        issued = self.lender.grants.get(grant_id)
        if incarnation != self.incarnation or issued is None:
            return ResultCode.GRANT_LAPSED
        local = self.sites.get(issued.site)
        if (
            local is None
            or self.config_index.is_drained(issued.site)
            or not self._accepts_requests(now)
        ):
            return ResultCode.GRANT_LAPSED
        slot = local.acquire_lent_slot(self.lender, grant_id, self.health, now, exclude=exclude)
        if slot is None:
            # A borrower that gets SHED keeps the grant, so a grant whose slots
            # were all handed over must be answered with GRANT_LAPSED.
            still_usable = local.has_usable_slot(self.lender, grant_id, self.health)
            return ResultCode.SHED if still_usable else ResultCode.GRANT_LAPSED
        self.health.request_started(slot.server)
        return slot

    def lender_candidates(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return the entries to ask for slots of ``pool``, the best one first.

        VMs of the own domain come first, then those of other domains by delay; at each
        site, suspected VMs come last. Lenders that refused recently are left out.
        """
        self._begin_call(now)
        if self.config_index is None:
            return []
        candidates = []
        for candidate in self.directory.candidates(pool, self.config_index, self._owners_of):
            if not self.borrower.is_backing_off(candidate.vm, candidate.site, now):
                candidates.append(candidate)
                if len(candidates) == LENDER_CANDIDATES_MAX:
                    break
        return candidates

    def _owners_of(self, site: SiteId) -> set[VmId] | None:
        local = self.sites.get(site)
        return set(local.handover.view.owners.values()) if local else None

    def accept_grant(self, grant: Grant, asked_at: float, now: float) -> None:
        """Store a grant that was requested at ``asked_at``."""
        self._begin_call(now)
        site = self.config_index.config.sites.get(grant.site) if self.config_index else None
        if site is not None:
            self.borrower.accept(grant, site.pool, asked_at, now)

    def back_off_lender(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Record that a lender refused or did not respond, and do not ask it for a time."""
        self.borrower.back_off(lender, retry_after_s, now)

    def acquire_borrowed_slot(self, pool: PoolId, now: float) -> BorrowedSlot | None:
        """Acquire a borrowed slot of ``pool`` under an unexpired grant."""
        self._begin_call(now)
        if self.config_index is None or self.marked_down:
            return None
        return self.borrower.acquire(pool, now, self._is_usable)

    def _is_usable(self, grant: Grant) -> bool:
        if (
            self.config_index.is_drained(grant.site)
            or grant.lender in self.config_index.drained_vms
        ):
            return False
        member = self.state.members.get(grant.lender)
        if member is None or member.incarnation != grant.incarnation:
            # The member record may lag behind the grant. If the lender has restarted,
            # it responds with GRANT_LAPSED.
            return True
        return not member.down and member.state is not MemberState.LEFT

    def release_borrowed_slot(self, borrowed: BorrowedSlot, now: float) -> None:
        """Return a borrowed slot to its grant."""
        self.borrower.release(borrowed, now)

    def drop_grant(self, grant_id: GrantId) -> None:
        """Remove a grant that its lender no longer accepts."""
        self.borrower.drop(grant_id)

    def has_site(self, pool: PoolId) -> bool:
        """Whether any site that is not drained serves ``pool``."""
        return self.config_index is not None and bool(self.config_index.open_sites(pool))

    def settled_reports(self) -> dict[SiteId, ViewId]:
        """Return the latest encoded report about each local site.

        It may be about an earlier view: the report is kept after a view change until
        the entry has settled in the new view.
        """
        return {
            name: local.handover.report.encode()
            for name, local in self.sites.items()
            if local.handover.report.view
        }

    def is_idle(self) -> bool:
        """Whether no slot of the entry is in use or under a grant, so that it may exit.

        Borrowed slots do not count.
        """
        return not self.slot_table.allocations

    def load(self) -> float:
        """Return the busy fraction of the usable own slots; 1 without any."""
        usable_count = 0
        busy_count = 0
        for site_id, local in self.sites.items():
            usable_keys = local.handover.usable
            usable_count += len(usable_keys)
            allocations = self.slot_table.allocations.get(site_id, {})
            busy_count += sum(
                1
                for key, allocation in allocations.items()
                if allocation.busy and key in usable_keys
            )
        return busy_count / usable_count if usable_count else 1.0

"""The slots that one entry process may use, lend and borrow."""

import random
from collections.abc import Iterator

from knapweeddock.capacity import Capacity
from knapweeddock.codes import ResultCode
from knapweeddock.fleet import LENDERS_MAX, ConfigIndex, LenderDirectory, may_own
from knapweeddock.grants import (
    BorrowRequest,
    Grant,
    LenderCandidate,
    Loan,
    Refusal,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.handover import TAKEOVER_DELAY_S, DomainMembers
from knapweeddock.health import HealthBook
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
from knapweeddock.ledger import Ledger
from knapweeddock.lending import RETRY_S, Borrower, Lender
from knapweeddock.localsite import LocalSite
from knapweeddock.slots import MemberRef
from knapweeddock.state import MemberState, NodeState

LEASE_S = 3.0
"""Longest time between two calls after which the process counts as paused."""

RESUME_WAIT_S = 2.0
"""Wait for news after a pause before going on with what the entry owned."""

CLOSED_RETRY_S = 5.0
"""When to ask a lender again whose site gets no new work."""


class SlotCapacity(Capacity):
    """Slots that one entry process may use, lend and borrow.

    Attributes:
        marked_down: Whether the own incarnation was marked down or replaced;
            the entry then takes no new work, finishes what runs and exits.
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
        self.ledger = Ledger()
        self.health = HealthBook(rng=rng, now=now)
        self.lender = Lender(
            vm=vm, incarnation=incarnation, internal_address=internal_address, ledger=self.ledger
        )
        self.borrower = Borrower()
        self.members = DomainMembers(
            vm=vm,
            incarnation=incarnation,
            failure_domain=failure_domain,
            now=now,
            takeover_delay_s=takeover_delay_s,
        )
        self.directory = LenderDirectory(vm=vm, domain=failure_domain)
        self.sites: dict[SiteId, LocalSite] = {}
        self.state: NodeState | None = None
        self.index: ConfigIndex | None = None
        self.config_version = -1
        self.epoch = 0
        self.called_at = now
        self.resume_at: float | None = None

    @property
    def marked_down(self) -> bool:
        """Whether there is evidence, true or not, that this process is gone."""
        return self.members.own_down

    def update(self, state: NodeState, now: float) -> None:
        """Take a new snapshot of configuration and members.

        A configuration older than the current one is ignored.
        """
        self._advance(now)
        self.resume_at = None
        self.state = state
        self.members.update(state.members, now)
        self.directory.update(state)
        if self.index is None or state.config_version > self.config_version:
            self.config_version = state.config_version
            self.index = ConfigIndex(state.config, self.failure_domain)
        leaving = state.leaving_servers | self.index.drained_servers
        self.health.configure(self.index.local_servers, leaving)
        self._configure_sites(now)
        self._advance_sites(now)

    def _configure_sites(self, now: float) -> None:
        current = self.members.current.values()
        owners = may_own(current, self.index.drained_vms)
        refs = tuple(sorted(MemberRef(m.vm, m.incarnation, m.vm in owners) for m in current))
        for site_id in self.sites.keys() - self.index.local_sites.keys():
            del self.sites[site_id]
            self.ledger.forget_site(site_id)
        for site_id, site in self.index.local_sites.items():
            local = self.sites.get(site_id)
            if local is None:
                local = LocalSite(site_id=site_id, vm=self.vm, ledger=self.ledger, now=now)
                self.sites[site_id] = local
            local.configure(site, self.index.limits[site_id], refs, self._next_epoch)
            local.hear(self.members.tokens(site_id))

    def _next_epoch(self) -> int:
        self.epoch += 1
        return self.epoch

    def _advance_sites(self, now: float) -> None:
        takeover_allowed = now >= self.members.takeover_at and not self.marked_down
        for local in self.sites.values():
            local.advance(takeover_allowed=takeover_allowed)

    def _advance(self, now: float) -> None:
        """Notice a pause and end grants before any decision at ``now``."""
        if now - self.called_at > LEASE_S:
            self.resume_at = now + RESUME_WAIT_S
        self.called_at = max(now, self.called_at)
        self.lender.expire(now)

    def _may_work(self, now: float) -> bool:
        if self.index is None or self.marked_down:
            return False
        return self.resume_at is None or now >= self.resume_at

    def _open_local_sites(self, pool: PoolId) -> Iterator[LocalSite]:
        for site_id in self.index.open_sites(pool):
            local = self.sites.get(site_id)
            if local is None:
                return
            yield local

    def observe(self, report: ServerReport, now: float) -> None:
        """Take a measurement of a backend server."""
        self._advance(now)
        self.health.observe(report, now)

    def tick(self, now: float) -> None:
        """Let terms, ramps, backoffs and handovers advance to ``now``."""
        self._advance(now)
        self.borrower.tick(now)
        self._advance_sites(now)
        for local in self.sites.values():
            local.follow_ramp(self.lender, now)

    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Take an own free slot of ``pool`` on a server outside ``exclude``."""
        self._advance(now)
        if not self._may_work(now):
            return None
        for local in self._open_local_sites(pool):
            owed = self.lender.owed_to_others(local.site_id, None, now)
            slot = local.acquire(
                self.health, now, domain=self.failure_domain, owed=owed, exclude=exclude
            )
            if slot is not None:
                self.health.started(slot.server)
                return slot
        return None

    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Give an own or granted slot back with the evidence that its use gave."""
        self._advance(now)
        hold = self.ledger.hold_of(slot)
        if hold is None or not hold.busy:
            return
        self.ledger.stop(hold)
        self.health.ended(slot.server, outcome, now)

    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Decide on another entry's request to borrow."""
        self._advance(now)
        local = self.sites.get(request.site)
        if local is None or self.index.is_drained(request.site):
            return Refusal(code=ResultCode.NO_SITE, retry_after_s=CLOSED_RETRY_S)
        if self.vm in self.index.drained_vms or self.marked_down:
            return Refusal(code=ResultCode.DRAINING, retry_after_s=CLOSED_RETRY_S)
        remote = request.failure_domain != self.failure_domain
        region = self.index.regions.get(request.failure_domain)
        if remote and region is None and local.handover.view.limits.regions:
            return Refusal(code=ResultCode.NO_SITE, retry_after_s=CLOSED_RETRY_S)
        if not self._may_work(now) or request.borrower == self.vm:
            return Refusal(code=ResultCode.NOT_READY, retry_after_s=RETRY_S)
        local.follow_ramp(self.lender, now)
        offer = local.offer(self.health, now, remote=remote, region=region)
        return self.lender.grant(request, offer, now)

    def acquire_granted(
        self,
        grant: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Take a slot for a request that came in under a grant of this entry."""
        self._advance(now)
        lent = self.lender.grants.get(grant)
        if incarnation != self.incarnation or lent is None:
            return ResultCode.GRANT_LAPSED
        local = self.sites.get(lent.site)
        if local is None or self.index.is_drained(lent.site) or not self._may_work(now):
            return ResultCode.GRANT_LAPSED
        slot = local.acquire_granted(self.lender, grant, self.health, now, exclude=exclude)
        if slot is None:
            # The borrower keeps a grant that is answered with SHED, so a grant
            # whose slots were handed over must end here.
            honoured = local.honours(self.lender, grant, self.health)
            return ResultCode.SHED if honoured else ResultCode.GRANT_LAPSED
        self.health.started(slot.server)
        return slot

    def lenders(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return the entries to ask for slots of ``pool``, the best one first.

        VMs of the own domain come first, then domains by delay; lenders that
        refused recently are left out.
        """
        self._advance(now)
        if self.index is None:
            return []
        found = []
        for candidate in self.directory.candidates(pool, self.index, self._owners_of):
            if not self.borrower.is_refusing(candidate.vm, candidate.site, now):
                found.append(candidate)
                if len(found) == LENDERS_MAX:
                    break
        return found

    def _owners_of(self, site: SiteId) -> set[VmId] | None:
        local = self.sites.get(site)
        return set(local.handover.view.owners.values()) if local else None

    def borrowed(self, grant: Grant, asked_at: float, now: float) -> None:
        """Take in a grant that was asked for at ``asked_at``."""
        self._advance(now)
        site = self.index.config.sites.get(grant.site) if self.index else None
        if site is not None:
            self.borrower.take(grant, site.pool, asked_at, now)

    def lender_refused(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Note that a lender refused or did not answer; leave it alone for a time."""
        self.borrower.refused(lender, retry_after_s, now)

    def acquire_loan(self, pool: PoolId, now: float) -> Loan | None:
        """Take a borrowed slot of ``pool`` whose term has not ended."""
        self._advance(now)
        if self.index is None or self.marked_down:
            return None
        return self.borrower.acquire(pool, now, self._lender_works)

    def _lender_works(self, grant: Grant) -> bool:
        if self.index.is_drained(grant.site) or grant.lender in self.index.drained_vms:
            return False
        member = self.state.members.get(grant.lender)
        if member is None or member.incarnation != grant.incarnation:
            return True
        return not member.down and member.state is not MemberState.LEFT

    def release_loan(self, loan: Loan, now: float) -> None:
        """Give a borrowed slot back to its grant."""
        self.borrower.release(loan, now)

    def drop_grant(self, grant: GrantId) -> None:
        """Stop using a grant that its lender no longer honours."""
        self.borrower.drop(grant)

    def has_site(self, pool: PoolId) -> bool:
        """Whether any site that is not drained serves ``pool``."""
        return self.index is not None and bool(self.index.open_sites(pool))

    def settled_views(self) -> dict[SiteId, ViewId]:
        """Return the report of each local site that this entry has settled in."""
        return {
            name: local.handover.report.encode()
            for name, local in self.sites.items()
            if local.handover.report.view
        }

    def is_idle(self) -> bool:
        """Whether no slot is in use or under a grant, so that the entry may stop."""
        return not self.ledger.holds

    def load(self) -> float:
        """Return the busy fraction of the own usable slots; 1 without any."""
        usable = 0
        busy = 0
        for site_id, local in self.sites.items():
            rights = local.handover.usable
            usable += len(rights)
            holds = self.ledger.holds.get(site_id, {})
            busy += sum(1 for key, hold in holds.items() if hold.busy and key in rights)
        return busy / usable if usable else 1.0

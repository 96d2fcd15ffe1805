"""One site of the own failure domain, as one entry uses and lends it."""

from collections.abc import Callable, Mapping

from knapweeddock.choice import choose, split_by_health
from knapweeddock.grants import Slot
from knapweeddock.handover import SettledReport, SiteHandover, decode_report
from knapweeddock.health import HealthBook
from knapweeddock.ids import FailureDomainId, GrantId, RegionId, ServerId, SiteId, ViewId, VmId
from knapweeddock.ledger import Hold, Ledger
from knapweeddock.lending import Lender, Offer, PeakMeter
from knapweeddock.model import Site
from knapweeddock.ramp import Ramp
from knapweeddock.slots import (
    MemberRef,
    RankLimits,
    SlotKey,
    key_of,
    make_view,
    ranked_slots,
    share_bands,
)

WAITING_TERM_S = 0.25
"""Time after a failed acquire during which own work counts as waiting."""


class LocalSite:
    """Rights, use and offers of one entry at one site.

    Attributes:
        handover: Which slots the entry may use now.
        ramp: Limit on remote work.
        waiting_at: Last time that own work found no slot.
    """

    def __init__(self, *, site_id: SiteId, vm: VmId, ledger: Ledger, now: float) -> None:
        self.site_id = site_id
        self.vm = vm
        self.ledger = ledger
        self.handover = SiteHandover(vm=vm)
        self.ramp = Ramp(base=0, start=0.0, growth_per_s=0.0, now=now)
        self.demand = PeakMeter(now=now)
        self.waiting_at = float("-inf")
        self.site: Site | None = None
        self.basis: tuple | None = None
        self.tokens: Mapping[VmId, ViewId | None] = {}
        self.reports: Mapping[VmId, SettledReport] = {}
        self.stale = True
        self.guaranteed: dict[FailureDomainId, int] = {}

    def configure(
        self,
        site: Site,
        limits: RankLimits,
        refs: tuple[MemberRef, ...],
        next_epoch: Callable[[], int],
    ) -> None:
        """Take the configuration and members; change the view when they differ."""
        if self.basis is not None and self.basis == (site, limits, refs):
            return
        self.basis = (site, limits, refs)
        self.site = site
        view = make_view(ranked_slots(self.site_id, site), refs, limits)
        old = self.handover.view
        if old is None or old.id != view.id:
            self.handover.enter(view, next_epoch())
        self._apply_rights()

    def hear(self, tokens: Mapping[VmId, ViewId | None]) -> None:
        """Take the reports of the domain's members; the own one must cover them."""
        if tokens != self.tokens:
            self.tokens = tokens
            self.reports = {vm: decode_report(token) for vm, token in tokens.items()}
            self.stale = True

    def advance(self, *, takeover_allowed: bool) -> None:
        """Report having settled and take new slots, as far as that is possible.

        Args:
            takeover_allowed: Whether the wait after the last evidence is over.
        """
        if self.stale or not self.handover.reported:
            uses = self.ledger.uses(self.site_id, self.site.servers)
            self.handover.settle(uses, self.reports)
            self.stale = False
        if self.handover.advance(self.reports, takeover_allowed):
            self._apply_rights()

    def _apply_rights(self) -> None:
        view = self.handover.view
        usable = {key: view.slots[key] for key in self.handover.usable}
        self.ledger.set_usable(self.site_id, usable)
        ranks = [slot.rank for slot in usable.values()]
        self.guaranteed = {
            domain: sum(1 for rank in ranks if rank in band)
            for domain, band in share_bands(self.site.shares).items()
        }
        self.ramp.configure(
            base=len(usable),
            start=self.site.shift_start,
            growth_per_s=self.site.shift_growth_per_s,
        )

    def acquire(
        self,
        health: HealthBook,
        now: float,
        *,
        domain: FailureDomainId,
        owed: int,
        exclude: frozenset[ServerId],
    ) -> Slot | None:
        """Take a free slot for own work, unless ``owed`` slots need all of them."""
        slot = None
        if not owed or self.ledger.free_count(self.site_id) > owed:
            free = self.ledger.free[self.site_id]
            slot = choose(free, health.records, self.ledger.in_flight, now, exclude=exclude)
        if slot is None:
            self.waiting_at = now
            return None
        self.ledger.take(Hold(slot=slot, domain=domain))
        self.demand.note(self.ledger.own_use[self.site_id], now)
        return slot

    def follow_ramp(self, lender: Lender, now: float) -> None:
        """Let the ramp follow the remote use so far; call before that changes."""
        self.ramp.advance(lender.remote_beyond_shares(self.site_id, self.guaranteed), now)

    def offer(
        self, health: HealthBook, now: float, *, remote: bool, region: RegionId | None
    ) -> Offer:
        """Return what may be lent to a borrower of ``region``."""
        lendable = self.handover.lendable.of(region) if remote else None
        total = 0
        free = []
        fit, _ = split_by_health(self.ledger.free[self.site_id], health.records, now)
        for _, slots, _, opened in fit:
            for slot in slots:
                if slot.index >= opened:
                    continue
                total += 1
                if lendable is None or key_of(slot) in lendable:
                    free.append(slot)
        free.sort(key=lambda slot: slot.rank)
        own_use = self.ledger.own_use.get(self.site_id, 0)
        return Offer(
            free=free,
            free_total=total,
            guaranteed=self.guaranteed,
            local_need=self.demand.peak(own_use, now) - own_use,
            waiting=now - self.waiting_at < WAITING_TERM_S,
            remote=remote,
            region=region,
            ramp=self.ramp,
        )

    def acquire_granted(
        self,
        lender: Lender,
        grant: GrantId,
        health: HealthBook,
        now: float,
        *,
        exclude: frozenset[ServerId],
    ) -> Slot | None:
        """Take a slot of ``grant``, or a free one in the place of its last resort.

        A slot whose server is excluded, leaving or set aside is exchanged for
        a free slot that may be lent to the same borrower.
        """
        idle = lender.idle_holds(grant)
        if not idle:
            return None
        allowed = self._allowed(idle[0])
        reserved: dict[ServerId, list[Slot]] = {}
        for hold in idle:
            if key_of(hold.slot) in allowed:
                reserved.setdefault(hold.slot.server, []).append(hold.slot)
        state = (health.records, self.ledger.in_flight, now)
        slot = choose(reserved, *state, exclude=exclude, lowest=True)
        if slot is None or health.records[slot.server].is_set_aside(now):
            free = self.ledger.free[self.site_id]
            other = choose(free, *state, exclude=exclude, within=allowed, lowest=True)
            if other is not None:
                hold = lender.swap(grant, idle[0], other)
                self.ledger.start(hold)
                return other
        if slot is None:
            return None
        self.ledger.start(self.ledger.hold_of(slot))
        return slot

    def honours(self, lender: Lender, grant: GrantId, health: HealthBook) -> bool:
        """Whether a slot of ``grant`` on a server that stays may still be used."""
        for key in lender.grants[grant].keys:
            hold = self.ledger.holds.get(self.site_id, {}).get(key)
            record = health.records.get(hold.slot.server) if hold else None
            if record and not record.leaving and key in self._allowed(hold):
                return True
        return False

    def _allowed(self, hold: Hold) -> set[SlotKey]:
        if not hold.remote:
            return self.handover.usable
        return self.handover.lendable.of(hold.region)

"""Handover of a site's slots between the entries of its failure domain.

Each view assigns the slots of a site to members of the failure domain. A member
has settled in a view when it uses no slot in a way that the view does not allow.
A view that gives a slot to another VM takes effect in two steps: the old owner
stops using the slot for new requests at once, and the new owner starts when every
other member has reported that it has settled in the same view.

Views can recur (a server is removed and added again, a member joins and goes
down), so a report of a view does not prove that its sender has settled in the
current occurrence of that view. Each entry therefore numbers its own view changes
(epochs), and its report carries a hash of the epochs of all members as it knows
them. An entry accepts a report only if this hash equals its own, which includes
its own current epoch. A report from before that epoch cannot match.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from knapweeddock.clock import MAX_CLOCK_DRIFT_FRACTION
from knapweeddock.ids import FailureDomainId, Incarnation, RegionId, SiteId, ViewId, VmId
from knapweeddock.rendezvous import hash_parts_hex
from knapweeddock.slots import SiteView, SlotKey
from knapweeddock.state import Member, MemberState

TAKEOVER_DELAY_S = 2.0
"""Wait after evidence that an entry is gone, so that servers have noticed it too."""

ABSENCE_TIMEOUT_S = 600.0
"""Time without a record after which a member counts as gone.

It equals the time after which agents drop the records of gone members (section 8.3
of ``docs/design.md``).
"""

GONE_INCARNATIONS_MAX = 10_000
"""Largest number of gone incarnations that are remembered."""

REPORT_SEPARATOR = ":"
"""Separates the fields of an encoded report."""


class SlotUse(NamedTuple):
    """A slot in use or under a grant.

    Attributes:
        key: The slot.
        remote: Whether another failure domain uses it.
        region: Region of that domain.
    """

    key: SlotKey
    remote: bool
    region: RegionId | None


class SettledReport(NamedTuple):
    """A member's report that it has settled in a view of one site.

    Attributes:
        view: Id of the view.
        epoch: Number of the member's change to this view.
        epochs_hash: Hash of the epochs of all members as the member knew them.
    """

    view: str
    epoch: str
    epochs_hash: str

    def encode(self) -> ViewId:
        """Return the report in the form in which it is published."""
        return ViewId(REPORT_SEPARATOR.join(self))


NO_REPORT = SettledReport("", "0", "")


def decode_report(encoded: ViewId | None) -> SettledReport:
    """Decode the report in ``token``; a missing or malformed one gives ``NO_REPORT``."""
    parts = (encoded or "").split(REPORT_SEPARATOR)
    return SettledReport(*parts) if len(parts) == 3 else NO_REPORT


class LendableSlots:
    """Slots that may be lent to other failure domains, by the borrower's region.

    Attributes:
        default: Slots for regions without a limit of their own.
        by_region: Slots for the regions with a limit of their own.
    """

    def __init__(self, default: set[SlotKey], by_region: Mapping[RegionId, set[SlotKey]]) -> None:
        self.default = default
        self.by_region = by_region

    @classmethod
    def from_view(cls, view: SiteView, owned: set[SlotKey]) -> "LendableSlots":
        """Return which of the ``owned`` slots may be lent in ``view``."""

        def below(limit: int) -> set[SlotKey]:
            return {key for key in owned if view.slots[key].rank < limit}

        limits = view.limits
        by_region = {region: below(limits.for_region(region)) for region in limits.by_region}
        return cls(below(limits.shift_cap), by_region)

    def for_region(self, region: RegionId | None) -> set[SlotKey]:
        """Return the slots that may be lent to borrowers of ``region``."""
        return self.by_region.get(region, self.default)

    def intersection(self, other: "LendableSlots") -> "LendableSlots":
        """Return the slots that may be lent according to both."""
        regions = self.by_region.keys() | other.by_region.keys()
        return LendableSlots(
            self.default & other.default,
            {region: self.for_region(region) & other.for_region(region) for region in regions},
        )


class SiteHandover:
    """Which slots of one site an entry may use and lend, while views change.

    Attributes:
        vm: VM of the entry.
        view: Current view.
        epoch: Number of the entry's change to the current view.
        owned: Slots that the current view gives to the entry.
        usable: Owned slots that the entry may use now.
        lendable: Slots that may be lent to other failure domains now.
        view_lendable: Slots that may be lent once the takeover is complete.
        takeover_complete: Whether the entry may use all its owned slots.
        report: Report that the entry publishes for the other members.
    """

    def __init__(self, *, vm: VmId) -> None:
        self.vm = vm
        self.view: SiteView | None = None
        self.epoch = 0
        self.owned: set[SlotKey] = set()
        self.usable: set[SlotKey] = set()
        self.lendable = LendableSlots(set(), {})
        self.view_lendable = LendableSlots(set(), {})
        self.takeover_complete = False
        self.report = NO_REPORT

    def change_view(self, view: SiteView, epoch: int) -> None:
        """Change to ``view``.

        Slots that it does not allow are at once neither used for new requests nor lent.

        Args:
            view: The new view.
            epoch: Number of this change. It is higher than that of any earlier
                change of the entry at any site, so that a site that is removed
                and added again does not reuse numbers.
        """
        self.view = view
        self.epoch = epoch
        self.takeover_complete = False
        self.owned = view.owned_by(self.vm)
        self.view_lendable = LendableSlots.from_view(view, self.owned)
        self.usable &= self.owned
        self.lendable = self.lendable.intersection(self.view_lendable)

    def is_settled(self, uses: Iterable[SlotUse]) -> bool:
        """Whether the current view allows all ``uses``."""
        for use in uses:
            if use.key not in self.owned:
                return False
            if use.remote and use.key not in self.view_lendable.for_region(use.region):
                return False
        return True

    def refresh_own_report(
        self, uses: Iterable[SlotUse], peers: Mapping[VmId, SettledReport]
    ) -> None:
        """Update the own report if the entry has settled in the current view.

        Args:
            uses: Uses of slots of the site, or of its servers under any site.
            peers: Reports of the members about this site; the own one is ignored.
        """
        if self.view is None or not self.is_settled(uses):
            return
        self.report = SettledReport(self.view.id, str(self.epoch), self.epochs_hash(peers))

    @property
    def is_reported(self) -> bool:
        """Whether the own report is about the current view change."""
        return self.view is not None and self.report[:2] == (self.view.id, str(self.epoch))

    def epochs_hash(self, peers: Mapping[VmId, SettledReport]) -> str:
        """Return the hash of the epochs of all members, as this entry knows them."""
        parts = []
        for member in self.view.members:
            epoch = (
                str(self.epoch) if member.vm == self.vm else peers.get(member.vm, NO_REPORT).epoch
            )
            parts += [member.vm, member.incarnation, epoch]
        return hash_parts_hex(parts)

    def take_over(self, peers: Mapping[VmId, SettledReport], takeover_allowed: bool) -> bool:
        """Start using all owned slots if every other member has settled.

        Args:
            peers: Reports of the members about this site; the own one is ignored.
            takeover_allowed: Whether the takeover delay after the last evidence
                that a member is gone has passed.

        Returns:
            Whether the takeover was completed by this call.
        """
        if self.view is None or self.takeover_complete or not takeover_allowed:
            return False
        if not self.is_reported:
            return False
        expected_hash = self.epochs_hash(peers)
        for member in self.view.members:
            if member.vm == self.vm:
                continue
            report = peers.get(member.vm, NO_REPORT)
            if report.view != self.view.id or report.epochs_hash != expected_hash:
                return False
        self.takeover_complete = True
        self.usable = set(self.owned)
        self.lendable = self.view_lendable
        return True


class DomainMembers:
    """The members of the own failure domain, without those known to be gone.

    A member is gone when its incarnation is marked down or has left, or when it has
    had no record for ``ABSENCE_TIMEOUT_S``.

    Attributes:
        vm: The own VM.
        incarnation: Incarnation of the own entry process.
        failure_domain: The own failure domain.
        takeover_delay_s: Takeover delay, lengthened by the clock drift bound.
        current: Members that are not known to be gone, by VM.
        own_marked_down: Whether the own incarnation was marked down or replaced.
        takeover_at: Monotonic time from which slots may be taken over, at any site.
        absent_since: Since when current members have had no record while a live peer
            had one, by VM.
        gone: Incarnations known to be gone, the oldest first.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        incarnation: Incarnation,
        failure_domain: FailureDomainId,
        now: float,
        takeover_delay_s: float = TAKEOVER_DELAY_S,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.takeover_delay_s = takeover_delay_s * (1 + MAX_CLOCK_DRIFT_FRACTION)
        self.current: dict[VmId, Member] = {}
        self.own_marked_down = False
        # An earlier incarnation of this VM, or members that were replaced
        # before this process started, may have ended only a moment ago.
        self.takeover_at = now + self.takeover_delay_s
        self.absent_since: dict[VmId, float] = {}
        self.gone: dict[tuple[VmId, Incarnation], None] = {}

    def update(self, members: Mapping[VmId, Member], now: float) -> None:
        """Update the members from the records of all entries."""
        domain = self.failure_domain
        listed = {vm: m for vm, m in members.items() if m.failure_domain == domain}
        for vm, member in listed.items():
            if vm == self.vm:
                self._update_own(member)
            else:
                self._update_peer(vm, member, now)
        self._drop_absent(listed, now)

    def _update_own(self, member: Member) -> None:
        if member.incarnation == self.incarnation:
            self.own_marked_down = self.own_marked_down or member.down
            self.current[self.vm] = member
        elif self.vm in self.current:
            self.own_marked_down = True

    def _update_peer(self, vm: VmId, member: Member, now: float) -> None:
        known = self.current.get(vm)
        self.absent_since.pop(vm, None)
        if (vm, member.incarnation) in self.gone:
            return
        gone = member.down or member.state is MemberState.LEFT
        if known is not None and known.incarnation != member.incarnation:
            if gone:
                # A restarted agent may report the end of an older incarnation
                # that this entry never saw; the known one may still be running.
                return
            self._postpone_takeover(now)
        if not gone:
            self.current[vm] = member
            return
        self._mark_gone(vm, member.incarnation)
        if member.down:
            self._postpone_takeover(now)

    def _postpone_takeover(self, now: float) -> None:
        self.takeover_at = max(self.takeover_at, now + self.takeover_delay_s)

    def _mark_gone(self, vm: VmId, incarnation: Incarnation) -> None:
        """Remove an incarnation and remember it, so that an older record cannot restore it."""
        self.current.pop(vm, None)
        self.gone[vm, incarnation] = None
        if len(self.gone) > GONE_INCARNATIONS_MAX:
            del self.gone[next(iter(self.gone))]

    def _drop_absent(self, listed: Mapping[VmId, Member], now: float) -> None:
        """Drop members whose records have been absent for ``ABSENCE_TIMEOUT_S``.

        A missing record alone is not evidence that a member is gone, because the
        agent may have restarted. It is evidence if it lasts as long as agents keep
        the records of gone members, while the record of a live peer is present. A peer
        is live if it is neither suspected nor marked down.
        """
        has_live_peer = any(
            vm != self.vm and not member.suspected and not member.down
            for vm, member in listed.items()
        )
        for vm in [vm for vm in self.current if vm not in listed and vm != self.vm]:
            since = self.absent_since.setdefault(vm, now)
            if not has_live_peer:
                self.absent_since[vm] = now
            elif now - since >= ABSENCE_TIMEOUT_S:
                self.absent_since.pop(vm)
                self._mark_gone(vm, self.current[vm].incarnation)
                self._postpone_takeover(now)

    def encoded_reports(self, site: SiteId) -> dict[VmId, ViewId | None]:
        """Return the encoded reports of the members about ``site``."""
        return {vm: member.settled_views.get(site) for vm, member in self.current.items()}

"""Which slots of a site this entry may use now.

A view that gives a slot to another VM takes effect in two halves: the old
owner stops at once, the new owner starts when every other member has settled
in the same view. Views can recur (a server is removed and added again, a
member joins and goes down), so an old report of a recurring view proves
nothing. Each entry therefore numbers its own view changes (epochs), and a
report of having settled covers the epochs of all members as the reporter knew
them. A report is accepted only when it covers the current epoch of the entry
that reads it, which a report from before that epoch cannot do.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from knapweeddock.clock import CLOCK_DRIFT
from knapweeddock.ids import FailureDomainId, Incarnation, RegionId, SiteId, ViewId, VmId
from knapweeddock.rendezvous import hex_of
from knapweeddock.slots import SiteView, SlotKey
from knapweeddock.state import Member, MemberState

TAKEOVER_DELAY_S = 2.0
"""Wait after evidence that an entry is gone, until servers noticed it too."""

ABSENCE_TERM_S = 600.0
"""Agents drop the records of gone members after this time (section 8.3)."""

GONE_MAX = 10_000
"""Gone incarnations that are remembered."""

TOKEN_SEPARATOR = ":"


class Use(NamedTuple):
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
    """The decoded report of a member about one site.

    Attributes:
        view: View that the member has settled in.
        epoch: Number of the member's view change.
        covers: Hash of the epochs of all members as the member knew them.
    """

    view: str
    epoch: str
    covers: str

    def encode(self) -> ViewId:
        """Return the report as it is published."""
        return ViewId(TOKEN_SEPARATOR.join(self))


NO_REPORT = SettledReport("", "0", "")


def decode_report(token: ViewId | None) -> SettledReport:
    """Return the report in ``token``; a malformed one counts as none."""
    parts = (token or "").split(TOKEN_SEPARATOR)
    return SettledReport(*parts) if len(parts) == 3 else NO_REPORT


class LendRights:
    """Slots that may be lent to other domains, per origin region.

    Attributes:
        default: Slots for regions without a limit of their own.
        regions: Slots for the other regions.
    """

    def __init__(self, default: set[SlotKey], regions: Mapping[RegionId, set[SlotKey]]) -> None:
        self.default = default
        self.regions = regions

    @classmethod
    def of_view(cls, view: SiteView, owned: set[SlotKey]) -> "LendRights":
        """Return the rights that ``view`` gives over ``owned`` slots."""

        def below(limit: int) -> set[SlotKey]:
            return {key for key in owned if view.slots[key].rank < limit}

        limits = view.limits
        regions = {region: below(limits.of(region)) for region in limits.regions}
        return cls(below(limits.shift_cap), regions)

    def of(self, region: RegionId | None) -> set[SlotKey]:
        """Return the slots that may be lent to ``region``."""
        return self.regions.get(region, self.default)

    def restricted_to(self, other: "LendRights") -> "LendRights":
        """Return the rights that both give."""
        regions = self.regions.keys() | other.regions.keys()
        return LendRights(
            self.default & other.default,
            {region: self.of(region) & other.of(region) for region in regions},
        )


class SiteHandover:
    """The rights of one entry over the slots of one site.

    Attributes:
        vm: VM of the entry.
        view: Current view.
        epoch: Number of the entry's view change.
        usable: Slots that may be used now.
        lendable: Slots that may be lent to other domains now.
        complete: Whether the entry may use all that the view gives it.
        report: What the entry publishes for the other members.
    """

    def __init__(self, *, vm: VmId) -> None:
        self.vm = vm
        self.view: SiteView | None = None
        self.epoch = 0
        self.owned: set[SlotKey] = set()
        self.usable: set[SlotKey] = set()
        self.lendable = LendRights(set(), {})
        self.full_rights = LendRights(set(), {})
        self.complete = False
        self.report = NO_REPORT

    def enter(self, view: SiteView, epoch: int) -> None:
        """Change to ``view``; rights that it does not give end at once.

        Args:
            view: The new view.
            epoch: Number of this change, higher than that of any earlier one
                of the entry at any site, so that a site that was removed and
                added again does not reuse numbers.
        """
        self.view = view
        self.epoch = epoch
        self.complete = False
        self.owned = view.owned_by(self.vm)
        self.full_rights = LendRights.of_view(view, self.owned)
        self.usable &= self.owned
        self.lendable = self.lendable.restricted_to(self.full_rights)

    def is_settled(self, uses: Iterable[Use]) -> bool:
        """Whether the view allows all ``uses`` of the site."""
        for use in uses:
            if use.key not in self.owned:
                return False
            if use.remote and use.key not in self.full_rights.of(use.region):
                return False
        return True

    def settle(self, uses: Iterable[Use], peers: Mapping[VmId, SettledReport]) -> None:
        """Renew the report when the entry is settled in the current view."""
        if self.view is None or not self.is_settled(uses):
            return
        self.report = SettledReport(self.view.id, str(self.epoch), self.covers(peers))

    @property
    def reported(self) -> bool:
        """Whether the report is about the current view change."""
        return self.view is not None and self.report[:2] == (self.view.id, str(self.epoch))

    def covers(self, peers: Mapping[VmId, SettledReport]) -> str:
        """Return the hash of all members' epochs, as this entry knows them."""
        parts = []
        for ref in self.view.members:
            epoch = str(self.epoch) if ref.vm == self.vm else peers.get(ref.vm, NO_REPORT).epoch
            parts += [ref.vm, ref.incarnation, epoch]
        return hex_of(parts)

    def advance(self, peers: Mapping[VmId, SettledReport], takeover_allowed: bool) -> bool:
        """Take the slots that the view gives when every other member has settled.

        Args:
            peers: Reports of the other members about this site.
            takeover_allowed: Whether the wait after the last evidence that a
                member is gone has passed.

        Returns:
            Whether the rights grew.
        """
        if self.view is None or self.complete or not takeover_allowed:
            return False
        if not self.reported:
            return False
        covers = self.covers(peers)
        for ref in self.view.members:
            if ref.vm == self.vm:
                continue
            report = peers.get(ref.vm, NO_REPORT)
            if report.view != self.view.id or report.covers != covers:
                return False
        self.complete = True
        self.usable = set(self.owned)
        self.lendable = self.full_rights
        return True


class DomainMembers:
    """The members of the own failure domain, and since when members are gone.

    Attributes:
        current: Members that are not known to be gone, by VM.
        takeover_at: When slots of gone members may be taken over.
        own_down: Whether the own incarnation was marked down or replaced.
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
        self.delay = takeover_delay_s * (1 + CLOCK_DRIFT)
        self.current: dict[VmId, Member] = {}
        self.own_down = False
        # An earlier incarnation of this VM, or members that were replaced
        # before this process started, may have ended only just now.
        self.takeover_at = now + self.delay
        self.absent_since: dict[VmId, float] = {}
        self.gone: dict[tuple[VmId, Incarnation], None] = {}

    def update(self, members: Mapping[VmId, Member], now: float) -> None:
        """Take in the records of all entries."""
        domain = self.failure_domain
        listed = {vm: m for vm, m in members.items() if m.failure_domain == domain}
        for vm, member in listed.items():
            if vm == self.vm:
                self._take_own(member)
            else:
                self._take(vm, member, now)
        self._drop_absent(listed, now)

    def _take_own(self, member: Member) -> None:
        if member.incarnation == self.incarnation:
            self.own_down = self.own_down or member.down
            self.current[self.vm] = member
        elif self.vm in self.current:
            self.own_down = True

    def _take(self, vm: VmId, member: Member, now: float) -> None:
        known = self.current.get(vm)
        self.absent_since.pop(vm, None)
        if (vm, member.incarnation) in self.gone:
            return
        gone = member.down or member.state is MemberState.LEFT
        if known is not None and known.incarnation != member.incarnation:
            if gone:
                # A restarted agent may show the end of an older incarnation
                # that this entry never saw; the known one may well run.
                return
            self._wait_for_takeover(now)
        if not gone:
            self.current[vm] = member
            return
        self._note_gone(vm, member.incarnation)
        if member.down:
            self._wait_for_takeover(now)

    def _wait_for_takeover(self, now: float) -> None:
        self.takeover_at = max(self.takeover_at, now + self.delay)

    def _note_gone(self, vm: VmId, incarnation: Incarnation) -> None:
        """Remove an incarnation for good; an older record cannot bring it back."""
        self.current.pop(vm, None)
        self.gone[vm, incarnation] = None
        if len(self.gone) > GONE_MAX:
            del self.gone[next(iter(self.gone))]

    def _drop_absent(self, listed: Mapping[VmId, Member], now: float) -> None:
        """Drop members whose records have been absent for long.

        A missing record alone is not evidence: the agent may have restarted.
        After the time at which agents drop the records of gone members, and
        with a peer that is heard of, it is.
        """
        in_contact = any(
            vm != self.vm and not member.suspected and not member.down
            for vm, member in listed.items()
        )
        for vm in [vm for vm in self.current if vm not in listed and vm != self.vm]:
            since = self.absent_since.setdefault(vm, now)
            if not in_contact:
                self.absent_since[vm] = now
            elif now - since >= ABSENCE_TERM_S:
                self.absent_since.pop(vm)
                self._note_gone(vm, self.current[vm].incarnation)
                self._wait_for_takeover(now)

    def tokens(self, site: SiteId) -> dict[VmId, ViewId | None]:
        """Return what the members report about ``site``."""
        return {vm: member.settled_views.get(site) for vm, member in self.current.items()}

"""Slots lent to and borrowed from other entries, for short terms.

The borrower counts a term from before it asked and shortens it by the clock
drift bound; the lender counts from its grant and lengthens it. Clocks whose
rates differ by up to the bound then agree that the borrower stops first.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from knapweeddock.clock import CLOCK_DRIFT
from knapweeddock.codes import ResultCode
from knapweeddock.grants import BorrowRequest, Grant, LenderCandidate, Loan, Refusal, Slot
from knapweeddock.ids import FailureDomainId, GrantId, Incarnation, PoolId, RegionId, SiteId, VmId
from knapweeddock.ledger import Hold, Ledger
from knapweeddock.ramp import Ramp
from knapweeddock.slots import SlotKey, key_of

TERM_S = 2.0
RETRY_S = 0.2
"""When to ask a lender again that has nothing to lend now."""

REFUSED_MAX_S = 1.0
"""Longest pause before a refusing lender is asked again, half a term.

Every refusal in a row doubles the pause. With the shortest pause throughout,
calls to lenders took 40 to 50 % of the entries' CPU time above full load.
"""

OWED_TERMS = 2
"""Terms for which slots are kept for a guaranteed share that was not met."""

DEMAND_BUCKET_S = 1.0
GRANTS_MAX = 10_000
"""Borrowed grants that an entry keeps."""


class PeakMeter:
    """Largest value of the last two to three seconds."""

    def __init__(self, *, now: float) -> None:
        self.peaks = [0, 0, 0]
        self.bucket = int(now / DEMAND_BUCKET_S)

    def note(self, value: int, now: float) -> None:
        """Take a value that holds from ``now`` on."""
        self._turn(value, now)
        self.peaks[0] = max(self.peaks[0], value)

    def peak(self, current: int, now: float) -> int:
        """Return the peak, given the value that has held since the last note."""
        self._turn(current, now)
        return max(self.peaks)

    def _turn(self, value: int, now: float) -> None:
        bucket = int(now / DEMAND_BUCKET_S)
        passed = bucket - self.bucket
        if passed > 0:
            kept = self.peaks[: max(0, len(self.peaks) - passed)]
            self.peaks = [value] * (len(self.peaks) - len(kept)) + kept
            self.bucket = bucket


@dataclass(kw_only=True)
class Offer:
    """What a lender has for one request.

    Attributes:
        free: Free slots that may be lent to the borrower, lowest rank first.
        free_total: All free slots of the site.
        guaranteed: Own slots in the band of each domain with a share.
        local_need: Free slots that recent own demand needs.
        waiting: Whether own work waits for slots.
        remote: Whether the borrower is in another failure domain.
        region: Region of the borrower.
        ramp: Limit on remote work beyond guaranteed shares.
    """

    free: Sequence[Slot]
    free_total: int
    guaranteed: Mapping[FailureDomainId, int]
    local_need: int
    waiting: bool
    remote: bool
    region: RegionId | None
    ramp: Ramp


@dataclass(kw_only=True)
class LentGrant:
    """A grant as its lender keeps it."""

    site: SiteId
    keys: list[SlotKey]
    expires_at: float


class Lender:
    """Grants of one entry; the only writer of its grants.

    Attributes:
        grants: Grants whose term has not ended here.
    """

    def __init__(
        self, *, vm: VmId, incarnation: Incarnation, internal_address: str, ledger: Ledger
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.internal_address = internal_address
        self.ledger = ledger
        self.grants: dict[GrantId, LentGrant] = {}
        self.owed: dict[tuple[SiteId, FailureDomainId], tuple[int, float]] = {}
        self.next_number = 1

    def grant(self, request: BorrowRequest, offer: Offer, now: float) -> Grant | Refusal:
        """Lend free slots, or say why not."""
        wanted = max(0, request.wanted)
        used = self.used_by_domain(request.site)
        assured = 0
        if offer.remote:
            assured = self._assured(request, offer, wanted, used, now)
        extra = min(wanted - assured, self._extra(request, offer, assured, used, now))
        count = assured + max(0, extra)
        if count == 0:
            return Refusal(code=ResultCode.SHED, retry_after_s=RETRY_S)
        return self._record(request, offer, count, now)

    def used_by_domain(self, site: SiteId) -> dict[FailureDomainId, int]:
        """Return the slots of ``site`` in use or lent, by domain."""
        used: dict[FailureDomainId, int] = {}
        for hold in self.ledger.holds.get(site, {}).values():
            used[hold.domain] = used.get(hold.domain, 0) + 1
        return used

    def remote_beyond_shares(self, site: SiteId, guaranteed: Mapping[FailureDomainId, int]) -> int:
        """Return the slots that other domains use beyond their guaranteed counts."""
        remote: dict[FailureDomainId, int] = {}
        for hold in self.ledger.holds.get(site, {}).values():
            if hold.remote:
                remote[hold.domain] = remote.get(hold.domain, 0) + 1
        return sum(max(0, count - guaranteed.get(name, 0)) for name, count in remote.items())

    def _assured(
        self,
        request: BorrowRequest,
        offer: Offer,
        wanted: int,
        used: Mapping[FailureDomainId, int],
        now: float,
    ) -> int:
        """Return how much of the request the guaranteed share covers now."""
        domain = request.failure_domain
        share = max(0, offer.guaranteed.get(domain, 0) - used.get(domain, 0))
        assured = min(wanted, share, len(offer.free))
        missing = min(wanted, share) - assured
        if missing > 0:
            self.owed[request.site, domain] = (missing, now + OWED_TERMS * TERM_S)
        else:
            self.owed.pop((request.site, domain), None)
        return assured

    def owed_to_others(self, site: SiteId, domain: FailureDomainId | None, now: float) -> int:
        """Return the slots that are kept for guaranteed shares of other domains."""
        if not self.owed:
            return 0
        self.owed = {key: owed for key, owed in self.owed.items() if owed[1] > now}
        return sum(
            count
            for (owed_site, owed_domain), (count, _) in self.owed.items()
            if owed_site == site and owed_domain != domain
        )

    def _extra(
        self,
        request: BorrowRequest,
        offer: Offer,
        assured: int,
        used: Mapping[FailureDomainId, int],
        now: float,
    ) -> int:
        """Return how much may be lent beyond the guaranteed share."""
        if offer.waiting:
            return 0
        domain = request.failure_domain
        left = offer.free_total - assured
        unmet = sum(
            max(0, count - used.get(name, 0))
            for name, count in offer.guaranteed.items()
            if name != domain
        )
        holds = self.ledger.holds.get(request.site, {}).values()
        returning = sum(1 for hold in holds if hold.grant is not None and not hold.busy)
        extra = min(
            len(offer.free) - assured,
            left - offer.local_need,
            left + returning - unmet,
            left - self.owed_to_others(request.site, domain, now),
        )
        if offer.remote:
            beyond = self.remote_beyond_shares(request.site, offer.guaranteed)
            extra = min(extra, offer.ramp.allowed() - beyond)
        return extra

    def _record(self, request: BorrowRequest, offer: Offer, count: int, now: float) -> Grant:
        name = GrantId(f"{self.incarnation}-{self.next_number}")
        self.next_number += 1
        slots = offer.free[:count]
        for slot in slots:
            hold = Hold(
                slot=slot,
                domain=request.failure_domain,
                region=offer.region,
                remote=offer.remote,
                grant=name,
            )
            self.ledger.take(hold)
        self.grants[name] = LentGrant(
            site=request.site,
            keys=[key_of(slot) for slot in slots],
            expires_at=now + TERM_S * (1 + CLOCK_DRIFT),
        )
        return Grant(
            grant=name,
            lender=self.vm,
            incarnation=self.incarnation,
            site=request.site,
            count=count,
            term_s=TERM_S,
            internal_address=self.internal_address,
        )

    def idle_holds(self, grant: GrantId) -> list[Hold]:
        """Return the slots of ``grant`` on which no request runs."""
        lent = self.grants[grant]
        holds = self.ledger.holds.get(lent.site, {})
        return [holds[key] for key in lent.keys if not holds[key].busy]

    def swap(self, grant: GrantId, old: Hold, new: Slot) -> Hold:
        """Put a free slot in the place of an idle one of ``grant``."""
        lent = self.grants[grant]
        hold = Hold(slot=new, domain=old.domain, region=old.region, remote=old.remote, grant=grant)
        self.ledger.take(hold)
        lent.keys[lent.keys.index(key_of(old.slot))] = key_of(new)
        self.ledger.end_grant(key_of(old.slot))
        return hold

    def expire(self, now: float) -> bool:
        """End the grants whose term has passed; return whether there were any."""
        ended = [name for name, lent in self.grants.items() if now >= lent.expires_at]
        for name in ended:
            for key in self.grants.pop(name).keys:
                self.ledger.end_grant(key)
        return bool(ended)


@dataclass(kw_only=True)
class BorrowedGrant:
    """A grant as its borrower keeps it.

    Attributes:
        grant: The grant.
        pool: Pool of its site.
        expires_at: When the borrower stops to start requests under it.
        in_use: Requests that run under it.
    """

    grant: Grant
    pool: PoolId
    expires_at: float
    in_use: int = field(default=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """How long a refusing lender is left alone.

    Attributes:
        until: When it may be asked again.
        length_s: Length of the pause.
    """

    until: float
    length_s: float


class Borrower:
    """Grants that one entry got from others.

    Attributes:
        grants: Grants that may be used or are in use.
        pauses: Lenders that refused, by VM and site.
    """

    def __init__(self) -> None:
        self.grants: dict[GrantId, BorrowedGrant] = {}
        self.pauses: dict[tuple[VmId, SiteId], Pause] = {}

    def take(self, grant: Grant, pool: PoolId, asked_at: float, now: float) -> None:
        """Take in a grant, unless its term has passed on the way."""
        self.pauses.pop((grant.lender, grant.site), None)
        expires_at = asked_at + grant.term_s * (1 - CLOCK_DRIFT)
        if now >= expires_at or grant.count <= 0 or len(self.grants) >= GRANTS_MAX:
            return
        if grant.grant not in self.grants:
            self.grants[grant.grant] = BorrowedGrant(grant=grant, pool=pool, expires_at=expires_at)

    def acquire(self, pool: PoolId, now: float, usable: Callable[[Grant], bool]) -> Loan | None:
        """Use a grant of ``pool``, the one that ends first."""
        best: BorrowedGrant | None = None
        for borrowed in self.grants.values():
            if borrowed.pool != pool or now >= borrowed.expires_at:
                continue
            if borrowed.in_use >= borrowed.grant.count or not usable(borrowed.grant):
                continue
            if best is None or borrowed.expires_at < best.expires_at:
                best = borrowed
        if best is None:
            return None
        best.in_use += 1
        grant = best.grant
        return Loan(
            grant=grant.grant,
            lender=grant.lender,
            incarnation=grant.incarnation,
            site=grant.site,
            internal_address=grant.internal_address,
        )

    def release(self, loan: Loan, now: float) -> None:
        """Give a borrowed slot back; a grant that was dropped is not changed."""
        borrowed = self.grants.get(loan.grant)
        if borrowed is None:
            return
        borrowed.in_use = max(0, borrowed.in_use - 1)
        self._drop_if_over(borrowed, now)

    def drop(self, grant: GrantId) -> None:
        """Stop using a grant."""
        self.grants.pop(grant, None)

    def refused(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Leave a lender alone for a time, longer after each refusal in a row."""
        length_s = max(0.0, retry_after_s)
        last = self.pauses.get((lender.vm, lender.site))
        if last is not None:
            length_s = max(length_s, min(2 * last.length_s, REFUSED_MAX_S))
        self.pauses[lender.vm, lender.site] = Pause(until=now + length_s, length_s=length_s)

    def is_refusing(self, vm: VmId, site: SiteId, now: float) -> bool:
        """Whether a lender refused recently."""
        pause = self.pauses.get((vm, site))
        return pause is not None and now < pause.until

    def tick(self, now: float) -> None:
        """Forget grants whose time has passed and refusals that no other one followed."""
        for borrowed in list(self.grants.values()):
            self._drop_if_over(borrowed, now)
        forgotten = now - REFUSED_MAX_S
        for key in [key for key, pause in self.pauses.items() if pause.until <= forgotten]:
            del self.pauses[key]

    def _drop_if_over(self, borrowed: BorrowedGrant, now: float) -> None:
        if borrowed.in_use == 0 and now >= borrowed.expires_at:
            self.grants.pop(borrowed.grant.grant, None)

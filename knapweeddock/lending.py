"""Slots that entries lend to each other under grants, which are leases for a short term.

The borrower counts the term from before it sent its request and shortens it by
the clock drift bound; the lender counts it from its decision and lengthens it by
the bound. The borrower's term therefore ends first as long as the rates of the
two clocks differ by no more than the bound.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from knapweeddock.clock import MAX_CLOCK_DRIFT_FRACTION
from knapweeddock.codes import ResultCode
from knapweeddock.ids import FailureDomainId, GrantId, Incarnation, PoolId, RegionId, SiteId, VmId
from knapweeddock.ramp import Ramp
from knapweeddock.slots import SlotKey, slot_key
from knapweeddock.slottable import Allocation, SlotTable
from knapweeddock.slottypes import (
    BorrowedSlot,
    BorrowRequest,
    Grant,
    LenderCandidate,
    Refusal,
    Slot,
)

GRANT_TERM_S = 2.0
"""Term of a grant in seconds."""

ROUNDING_MARGIN_S = 1e-6
"""Time in seconds by which a borrower's term is shorter still. Clock readings and sums of them are
rounded; at the largest drift both terms end in the same moment."""

REFUSAL_RETRY_AFTER_S = 0.2
"""Delay after which to ask a lender again that has nothing to lend now or is not ready."""

REFUSAL_BACKOFF_MAX_S = 1.0
"""Limit to which consecutive refusals double the backoff of a lender, half a term.

A longer ``retry_after_s`` of a refusal still applies. With a constant backoff of
0.2 s, calls to lenders took 40 to 50 % of the entries' CPU time when the offered
load exceeded the capacity.
"""

SHORTFALL_TERMS = 2
"""Number of terms for which slots are kept free for a guaranteed share that was not met."""

PEAK_BUCKET_S = 1.0
"""Length of a bucket of ``PeakMeter`` in seconds."""

RECEIVED_GRANTS_MAX = 10_000
"""Largest number of received grants that an entry keeps."""


class PeakMeter:
    """Largest value of the last two to three seconds.

    Attributes:
        peaks: Largest value in each of the last three buckets, the newest first.
        bucket: Number of the newest bucket.
    """

    def __init__(self, *, now: float) -> None:
        self.peaks = [0, 0, 0]
        self.bucket = int(now / PEAK_BUCKET_S)

    def record(self, value: int, now: float) -> None:
        """Record a value that is valid from ``now`` on.

        Buckets that have begun since the last call get this value too.
        """
        self._rotate(value, now)
        self.peaks[0] = max(self.peaks[0], value)

    def peak(self, current: int, now: float) -> int:
        """Return the peak, given the current value.

        Buckets that have begun since the last call get the current value.
        """
        self._rotate(current, now)
        return max(self.peaks)

    def _rotate(self, value: int, now: float) -> None:
        current_bucket = int(now / PEAK_BUCKET_S)
        elapsed_buckets = current_bucket - self.bucket
        if elapsed_buckets > 0:
            kept = self.peaks[: max(0, len(self.peaks) - elapsed_buckets)]
            self.peaks = [value] * (len(self.peaks) - len(kept)) + kept
            self.bucket = current_bucket


@dataclass(kw_only=True)
class SiteAvailability:
    """Slots of a site that a lender has for one borrow request.

    Attributes:
        lendable: Free slots that may be lent to the borrower, lowest rank first.
        available_count: Number of the lender's free slots at the site that health and slow
            start leave open.
        guaranteed: The lender's part of the guaranteed share of each domain: the number
            of its slots in the rank band of that domain. The slots that are lent need
            not be in the band.
        lender_headroom: Number of free slots that the lender's recent peak demand needs.
        lender_waiting: Whether requests of the lender itself wait for slots.
        remote: Whether the borrower is in another failure domain.
        region: Region of the borrower.
        ramp: Limit on remote use beyond guaranteed shares.
    """

    lendable: Sequence[Slot]
    available_count: int
    guaranteed: Mapping[FailureDomainId, int]
    lender_headroom: int
    lender_waiting: bool
    remote: bool
    region: RegionId | None
    ramp: Ramp


@dataclass(kw_only=True)
class IssuedGrant:
    """A grant as its lender keeps it.

    Attributes:
        site: Site of the slots.
        slot_keys: The slots.
        expires_at: When the lender ends the grant.
    """

    site: SiteId
    slot_keys: list[SlotKey]
    expires_at: float


class Lender:
    """Decides on borrow requests and keeps the grants that one entry issued.

    Only the lender changes the grants that it issued.

    Attributes:
        vm: VM of the entry.
        incarnation: Incarnation of the entry process.
        internal_address: ``host:port`` at which the entry takes requests of borrowers.
        slot_table: Slots of the entry and their use.
        grants: Issued grants whose term has not ended.
        shortfalls: Missing slots of guaranteed shares and the time until which slots
            are kept free for them, by site and domain.
        next_grant_number: Number of the next grant, which is part of its identifier.
    """

    def __init__(
        self, *, vm: VmId, incarnation: Incarnation, internal_address: str, slot_table: SlotTable
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.internal_address = internal_address
        self.slot_table = slot_table
        self.grants: dict[GrantId, IssuedGrant] = {}
        self.shortfalls: dict[tuple[SiteId, FailureDomainId], tuple[int, float]] = {}
        self.next_grant_number = 1

    def grant(
        self, request: BorrowRequest, availability: SiteAvailability, now: float
    ) -> Grant | Refusal:
        """Grant free slots to the borrower, or refuse if none may be lent."""
        wanted = max(0, request.wanted)
        used = self.used_by_domain(request.site)
        from_share = 0
        if availability.remote:
            from_share = self._from_guaranteed_share(request, availability, wanted, used, now)
        beyond_share = min(
            wanted - from_share,
            self._beyond_guaranteed_share(request, availability, from_share, used, now),
        )
        count = from_share + max(0, beyond_share)
        if count == 0:
            return Refusal(code=ResultCode.SHED, retry_after_s=REFUSAL_RETRY_AFTER_S)
        return self._issue(request, availability, count, now)

    def used_by_domain(self, site: SiteId) -> dict[FailureDomainId, int]:
        """Return the number of slots of ``site`` in use or under a grant, by domain."""
        used: dict[FailureDomainId, int] = {}
        for allocation in self.slot_table.allocations.get(site, {}).values():
            used[allocation.domain] = used.get(allocation.domain, 0) + 1
        return used

    def remote_use_beyond_shares(
        self, site: SiteId, guaranteed: Mapping[FailureDomainId, int]
    ) -> int:
        """Return the number of slots that other domains use beyond their guaranteed shares."""
        remote: dict[FailureDomainId, int] = {}
        for allocation in self.slot_table.allocations.get(site, {}).values():
            if allocation.remote:
                remote[allocation.domain] = remote.get(allocation.domain, 0) + 1
        return sum(max(0, count - guaranteed.get(name, 0)) for name, count in remote.items())

    def _from_guaranteed_share(
        self,
        request: BorrowRequest,
        availability: SiteAvailability,
        wanted: int,
        used: Mapping[FailureDomainId, int],
        now: float,
    ) -> int:
        """Return how many of the wanted slots the guaranteed share covers now.

        Wanted slots of the share that cannot be lent now are recorded as a shortfall.
        """
        domain = request.failure_domain
        share = max(0, availability.guaranteed.get(domain, 0) - used.get(domain, 0))
        covered = min(wanted, share, len(availability.lendable))
        missing = min(wanted, share) - covered
        if missing > 0:
            self.shortfalls[request.site, domain] = (missing, now + SHORTFALL_TERMS * GRANT_TERM_S)
        else:
            self.shortfalls.pop((request.site, domain), None)
        return covered

    def reserved_for_others(self, site: SiteId, domain: FailureDomainId | None, now: float) -> int:
        """Return the number of free slots kept for shares of domains other than ``domain``."""
        if not self.shortfalls:
            return 0
        self.shortfalls = {
            key: shortfall for key, shortfall in self.shortfalls.items() if shortfall[1] > now
        }
        return sum(
            count
            for (short_site, short_domain), (count, _) in self.shortfalls.items()
            if short_site == site and short_domain != domain
        )

    def _beyond_guaranteed_share(
        self,
        request: BorrowRequest,
        availability: SiteAvailability,
        from_share: int,
        used: Mapping[FailureDomainId, int],
        now: float,
    ) -> int:
        """Return how many slots may be lent beyond the guaranteed share; may be negative."""
        if availability.lender_waiting:
            return 0
        domain = request.failure_domain
        remaining = availability.available_count - from_share
        unused_shares = sum(
            max(0, count - used.get(name, 0))
            for name, count in availability.guaranteed.items()
            if name != domain
        )
        allocations = self.slot_table.allocations.get(request.site, {}).values()
        idle_lent = sum(
            1
            for allocation in allocations
            if allocation.grant_id is not None and not allocation.busy
        )
        extra = min(
            len(availability.lendable) - from_share,
            remaining - availability.lender_headroom,
            # Idle lent slots are expected back when their grants end, within a term.
            remaining + idle_lent - unused_shares,
            remaining - self.reserved_for_others(request.site, domain, now),
        )
        if availability.remote:
            remote_use = self.remote_use_beyond_shares(request.site, availability.guaranteed)
            extra = min(extra, availability.ramp.max_slots_beyond_shares() - remote_use)
        return extra

    def _issue(
        self, request: BorrowRequest, availability: SiteAvailability, count: int, now: float
    ) -> Grant:
        grant_id = GrantId(f"{self.incarnation}-{self.next_grant_number}")
        self.next_grant_number += 1
        slots = availability.lendable[:count]
        for slot in slots:
            allocation = Allocation(
                slot=slot,
                domain=request.failure_domain,
                region=availability.region,
                remote=availability.remote,
                grant_id=grant_id,
            )
            self.slot_table.allocate(allocation)
        self.grants[grant_id] = IssuedGrant(
            site=request.site,
            slot_keys=[slot_key(slot) for slot in slots],
            expires_at=now + GRANT_TERM_S * (1 + MAX_CLOCK_DRIFT_FRACTION),
        )
        return Grant(
            grant_id=grant_id,
            lender=self.vm,
            incarnation=self.incarnation,
            site=request.site,
            count=count,
            term_s=GRANT_TERM_S,
            internal_address=self.internal_address,
        )

    def idle_allocations(self, grant_id: GrantId) -> list[Allocation]:
        """Return the allocations of a grant on which no request runs."""
        issued = self.grants[grant_id]
        allocations = self.slot_table.allocations.get(issued.site, {})
        return [allocations[key] for key in issued.slot_keys if not allocations[key].busy]

    def replace_slot(self, grant_id: GrantId, old: Allocation, new: Slot) -> Allocation:
        """Replace an idle slot of a grant by a free one."""
        issued = self.grants[grant_id]
        allocation = Allocation(
            slot=new, domain=old.domain, region=old.region, remote=old.remote, grant_id=grant_id
        )
        self.slot_table.allocate(allocation)
        issued.slot_keys[issued.slot_keys.index(slot_key(old.slot))] = slot_key(new)
        self.slot_table.end_grant(slot_key(old.slot))
        return allocation

    def expire(self, now: float) -> bool:
        """End the grants whose term has passed, and return whether there were any."""
        ended = [name for name, issued in self.grants.items() if now >= issued.expires_at]
        for name in ended:
            for key in self.grants.pop(name).slot_keys:
                self.slot_table.end_grant(key)
        return bool(ended)


@dataclass(kw_only=True)
class ReceivedGrant:
    """A grant as its borrower keeps it.

    Attributes:
        grant: The grant.
        pool: Pool of its site.
        expires_at: When the borrower stops starting requests under it.
        in_use: Number of requests that run under it.
    """

    grant: Grant
    pool: PoolId
    expires_at: float
    in_use: int = field(default=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class LenderBackoff:
    """Time for which a lender that refused is not asked.

    Attributes:
        until: When it may be asked again.
        delay_s: Length of the backoff.
    """

    until: float
    delay_s: float


class Borrower:
    """Keeps the grants that one entry received, and the backoff of lenders that refused.

    Attributes:
        grants: Received grants that are unexpired or in use.
        backoffs: Backoff of lenders that refused, by VM and site.
    """

    def __init__(self) -> None:
        self.grants: dict[GrantId, ReceivedGrant] = {}
        self.backoffs: dict[tuple[VmId, SiteId], LenderBackoff] = {}

    def accept(self, grant: Grant, pool: PoolId, asked_at: float, now: float) -> None:
        """Store a grant that was requested at ``asked_at`` and end its lender's backoff.

        The grant is dropped if it has expired since, if it has no slots, or if
        ``RECEIVED_GRANTS_MAX`` grants are stored already.
        """
        self.backoffs.pop((grant.lender, grant.site), None)
        term_s = grant.term_s * (1 - MAX_CLOCK_DRIFT_FRACTION) - ROUNDING_MARGIN_S
        expires_at = asked_at + term_s
        if now >= expires_at or grant.count <= 0 or len(self.grants) >= RECEIVED_GRANTS_MAX:
            return
        if grant.grant_id not in self.grants:
            self.grants[grant.grant_id] = ReceivedGrant(
                grant=grant, pool=pool, expires_at=expires_at
            )

    def acquire(
        self, pool: PoolId, now: float, usable: Callable[[Grant], bool]
    ) -> BorrowedSlot | None:
        """Take a slot of the usable grant of ``pool`` that expires first."""
        best: ReceivedGrant | None = None
        for received in self.grants.values():
            if received.pool != pool or now >= received.expires_at:
                continue
            if received.in_use >= received.grant.count or not usable(received.grant):
                continue
            if best is None or received.expires_at < best.expires_at:
                best = received
        if best is None:
            return None
        best.in_use += 1
        grant = best.grant
        return BorrowedSlot(
            grant_id=grant.grant_id,
            lender=grant.lender,
            incarnation=grant.incarnation,
            site=grant.site,
            internal_address=grant.internal_address,
        )

    def release(self, borrowed: BorrowedSlot, now: float) -> None:
        """Return a borrowed slot to its grant, unless the grant was dropped."""
        received = self.grants.get(borrowed.grant_id)
        if received is None:
            return
        received.in_use = max(0, received.in_use - 1)
        self._drop_if_expired(received, now)

    def drop(self, grant_id: GrantId) -> None:
        """Remove a grant, so that no new request uses it."""
        self.grants.pop(grant_id, None)

    def back_off(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Do not ask a lender for a time, which grows with each consecutive refusal."""
        delay_s = max(0.0, retry_after_s)
        last = self.backoffs.get((lender.vm, lender.site))
        if last is not None:
            delay_s = max(delay_s, min(2 * last.delay_s, REFUSAL_BACKOFF_MAX_S))
        self.backoffs[lender.vm, lender.site] = LenderBackoff(until=now + delay_s, delay_s=delay_s)

    def is_backing_off(self, vm: VmId, site: SiteId, now: float) -> bool:
        """Whether a lender is not asked now because it refused."""
        backoff = self.backoffs.get((vm, site))
        return backoff is not None and now < backoff.until

    def tick(self, now: float) -> None:
        """Remove expired unused grants, and backoffs that no further refusal followed."""
        for received in list(self.grants.values()):
            self._drop_if_expired(received, now)
        cutoff = now - REFUSAL_BACKOFF_MAX_S
        for key in [key for key, backoff in self.backoffs.items() if backoff.until <= cutoff]:
            del self.backoffs[key]

    def _drop_if_expired(self, received: ReceivedGrant, now: float) -> None:
        if received.in_use == 0 and now >= received.expires_at:
            self.grants.pop(received.grant.grant_id, None)

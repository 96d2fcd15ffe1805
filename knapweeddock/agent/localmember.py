"""Records that an agent publishes about its own VM, from reports of local processes."""

from dataclasses import dataclass, field

from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, Incarnation, VmId
from knapweeddock.proto.knapweed_pb2 import DetailRecord, MemberRecord, Record, ReportRequest
from knapweeddock.records import detail_key, member_key
from knapweeddock.state import MemberState

REPORT_TIMEOUT_S = 3.0
"""Time without a report after which a local process counts as disconnected, in seconds."""

MIN_LOAD_CHANGE = 0.1
"""Smallest change of load that is published; load is the busy fraction of the entry's
usable own slots."""

MEMBER_REFILL_S_PER_RECIPIENT = 0.5
"""Refill time of the rate limits of a member record, in seconds per recipient.

Whatever the number of members, each then receives at most two records per second
for changed versions and two for changed loads.
"""

DETAIL_REFILL_S_PER_RECIPIENT = 0.2
"""Refill time of the rate limits of a detail record, in seconds per recipient, i.e. per
member of the domain."""

PUBLISH_BURST = 5
"""Burst size of the rate limits of versions and loads."""

MAX_REPLACED_INCARNATIONS = 1000
"""Number of replaced entry incarnations remembered, so that their late reports are
rejected."""

ROLE_ENTRY = "entry"
ROLE_LOOKUP = "lookup"


class TokenBucket:
    """A token bucket whose refill time is given at each use."""

    def __init__(self, *, burst: int) -> None:
        self.burst = burst
        self.tokens = float(burst)
        self.updated_at = 0.0

    def try_acquire(self, now: float, refill_s: float) -> bool:
        """Take a token if one is available; a token is added every ``refill_s`` seconds."""
        refilled = (now - self.updated_at) / refill_s
        self.tokens = min(float(self.burst), self.tokens + max(0.0, refilled))
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class UpdateRateLimiter:
    """Limits how often changes of the configuration version and of the load are published.

    Each field has its own token bucket. With a shared one, changes of the load used
    up the tokens, and ``apply --wait`` saw a version that was in force on 12 VMs only
    after 7 s.
    """

    def __init__(self) -> None:
        self.versions = TokenBucket(burst=PUBLISH_BURST)
        self.loads = TokenBucket(burst=PUBLISH_BURST)

    def allows(
        self,
        new: MemberRecord | DetailRecord,
        old: MemberRecord | DetailRecord,
        now: float,
        refill_s: float,
    ) -> bool:
        """Return whether a change of version or load may be published now.

        Args:
            new: The current record.
            old: The record published last.
            now: Monotonic time in seconds.
            refill_s: Refill time of both token buckets in seconds.
        """
        if new.config_version != old.config_version and self.versions.try_acquire(now, refill_s):
            return True
        is_load_changed = abs(new.load - old.load) >= MIN_LOAD_CHANGE
        return is_load_changed and self.loads.try_acquire(now, refill_s)


@dataclass(kw_only=True, slots=True)
class Publication:
    """Records to publish.

    Attributes:
        global_records: Records for all failure domains.
        domain_records: Records for the agent's own failure domain.
    """

    global_records: list[Record] = field(default_factory=list)
    domain_records: list[Record] = field(default_factory=list)


class LocalMember:
    """The records of this VM, and when they are published.

    Attributes:
        vm: The VM.
        failure_domain: Its failure domain.
        incarnation: Random id of this agent process.
        start_ms: Start time of this agent in its records, in milliseconds since the
            Unix epoch. It moves past that of an earlier agent.
        agent_address: ``host:port`` of this agent.
        entry: The last report of the entry process, or None.
        entry_reported_at: Monotonic time of that report, or of the start, in seconds.
        previous_member: The member record published by an earlier agent of this VM,
            or None.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        failure_domain: FailureDomainId,
        incarnation: Incarnation,
        start_ms: int,
        agent_address: str,
        now: float,
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.start_ms = start_ms
        self.agent_address = agent_address
        self.entry: ReportRequest | None = None
        self.entry_reported_at = now
        self.previous_member: MemberRecord | None = None
        self._lookup_address = ""
        self._lookup_reported_at = now
        self._replaced_incarnations: dict[str, None] = {}
        self._version = 0
        self._detail_version = 0
        self._published_member: MemberRecord | None = None
        self._published_detail: DetailRecord | None = None
        self._member_limiter = UpdateRateLimiter()
        self._detail_limiter = UpdateRateLimiter()

    def accept_report(self, request: ReportRequest, now: float) -> None:
        """Accept a report of a local process.

        Raises:
            MessageError: The report is malformed or comes from another VM.
        """
        if request.vm != self.vm:
            raise MessageError(f"report of VM {request.vm!r} at the agent of {self.vm}")
        match request.role:
            case "entry":
                self._accept_entry_report(request, now)
            case "lookup":
                self._lookup_address = request.lookup_address
                self._lookup_reported_at = now
            case _:
                raise MessageError(f"report: role {request.role!r}; allowed: entry, lookup")

    def _accept_entry_report(self, request: ReportRequest, now: float) -> None:
        if not request.incarnation:
            raise MessageError("report: incarnation is empty")
        known = {state.value for state in MemberState}
        if request.state not in known:
            raise MessageError(
                f"report: state {request.state!r}; allowed: {', '.join(sorted(known))}"
            )
        if request.incarnation in self._replaced_incarnations:
            raise MessageError(f"report: incarnation {request.incarnation} was replaced before")
        if self.entry is not None and self.entry.incarnation != request.incarnation:
            self._replaced_incarnations[self.entry.incarnation] = None
            while len(self._replaced_incarnations) > MAX_REPLACED_INCARNATIONS:
                del self._replaced_incarnations[next(iter(self._replaced_incarnations))]
        self.entry = request
        self.entry_reported_at = now

    def entry_report_age_s(self, now: float) -> float:
        """Return the seconds since the last report of the entry process."""
        return now - self.entry_reported_at

    def current_entry(self) -> MemberRecord | None:
        """Return the entry process that this VM last ran, or None if none is known."""
        if self.entry is not None:
            return self._build_member(self.entry_reported_at)
        return self.previous_member

    def observe_record(self, record: Record) -> None:
        """Process a record of this VM that may come from an earlier agent process.

        The start time of this agent moves past that of the other agent, so that its
        own records win.
        """
        if record.incarnation == self.incarnation:
            return
        if record.HasField("member"):
            self.previous_member = record.member
        if record.incarnation_start_ms >= self.start_ms:
            self.start_ms = record.incarnation_start_ms + 1
            self._published_member = None
            self._published_detail = None

    def publish(
        self,
        now: float,
        *,
        member_count: int,
        domain_size: int,
        may_publish_joining: bool,
        previous_terminated: bool,
    ) -> Publication:
        """Return the changed records of this VM that are due for publication.

        Args:
            now: Monotonic time in seconds.
            member_count: Number of members of all domains.
            domain_size: Number of members of the agent's own domain.
            may_publish_joining: Whether peers have had time to send the record of an
                earlier agent.
            previous_terminated: Whether the entry in that record is known to have
                terminated. Until then its record is not replaced by one in state
                ``joining``, which would make peers take over the slots of a
                running entry.
        """
        publication = Publication()
        if self.entry is None:
            may_still_run = self.previous_member is not None and not previous_terminated
            if may_still_run or not may_publish_joining:
                return publication
        self._publish_member(now, member_count, publication)
        self._publish_detail(now, domain_size, publication)
        return publication

    def _publish_member(self, now: float, member_count: int, publication: Publication) -> None:
        member = self._build_member(now)
        published = self._published_member
        if published is not None:
            without_limited_fields = MemberRecord()
            without_limited_fields.CopyFrom(member)
            without_limited_fields.load = published.load
            without_limited_fields.config_version = published.config_version
            is_due = without_limited_fields != published or (
                self._member_limiter.allows(
                    member, published, now, member_count * MEMBER_REFILL_S_PER_RECIPIENT
                )
            )
            if not is_due:
                return
        self._published_member = member
        self._version += 1
        publication.global_records.append(self._record(member_key(self.vm), self._version))
        publication.global_records[0].member.CopyFrom(member)

    def _publish_detail(self, now: float, domain_size: int, publication: Publication) -> None:
        entry_report = self.entry
        if entry_report is None:
            return
        detail = DetailRecord(
            vm=self.vm,
            entry_incarnation=entry_report.incarnation,
            settled_views=entry_report.settled_views,
            load=entry_report.load,
            config_version=entry_report.config_version,
        )
        published = self._published_detail
        if published is not None:
            is_urgent = (
                detail.settled_views != published.settled_views
                or detail.entry_incarnation != published.entry_incarnation
            )
            is_due = is_urgent or (
                self._detail_limiter.allows(
                    detail, published, now, domain_size * DETAIL_REFILL_S_PER_RECIPIENT
                )
            )
            if not is_due:
                return
        self._published_detail = detail
        self._detail_version += 1
        publication.domain_records.append(self._record(detail_key(self.vm), self._detail_version))
        publication.domain_records[0].detail.CopyFrom(detail)

    def _record(self, key: str, version: int) -> Record:
        return Record(
            key=key,
            incarnation=self.incarnation,
            incarnation_start_ms=self.start_ms,
            version=version,
            failure_domain=self.failure_domain,
        )

    def _build_member(self, now: float) -> MemberRecord:
        member = MemberRecord(
            vm=self.vm,
            failure_domain=self.failure_domain,
            state=MemberState.JOINING.value,
            agent_address=self.agent_address,
        )
        if now - self._lookup_reported_at < REPORT_TIMEOUT_S:
            member.lookup_address = self._lookup_address
        if self.entry is not None:
            member.entry_incarnation = self.entry.incarnation
            member.state = self.entry.state
            member.public_address = self.entry.public_address
            member.internal_address = self.entry.internal_address
            member.lending_address = self.entry.lending_address
            member.load = self.entry.load
            member.config_version = self.entry.config_version
        return member

"""Versioned records: merging, tombstones, and buckets with incremental digests.

Of several records with the same key, the one with the highest version stamp
(start time of the writer, version) wins. Records are grouped into buckets. Each
failure domain has one bucket for global records, which are replicated to every
domain, and one with the suffix ``/local`` for records that only its own members
need. A digest is the XOR of record hashes, so a merge updates it in constant time.
"""

from dataclasses import dataclass, field
from enum import Enum

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, Incarnation, VmId
from knapweeddock.proto.knapweed_pb2 import KeyVersion, Record
from knapweeddock.rendezvous import hash_parts
from knapweeddock.state import MemberState

MAX_RECORDS = 50_000
"""Largest number of records in a store; 5,500 members need about 6,000."""

MAX_NAME_LENGTH = 256
"""Half the longest record key, in characters; a key holds a prefix and up to two ids.
Keys of records without a known payload are cut off at this length in error messages."""

MAX_RECORD_BYTES = 65_536
"""Largest encoded record that is accepted from a peer, in bytes."""

TOMBSTONE_TTL_S = 3600.0
"""Time for which the version of a deleted record is remembered, in seconds, so that
a peer that still has the record cannot bring it back. It exceeds the differences
between the times at which peers delete a record."""

LOCAL_SUFFIX = "/local"
"""Suffix of the names of buckets that are replicated only within a failure domain."""


class RecordKind(Enum):
    """Kind of a record; the value is the name of its payload field."""

    MEMBER = "member"
    DETAIL = "detail"
    DOWN = "down"
    LEAVING = "leaving"


_LOCAL_KINDS = frozenset({RecordKind.DETAIL, RecordKind.LEAVING})


def member_key(vm: VmId) -> str:
    """Return the key of a VM's member record."""
    return f"member/{vm}"


def detail_key(vm: VmId) -> str:
    """Return the key of a VM's detail record."""
    return f"detail/{vm}"


def down_key(vm: VmId, incarnation: Incarnation) -> str:
    """Return the key of the down record of an entry incarnation."""
    return f"down/{vm}/{incarnation}"


def leaving_key(failure_domain: FailureDomainId) -> str:
    """Return the key of a failure domain's copy of the leaving servers and VMs in the VM list."""
    return f"leaving/{failure_domain}"


def record_kind(record: Record) -> RecordKind:
    """Return the kind of ``record``.

    Raises:
        MessageError: The payload is missing or of an unknown kind (502).
    """
    payload = record.WhichOneof("payload")
    if payload is None or payload == "config":
        raise MessageError(
            f"record {record.key[:MAX_NAME_LENGTH]!r} has no known payload; "
            f"allowed: {', '.join(kind.value for kind in RecordKind)}",
            code=ResultCode.UNKNOWN_MESSAGE,
        )
    return RecordKind(payload)


def record_bucket(record: Record) -> str:
    """Return the name of the bucket that ``record`` belongs to."""
    if record_kind(record) in _LOCAL_KINDS:
        return record.failure_domain + LOCAL_SUFFIX
    return record.failure_domain


def local_bucket(failure_domain: str) -> str:
    """Return the name of the bucket of records local to ``failure_domain``."""
    return failure_domain + LOCAL_SUFFIX


def _expected_key(record: Record, kind: RecordKind) -> str:
    match kind:
        case RecordKind.MEMBER:
            return member_key(VmId(record.member.vm))
        case RecordKind.DETAIL:
            return detail_key(VmId(record.detail.vm))
        case RecordKind.DOWN:
            down = record.down
            return down_key(VmId(down.vm), Incarnation(down.entry_incarnation))
        case RecordKind.LEAVING:
            return leaving_key(FailureDomainId(record.failure_domain))


def validate_record(record: Record) -> None:
    """Validate a record of a peer before it is merged.

    Raises:
        MessageError: The record is malformed (501) or of an unknown kind (502).
    """
    kind = record_kind(record)
    if not record.failure_domain or LOCAL_SUFFIX in record.failure_domain:
        raise MessageError(f"record {record.key!r}: failure domain is empty or malformed")
    if record.key != _expected_key(record, kind):
        raise MessageError(f"record {record.key!r} does not match its payload of kind {kind.value}")
    if len(record.key) > 2 * MAX_NAME_LENGTH or record.ByteSize() > MAX_RECORD_BYTES:
        raise MessageError(f"record of {record.ByteSize()} bytes is too large")
    if not record.version:
        raise MessageError(f"record {record.key!r}: version is 0; the first version is 1")
    if kind is RecordKind.MEMBER:
        _validate_member(record)


def _validate_member(record: Record) -> None:
    member = record.member
    known = {state.value for state in MemberState}
    if member.state not in known:
        raise MessageError(f"record {record.key!r}: state {member.state!r} is not known")
    if member.failure_domain != record.failure_domain:
        raise MessageError(f"record {record.key!r}: payload names another failure domain")


@dataclass(frozen=True, slots=True, order=True)
class VersionStamp:
    """Determines which of two records with the same key wins: the higher stamp.

    Attributes:
        start_ms: Start time of the writer, in milliseconds since the Unix epoch.
        version: Version of the record, from 1 at each start of the writer.
        incarnation: Incarnation of the writer, which breaks ties.
    """

    start_ms: int
    version: int
    incarnation: str = ""


def version_stamp(record: Record) -> VersionStamp:
    """Return the version stamp of ``record``."""
    return VersionStamp(record.incarnation_start_ms, record.version, record.incarnation)


@dataclass(slots=True)
class _Tombstone:
    stamp: VersionStamp
    expires_at: float


@dataclass
class _Bucket:
    digest: int = 0
    keys: set[str] = field(default_factory=set)


def _record_hash(record: Record) -> int:
    return hash_parts(record.key, str(record.incarnation_start_ms), str(record.version))


def _bucket_hash(name: str, digest: int) -> int:
    return hash_parts(name, str(digest)) if digest else 0


class RecordStore:
    """The records of one agent.

    Times are monotonic and in seconds.

    Attributes:
        records: Records by key; callers must not modify them.
        root_digest: Combined digest of all global buckets.
        max_records: Largest number of records in the store.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self.records: dict[str, Record] = {}
        self.root_digest = 0
        self.max_records = max_records
        self._buckets: dict[str, _Bucket] = {}
        self._tombstones: dict[str, _Tombstone] = {}

    def merge(self, record: Record) -> bool:
        """Store ``record`` if it is newer than the stored record or tombstone of its key.

        Args:
            record: A validated record; the store keeps a reference to it.

        Returns:
            Whether the store changed.

        Raises:
            MessageError: The store is full (308) and the key is new.
        """
        current = self.records.get(record.key)
        stamp = version_stamp(record)
        if current is not None and version_stamp(current) >= stamp:
            return False
        tombstone = self._tombstones.get(record.key)
        if tombstone is not None and tombstone.stamp >= stamp:
            return False
        if current is None and len(self.records) >= self.max_records:
            raise MessageError(
                f"record table is full ({self.max_records} records)", code=ResultCode.TOO_LARGE
            )
        if current is not None:
            self._remove(current)
        self._add(record)
        return True

    def _add(self, record: Record) -> None:
        name = record_bucket(record)
        bucket = self._buckets.setdefault(name, _Bucket())
        self.records[record.key] = record
        bucket.keys.add(record.key)
        self._xor_digest(name, bucket, _record_hash(record))

    def _remove(self, record: Record) -> None:
        name = record_bucket(record)
        bucket = self._buckets[name]
        del self.records[record.key]
        bucket.keys.discard(record.key)
        self._xor_digest(name, bucket, _record_hash(record))
        if not bucket.keys:
            del self._buckets[name]

    def _xor_digest(self, name: str, bucket: _Bucket, record_hash: int) -> None:
        is_global = not name.endswith(LOCAL_SUFFIX)
        if is_global:
            self.root_digest ^= _bucket_hash(name, bucket.digest)
        bucket.digest ^= record_hash
        if is_global:
            self.root_digest ^= _bucket_hash(name, bucket.digest)

    def delete(self, key: str, now: float) -> None:
        """Delete a record and reject its version and older ones for ``TOMBSTONE_TTL_S``."""
        record = self.records.get(key)
        if record is None:
            return
        self._remove(record)
        self._tombstones[key] = _Tombstone(version_stamp(record), now + TOMBSTONE_TTL_S)

    def expire_tombstones(self, now: float) -> None:
        """Discard tombstones older than ``TOMBSTONE_TTL_S``."""
        expired_keys = [
            key for key, tombstone in self._tombstones.items() if tombstone.expires_at <= now
        ]
        for key in expired_keys:
            del self._tombstones[key]

    def digest(self, bucket: str) -> int:
        """Return the digest of a bucket, or 0 if it is empty."""
        held = self._buckets.get(bucket)
        return held.digest if held else 0

    def global_digests(self) -> dict[str, int]:
        """Return the digests of the global buckets by bucket name."""
        return {
            name: bucket.digest
            for name, bucket in self._buckets.items()
            if not name.endswith(LOCAL_SUFFIX)
        }

    def keys_in(self, bucket: str) -> list[str]:
        """Return the keys of a bucket, sorted."""
        held = self._buckets.get(bucket)
        return sorted(held.keys) if held else []

    def key_versions(self, bucket: str) -> list[KeyVersion]:
        """Return the key and version of each record of a bucket, for an exchange."""
        versions = []
        for key in self.keys_in(bucket):
            record = self.records[key]
            versions.append(
                KeyVersion(
                    key=key,
                    incarnation_start_ms=record.incarnation_start_ms,
                    version=record.version,
                )
            )
        return versions

    def has_tombstone(self, key: str, start_ms: int, version: int) -> bool:
        """Return whether this or a newer version of ``key`` was deleted here."""
        tombstone = self._tombstones.get(key)
        if tombstone is None:
            return False
        return (tombstone.stamp.start_ms, tombstone.stamp.version) >= (start_ms, version)

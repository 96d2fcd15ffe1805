"""Records: guards against lost or resurrected records and wrong digests."""

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.proto.knapweed_pb2 import DetailRecord, MemberRecord, Record
from knapweeddock.records import (
    TOMBSTONE_TTL_S,
    RecordStore,
    detail_key,
    local_bucket,
    member_key,
    validate_record,
)


def make_member(
    vm: str, *, start: int = 1, version: int = 1, domain: str = "gp-1", **fields
) -> Record:
    payload = {"state": "serving", "agent_address": "127.0.0.1:1", **fields}
    return Record(
        key=member_key(VmId(vm)),
        incarnation=f"agent-{start}",
        incarnation_start_ms=start,
        version=version,
        failure_domain=domain,
        member=MemberRecord(vm=vm, failure_domain=domain, **payload),
    )


def make_detail(vm: str, *, domain: str = "gp-1", version: int = 1, **fields) -> Record:
    return Record(
        key=detail_key(VmId(vm)),
        incarnation="agent-1",
        incarnation_start_ms=1,
        version=version,
        failure_domain=domain,
        detail=DetailRecord(vm=vm, **fields),
    )


def test_a_later_start_beats_a_higher_version():
    """Guards against a restarted writer, again at version 1, that loses to its old records."""
    store = RecordStore()
    assert store.merge(make_member("a", start=1, version=9))
    assert store.merge(make_member("a", start=2, version=1))
    assert not store.merge(make_member("a", start=1, version=10))
    assert store.records["member/a"].incarnation_start_ms == 2


def test_digests_depend_on_content_and_not_on_the_order_of_merges():
    """Guards against incrementally updated digests that diverge from the records."""
    records = [
        make_member("a"),
        make_member("b", domain="gp-2"),
        make_member("a", version=2),
        make_detail("a"),
    ]
    one = RecordStore()
    other = RecordStore()
    for record in records:
        one.merge(record)
    for record in reversed(records):
        other.merge(record)
    assert one.root_digest == other.root_digest
    assert one.global_digests() == other.global_digests()
    assert one.digest(local_bucket("gp-1")) == other.digest(local_bucket("gp-1"))
    other.merge(make_member("b", domain="gp-2", version=3))
    assert one.root_digest != other.root_digest
    assert one.digest("gp-1") == other.digest("gp-1")


def test_local_records_do_not_change_the_root():
    """Guards against load reports that cause second rounds of exchanges with other domains."""
    store = RecordStore()
    store.merge(make_member("a"))
    before = store.root_digest
    store.merge(make_detail("a", load=0.5))
    assert store.root_digest == before


def test_a_deleted_record_does_not_come_back_from_a_peer():
    """Guards against reviving a record that peers delete at different times."""
    store = RecordStore()
    store.merge(make_member("a"))
    store.delete("member/a", 100.0)
    assert store.root_digest == 0
    assert not store.merge(make_member("a"))
    assert store.has_tombstone("member/a", 1, 1)
    assert store.merge(make_member("a", version=2))
    store.delete("member/a", 100.0)
    store.expire_tombstones(100.0 + TOMBSTONE_TTL_S)
    assert store.merge(make_member("a"))


def test_a_member_that_moves_leaves_its_old_bucket():
    store = RecordStore()
    store.merge(make_member("a", domain="gp-1"))
    store.merge(make_member("a", domain="gp-2", version=2))
    assert store.keys_in("gp-1") == []
    assert list(store.global_digests()) == ["gp-2"]


def test_the_store_is_bounded():
    store = RecordStore(max_records=1)
    store.merge(make_member("a"))
    with pytest.raises(MessageError) as refused:
        store.merge(make_member("b"))
    assert refused.value.code is ResultCode.TOO_LARGE
    assert store.merge(make_member("a", version=2))


@pytest.mark.parametrize(
    ("record", "code"),
    [
        (Record(key="member/a", failure_domain="gp-1", version=1), ResultCode.UNKNOWN_MESSAGE),
        (make_member("a", domain=""), ResultCode.MALFORMED_MESSAGE),
        (make_member("a", domain="gp-1/local"), ResultCode.MALFORMED_MESSAGE),
        (make_member("a", version=0), ResultCode.MALFORMED_MESSAGE),
        (make_member("a", state="asleep"), ResultCode.MALFORMED_MESSAGE),
        (make_member("a", public_address="x" * 70_000), ResultCode.MALFORMED_MESSAGE),
    ],
)
def test_malformed_records_get_a_result_code(record: Record, code: ResultCode):
    """Guards against storing a malformed record, which would be replicated to every node."""
    with pytest.raises(MessageError) as refused:
        validate_record(record)
    assert refused.value.code is code


def test_a_record_under_another_key_is_refused():
    """Guards against a writer that replaces the record of another VM."""
    record = make_member("a")
    record.key = "member/b"
    with pytest.raises(MessageError):
        validate_record(record)


def test_unknown_fields_are_ignored():
    """Guards against rejecting the records of a newer software version that adds fields."""
    encoded = make_member("a").SerializeToString() + b"\xc2\x3e\x03new"
    record = Record.FromString(encoded)
    validate_record(record)
    assert RecordStore().merge(record)


def test_keys_of_a_bucket():
    store = RecordStore()
    store.merge(make_member("b"))
    store.merge(make_member("a"))
    held = store.key_versions(FailureDomainId("gp-1"))
    assert [version.key for version in held] == ["member/a", "member/b"]

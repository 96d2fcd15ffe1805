"""Membership: guards against false suspicion, lost down records and records that never expire."""

from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.membership import (
    MEMBER_EXPIRY_S,
    SUSPICION_TIMEOUT_S,
    MemberTable,
    heartbeat_id,
    make_down_record,
    suspicion_timeout_s,
)
from knapweeddock.proto.knapweed_pb2 import Heartbeats, LeavingRecord, Record
from knapweeddock.records import RecordStore, leaving_key
from tests.test_records import make_detail, make_member


class TableHarness:
    """The member table of VM ``own`` in domain ``gp-1``, with its record store."""

    def __init__(self) -> None:
        self.store = RecordStore()
        self.members = MemberTable(
            vm=VmId("own"), failure_domain=FailureDomainId("gp-1"), store=self.store
        )

    def merge(self, record: Record, now: float = 0.0) -> None:
        if self.store.merge(record):
            self.members.apply_record(record, now)

    def receive_heartbeat(self, vm: str, counter: int, now: float, start: int = 1) -> None:
        member_id = heartbeat_id(vm, f"agent-{start}")
        message = Heartbeats(members=[member_id], counters=[counter])
        self.members.heartbeats.merge(message, now)


def make_member_with_entry(vm: str, entry_incarnation: str = "e1", **fields) -> Record:
    return make_member(vm, entry_incarnation=entry_incarnation, **fields)


def test_a_member_is_suspected_until_its_heartbeat_advances():
    table = TableHarness()
    table.merge(make_member_with_entry("a"), 0.0)
    table.receive_heartbeat("a", 1, 1.0)
    table.receive_heartbeat("a", 1, 3.5)
    table.members.update_suspicion(1.0 + SUSPICION_TIMEOUT_S)
    assert not table.members.views["a"].suspected
    table.members.update_suspicion(1.1 + SUSPICION_TIMEOUT_S)
    assert table.members.views["a"].suspected
    assert "a" in table.members.pop_changed()
    assert table.members.responsive_peers() == []
    assert table.members.domain_peers() == ["a"]
    table.receive_heartbeat("a", 2, 5.0)
    table.members.update_suspicion(5.0)
    assert not table.members.views["a"].suspected


def test_members_of_other_domains_are_not_suspected_for_missing_heartbeats():
    """Their heartbeats do not reach this domain, so that their absence says nothing."""
    table = TableHarness()
    table.merge(make_member_with_entry("far", domain="wc-1"), 0.0)
    table.members.update_suspicion(1000.0)
    assert not table.members.views["far"].suspected


def test_a_restarted_agent_counts_from_one_again():
    """Guards against comparing its counter with the old one: it would be suspected for days."""
    table = TableHarness()
    table.merge(make_member_with_entry("a"), 0.0)
    table.receive_heartbeat("a", 5000, 1.0)
    table.merge(make_member_with_entry("a", start=2), 2.0)
    table.receive_heartbeat("a", 1, 4.0, start=2)
    table.members.update_suspicion(6.0)
    assert not table.members.views["a"].suspected


def test_a_pause_of_this_process_does_not_cause_suspicion():
    table = TableHarness()
    table.merge(make_member_with_entry("a"), 0.0)
    table.members.reset_heartbeat_timeouts(60.0)
    table.members.update_suspicion(60.0)
    assert not table.members.views["a"].suspected


def test_suspicion_is_slower_in_large_domains():
    """Guards against a fixed timeout, which would suspect every member of a large domain.

    Heartbeats need more rounds to arrive there.
    """
    assert suspicion_timeout_s(2) == suspicion_timeout_s(8) == SUSPICION_TIMEOUT_S
    assert SUSPICION_TIMEOUT_S < suspicion_timeout_s(16) < suspicion_timeout_s(59) < 10.0


def test_a_down_record_applies_to_one_incarnation():
    table = TableHarness()
    record = make_member_with_entry("a")
    table.merge(record)
    table.merge(make_down_record(record.member, "refused"))
    assert table.members.member(VmId("a")).down
    table.merge(make_member_with_entry("a", "e2", version=2))
    assert not table.members.member(VmId("a")).down


def test_down_records_of_two_observers_have_equal_digests():
    """Guards against differing stamps: the observers would replace each other's record forever."""
    record = make_member_with_entry("a")
    one = RecordStore()
    other = RecordStore()
    one.merge(make_down_record(record.member, "refused"))
    other.merge(make_down_record(record.member, "not in the VM list"))
    assert one.root_digest == other.root_digest


def test_a_down_record_may_arrive_before_the_member():
    table = TableHarness()
    record = make_member_with_entry("a")
    table.merge(make_down_record(record.member, "refused"))
    table.merge(record)
    assert table.members.member(VmId("a")).down


def test_details_count_for_their_incarnation_only():
    """Guards against using the settled views of an earlier process.

    They say nothing about the slots that the new process uses, and would free them.
    """
    table = TableHarness()
    table.merge(make_member_with_entry("a"))
    fields = {"entry_incarnation": "e1", "settled_views": {"s": "v1"}, "config_version": 4}
    table.merge(make_detail("a", load=0.5, **fields))
    found = table.members.member(VmId("a"))
    assert (found.load, found.settled_views) == (0.5, {"s": "v1"})
    assert table.members.views["a"].member.config_version == 4
    table.merge(make_member_with_entry("a", "e2", version=2))
    assert table.members.member(VmId("a")).settled_views == {}


def test_terminated_members_expire_and_do_not_come_back():
    table = TableHarness()
    record = make_member_with_entry("a")
    table.merge(record, 0.0)
    table.merge(make_down_record(record.member, "refused"), 10.0)
    table.merge(make_member_with_entry("b", state="left"), 10.0)
    table.merge(make_member_with_entry("own", state="left"), 10.0)
    table.members.expire(9.9 + MEMBER_EXPIRY_S)
    assert set(table.members.views) == {"a", "b", "own"}
    table.members.expire(10.0 + MEMBER_EXPIRY_S)
    assert set(table.members.views) == {"own"}
    assert set(table.store.records) == {"member/own"}
    table.merge(record, 700.0)
    assert "a" not in table.members.views


def test_a_replaced_incarnation_does_not_expire():
    table = TableHarness()
    record = make_member_with_entry("a")
    table.merge(record)
    table.merge(make_down_record(record.member, "refused"), 0.0)
    table.merge(make_member_with_entry("a", "e2", version=2), 5.0)
    table.members.expire(MEMBER_EXPIRY_S)
    assert not table.members.member(VmId("a")).down


def test_an_agent_whose_entry_is_down_still_gets_pushes():
    """Otherwise, an entry that restarts would get outdated configuration from its agent."""
    table = TableHarness()
    record = make_member_with_entry("a")
    table.merge(record)
    table.merge(make_down_record(record.member, "refused"))
    assert table.members.responsive_peers() == ["a"]


def test_leaving_vms_are_suspected_and_leaving_servers_are_listed():
    table = TableHarness()
    table.merge(make_member_with_entry("a"))
    content = LeavingRecord(servers=["s-1"], vms=["a"])
    table.merge(
        Record(
            key=leaving_key(FailureDomainId("gp-1")),
            incarnation_start_ms=5,
            version=1,
            failure_domain="gp-1",
            leaving=content,
        )
    )
    assert table.members.views["a"].suspected
    assert table.members.leaving_servers == ["s-1"]
    assert table.members.overdue_members() == []


def test_a_member_that_changes_domain_is_listed_once():
    table = TableHarness()
    table.merge(make_member_with_entry("a"))
    table.merge(make_member_with_entry("a", domain="wc-1", version=2))
    assert table.members.domain_peers() == []
    assert table.members.remote_members(FailureDomainId("wc-1")) == ["a"]
    table.members.update_suspicion(100.0)
    assert not table.members.views["a"].suspected

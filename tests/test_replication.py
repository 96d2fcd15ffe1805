"""Replication: guards against members missed by pushes and exchanges that cost too much."""

import random

import msgspec
import pytest

from knapweeddock.confighistory import Progress
from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.proto.knapweed_pb2 import ConfigChange, PushRequest, Record
from knapweeddock.replication import (
    TREE_FAN_OUT,
    ReplicationNode,
    select_watchers,
    split_into_subtrees,
)
from tests.test_records import make_detail, make_member


def make_node(vm: str, domain: str = "gp-1") -> ReplicationNode:
    return ReplicationNode(vm=VmId(vm), failure_domain=FailureDomainId(domain))


def make_filled_node(vm: str, records: list[Record], domain: str = "gp-1") -> ReplicationNode:
    node = make_node(vm, domain)
    node.merge(records, 0.0)
    return node


def apply_changes(target: ReplicationNode, versions: range) -> None:
    changes = [
        ConfigChange(config_version=n, patch=msgspec.json.encode({"n": n})) for n in versions
    ]
    target.history.apply(changes, versions[-1])


def run_exchange(one: ReplicationNode, other: ReplicationNode) -> None:
    reply = other.handle_exchange(one.add_heartbeats(one.build_digest_request()), 0.0)
    one.merge(reply.records, 0.0)
    version = reply.config_version
    wanted: list[str] = []
    second = one.build_version_request(reply, 0.0)
    if second is not None:
        reply = other.handle_exchange(second, 0.0)
        one.merge(reply.records, 0.0)
        wanted = list(reply.wanted)
    push = one.repair_push(wanted, version)
    if push is not None:
        other.merge(push.records, 0.0)


def make_members(count: int, domains: int = 4) -> list[Record]:
    return [make_member(f"vm-{n}", domain=f"d-{n % domains}") for n in range(count)]


def test_equal_states_cost_one_small_message_whatever_their_size():
    for count in (12, 1200):
        one = make_filled_node("vm-0", make_members(count), "d-0")
        other = make_filled_node("vm-1", make_members(count), "d-1")
        request = one.build_digest_request()
        reply = other.handle_exchange(request, 0.0)
        assert request.ByteSize() + reply.ByteSize() < 100
        assert one.build_version_request(reply, 0.0) is None
        assert one.repair_push([], reply.config_version) is None


def test_one_difference_costs_one_bucket():
    records = make_members(1200, domains=100)
    one = make_filled_node("vm-0", records, "d-0")
    other = make_filled_node(
        "vm-1", [*records, make_member("vm-7", domain="d-7", version=2)], "d-1"
    )
    second = one.build_version_request(other.handle_exchange(one.build_digest_request(), 0.0), 0.0)
    assert list(second.failure_domains) == ["d-7"]
    assert len(second.have) == 12
    assert [record.key for record in other.handle_exchange(second, 0.0).records] == ["member/vm-7"]


def test_an_exchange_makes_both_sides_equal():
    one = make_filled_node("a", [make_member("a"), make_member("x", version=2), make_detail("a")])
    other = make_filled_node("b", [make_member("b"), make_member("x"), make_detail("b")])
    apply_changes(one, range(1, 4))
    run_exchange(one, other)
    assert set(one.store.records) == set(other.store.records)
    assert one.store.root_digest == other.store.root_digest
    assert other.history.version == 3
    assert other.store.records["member/x"].version == 2


def test_details_stay_in_their_domain():
    one = make_filled_node("a", [make_member("a"), make_detail("a")])
    other = make_filled_node("far", [make_member("far", domain="wc-1")], "wc-1")
    run_exchange(one, other)
    run_exchange(other, one)
    assert "detail/a" not in other.store.records
    assert set(one.store.records) == {"member/a", "detail/a", "member/far"}


def test_a_deleted_record_is_not_requested_again():
    one = make_filled_node("a", [make_member("a"), make_member("gone", state="left")])
    other = make_filled_node("b", [make_member("a")])
    other.store.merge(make_member("gone", state="left"))
    other.store.delete("member/gone", 0.0)
    second = one.build_version_request(other.handle_exchange(one.build_digest_request(), 0.0), 0.0)
    assert list(other.handle_exchange(second, 0.0).wanted) == []


def test_unknown_record_kind_is_rejected_and_the_others_are_merged():
    """Guards against storing a record of a newer software version or rejecting the rest for it."""
    unknown = Record(key="quota/a", version=1, failure_domain="gp-1")
    result = make_node("a").merge([unknown, make_member("b")], 0.0)
    assert [int(error.code) for error in result.errors] == [502]
    assert [record.key for record in result.changed] == ["member/b"]


def simulate_push(
    nodes: dict[str, ReplicationNode], start: ReplicationNode, unresponsive: frozenset[str]
) -> set[str]:
    """Run a push from ``start`` and return the VMs it reaches.

    Receivers in ``unresponsive`` do not respond.
    """
    rng = random.Random(1)
    reached = set()
    record = make_member(start.vm, domain=start.failure_domain, version=2)
    start.merge([record], 0.0)
    pushes = start.push_globally([record], rng)
    while pushes:
        push = pushes.pop()
        for position, vm in enumerate(push.candidates):
            if vm in unresponsive:
                continue
            request = PushRequest()
            request.CopyFrom(push.request)
            if push.receiver_forwards:
                request.forward_to.extend(push.candidates[position + 1 :])
            reached.add(vm)
            result = nodes[vm].merge(request.records, 0.0)
            pushes.extend(nodes[vm].forward(request, result, rng))
            break
    return reached


@pytest.mark.parametrize("lost", [frozenset(), frozenset({"vm-1", "vm-5", "vm-6"})])
def test_a_push_reaches_every_member_that_answers(lost):
    records = make_members(60)
    nodes = {f"vm-{n}": make_filled_node(f"vm-{n}", records, f"d-{n % 4}") for n in range(60)}
    assert simulate_push(nodes, nodes["vm-0"], lost) == set(nodes) - {"vm-0"} - lost


def test_a_node_sends_a_bounded_number_of_pushes():
    start = make_filled_node("vm-0", make_members(400), "d-0")
    pushes = start.push_globally([make_member("vm-0", domain="d-0", version=2)], random.Random(1))
    assert len(pushes) == TREE_FAN_OUT + 3


def test_trees_name_every_member_once():
    vms = [VmId(str(n)) for n in range(11)]
    subtrees = split_into_subtrees(vms)
    assert len(subtrees) == TREE_FAN_OUT
    assert sorted(vm for part in subtrees for vm in part) == sorted(vms)
    assert split_into_subtrees([]) == []


def test_a_new_tree_is_started_only_for_new_records():
    """Guards against a tree per push: the watchers of all domains push the same version."""
    receiver = make_filled_node("vm-0", make_members(8), "d-0")
    request = PushRequest(vm="vm-1", records=[make_member("vm-1", domain="d-1", version=2)])
    request.start_tree = True
    first = receiver.merge(request.records, 0.0)
    assert receiver.forward(request, first, random.Random(1))
    again = receiver.merge(request.records, 0.0)
    assert receiver.forward(request, again, random.Random(1)) == []


def test_a_config_push_never_carries_the_whole_document():
    """Guards against a new watcher at version 0 that sends the document to every domain."""
    watcher = make_node("a")
    watcher.history.take_document(9, msgspec.json.encode({"big": "x" * 1000}))
    records = watcher.config_push_records(0)
    assert records[0].ByteSize() < 50
    assert make_node("b").merge(records, 0.0).config_progress is Progress.GAP


def test_all_agents_select_the_same_two_watchers():
    vms = [VmId(f"vm-{n}") for n in range(10)]
    chosen = select_watchers(FailureDomainId("gp-1"), vms)
    assert chosen == select_watchers(FailureDomainId("gp-1"), reversed(vms))
    assert len(chosen) == 2
    others = [vm for vm in vms if vm != chosen[0]]
    assert chosen[1] in select_watchers(FailureDomainId("gp-1"), others)


def test_exchanges_alternate_between_domains():
    rng = random.Random(1)
    small = make_filled_node("vm-0", make_members(8), "d-0")
    assert [len(small.exchange_peers(tick, rng)) for tick in range(4)] == [1, 2, 1, 2]
    large = make_filled_node("vm-0", make_members(80), "d-0")
    assert [len(large.exchange_peers(tick, rng)) for tick in range(4)] == [1, 1, 1, 1]
    assert make_filled_node("a", [make_member("a")]).exchange_peers(0, rng) == []

"""Spread: guards against members that pushes miss and comparisons that cost too much."""

import random

import msgspec
import pytest

from knapweeddock.confighistory import Progress
from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.proto.knapweed_pb2 import ConfigChange, PushRequest, Record
from knapweeddock.spread import TREE_FAN_OUT, SpreadNode, select_watchers, split_into_subtrees
from tests.test_records import detail, member


def node(vm: str, domain: str = "gp-1") -> SpreadNode:
    return SpreadNode(vm=VmId(vm), failure_domain=FailureDomainId(domain))


def filled(vm: str, records: list[Record], domain: str = "gp-1") -> SpreadNode:
    made = node(vm, domain)
    made.take(records, 0.0)
    return made


def advance(target: SpreadNode, versions: range) -> None:
    changes = [
        ConfigChange(config_version=n, patch=msgspec.json.encode({"n": n})) for n in versions
    ]
    target.history.apply(changes, versions[-1])


def compare(one: SpreadNode, other: SpreadNode) -> None:
    reply = other.answer(one.with_heartbeats(one.first_request()), 0.0)
    one.take(reply.records, 0.0)
    version = reply.config_version
    wanted: list[str] = []
    second = one.second_request(reply, 0.0)
    if second is not None:
        reply = other.answer(second, 0.0)
        one.take(reply.records, 0.0)
        wanted = list(reply.wanted)
    push = one.repair_push(wanted, version)
    if push is not None:
        other.take(push.records, 0.0)


def fleet(count: int, domains: int = 4) -> list[Record]:
    return [member(f"vm-{n}", domain=f"d-{n % domains}") for n in range(count)]


def test_equal_states_cost_one_small_message_whatever_their_size():
    for count in (12, 1200):
        one = filled("vm-0", fleet(count), "d-0")
        other = filled("vm-1", fleet(count), "d-1")
        request = one.first_request()
        reply = other.answer(request, 0.0)
        assert request.ByteSize() + reply.ByteSize() < 100
        assert one.second_request(reply, 0.0) is None
        assert one.repair_push([], reply.config_version) is None


def test_one_difference_costs_one_bucket():
    records = fleet(1200, domains=100)
    one = filled("vm-0", records, "d-0")
    other = filled("vm-1", [*records, member("vm-7", domain="d-7", version=2)], "d-1")
    second = one.second_request(other.answer(one.first_request(), 0.0), 0.0)
    assert list(second.failure_domains) == ["d-7"]
    assert len(second.have) == 12
    assert [record.key for record in other.answer(second, 0.0).records] == ["member/vm-7"]


def test_a_comparison_levels_both_sides():
    one = filled("a", [member("a"), member("x", version=2), detail("a")])
    other = filled("b", [member("b"), member("x"), detail("b")])
    advance(one, range(1, 4))
    compare(one, other)
    assert set(one.store.records) == set(other.store.records)
    assert one.store.root == other.store.root
    assert other.history.version == 3
    assert other.store.records["member/x"].version == 2


def test_details_stay_in_their_domain():
    one = filled("a", [member("a"), detail("a")])
    other = filled("far", [member("far", domain="wc-1")], "wc-1")
    compare(one, other)
    compare(other, one)
    assert "detail/a" not in other.store.records
    assert set(one.store.records) == {"member/a", "detail/a", "member/far"}


def test_a_dropped_record_is_not_asked_for_again():
    one = filled("a", [member("a"), member("gone", state="left")])
    other = filled("b", [member("a")])
    other.store.merge(member("gone", state="left"))
    other.store.delete("member/gone", 0.0)
    second = one.second_request(other.answer(one.first_request(), 0.0), 0.0)
    assert list(other.answer(second, 0.0).wanted) == []


def test_an_unknown_kind_is_refused_and_the_others_are_taken():
    """A record of a newer version must neither be stored nor block the rest."""
    unknown = Record(key="quota/a", version=1, failure_domain="gp-1")
    taken = node("a").take([unknown, member("b")], 0.0)
    assert [int(error.code) for error in taken.errors] == [502]
    assert [record.key for record in taken.changed] == ["member/b"]


def pushed(nodes: dict[str, SpreadNode], start: SpreadNode, lost: frozenset[str]) -> set[str]:
    """Carry out a push from ``start``; receivers in ``lost`` do not answer."""
    rng = random.Random(1)
    reached = set()
    record = member(start.vm, domain=start.failure_domain, version=2)
    start.take([record], 0.0)
    orders = start.push_globally([record], rng)
    while orders:
        order = orders.pop()
        for position, vm in enumerate(order.candidates):
            if vm in lost:
                continue
            request = PushRequest()
            request.CopyFrom(order.request)
            if order.receiver_forwards:
                request.forward_to.extend(order.candidates[position + 1 :])
            reached.add(vm)
            taken = nodes[vm].take(request.records, 0.0)
            orders.extend(nodes[vm].forward(request, taken, rng))
            break
    return reached


@pytest.mark.parametrize("lost", [frozenset(), frozenset({"vm-1", "vm-5", "vm-6"})])
def test_a_push_reaches_every_member_that_answers(lost):
    records = fleet(60)
    nodes = {f"vm-{n}": filled(f"vm-{n}", records, f"d-{n % 4}") for n in range(60)}
    assert pushed(nodes, nodes["vm-0"], lost) == set(nodes) - {"vm-0"} - lost


def test_a_node_sends_a_bounded_number_of_pushes():
    start = filled("vm-0", fleet(400), "d-0")
    orders = start.push_globally([member("vm-0", domain="d-0", version=2)], random.Random(1))
    assert len(orders) == TREE_FAN_OUT + 3


def test_trees_name_every_member_once():
    vms = [VmId(str(n)) for n in range(11)]
    parts = split_into_subtrees(vms)
    assert len(parts) == TREE_FAN_OUT
    assert sorted(vm for part in parts for vm in part) == sorted(vms)
    assert split_into_subtrees([]) == []


def test_a_new_tree_is_started_for_news_only():
    """Every domain's watchers push the same version; each would start a tree again."""
    receiver = filled("vm-0", fleet(8), "d-0")
    request = PushRequest(vm="vm-1", records=[member("vm-1", domain="d-1", version=2)])
    request.start_tree = True
    first = receiver.take(request.records, 0.0)
    assert receiver.forward(request, first, random.Random(1))
    again = receiver.take(request.records, 0.0)
    assert receiver.forward(request, again, random.Random(1)) == []


def test_a_push_never_carries_the_whole_document():
    """A new watcher at version 0 would otherwise send it to every domain."""
    watcher = node("a")
    watcher.history.take_document(9, msgspec.json.encode({"big": "x" * 1000}))
    news = watcher.config_push_records(0)
    assert news[0].ByteSize() < 50
    assert node("b").take(news, 0.0).config is Progress.GAP


def test_watchers_are_few_and_agreed():
    vms = [VmId(f"vm-{n}") for n in range(10)]
    chosen = select_watchers(FailureDomainId("gp-1"), vms)
    assert chosen == select_watchers(FailureDomainId("gp-1"), reversed(vms))
    assert len(chosen) == 2
    others = [vm for vm in vms if vm != chosen[0]]
    assert chosen[1] in select_watchers(FailureDomainId("gp-1"), others)


def test_comparisons_alternate_between_domains():
    rng = random.Random(1)
    small = filled("vm-0", fleet(8), "d-0")
    assert [len(small.exchange_peers(tick, rng)) for tick in range(4)] == [1, 2, 1, 2]
    large = filled("vm-0", fleet(80), "d-0")
    assert [len(large.exchange_peers(tick, rng)) for tick in range(4)] == [1, 1, 1, 1]
    assert filled("a", [member("a")]).exchange_peers(0, rng) == []

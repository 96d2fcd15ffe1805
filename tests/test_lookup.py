"""Look-ups: guards against naming entries that cannot serve and against wrong order."""

import dataclasses

import pytest

from knapweeddock.blocks import parse_address
from knapweeddock.codes import ResultCode
from knapweeddock.errors import KnapweedError
from knapweeddock.ids import FailureDomainId, Incarnation, Version, VmId
from knapweeddock.lookup import CLIENT_GROUPS, Lookup
from knapweeddock.model import Config, decode_config
from knapweeddock.rendezvous import hash_parts, weighted_order
from knapweeddock.state import Member, MemberState, NodeState

DOMAINS = ["gp-1", "gp-2", "wc-1", "wc-2", "kzn-1", "kzn-2"]
DOCUMENT = {
    "regions": {
        "gauteng": {"failure_domains": ["gp-1", "gp-2"]},
        "western-cape": {"failure_domains": ["wc-1", "wc-2"]},
        "kwazulu-natal": {"failure_domains": ["kzn-1", "kzn-2"]},
    },
    "links": {"gauteng->kwazulu-natal": {"delay_ms": 5}},
    "services": {"ringbook": {"hosts": ["ringbook.example"], "classes": {}}},
    "client_blocks": {"10.1.0.0/16": "gp-1", "10.2.0.0/16": "wc-1", "10.3.0.0/16": "gauteng"},
}
CONFIG = decode_config(DOCUMENT)


def entry(vm: str, domain: str, **fields) -> Member:
    values = {"state": MemberState.SERVING, "public_address": f"{vm}:80", **fields}
    return Member(
        vm=VmId(vm),
        failure_domain=FailureDomainId(domain),
        incarnation=Incarnation(f"inc-{vm}"),
        internal_address="",
        lending_address="",
        **values,
    )


def fleet(per_domain: int = 2) -> list[Member]:
    return [entry(f"{domain}-{n}", domain) for domain in DOMAINS for n in range(1, per_domain + 1)]


def lookup_with(members: list[Member], config: Config = CONFIG, home: str = "gp-1") -> Lookup:
    lookup = Lookup(failure_domain=FailureDomainId(home))
    lookup.update(state_of(members, config))
    return lookup


def state_of(members: list[Member], config: Config = CONFIG) -> NodeState:
    named = {member.vm: member for member in members}
    return NodeState(config_version=Version(3), config=config, members=named)


def vms(lookup: Lookup, client: str = "10.1.0.1") -> list[str]:
    return [named.vm for named in lookup.answer("ringbook", client).entries]


def domains(lookup: Lookup, client: str) -> list[str]:
    return [named.failure_domain for named in lookup.answer("ringbook", client).entries]


def test_two_of_the_nearest_domain_one_of_its_region_one_of_the_nearest_other_region():
    found = domains(lookup_with(fleet()), "10.1.0.1")
    assert found[:3] == ["gp-1", "gp-1", "gp-2"]
    assert found[3] in ("kzn-1", "kzn-2")


def test_answer_carries_what_a_caller_needs():
    answer = lookup_with([entry("a", "gp-1")]).answer("ringbook", "10.1.0.1")
    assert answer.entries[0].url == "http://a:80"
    assert answer.entries[0].incarnation == "inc-a"
    assert (answer.lifetime_ms, answer.config_version) == (5000, 3)


def test_a_client_in_no_block_is_near_the_answering_vm():
    assert domains(lookup_with(fleet(), home="wc-2"), "8.8.8.8")[0] == "wc-2"


def test_clients_of_a_region_are_spread_over_its_domains():
    config = decode_config(
        DOCUMENT | {"client_blocks": {f"10.3.{n}.0/24": "gauteng" for n in range(40)}}
    )
    lookup = lookup_with(fleet(), config)
    first = {domains(lookup, f"10.3.{n}.1")[0] for n in range(40)}
    assert first == {"gp-1", "gp-2"}


@pytest.mark.parametrize(
    "fields",
    [
        {"state": MemberState.JOINING},
        {"state": MemberState.LEAVING},
        {"state": MemberState.LEFT},
        {"down": True},
        {"public_address": ""},
    ],
)
def test_only_serving_entries_are_named(fields):
    lookup = lookup_with([entry("a", "gp-1", **fields), entry("b", "wc-1")])
    assert vms(lookup) == ["b"]


def test_drained_vms_and_domains_are_not_named():
    drains = {"vms": {"gp-1-1": True, "gp-1-2": False}, "failure_domains": {"gp-2": True}}
    lookup = lookup_with(fleet(), decode_config(DOCUMENT | {"drains": drains}))
    found = vms(lookup)
    assert "gp-1-1" not in found
    assert found[0] == "gp-1-2"
    assert not any(vm.startswith("gp-2") for vm in found)


def test_suspected_entries_come_after_all_others():
    members = [entry("a", "gp-1", suspected=True), entry("b", "gp-1"), entry("c", "wc-1")]
    assert vms(lookup_with(members)) == ["b", "c", "a"]


def test_a_lone_suspected_entry_is_still_named():
    """A VM cut off from its domain suspects all others, which may well serve."""
    assert vms(lookup_with([entry("a", "gp-1", suspected=True)])) == ["a"]


def test_missing_domains_are_filled_up_by_delay():
    members = [entry(f"m{n}", "gp-1") for n in range(3)] + [entry("far", "wc-1")]
    found = vms(lookup_with(members))
    assert found[2] == "far"
    assert sorted(found) == ["far", "m0", "m1", "m2"]


def test_load_moves_clients_and_small_changes_do_not():
    """Callers that change entry with every load report would lose their connections."""
    config = decode_config(
        DOCUMENT | {"client_blocks": {f"10.{n}.0.0/16": "gp-1" for n in range(200)}}
    )

    def firsts(load: float) -> list[str]:
        lookup = lookup_with([entry("a", "gp-1", load=load), entry("b", "gp-1")], config)
        return [vms(lookup, f"10.{n}.0.1")[0] for n in range(200)]

    idle = firsts(0.0)
    assert 70 <= idle.count("a") <= 130
    assert firsts(0.04) == idle
    busy = firsts(0.8)
    assert busy.count("a") < idle.count("a") / 2
    assert all(after == "b" for before, after in zip(idle, busy, strict=True) if before == "b")


def test_the_order_is_that_of_weighted_rendezvous_hashing():
    """Look-up processes of different versions must send a client to the same entry."""
    members = [entry(f"m{n}", "gp-1", load=n / 10) for n in range(8)]
    lookup = lookup_with(members)
    weights = {member.vm: max(0.05, 1.0 - member.load) for member in members}
    for host in ("10.1.0.1", "8.8.8.8", "9.9.9.9"):
        key = lookup.blocks.find(parse_address(host)).key
        group = hash_parts(str(key)) % CLIENT_GROUPS
        assert vms(lookup, host)[:2] == weighted_order(str(group), weights)[:2]


def test_updates_replace_orders_of_changed_domains_only():
    """A kept order could name an entry that has left since."""
    members = fleet()
    lookup = lookup_with(members)
    first = vms(lookup)[0]
    changed = [
        entry(first, "gp-1", state=MemberState.LEAVING) if member.vm == first else member
        for member in members
    ]
    lookup.update(state_of(changed))
    assert first not in vms(lookup)
    moved = [dataclasses.replace(member, incarnation=Incarnation("new")) for member in members]
    lookup.update(state_of(moved))
    answer = lookup.answer("ringbook", "10.1.0.1")
    assert {named.incarnation for named in answer.entries} == {"new"}
    lookup.update(state_of([member for member in members if member.failure_domain != "gp-1"]))
    assert domains(lookup, "10.1.0.1")[0] == "gp-2"


@pytest.mark.parametrize(
    ("service", "client", "code"),
    [
        ("other", "10.1.0.1", ResultCode.UNKNOWN_SERVICE),
        ("ringbook", "10.1", ResultCode.BAD_REQUEST),
        ("ringbook", "10.1.0.1", ResultCode.NO_SITE),
    ],
)
def test_refusals_are_numbered(service: str, client: str, code: ResultCode):
    with pytest.raises(KnapweedError) as refused:
        lookup_with([]).answer(service, client)
    assert refused.value.code is code


def test_without_configuration_the_look_up_is_not_ready():
    with pytest.raises(KnapweedError) as refused:
        Lookup(failure_domain=FailureDomainId("gp-1")).answer("ringbook", "10.1.0.1")
    assert refused.value.code is ResultCode.NOT_READY

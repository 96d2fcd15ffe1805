import random

from knapweeddock.gateway.membership.heartbeats import GatewayPhase
from knapweeddock.gateway.membership.lookups import MAX_GATEWAYS_PER_RESPONSE, choose_gateways
from tests.gateway.support import make_gateway, make_member


def chosen_vms(gateways, members, region: str = "north", domain: str = "north-a") -> list[str]:
    found = choose_gateways(
        region=region,
        failure_domain=domain,
        gateways={entry.vm: entry for entry in gateways},
        members=members,
        rng=random.Random(1),
    )
    return [entry.vm for entry in found]


def test_serving_gateways_of_the_clients_region_are_named():
    gateways = [
        make_gateway("a"),
        make_gateway("b", failure_domain="north-b"),
        make_gateway("c", region="south"),
    ]
    assert chosen_vms(gateways, [make_member(vm) for vm in "abc"]) == ["a", "b"]


def test_gateway_that_leaves_or_starts_is_not_named():
    gateways = [make_gateway("a"), make_gateway("b"), make_gateway("c")]
    members = [
        make_member("a"),
        make_member("b", phase=GatewayPhase.LEAVING),
        make_member("c", phase=GatewayPhase.STARTING),
    ]
    assert chosen_vms(gateways, members) == ["a"]


def test_stale_incarnation_is_not_named():
    gateways = [make_gateway("a"), make_gateway("b", incarnation="second")]
    assert chosen_vms(gateways, [make_member("a"), make_member("b", incarnation="first")]) == ["a"]


def test_other_regions_are_named_if_the_clients_region_has_no_gateway():
    gateways = [make_gateway("c", region="south")]
    assert chosen_vms(gateways, [make_member("c", region="south")]) == ["c"]


def test_gateways_of_large_regions_are_sampled():
    gateways = [make_gateway(f"g{index}") for index in range(200)]
    assert (
        len(chosen_vms(gateways, [make_member(entry.vm) for entry in gateways]))
        == MAX_GATEWAYS_PER_RESPONSE
    )


def test_gateways_that_reach_no_server_are_named_only_if_no_other_does():
    gateways = [make_gateway("a"), make_gateway("b"), make_gateway("c", region="south")]
    cut = make_member("a", reaches_servers=False)
    members = [cut, make_member("b"), make_member("c", region="south")]
    assert chosen_vms(gateways, members) == ["b"]
    # Those of the client's own region come before all others, since peers serve their clients.
    members = [cut, make_member("b", reaches_servers=False), make_member("c", region="south")]
    assert chosen_vms(gateways, members) == ["a", "b"]

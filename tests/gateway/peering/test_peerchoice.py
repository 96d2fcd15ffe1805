"""The choice of peers that serve the clients of gateways without servers."""

import random
from collections import Counter

import pytest

from knapweeddock.gateway.membership.heartbeats import GatewayPhase, Member
from knapweeddock.gateway.peering.peerchoice import (
    FAILURE_PAUSE_S,
    LOAD_MEMORY_S,
    NEAR_REQUESTS,
    PeerChoice,
    PeerView,
    view_peers,
)
from knapweeddock.gateway.records import GatewayEntry
from tests.gateway.support import make_gateway

NOW = 100.0

NEAR = make_gateway("near", failure_domain="north-a")
BESIDE = make_gateway("beside", failure_domain="north-b")
FAR = make_gateway("far", failure_domain="south-a", region="south")


def view(*peers: GatewayEntry, cut_off: int = 1) -> PeerView:
    return PeerView(peers=list(peers), cut_off=cut_off)


def make_choice(vm: str = "own", seed: int = 1) -> PeerChoice:
    own = make_gateway(vm, failure_domain="north-a")
    return PeerChoice(own=own, rng=random.Random(seed))


def test_nearest_peer_is_chosen():
    choice = make_choice()
    assert choice.choose(view(FAR, BESIDE, NEAR), NOW) is NEAR
    assert choice.choose(view(FAR, BESIDE, NEAR), NOW, tried=["near"]) is BESIDE
    assert choice.choose(view(FAR), NOW) is FAR
    assert choice.choose(view(), NOW) is None


def test_regions_of_the_route_bind_the_peer():
    choice = make_choice()
    assert choice.choose(view(NEAR, FAR), NOW, regions={"south"}) is FAR
    assert choice.choose(view(NEAR), NOW, regions={"south"}) is None


def test_peer_that_failed_is_left_out_for_a_moment():
    choice = make_choice()
    choice.record_failure("near", NOW)
    assert choice.choose(view(NEAR, BESIDE), NOW + FAILURE_PAUSE_S - 0.01) is BESIDE
    assert choice.choose(view(NEAR, BESIDE), NOW + FAILURE_PAUSE_S) is NEAR


def test_busy_peer_is_passed_over_for_as_long_as_it_has_said_so():
    choice = make_choice()
    choice.record_load("near", NEAR_REQUESTS, NOW)
    assert choice.choose(view(NEAR, BESIDE), NOW) is BESIDE
    assert choice.choose(view(NEAR), NOW) is NEAR
    assert choice.choose(view(NEAR, BESIDE), NOW + LOAD_MEMORY_S) is NEAR


def make_member(vm: str, **changes) -> Member:
    values = {"vm": vm, "incarnation": "i", "phase": GatewayPhase.SERVING, "region": "north"}
    return Member(**{**values, **changes})


def test_only_live_gateways_that_serve_and_reach_servers_are_usable():
    address = ("10.0.0.9", 7721)
    names = ("own", "fine", "cut", "leaving", "restarted", "older", "silent")
    gateways = {
        name: make_gateway(
            name, incarnation="i", forwarding_address=None if name == "older" else address
        )
        for name in names
    }
    members = [
        make_member("own"),
        make_member("fine"),
        make_member("cut", reaches_servers=False),
        make_member("leaving", phase=GatewayPhase.LEAVING),
        make_member("restarted", incarnation="j"),
        make_member("older"),
        make_member("unregistered"),
    ]
    seen = view_peers(gateways["own"], gateways, members)
    assert [entry.vm for entry in seen.peers] == ["fine"]
    assert seen.cut_off == 2


@pytest.mark.parametrize(
    ("gateways", "cut", "rate_per_s"),
    [(3, 2, 30.0), (64, 21, 12.0), (195, 21, 6.0), (195, 22, 6.0)],
    ids=["two of three", "a domain of 64", "most of a domain of 195", "a domain of 195"],
)
def test_gateways_of_a_domain_at_the_peak_spread_over_those_that_are_left(
    gateways, cut, rate_per_s
):
    # Each of them knows only what peers tell with their responses. One or two peers of the
    # domain that got all would be overloaded while the rest of the region is idle.
    in_domain = 3 if gateways == 3 else 22
    region = [
        make_gateway(f"g{index}", failure_domain="north-a" if index < in_domain else "north-b")
        for index in range(min(gateways, 65))
    ]
    peers = region[cut:]
    choices = [make_choice(entry.vm, seed) for seed, entry in enumerate(region[:cut])]
    busy_s = 0.8
    active: Counter[str] = Counter(dict.fromkeys((p.vm for p in peers), round(rate_per_s * busy_s)))
    running: list[tuple[float, PeerChoice, str]] = []
    most = 0
    step_s = 1 / (rate_per_s * cut)
    for step in range(int(6.0 / step_s)):
        now = NOW + step * step_s
        while running and running[0][0] <= now:
            _, choice, vm = running.pop(0)
            choice.record_end(vm)
            choice.record_load(vm, active[vm], now)
            active[vm] -= 1
        choice = choices[step % cut]
        peer = choice.choose(view(*peers, cut_off=cut), now)
        choice.record_sent(peer.vm)
        active[peer.vm] += 1
        running.append((now + busy_s, choice, peer.vm))
        most = max(most, active[peer.vm])
    fair = (rate_per_s * busy_s * cut) / len(peers) + rate_per_s * busy_s
    assert most <= max(2 * NEAR_REQUESTS, 2 * fair)

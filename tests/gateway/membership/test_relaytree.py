import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.membership.relaymessages import ConfigUpdate, encode
from knapweeddock.gateway.membership.relaytree import RELAY_FAN_OUT, RelayTree, relay_order
from knapweeddock.gateway.store.configpatch import make_patch
from tests.gateway.support import at
from tests.gateway.test_large_configurations import (
    CONFIG_BOUND_S,
    NARROW_LINK_BYTES_PER_S,
    large_config,
)

NAMES = [f"vm-{number}" for number in range(9)]
LINKS = st.fixed_dictionaries({}, optional={name: st.sampled_from([10.0, 200.0]) for name in NAMES})


def make_tree(size: int, *, wide: int = 0) -> RelayTree:
    links = {f"vm-{number}": 200.0 if number < wide else 10.0 for number in range(size)}
    return RelayTree(order=relay_order("north", links))


def seconds_until_known(tree: RelayTree, vm: str, size_bytes: int) -> float:
    """Return when a message has reached ``vm``: each relay sends it to all at once."""
    sources = tree.sources(vm)
    if not sources:
        return 0.0
    relay = sources[0]
    subscribers = sum(tree.sources(other)[:1] == [relay] for other in tree.order)
    sending_s = subscribers * size_bytes / NARROW_LINK_BYTES_PER_S
    return seconds_until_known(tree, relay, size_bytes) + sending_s


def two_thousand_routes_bytes() -> int:
    """Return the size of the change that adds two thousand routes."""
    config = large_config(version=8)
    smaller = dataclasses.replace(config, version=7, routes=config.routes[:10])
    patch = make_patch(smaller, config)
    return len(encode(ConfigUpdate(name="main", patch=patch, position=at(1))))


@pytest.mark.parametrize("size", [6, 22, 64, 65, 195])
def test_two_thousand_routes_more_reach_a_region_of_narrow_links_in_time(size):
    """Two thousand routes more, in a region of any size in which all links are narrow.

    With one relay for the region the time grew with its size.
    """
    tree = make_tree(size)
    message_bytes = two_thousand_routes_bytes()
    slowest = max(seconds_until_known(tree, vm, message_bytes) for vm in tree.order)
    assert slowest < CONFIG_BOUND_S


@pytest.mark.parametrize("size", [3, 11, 12, 22, 65, 195, 1000])
def test_load_of_a_relay_does_not_grow_with_the_region(size):
    tree = make_tree(size)
    first = [tree.sources(vm)[0] for vm in tree.order[1:]]
    for relay in tree.relays[1:]:
        assert first.count(relay) <= 3 * RELAY_FAN_OUT
    assert first.count(tree.order[0]) <= max(RELAY_FAN_OUT, size / RELAY_FAN_OUT)


def test_widest_links_come_first():
    # All gateways of a region that start together take its whole state from the relays.
    tree = make_tree(65, wide=9)
    assert set(tree.relays) <= {f"vm-{number}" for number in range(9)}


@given(links=LINKS)
def test_no_two_gateways_subscribe_to_each_other(links):
    # Two relays that subscribed to each other would receive no changes at all.
    tree = RelayTree(order=relay_order("north", links))
    for vm in tree.order:
        for source in tree.sources(vm):
            assert vm not in tree.sources(source)


@given(links=LINKS, hidden=st.sets(st.sampled_from(NAMES)))
def test_gateways_that_know_different_others_agree_on_the_order(links, hidden):
    some = {vm: link for vm, link in links.items() if vm not in hidden}
    order = relay_order("north", links)
    assert relay_order("north", some) == [vm for vm in order if vm in some]


def test_second_relay_takes_the_place_of_the_root():
    tree = make_tree(65)
    rest = RelayTree(order=tree.order[1:])
    assert rest.relays[0] == tree.relays[1]
    assert rest.sources(tree.relays[1]) == []


def test_gateways_of_a_small_region_have_no_relay():
    tree = make_tree(2)
    assert [tree.sources(vm) for vm in tree.order] == [[], []]

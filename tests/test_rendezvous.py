"""Rendezvous hashing: guards against an uneven distribution and unnecessary reassignments."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock.rendezvous import assign_bounded, weighted_order

KEYS = [f"key-{number}" for number in range(600)]


@settings(derandomize=True, max_examples=50, deadline=None)
@given(keys=st.integers(0, 60), nodes=st.sets(st.sampled_from("abcdefgh"), min_size=1))
def test_nodes_get_numbers_of_keys_that_differ_by_one_at_most(keys, nodes):
    """Guards against an entry that owns no slot and has to borrow one for every request."""
    owners = assign_bounded(KEYS[:keys], nodes)
    counts = [owners.count(node) for node in nodes]
    assert sum(counts) == keys
    assert max(counts) - min(counts) <= 1


def test_most_keys_stay_when_a_node_leaves():
    """Guards against reassigning most keys, which would hand over most slots of a site."""
    nodes = [f"vm-{number}" for number in range(12)]
    before = assign_bounded(KEYS, nodes)
    after = assign_bounded(KEYS, nodes[:-1])
    moved = sum(1 for old, new in zip(before, after, strict=True) if old != new)
    assert moved < len(KEYS) / 3


def test_weights_determine_the_fraction_of_keys():
    firsts = Counter(weighted_order(key, {"a": 3.0, "b": 1.0})[0] for key in KEYS)
    assert 0.70 < firsts["a"] / len(KEYS) < 0.80

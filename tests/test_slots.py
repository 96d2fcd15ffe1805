"""Slots: guards against ranks, limits and view ids that let caps be exceeded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock.model import BackendServer, Site
from knapweeddock.slots import (
    RankLimits,
    ViewMember,
    apportion,
    make_view,
    rank_limits,
    ranked_slots,
    share_rank_bands,
)

LIMITS = RankLimits(shift_cap=4, by_region={"R": 2})
MEMBERS = [ViewMember("v1", "i1", True), ViewMember("v2", "i2", True)]


def make_site(slots=(3, 3), cap=None, **more):
    servers = {f"s{n}": BackendServer(address=f"h{n}:1", slots=c) for n, c in enumerate(slots)}
    return Site(pool="p", failure_domain="d", servers=servers, cap=cap, **more)


def test_ranks_go_over_all_servers_first():
    ranked = ranked_slots("site", make_site(cap=4))
    assert [(slot.server, slot.index) for slot in ranked] == [
        ("s0", 0),
        ("s1", 0),
        ("s0", 1),
        ("s1", 1),
    ]


def test_servers_with_different_slots_leave_no_gap_in_the_ranks():
    """With gaps, slots of the larger server would rank above the cap and stay unused."""
    ranked = ranked_slots("site", make_site(slots=(3, 1)))
    assert [slot.rank for slot in ranked] == [0, 1, 2, 3]


@settings(derandomize=True, max_examples=80, deadline=None)
@given(total=st.integers(0, 50), weights=st.lists(st.integers(0, 20), min_size=1, max_size=6))
def test_parts_of_a_link_cap_add_up(total, weights):
    """Parts that are rounded one by one could add up to more than the cap."""
    parts = apportion(total, {f"s{n}": weight for n, weight in enumerate(weights)})
    assert sum(parts.values()) == (total if sum(weights) else 0)


def test_the_lower_of_shift_cap_and_link_part_limits_a_region():
    site = make_site(shift_cap=3)
    limits = rank_limits("x", site, "home", {"x": 6, "y": 2}, {"near": 2, "far": 40, "home": 1})
    assert limits.for_region("near") == 2
    assert limits.for_region("far") == 3
    assert limits.for_region("home") == 3
    assert limits.for_region("elsewhere") == 3


def test_view_id_covers_roles_and_limits():
    """With the same id for different owners or limits, use under both could exceed the limits."""
    slots = ranked_slots("site", make_site())
    ids = {
        make_view(slots, MEMBERS, LIMITS).id,
        make_view(slots, [MEMBERS[0], ViewMember("v2", "i2", False)], LIMITS).id,
        make_view(slots, [MEMBERS[0], ViewMember("v2", "i3", True)], LIMITS).id,
        make_view(slots, MEMBERS, RankLimits(shift_cap=3, by_region={"R": 2})).id,
        make_view(slots, MEMBERS, RankLimits(shift_cap=4, by_region={"R": 1})).id,
        make_view(slots[:-1], MEMBERS, LIMITS).id,
    }
    assert len(ids) == 6


def test_share_bands_are_consecutive_in_name_order():
    assert share_rank_bands({"b": 2, "a": 3}) == {"a": range(0, 3), "b": range(3, 5)}

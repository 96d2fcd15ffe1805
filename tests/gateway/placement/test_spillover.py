import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.placement.spillover import (
    CACHED_OBJECTS_PER_SERVER,
    TARGET_UTILIZATION,
    RegionLoad,
    SpilloverShares,
    compute_shares,
    initial_shares,
)

REGIONS = ["east", "north", "south"]


def region_loads(offered_load: dict[str, float], slots: dict[str, int]) -> dict[str, RegionLoad]:
    return {
        region: RegionLoad(
            offered_load=offered_load.get(region, 0.0),
            slots=slots.get(region, 0),
            servers=slots.get(region, 0),
        )
        for region in {*offered_load, *slots}
    }


def test_region_with_enough_servers_keeps_its_requests():
    found = compute_shares(
        "north", region_loads({"north": 3.0, "south": 3.0}, {"north": 12, "south": 12})
    )
    assert found == {"north": 1.0}


def test_excess_goes_where_there_is_room():
    # Daily peak of a region with few servers, while the other regions are nearly idle.
    slots = {"north": 12, "south": 48, "east": 36}
    shares = compute_shares(
        "north", region_loads({"north": 12.0, "south": 5.0, "east": 5.0}, slots)
    )
    assert shares["north"] == pytest.approx(TARGET_UTILIZATION * 12 / 12.0)
    assert shares["south"] > shares["east"] > 0
    assert sum(shares.values()) == pytest.approx(1.0)


def test_objects_that_the_servers_cannot_keep_go_elsewhere():
    # If more objects are requested than the few servers can cache, every request is a
    # cache miss.
    crowded = RegionLoad(offered_load=5.0, objects=400, slots=39, servers=13)
    empty = RegionLoad(offered_load=5.0, objects=100, slots=192, servers=64)
    shares = compute_shares("north", {"north": crowded, "south": empty})
    assert shares["north"] == pytest.approx(CACHED_OBJECTS_PER_SERVER * 13 / 400)


def test_region_without_servers_sends_everything_away():
    assert compute_shares("north", region_loads({"north": 5.0}, {"south": 12})) == {"south": 1.0}


def test_nothing_known_keeps_requests_at_home():
    assert compute_shares("north", {}) == {"north": 1.0}


@given(
    work=st.dictionaries(st.sampled_from(REGIONS), st.floats(0, 200)),
    slots=st.dictionaries(st.sampled_from(REGIONS), st.integers(1, 100)),
)
def test_all_regions_are_loaded_alike_when_slots_are_short(work, slots):
    # No region may get more than its slots handle at the common utilization.
    load_by_region = {region: 0.0 for region in REGIONS}
    for origin, amount in work.items():
        shares = compute_shares(origin, region_loads(work, slots))
        assert sum(shares.values()) == pytest.approx(1.0)
        for region, share in shares.items():
            load_by_region[region] += share * amount
    if slots:
        utilization = max(TARGET_UTILIZATION, sum(work.values()) / sum(slots.values()))
        for region, count in slots.items():
            assert load_by_region[region] <= utilization * count + 1e-6


def test_region_with_few_servers_gives_requests_away_from_the_start():
    # All gateways start at the daily peak, and the shares change only slowly afterwards.
    slots = {"north": 12, "south": 48, "east": 36}
    shares = initial_shares("north", region_loads({}, slots))
    assert shares["north"] < 0.5
    assert initial_shares("south", region_loads({}, slots)) == {"south": 1.0}


def spillover_shares() -> SpilloverShares:
    return SpilloverShares(origin="north", max_share_change_per_s=0.04)


def moved_fraction(before: dict[str, float], after: dict[str, float]) -> float:
    return sum(abs(after.get(r, 0.0) - before.get(r, 0.0)) for r in REGIONS) / 2


def test_shares_follow_a_sudden_target_at_a_bounded_rate():
    # A burst makes the target jump: half of the requests are to run in another region.
    shares = spillover_shares()
    target = {"north": 0.5, "south": 0.5}
    shares.move_towards(target, 0.0)
    before = dict(shares.current)
    assert before == {"north": 1.0}
    for tick in range(1, 9):
        shares.move_towards(target, tick * 0.25)
    assert moved_fraction(before, shares.current) == pytest.approx(0.08)
    for tick in range(9, 100):
        shares.move_towards(target, tick * 0.25)
    assert shares.current == pytest.approx(target)


def test_gateway_that_starts_takes_over_the_shares_of_others():
    shares = spillover_shares()
    shares.initialize({"north": 0.6, "south": 0.4})
    shares.move_towards({"north": 1.0}, 0.0)
    assert shares.current == {"north": 0.6, "south": 0.4}


def test_long_pause_does_not_allow_a_jump():
    shares = spillover_shares()
    shares.move_towards({"north": 1.0}, 0.0)
    shares.move_towards({"south": 1.0}, 60.0)
    assert shares.current["south"] <= 0.04


def test_objects_leave_one_by_one_and_the_same_ones_return():
    positions = [index / 50 for index in range(50)]
    shares = spillover_shares()
    shares.current = {"north": 0.6, "south": 0.4}
    away = {position for position in positions if shares.region_at(position) == "south"}
    shares.current = {"north": 0.8, "south": 0.2}
    still_away = {position for position in positions if shares.region_at(position) == "south"}
    assert still_away < away
    assert len(away) == 20

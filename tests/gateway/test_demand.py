import pytest

from knapweeddock.gateway.demand import Demand, RequestRate
from knapweeddock.gateway.processingtimes import ProcessingTimes
from tests.gateway.support import SERVICE, make_fleet, make_gateway, make_route, make_server
from tests.gateway.test_peers import heartbeat


def demand_of(*heartbeats, gateways=()) -> Demand:
    fleet = make_fleet(make_server("near"), make_server("far", region="south", slots=30))
    work = ProcessingTimes()
    work.observe(make_route(), SERVICE, cached=True, processing_s=0.2)
    return Demand(
        region="north",
        fleet=fleet,
        processing_times=work,
        shift_limit=0.15,
        heartbeats=lambda: heartbeats,
        gateways=lambda: gateways,
    )


def send_requests(
    demand: Demand, rate_per_s: float, duration_s: float, start: float = 0.0
) -> float:
    for index in range(int(rate_per_s * duration_s)):
        demand.record_request(SERVICE, start + index / rate_per_s)
    return start + duration_s


def test_rate_follows_requests():
    rate = RequestRate()
    for index in range(200):
        rate.record(index * 0.05)
    assert rate.per_s(10.0) == pytest.approx(20.0, rel=0.1)
    assert rate.per_s(30.0) < 0.1


def test_work_is_rate_times_time():
    demand = demand_of()
    now = send_requests(demand, 20.0, 10.0)
    assert demand.offered_load(now)[SERVICE] == pytest.approx(4.0, rel=0.1)


def test_work_of_the_other_gateways_counts():
    # A single gateway sees only a part of its region's load.
    demand = demand_of(heartbeat("two", work={SERVICE: 6.0}))
    now = send_requests(demand, 2.0, 2.0)
    for _ in range(400):
        now += 0.1
        demand.record_request(SERVICE, now)
        demand.update_shares(now)
    assert demand.spillover[SERVICE].current["south"] > 0.5


def test_gateway_that_starts_joins_the_shares_of_its_region():
    demand = demand_of(
        heartbeat("two", shares={SERVICE: {"north": 0.5, "south": 0.5}}),
        heartbeat("far", region="south", shares={SERVICE: {"south": 1.0}}),
    )
    demand.update_shares(0.0)
    now = send_requests(demand, 2.0, 2.0)
    demand.update_shares(now)
    assert demand.shares()[SERVICE] == {"north": 0.5, "south": 0.5}


def test_first_request_finds_the_assumed_shares():
    """All gateways restart at the peak and receive requests at once.

    Shares that began with the own region alone would overload a region with few
    servers until they have changed.
    """
    demand = demand_of()
    demand.record_request(SERVICE, 0.0)
    assert demand.shares()[SERVICE]["south"] > 0.5
    demand.update_shares(0.1)
    assert demand.shares()[SERVICE]["south"] > 0.5


def test_first_request_finds_the_shares_of_the_others():
    shares = {"north": 0.6, "south": 0.4}
    demand = demand_of(heartbeat("two", shares={SERVICE: shares}))
    demand.record_request(SERVICE, 0.0)
    assert demand.shares()[SERVICE] == shares


def test_shares_follow_the_servers_until_there_is_traffic():
    demand = demand_of()
    demand.update_shares(0.0)
    assert demand.shares()[SERVICE]["north"] < 0.5
    demand.fleet.deregister("far", 0.5, grace_s=0.0)
    demand.update_shares(1.0)
    assert demand.shares()[SERVICE] == {"north": 1.0}


def test_gateways_that_are_not_heard_count_like_those_of_their_region():
    # In a large fleet, heartbeats arrive from only a few gateways of other regions.
    registered = [make_gateway(f"f{index}", region="south") for index in range(20)]
    demand = demand_of(
        heartbeat("f1", region="south", work={SERVICE: 1.0}),
        heartbeat("f2", region="south", work={SERVICE: 2.0}),
        gateways=registered,
    )
    others = list(demand.heartbeats())
    loads = demand._region_loads(SERVICE, 0.0, others)
    assert loads["south"].offered_load == 30.0
    assert loads["south"].objects == 40

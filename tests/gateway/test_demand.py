import pytest

from knapweeddock.gateway.demand import RequestRate, SpilloverController
from knapweeddock.gateway.processingtimes import ProcessingTimes
from tests.gateway.support import SERVICE, make_fleet, make_gateway, make_route, make_server
from tests.gateway.test_peers import heartbeat


def make_controller(*heartbeats, gateways=()) -> SpilloverController:
    fleet = make_fleet(make_server("near"), make_server("far", region="south", slots=30))
    processing_times = ProcessingTimes()
    processing_times.observe(make_route(), SERVICE, cached=True, processing_s=0.2)
    return SpilloverController(
        region="north",
        fleet=fleet,
        processing_times=processing_times,
        shift_limit=0.15,
        heartbeats=lambda: heartbeats,
        gateways=lambda: gateways,
    )


def send_requests(
    controller: SpilloverController, rate_per_s: float, duration_s: float, start: float = 0.0
) -> float:
    for index in range(int(rate_per_s * duration_s)):
        controller.record_request(SERVICE, start + index / rate_per_s)
    return start + duration_s


def test_rate_follows_requests():
    rate = RequestRate()
    for index in range(200):
        rate.record(index * 0.05)
    assert rate.per_s(10.0) == pytest.approx(20.0, rel=0.1)
    assert rate.per_s(30.0) < 0.1


def test_work_is_rate_times_time():
    controller = make_controller()
    now = send_requests(controller, 20.0, 10.0)
    assert controller.offered_load(now)[SERVICE] == pytest.approx(4.0, rel=0.1)


def test_work_of_the_other_gateways_counts():
    # A single gateway sees only a part of its region's load.
    controller = make_controller(heartbeat("two", work={SERVICE: 6.0}))
    now = send_requests(controller, 2.0, 2.0)
    for _ in range(400):
        now += 0.1
        controller.record_request(SERVICE, now)
        controller.update_shares(now)
    assert controller.shares_by_service[SERVICE].current["south"] > 0.5


def test_gateway_that_starts_joins_the_shares_of_its_region():
    controller = make_controller(
        heartbeat("two", shares={SERVICE: {"north": 0.5, "south": 0.5}}),
        heartbeat("far", region="south", shares={SERVICE: {"south": 1.0}}),
    )
    controller.update_shares(0.0)
    now = send_requests(controller, 2.0, 2.0)
    controller.update_shares(now)
    assert controller.shares()[SERVICE] == {"north": 0.5, "south": 0.5}


def test_first_request_finds_the_assumed_shares():
    """All gateways restart at the peak and receive requests at once.

    Shares that began with the own region alone would overload a region with few
    servers until they have changed.
    """
    controller = make_controller()
    controller.record_request(SERVICE, 0.0)
    assert controller.shares()[SERVICE]["south"] > 0.5
    controller.update_shares(0.1)
    assert controller.shares()[SERVICE]["south"] > 0.5


def test_first_request_finds_the_shares_of_the_others():
    shares = {"north": 0.6, "south": 0.4}
    controller = make_controller(heartbeat("two", shares={SERVICE: shares}))
    controller.record_request(SERVICE, 0.0)
    assert controller.shares()[SERVICE] == shares


def test_shares_follow_the_servers_until_there_is_traffic():
    controller = make_controller()
    controller.update_shares(0.0)
    assert controller.shares()[SERVICE]["north"] < 0.5
    controller.fleet.deregister("far", 0.5, grace_s=0.0)
    controller.update_shares(1.0)
    assert controller.shares()[SERVICE] == {"north": 1.0}


def test_gateways_that_are_not_heard_count_like_those_of_their_region():
    # If there are many gateways, heartbeats arrive from only a few of other regions.
    # Without ``objects``, ``heartbeat`` reports 40.
    registered = [make_gateway(f"f{index}", region="south") for index in range(20)]
    controller = make_controller(
        heartbeat("f1", region="south", work={SERVICE: 1.0}),
        heartbeat("f2", region="south", work={SERVICE: 2.0}),
        gateways=registered,
    )
    others = list(controller.heartbeats())
    loads = controller._region_loads(SERVICE, 0.0, others)
    assert loads["south"].offered_load == 30.0
    assert loads["south"].objects == 40

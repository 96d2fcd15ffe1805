import pytest

from knapweeddock.gateway.membership.heartbeats import Heartbeat
from knapweeddock.gateway.placement.demand import RequestRate, SpilloverController
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from tests.gateway.support import (
    SERVICE,
    make_feed,
    make_fleet,
    make_heartbeat,
    make_route,
    make_server,
)


class Clock:
    """Time at which the demand of this gateway is measured."""

    now = 0.0


def make_controller(*heartbeats: Heartbeat, clock: Clock | None = None) -> SpilloverController:
    """Return a controller that has heard ``heartbeats`` of other gateways."""
    clock = clock or Clock()
    fleet = make_fleet(make_server("near"), make_server("far", region="south", slots=30))
    processing_times = ProcessingTimes()
    processing_times.observe(make_route(), SERVICE, cached=True, processing_s=0.2)

    def own_heartbeat() -> Heartbeat:
        return make_heartbeat(
            "one",
            work=controller.offered_load(clock.now),
            objects=controller.object_counts(clock.now),
            shares=controller.shares(),
        )

    feed = make_feed("one", own_heartbeat=own_heartbeat)
    for heartbeat in heartbeats:
        feed.record_heartbeat(heartbeat, 0.0)
    controller = SpilloverController(
        region="north",
        fleet=fleet,
        processing_times=processing_times,
        shift_limit=0.15,
        region_demands=lambda: feed.region_demands(0.0),
    )
    return controller


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
    clock = Clock()
    controller = make_controller(make_heartbeat("two", work={SERVICE: 6.0}), clock=clock)
    now = send_requests(controller, 2.0, 2.0)
    for _ in range(400):
        now += 0.1
        clock.now = now
        controller.record_request(SERVICE, now)
        controller.update_shares(now)
    assert controller.shares_by_service[SERVICE].current["south"] > 0.5


def test_gateway_that_starts_joins_the_shares_of_its_region():
    controller = make_controller(
        make_heartbeat("two", shares={SERVICE: {"north": 0.5, "south": 0.5}}),
        make_heartbeat("far", region="south", shares={SERVICE: {"south": 1.0}}),
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
    controller = make_controller(make_heartbeat("two", shares={SERVICE: shares}))
    controller.record_request(SERVICE, 0.0)
    assert controller.shares()[SERVICE] == shares


def test_shares_follow_the_servers_until_there_is_traffic():
    controller = make_controller()
    controller.update_shares(0.0)
    assert controller.shares()[SERVICE]["north"] < 0.5
    controller.fleet.deregister("far", 0.5, grace_s=0.0)
    controller.update_shares(1.0)
    assert controller.shares()[SERVICE] == {"north": 1.0}

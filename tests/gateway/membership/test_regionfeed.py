import msgspec

from knapweeddock.gateway.membership.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    GatewayPhase,
)
from knapweeddock.gateway.membership.regionfeed import DEMAND_TIMEOUT_S, SAMPLE_SIZE, RegionFeed
from knapweeddock.gateway.membership.relay import PULSE_INTERVAL_S, REPORT_INTERVAL_S
from tests.gateway.support import SERVICE, make_feed, make_heartbeat, make_member

STEP_S = 0.05


class Region:
    """Feeds of one relay and its subscribers, in virtual time without delays."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.phases = {f"vm-{number}": GatewayPhase.SERVING for number in range(size)}
        self.feeds = {vm: self._make_feed(vm) for vm in self.phases}
        self.relay = self.feeds["vm-0"]
        self.subscribers = [vm for vm in self.feeds if vm != "vm-0"]
        self.received_bytes = dict.fromkeys(self.feeds, 0)
        for vm in self.subscribers:
            self.feeds[vm].start_subscription()

    def _make_feed(self, vm: str) -> RegionFeed:
        def own_heartbeat():
            return make_heartbeat(vm, member=make_member(vm, phase=self.phases[vm]))

        return make_feed(vm, own_heartbeat=own_heartbeat)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if self._is_due(REPORT_INTERVAL_S):
                for vm in self.subscribers:
                    self.relay.apply_report(self.feeds[vm].take_report(self.now), self.now)
            if self._is_due(PULSE_INTERVAL_S):
                pulse = self.relay.take_pulse(self.now, connected=True)
                for vm in self.subscribers:
                    self.feeds[vm].apply_pulse(pulse, self.now)
                    self.received_bytes[vm] += len(msgspec.msgpack.encode(pulse))

    def _is_due(self, interval_s: float) -> bool:
        return round(self.now / STEP_S) % round(interval_s / STEP_S) == 0

    def known_by(self, vm: str) -> set[str]:
        return {member.vm for member in self.feeds[vm].live_members(self.now)}


def test_every_gateway_knows_all_that_live():
    region = Region(40)
    region.run(2.0)
    assert all(region.known_by(vm) == set(region.feeds) for vm in region.feeds)


def test_gateway_that_ends_or_leaves_is_known_in_time():
    region = Region(10)
    region.run(2.0)
    region.phases["vm-3"] = GatewayPhase.LEAVING
    region.feeds["vm-3"].announce()
    region.run(REPORT_INTERVAL_S + PULSE_INTERVAL_S + STEP_S)
    assert "vm-3" not in region.feeds["vm-7"].live_gateways(region.now)
    region.subscribers.remove("vm-5")
    region.run(HEARTBEAT_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
    assert "vm-5" not in region.known_by("vm-7")


def test_gateways_are_remembered_until_the_next_relay_tells():
    # All of a region lose their relay at once and must agree on the next one.
    region = Region(10)
    region.run(2.0)
    for vm in region.subscribers:
        later = region.now + HEARTBEAT_TIMEOUT_S - 0.1
        assert len(region.feeds[vm].live_gateways(later)) == 10
        assert region.feeds[vm].live_gateways(later + 1.0) == [vm]


def test_demand_of_all_gateways_reaches_each():
    region = Region(20)
    region.run(3.0)
    for vm in ("vm-0", "vm-9"):
        demand = region.feeds[vm].region_demands(region.now)["north"]
        assert demand.work[SERVICE] == 20 * 1.5


def test_demand_outlasts_the_relay_for_a_while():
    # A region without demand would attract the requests of the others.
    region = Region(5)
    region.run(2.0)
    feed = region.feeds["vm-2"]
    assert feed.region_demands(region.now + DEMAND_TIMEOUT_S - 1)["north"].work[SERVICE] == 7.5
    assert feed.region_demands(region.now + DEMAND_TIMEOUT_S + 1)["north"].work[SERVICE] == 1.5


def test_summary_of_another_region_reaches_all_through_any_gateway():
    region = Region(5)
    region.run(1.0)
    far = make_feed("far-0", region="south", region_sizes=lambda: {"south": 1})
    region.feeds["vm-4"].record_summary(far.summary(region.now), region.now)
    region.run(1.0)
    demands = region.feeds["vm-2"].region_demands(region.now)
    assert demands["south"].work == {SERVICE: 1.5}
    assert "far-0" in region.known_by("vm-2")


def test_summary_names_some_gateways_only():
    region = Region(50)
    region.run(2.0)
    assert len(region.relay.summary(region.now).members) == SAMPLE_SIZE


def test_gateway_that_looks_for_a_relay_is_passed_on_to_the_relay():
    # Two gateways that each believe to be the only relay must learn of each other.
    region = Region(5)
    region.run(1.0)
    region.feeds["vm-3"].record_heartbeat(make_heartbeat("vm-9"), region.now)
    region.run(1.0)
    assert "vm-9" in region.known_by("vm-0")


def test_bytes_for_each_gateway_do_not_grow_with_the_region():
    rates = []
    for size in (10, 130):
        region = Region(size)
        region.run(3.0)
        before = region.received_bytes["vm-1"]
        region.run(10.0)
        rates.append((region.received_bytes["vm-1"] - before) / 10.0)
    assert rates[1] <= 1.2 * rates[0]
    # What a gateway may spend on control is 2 KB/s.
    assert max(rates) < 2000


def test_other_regions_hear_of_gateways_that_reach_servers():
    # They may have to serve the callers of a region that is cut off as a whole.
    feed = make_feed("one")
    for index in range(12):
        member = make_member(f"g{index}", reaches_servers=index == 7)
        heartbeat = msgspec.structs.replace(make_heartbeat(f"g{index}"), member=member)
        feed.record_heartbeat(heartbeat, 0.0)
    assert "g7" in {member.vm for member in feed.summary(0.0).members}
    assert len(feed.summary(0.0).members) <= 2

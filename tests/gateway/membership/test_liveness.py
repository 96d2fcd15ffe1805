from knapweeddock.gateway.membership.heartbeats import HEARTBEAT_TIMEOUT_S, GatewayPhase
from knapweeddock.gateway.membership.liveness import Liveness
from tests.gateway.support import make_heartbeat, make_member

NOW = 100.0


def make_liveness(*heard: str) -> Liveness:
    liveness = Liveness(vm="one")
    for vm in heard:
        liveness.record_heartbeat(make_heartbeat(vm), NOW)
    return liveness


def test_silent_gateway_is_not_alive():
    liveness = make_liveness("two")
    assert list(liveness.live_members(NOW + HEARTBEAT_TIMEOUT_S - 0.1)) == ["two"]
    assert liveness.live_members(NOW + HEARTBEAT_TIMEOUT_S + 0.1) == {}


def test_own_heartbeat_that_comes_back_does_not_count():
    assert make_liveness("one").live_members(NOW) == {}


def test_gateways_that_a_relay_names_live_while_it_tells():
    liveness = make_liveness()
    liveness.apply_relayed([make_member("two"), make_member("one")], [], NOW, complete=True)
    assert list(liveness.live_members(NOW + HEARTBEAT_TIMEOUT_S - 0.1)) == ["two"]
    liveness.confirm_relay(NOW + 10)
    assert list(liveness.live_members(NOW + 9.9 + HEARTBEAT_TIMEOUT_S)) == ["two"]
    assert liveness.live_members(NOW + 10.1 + HEARTBEAT_TIMEOUT_S) == {}


def test_next_relay_replaces_what_the_one_before_told():
    liveness = make_liveness()
    liveness.apply_relayed([make_member("two"), make_member("three")], [], NOW, complete=True)
    liveness.apply_relayed([], ["two"], NOW, complete=False)
    assert list(liveness.live_members(NOW)) == ["three"]
    liveness.apply_relayed([make_member("four")], [], NOW, complete=True)
    assert list(liveness.live_members(NOW)) == ["four"]


def test_gateway_that_leaves_is_leaving_whoever_says_so():
    # Its last heartbeat to another gateway may say that it serves.
    leaving = make_member("two", phase=GatewayPhase.LEAVING)
    liveness = make_liveness("two")
    liveness.apply_relayed([leaving], [], NOW - 1, complete=False)
    assert liveness.live_members(NOW)["two"].phase is GatewayPhase.LEAVING
    assert liveness.live_in_region("north", NOW) == []


def test_next_start_of_a_gateway_replaces_the_one_before():
    liveness = make_liveness("two")
    restarted = make_member("two", incarnation="two-2", phase=GatewayPhase.STARTING)
    liveness.apply_relayed([restarted], [], NOW + 1, complete=False)
    assert liveness.live_members(NOW + 1)["two"] == restarted


def test_sampled_gateways_of_other_regions_expire():
    liveness = make_liveness()
    liveness.record_sample([make_member("far", region="south")], NOW)
    assert list(liveness.live_members(NOW + 1)) == ["far"]
    liveness.drop_silent(NOW + HEARTBEAT_TIMEOUT_S + 0.1)
    assert liveness.live_members(NOW + 1) == {}

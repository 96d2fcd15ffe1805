"""Whether a gateway is at fault itself, and what its failures say of servers."""

import random

import pytest

from knapweeddock.gateway.evidence.reach import (
    CHECK_INTERVAL_S,
    CHECKED_SERVERS,
    PROBE_SPREAD_S,
    SILENCE_S,
    WITHHELD_S,
    Reach,
    ReachState,
)
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from tests.gateway.support import SERVICE, make_fleet, make_server, server_state

NOW = 100.0


def make_reach(servers: int = 6, domains: int = 3) -> Reach:
    entries = [
        make_server(f"s{index}", failure_domain=f"d{index % domains}") for index in range(servers)
    ]
    return Reach(
        service=SERVICE,
        fleet=make_fleet(*entries),
        rng=random.Random(1),
        on_change=lambda: None,
    )


def fail(reach: Reach, name: str, now: float, given_out: list[str]) -> None:
    """Record that a server could not be reached, with evidence of that."""
    server_state(reach.fleet, name).health.record_unreachable(now)
    reach.record_failed(name, now)
    reach.withhold(lambda: given_out.append(name), now)


def cut_off(reach: Reach, now: float) -> None:
    """Let a gateway find out that it is cut off."""
    fail(reach, "s0", now, [])
    reach.record_check(reached=0, checked=CHECKED_SERVERS, now=now)
    reach.record_served_by_peer(now)
    assert reach.state is ReachState.CUT_OFF


def test_end_of_a_server_is_told_once_another_one_is_reached():
    # A failure before the connection that shows it says nothing of the gateway.
    reach = make_reach()
    given_out: list[str] = []
    reach.record_connected(NOW - 0.1)
    fail(reach, "s0", NOW, given_out)
    assert given_out == []
    assert reach.is_check_due(NOW)
    reach.record_check(reached=1, checked=CHECKED_SERVERS, now=NOW + 0.01)
    assert given_out == ["s0"]
    assert not reach.is_check_due(NOW + 10.0)


def test_ends_of_all_servers_are_told_after_a_moment_if_no_peer_reaches_any():
    reach = make_reach()
    given_out: list[str] = []
    for index in range(6):
        fail(reach, f"s{index}", NOW, given_out)
    reach.record_check(reached=0, checked=CHECKED_SERVERS, now=NOW + 0.25)
    assert reach.state is ReachState.NONE_REACHED
    reach.update(NOW + 0.25 + WITHHELD_S - 0.01)
    assert given_out == []
    reach.update(NOW + 0.25 + WITHHELD_S)
    assert len(given_out) == 6


@pytest.mark.parametrize("served_after_s", [-0.1, 0.3])
def test_gateway_that_is_cut_off_tells_nothing_of_servers(served_after_s):
    # The others would take warm servers for cold. A peer may have served a request before the
    # check has ended.
    reach = make_reach()
    given_out: list[str] = []
    fail(reach, "s0", NOW, given_out)
    if served_after_s < 0:
        reach.record_served_by_peer(NOW + served_after_s)
    reach.record_check(reached=0, checked=CHECKED_SERVERS, now=NOW + 0.25)
    if served_after_s > 0:
        reach.record_served_by_peer(NOW + served_after_s)
    fail(reach, "s1", NOW + 1.0, given_out)
    reach.update(NOW + 10.0)
    reach.record_connected(NOW + 10.0)
    assert reach.state is ReachState.CUT_OFF
    assert given_out == []


def test_cut_is_over_after_two_good_checks_in_a_row():
    # A link that comes and goes must not send requests to and fro.
    reach = make_reach()
    cut_off(reach, NOW)
    for reached in (2, 1, 4, 0, 3):
        reach.record_check(reached=reached, checked=CHECKED_SERVERS, now=NOW + 1.0)
        assert reach.state is ReachState.CUT_OFF
    reach.record_check(reached=2, checked=CHECKED_SERVERS, now=NOW + 2.0)
    assert reach.state is ReachState.REACHING


def test_servers_that_failed_in_a_cut_are_probed_as_soon_as_it_is_over():
    # They work most likely, but one may have started again meanwhile, and be cold. Their own
    # pauses between probes have grown during the cut.
    reach = make_reach()
    failed = server_state(reach.fleet, "s0")
    cut_off(reach, NOW)
    for _ in range(5):
        failed.health.record_unreachable(NOW)
    for _ in range(2):
        reach.record_check(reached=4, checked=CHECKED_SERVERS, now=NOW + 1.0)
    assert not failed.health.is_usable()
    assert failed.health.is_probe_due(NOW + 1.0 + PROBE_SPREAD_S)
    others = [state for name, state in reach.fleet.servers.items() if name != "s0"]
    assert all(state.health.is_usable() for state in others)


def test_connection_ends_a_failure_of_all_servers_at_once():
    reach = make_reach()
    fail(reach, "s0", NOW, [])
    reach.record_check(reached=0, checked=CHECKED_SERVERS, now=NOW)
    reach.record_connected(NOW + 0.1)
    assert reach.reaches_servers


def test_checks_are_spread_over_failure_domains_and_try_the_servers_that_responded_last():
    # Of 495 servers of which nine in ten have ended, the last ones to respond live most likely.
    reach = make_reach(servers=495, domains=9)
    for name in ("s7", "s16"):
        server_state(reach.fleet, name).health.responded_at = NOW - 0.1
    chosen = reach.choose_servers(NOW)
    assert len(chosen) == CHECKED_SERVERS
    assert {"s7", "s16"} <= {state.entry.server for state in chosen}
    others = {state.entry.failure_domain for state in chosen[2:]}
    assert len(others) == CHECKED_SERVERS - 2


def test_checks_go_on_at_an_interval_while_no_server_is_reached():
    reach = make_reach()
    fail(reach, "s0", NOW, [])
    reach.choose_servers(NOW)
    reach.record_check(reached=0, checked=CHECKED_SERVERS, now=NOW + 0.25)
    assert not reach.is_check_due(NOW + CHECK_INTERVAL_S - 0.01)
    assert reach.is_check_due(NOW + CHECK_INTERVAL_S)


def test_silence_of_open_connections_is_checked():
    # Connections that hang fail only at the deadlines of the requests on them.
    reach = make_reach()
    reach.record_heard(NOW)
    with server_state(reach.fleet, "s0").load.track_pending(now=NOW, expected_s=0.1):
        assert not reach.is_check_due(NOW + SILENCE_S - 0.01)
        assert reach.is_check_due(NOW + SILENCE_S)
        reach.record_heard(NOW + SILENCE_S)
        assert not reach.is_check_due(NOW + SILENCE_S)
    assert not reach.is_check_due(NOW + 10.0)


def test_services_are_weighed_apart_and_checked_together():
    # A gateway may be cut off from the servers of one service only; if from all, it is to know
    # that before the first request for each of them.
    fleet = make_fleet(make_server("a"), make_server("b", service="archive"))
    board = ReachBoard(fleet=fleet, rng=random.Random(1))
    changed = []
    board.on_change = changed.append
    board.of("archive").record_failed("b", NOW)
    board.of("archive").record_check(reached=0, checked=1, now=NOW)
    assert changed == [board.of("archive")]
    assert board.reaches_servers
    assert board.of(SERVICE).is_check_due(NOW)
    board.of(SERVICE).record_check(reached=0, checked=1, now=NOW)
    assert not board.reaches_servers

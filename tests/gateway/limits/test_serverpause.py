from knapweeddock.codes import ResultCode
from knapweeddock.gateway.limits.serverpause import MAX_PAUSE_S, RESUME_S, ServerPause
from knapweeddock.gateway.placement.selection import Rejection, Selection
from tests.gateway.support import (
    make_fleet,
    make_selection_request,
    make_selector,
    make_server,
    server_state,
)


def test_shorter_request_does_not_end_a_pause_early():
    # A server that refuses twice has asked for the longer of the two.
    pause = ServerPause()
    pause.begin(3.0, 0.0)
    pause.begin(0.5, 1.0)
    assert pause.is_active(2.9)
    assert not pause.is_active(3.0)


def test_absurd_pause_is_bounded():
    pause = ServerPause()
    pause.begin(float("inf"), 10.0)
    assert pause.remaining_s(10.0) == MAX_PAUSE_S


def test_requests_return_slowly_after_the_pause_of_all_servers():
    # Every server asks for a pause at once. If all that was refused meanwhile were sent at its
    # end, the servers would refuse again.
    fleet = make_fleet(make_server("a"), make_server("b"))
    selector = make_selector(fleet, cold_quota=1)
    request = make_selection_request()
    for name in ("a", "b"):
        server_state(fleet, name).begin_pause(2.0, 0.0)
    refused = selector.select(request, 1.0)
    assert isinstance(refused, Rejection)
    assert refused.code is ResultCode.SHED
    assert refused.retry_after_s >= 1.0
    sent = 0
    while isinstance(selection := selector.select(request, 2.0), Selection):
        selector.record_sent(request, selection, 2.0)
        sent += 1
    assert sent == 2
    assert isinstance(selector.select(request, 2.0 + RESUME_S), Selection)


def test_next_process_of_a_server_is_free_of_the_pause():
    # The process that asked for it has ended, and with it the load that it had.
    fleet = make_fleet(make_server("a", started_at_ms=5))
    server_state(fleet, "a").begin_pause(20.0, 0.0)
    fleet.upsert(make_server("a", started_at_ms=6), 1.0)
    assert server_state(fleet, "a").accepts_requests(1.0)


def test_server_that_leaves_stays_out_when_its_entry_is_renewed():
    # A late heartbeat of the leaving process must not bring it back; the next one is free.
    fleet = make_fleet(make_server("a", started_at_ms=5), make_server("b"))
    fleet.record_leaving(server_state(fleet, "a"))
    fleet.upsert(make_server("a", started_at_ms=5), 1.0)
    assert [state.entry.server for state in fleet.group("ledger", "north")] == ["b"]
    fleet.deregister("a", 2.0, grace_s=0.0)
    fleet.upsert(make_server("a", started_at_ms=5), 3.0)
    assert [state.entry.server for state in fleet.group("ledger", "north")] == ["b"]
    fleet.upsert(make_server("a", started_at_ms=6), 4.0)
    assert [state.entry.server for state in fleet.group("ledger", "north")] == ["a", "b"]


def test_late_response_of_the_process_before_does_not_stop_the_next_one():
    fleet = make_fleet(make_server("a", started_at_ms=5))
    sent_to = server_state(fleet, "a")
    fleet.upsert(make_server("a", started_at_ms=6), 1.0)
    fleet.record_leaving(sent_to)
    assert not server_state(fleet, "a").is_leaving

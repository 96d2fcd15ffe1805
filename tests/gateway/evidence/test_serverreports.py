import pytest

from knapweeddock.gateway.evidence.serverreports import MAX_AGE_S, ReportBoard, ServerReport
from tests.gateway.loadsimulation import LoadSimulation, Workload
from tests.gateway.support import make_fleet, make_server, server_state

NOW = 100.0


def make_board() -> ReportBoard:
    return ReportBoard(fleet=make_fleet(make_server("a"), make_server("b")))


def report(server: str, requests: int, age_ms: int = 100) -> ServerReport:
    return ServerReport(server=server, requests=requests, age_ms=age_ms)


def test_only_servers_without_a_free_slot_are_reported():
    board = make_board()
    board.record(server_state(board.fleet, "a"), 2, NOW)
    board.record(server_state(board.fleet, "b"), 5, NOW)
    assert board.take_up(NOW + 0.1) == [report("b", 5)]
    assert board.take_up(NOW + 0.2) == []


def test_end_of_a_queue_is_reported():
    # The others would go on avoiding the server otherwise.
    board = make_board()
    state = server_state(board.fleet, "a")
    board.record(state, 5, NOW)
    board.take_down(NOW)
    board.record(state, 1, NOW + 0.5)
    assert board.take_down(NOW + 0.6) == [report("a", 1)]
    board.record(state, 1, NOW + 0.7)
    assert board.take_down(NOW + 0.8) == []


def test_reports_change_what_is_expected_of_a_server():
    board = make_board()
    board.merge([report("a", 6), report("gone", 9)], NOW, from_relay=True)
    assert server_state(board.fleet, "a").load.total_requests(NOW) > 5


def test_order_and_repetition_of_reports_do_not_matter():
    first, second = report("a", 6, age_ms=900), report("a", 3, age_ms=200)
    expected = None
    for reports in ([first, second], [second, first], [second, second, first, first]):
        board = make_board()
        board.merge(reports, NOW, from_relay=True)
        latest = board.take_down(NOW)
        assert latest == [second]
        expected = expected or latest
        assert latest == expected


def test_what_came_from_the_relay_is_not_sent_back_to_it():
    # Two gateways would repeat it to each other for ever.
    board = make_board()
    board.merge([report("a", 6)], NOW, from_relay=True)
    assert board.take_up(NOW) == []
    board.merge([report("b", 6)], NOW, from_relay=False)
    assert board.take_up(NOW) == [report("b", 6)]


def test_report_of_an_absurd_age_is_dropped():
    board = make_board()
    for age_ms in (-1, round(MAX_AGE_S * 1000) + 1):
        board.merge([report("a", 9, age_ms=age_ms)], NOW, from_relay=True)
    assert server_state(board.fleet, "a").load.total_requests(NOW) == 0


def test_queues_of_a_large_region_are_seen_by_all_gateways():
    """Sixty gateways, of which each sends a given server a request in twenty seconds.

    Several often requested objects have the same preferred server. Without the others'
    reports a gateway learns of its queue from its own late responses only. The number of
    late responses has to halve.
    """
    workload = Workload(requests_per_s=700.0, objects=375)
    late = {}
    for sharing in (False, True):
        simulation = LoadSimulation(
            workload=workload, gateways=60, servers=200, cached_objects=7, sharing=sharing
        )
        simulation.run(14.0)
        late[sharing] = 1 - simulation.share_in_time(4.0, 12.0)
    assert late[True] <= late[False] / 2


def test_limit_that_a_server_names_is_reported_to_the_others():
    # A gateway may hear of a server once in a minute, and all of them together keep its limit.
    board, other = make_board(), make_board()
    state = server_state(board.fleet, "a")
    state.observe_limit(2.5, NOW)
    board.record(state, 0, NOW)
    other.merge(board.take_up(NOW + 0.1), NOW + 0.2, from_relay=False)
    assert server_state(other.fleet, "a").limit.active_per_s(NOW + 0.2) == 2.5
    assert [each.limit_per_s for each in other.take_down(NOW + 0.3)] == [2.5]


def test_end_of_a_limit_is_reported_to_the_others():
    board, other = make_board(), make_board()
    state = server_state(board.fleet, "a")
    state.observe_limit(2.5, NOW)
    board.record(state, 0, NOW)
    other.merge(board.take_up(NOW + 0.1), NOW + 0.1, from_relay=True)
    state.observe_limit(None, NOW + 9.0)
    board.record(state, 0, NOW + 9.0)
    other.merge(board.take_up(NOW + 9.1), NOW + 9.1, from_relay=True)
    assert server_state(other.fleet, "a").limit.active_per_s(NOW + 9.2) is None


@pytest.mark.parametrize("limit_per_s", [float("inf"), float("nan"), -1.0, 1e300])
def test_absurd_limit_in_a_report_is_dropped(limit_per_s):
    # No quota can be computed from it: each selection of the server would raise an error.
    board = make_board()
    absurd = ServerReport(server="a", requests=1, age_ms=100, limit_per_s=limit_per_s)
    board.merge([absurd], NOW, from_relay=False)
    assert server_state(board.fleet, "a").limit.active_per_s(NOW) is None
    assert board.take_up(NOW) == []

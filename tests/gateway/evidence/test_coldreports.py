import pytest

from knapweeddock.gateway.evidence.coldreports import (
    MAX_AGE_S,
    PRESUMED_COLD_S,
    ColdBoard,
    ColdReport,
)
from knapweeddock.gateway.evidence.duekeys import Direction, Source
from tests.gateway.support import (
    COLD_RATE_PER_S,
    LimitedGateway,
    make_fleet,
    make_server,
    server_state,
)
from tests.gateway.test_cold_server_sums import (
    SETTLED_S,
    make_region,
    most_in_a_second,
    send_all_that_is_allowed,
)

NOW = 100.0


def make_board(*names: str) -> ColdBoard:
    return ColdBoard(fleet=make_fleet(*(make_server(name) for name in names or ("a", "b"))))


def report(server: str, cold_s: float, *, presumed: bool = True, age_ms: int = 100) -> ColdReport:
    return ColdReport(server=server, cold_ms=round(cold_s * 1000), presumed=presumed, age_ms=age_ms)


def exchange_by_datagrams(gateways: list[LimitedGateway], boards: dict[str, ColdBoard]) -> None:
    """Let each gateway tell all others, as while the store is away and nobody has a relay."""
    for gateway in gateways:
        reports = boards[gateway.vm].take(Direction.TO_RELAY, gateway.now)
        for other in gateways:
            if other is not gateway and reports:
                boards[other.vm].merge(reports, other.now, Source.NEAR_PEER)


def exchange_by_relay(gateways: list[LimitedGateway], boards: dict[str, ColdBoard]) -> None:
    """Let each gateway tell the first one, and that one all others."""
    relay, *subscribers = gateways
    for gateway in subscribers:
        reports = boards[gateway.vm].take(Direction.TO_RELAY, gateway.now)
        boards[relay.vm].merge(reports, relay.now, Source.SUBSCRIBER)
    reports = boards[relay.vm].take(Direction.TO_SUBSCRIBERS, relay.now)
    for gateway in subscribers:
        boards[gateway.vm].merge(reports, gateway.now, Source.RELAY)


@pytest.mark.parametrize("exchange", [exchange_by_datagrams, exchange_by_relay])
@pytest.mark.parametrize("size", [3, 64, 195])
def test_server_that_restarts_beside_a_silent_store(size, exchange):
    # Only one gateway sent it a request while it was away; the others took it for warm.
    gateways = make_region(size, cold_until=0.0)
    boards = {gateway.vm: ColdBoard(fleet=gateway.state.fleet) for gateway in gateways}
    last = gateways[-1]
    server = last.state.fleet.servers["s"]
    server.health.record_unreachable(SETTLED_S)
    boards[last.vm].record_unreachable(server, SETTLED_S)
    exchange(gateways, boards)
    for gateway in gateways:
        gateway.advance(SETTLED_S + 1.5)
    sent_at = send_all_that_is_allowed(gateways, until=SETTLED_S + 3.5)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("exchange", [exchange_by_datagrams, exchange_by_relay])
def test_what_the_first_health_check_tells_holds_for_all(exchange):
    gateways = make_region(5, cold_until=0.0)
    boards = {gateway.vm: ColdBoard(fleet=gateway.state.fleet) for gateway in gateways}
    server = gateways[-1].state.fleet.servers["s"]
    boards["vm-4"].record_unreachable(server, SETTLED_S)
    exchange(gateways, boards)
    assert all(each.state.fleet.servers["s"].is_cold(SETTLED_S + 0.1) for each in gateways)
    boards["vm-4"].record_warmup(server, 0.0, SETTLED_S + 0.2)
    for gateway in gateways:
        gateway.advance(SETTLED_S + 0.3)
    exchange(gateways, boards)
    assert not any(each.state.fleet.servers["s"].is_cold(SETTLED_S + 0.3) for each in gateways)
    assert all(each.state.fleet.servers["s"].accepts_requests(each.now) for each in gateways)


def test_gateway_to_which_the_server_responds_does_not_believe_that_it_ended():
    # The gateway that reports it may be cut off from the server.
    board = make_board()
    for name, responded_at in (("a", NOW - 0.3), ("b", NOW - 2.0)):
        server_state(board.fleet, name).health.responded_at = responded_at
    board.merge([report("a", 5.0), report("b", 5.0)], NOW, Source.RELAY)
    assert not server_state(board.fleet, "a").is_cold(NOW)
    assert server_state(board.fleet, "b").is_cold(NOW)


def test_known_warmup_is_believed_whatever_the_server_responded():
    board = make_board()
    server_state(board.fleet, "a").health.responded_at = NOW
    board.merge([report("a", 3.0, presumed=False)], NOW, Source.RELAY)
    assert server_state(board.fleet, "a").is_cold(NOW + 2.8)


def test_order_and_repetition_of_reports_do_not_matter():
    first, second = report("a", 5.0, age_ms=900), report("a", 0.0, presumed=False, age_ms=200)
    for reports in ([first, second], [second, first], [second, second, first, first]):
        board = make_board()
        board.merge(reports, NOW, Source.SUBSCRIBER)
        assert not server_state(board.fleet, "a").is_cold(NOW)
        assert board.take(Direction.TO_RELAY, NOW) == [second]


def test_old_and_unknown_reports_are_dropped():
    board = make_board()
    old = report("a", 5.0, age_ms=round(MAX_AGE_S * 1000) + 1)
    board.merge([old, report("gone", 5.0), report("a", 5.0, age_ms=-5)], NOW, Source.RELAY)
    assert not server_state(board.fleet, "a").is_cold(NOW)
    assert board.take(Direction.TO_SUBSCRIBERS, NOW) == []


def test_failed_probes_of_many_gateways_are_reported_once():
    # Each gateway probes a server that is away; a report of each probe would load the links.
    board = make_board()
    state = server_state(board.fleet, "a")
    for attempt in range(5):
        board.record_unreachable(state, NOW + attempt / 10)
        assert len(board.take(Direction.TO_RELAY, NOW + attempt / 10)) == (attempt == 0)
    assert state.is_cold(NOW + 0.4 + PRESUMED_COLD_S - 0.1)


def test_new_subscriber_is_told_which_servers_are_cold():
    # A gateway that starts while the store is away learns of it from its relay only.
    board = make_board()
    board.record_warmup(server_state(board.fleet, "a"), 3.0, NOW)
    board.record_unreachable(server_state(board.fleet, "b"), NOW)
    other = make_board()
    other.merge(board.current(NOW + 1), NOW + 1, Source.RELAY)
    assert server_state(other.fleet, "a").is_cold(NOW + 2.9)
    assert server_state(other.fleet, "b").is_cold(NOW + 2.9)
    board.forget_past(NOW + 1 + PRESUMED_COLD_S + MAX_AGE_S)
    assert board.current(NOW) == []


@pytest.mark.parametrize("exchange", [exchange_by_datagrams, exchange_by_relay])
@pytest.mark.parametrize("size", [4, 64])
def test_server_that_turned_cold_while_the_store_was_away(size, exchange):
    # Gateways reach the store again within a second or two; the first one tells the others.
    gateways = make_region(size, cold_until=0.0)
    boards = {gateway.vm: ColdBoard(fleet=gateway.state.fleet) for gateway in gateways}
    sent_at = []
    for index in range(5):
        gateways[index % size].advance(SETTLED_S + index / 20)
        assert gateways[index % size].send("s")
        sent_at.append(gateways[index % size].now)
    for gateway in gateways:
        gateway.advance(SETTLED_S + 0.3)
    entry = make_server("s", started_at_ms=1, warmup_left_s=3.0)
    gateways[-1].state.fleet.upsert(entry, SETTLED_S + 0.3)
    exchange(gateways, boards)
    sent_at += send_all_that_is_allowed(gateways, until=SETTLED_S + 2.0)
    assert most_in_a_second(sent_at) <= COLD_RATE_PER_S


def test_start_of_a_new_server_is_not_reported():
    # All gateways learn of it from the store, and nobody has sent it anything.
    board = make_board("a")
    board.fleet.upsert(make_server("b", warmup_left_s=3.0), NOW)
    assert board.take(Direction.TO_RELAY, NOW) == []
    board.fleet.upsert(make_server("a", warmup_left_s=3.0), NOW)
    assert [each.server for each in board.take(Direction.TO_RELAY, NOW)] == ["a"]


@pytest.mark.parametrize("exchange", [exchange_by_datagrams, exchange_by_relay])
@pytest.mark.parametrize("size", [3, 64, 195])
def test_response_after_the_report_of_another_gateway_ends_what_all_presume(size, exchange):
    # A gateway that is cut off from one failure domain or region reaches the other servers,
    # so it takes those for ended. Gateways without a recent response would believe it.
    gateways = make_region(size, cold_until=0.0)
    boards = {gateway.vm: ColdBoard(fleet=gateway.state.fleet) for gateway in gateways}
    cut, user = gateways[-1], gateways[1]
    server = cut.state.fleet.servers["s"]
    server.health.record_unreachable(SETTLED_S)
    boards[cut.vm].record_unreachable(server, SETTLED_S)
    user.state.fleet.servers["s"].health.responded_at = SETTLED_S + 0.3
    for step in range(1, 4):
        for gateway in gateways:
            gateway.advance(SETTLED_S + 0.3 * step)
        exchange(gateways, boards)
    for gateway in gateways:
        state = gateway.state.fleet.servers["s"]
        assert gateway is cut or not state.is_cold(gateway.now)
    server.health.record_unreachable(cut.now)
    boards[cut.vm].record_unreachable(server, cut.now)
    assert boards[cut.vm].take(Direction.TO_RELAY, cut.now) == []


@pytest.mark.parametrize("responded_after_s", [-0.1, 0.05, 0.9])
def test_response_that_may_be_of_another_process_contradicts_nothing(responded_after_s):
    # Before the report it may be from before the end, long after it from after a restart.
    board = make_board()
    state = server_state(board.fleet, "a")
    state.health.responded_at = NOW - 1.0 + responded_after_s
    board.merge([report("a", 6.0, age_ms=1000)], NOW, Source.SUBSCRIBER)
    assert [each.presumed for each in board.take(Direction.TO_SUBSCRIBERS, NOW)] == [True]

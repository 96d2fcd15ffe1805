import pytest

from knapweeddock.gateway.evidence.duekeys import Direction, Source
from knapweeddock.gateway.evidence.suspect import ServerEnd
from knapweeddock.gateway.evidence.suspectboard import (
    ANNOUNCED_S,
    MAX_REPORTS,
    MAX_SUSPECTS,
    QUARANTINE_MEMORY_S,
    SUSPECT_MEMORY_S,
    EndReport,
    SuspectBoard,
    SuspectReport,
)
from knapweeddock.ids import RequestDigest

NOW = 100.0


def digest(number: int = 0) -> RequestDigest:
    return RequestDigest(number.to_bytes(16))


def end_servers(board: SuspectBoard, count: int, *, now: float = NOW, number: int = 0) -> None:
    """Let servers end one after the other under a request, the last one at ``now``."""
    for index in range(count):
        at = now - (count - 1 - index) / 5
        board.record_server_end(f"s-{number}-{index}", at)
        board.record_end(digest(number), ServerEnd(server=f"s-{number}-{index}", at=at, ran_s=0.05))


def is_quarantined(board: SuspectBoard, now: float = NOW, number: int = 0) -> bool:
    suspect = board.find(digest(number), now)
    return suspect is not None and suspect.is_quarantined


def tell(sender: SuspectBoard, receiver: SuspectBoard, direction: Direction, source: Source) -> int:
    reports = sender.take(direction, NOW)
    receiver.merge(reports, NOW, source)
    return len(reports)


def test_gateways_count_ends_together():
    # Each of three gateways has lost one server under the request.
    boards = [SuspectBoard() for _ in range(3)]
    for index, board in enumerate(boards):
        end = ServerEnd(server=f"s-{index}", at=NOW - 1 + index / 3, ran_s=0.05, reporter=index)
        board.record_end(digest(), end)
        assert not is_quarantined(board)
    relay, *subscribers = boards
    for board in subscribers:
        tell(board, relay, Direction.TO_RELAY, Source.SUBSCRIBER)
    reports = relay.take(Direction.TO_SUBSCRIBERS, NOW)
    for board in subscribers:
        board.merge(reports, NOW, Source.RELAY)
    assert all(is_quarantined(board) for board in boards)


def test_other_regions_hear_by_their_relay_or_pass_it_on():
    board, far, far_relay = SuspectBoard(), SuspectBoard(), SuspectBoard()
    end_servers(board, 3)
    assert tell(board, far, Direction.TO_OTHER_REGIONS, Source.OTHER_REGION) == 1
    assert tell(far, far_relay, Direction.TO_RELAY, Source.SUBSCRIBER) == 1
    assert tell(far, board, Direction.TO_OTHER_REGIONS, Source.OTHER_REGION) == 0
    assert is_quarantined(far_relay)


def test_repeated_reports_are_not_passed_on_for_ever():
    first, second = SuspectBoard(), SuspectBoard()
    end_servers(first, 3)
    passed_on = 0
    for _ in range(10):
        passed_on += tell(first, second, Direction.TO_RELAY, Source.SPREADING_PEER)
        passed_on += tell(second, first, Direction.TO_RELAY, Source.SPREADING_PEER)
    assert passed_on == 2


def test_response_anywhere_clears_the_request_everywhere():
    first, second = SuspectBoard(), SuspectBoard()
    end_servers(first, 3)
    tell(first, second, Direction.TO_RELAY, Source.SUBSCRIBER)
    second.record_response(digest(), NOW + 1)
    reports = second.take(Direction.TO_SUBSCRIBERS, NOW + 1)
    first.merge(reports, NOW + 1, Source.RELAY)
    assert first.find(digest(), NOW + 1) is None


def test_loss_of_a_failure_domain_convicts_nobody():
    # Thirty servers end at once; a request that was repeated has been on three of them.
    board = SuspectBoard()
    for index in range(30):
        board.record_server_end(f"dark-{index}", NOW + index / 20)
    for index in (0, 10, 20):
        end = ServerEnd(server=f"dark-{index}", at=NOW + index / 20, ran_s=0.1)
        board.record_end(digest(), end)
    board.update(NOW + 2)
    assert not is_quarantined(board, NOW + 2)
    board.update(NOW + 2 + SUSPECT_MEMORY_S)
    assert board.is_empty


def test_several_such_requests_at_once_are_all_found_out():
    board = SuspectBoard()
    for number in range(4):
        end_servers(board, 3, number=number)
    assert all(is_quarantined(board, number=number) for number in range(4))


def test_decision_stands_when_the_ends_of_other_servers_are_forgotten():
    board = SuspectBoard()
    end_servers(board, 3)
    for second in range(0, 1000, 5):
        board.update(NOW + second)
    assert is_quarantined(board, NOW + 1000)
    board.update(NOW + QUARANTINE_MEMORY_S + 1)
    assert board.is_empty


def test_distinct_requests_displace_only_those_with_fewer_ends():
    # An attacker sends requests that differ in a byte; each of them ends one server.
    board = SuspectBoard()
    end_servers(board, 3)
    for number in range(1, 3 * MAX_SUSPECTS):
        board.record_end(digest(number), ServerEnd(server="s", at=NOW + number / 1000))
    assert len(board.suspects) == MAX_SUSPECTS
    assert is_quarantined(board, NOW + 10)


def test_flood_of_reports_is_bounded():
    board = SuspectBoard()
    reports = [
        SuspectReport(digest=digest(number), ends=[EndReport(server="s", age_ms=0)] * 1000)
        for number in range(2 * MAX_SUSPECTS)
    ]
    board.merge(reports, NOW, Source.OTHER_REGION)
    assert len(board.suspects) == MAX_SUSPECTS
    assert len(board.take(Direction.TO_RELAY, NOW)) <= MAX_REPORTS


@pytest.mark.parametrize("age_ms", [-1, round(QUARANTINE_MEMORY_S * 1000) + 1])
def test_reports_of_absurd_age_are_ignored(age_ms):
    board = SuspectBoard()
    end = EndReport(server="s", age_ms=age_ms)
    board.merge([SuspectReport(digest=digest(), ends=[end])], NOW, Source.RELAY)
    assert board.is_empty


def test_gateway_that_starts_later_is_told():
    # By its relay when it subscribes, else by the announcements.
    board = SuspectBoard()
    end_servers(board, 3)
    board.update(NOW)
    subscriber = SuspectBoard()
    subscriber.merge(board.current(NOW + 5), NOW + 5, Source.RELAY)
    assert is_quarantined(subscriber, NOW + 5)
    for _ in range(5):
        board.take(Direction.TO_OTHER_REGIONS, NOW)
    board.announce(NOW + 5)
    assert board.take(Direction.TO_OTHER_REGIONS, NOW + 5)
    for _ in range(5):
        board.take(Direction.TO_OTHER_REGIONS, NOW)
    board.announce(NOW + ANNOUNCED_S + 1)
    assert board.take(Direction.TO_OTHER_REGIONS, NOW) == []


def test_counts_tell_how_requests_are_treated():
    board = SuspectBoard()
    end_servers(board, 3)
    end_servers(board, 1, number=1)
    board.update(NOW)
    assert board.counts() == {"suspected": 1, "quarantined": 1}


def test_gateway_keeps_what_it_has_evidence_of():
    board, other = SuspectBoard(), SuspectBoard()
    end_servers(board, 3)
    end_servers(board, 1, number=1)
    tell(board, other, Direction.TO_RELAY, Source.SUBSCRIBER)
    board.update(NOW)
    other.update(NOW)
    (kept,) = board.kept(NOW, 1_000_000)
    assert kept.digest == digest()
    assert [end.ended_at_ms for end in kept.ends] == [999_600, 999_800, 1_000_000]
    assert other.kept(NOW, 1_000_000) == ()


@pytest.mark.parametrize("clock_error_ms", [-2000, 0, 2000])
def test_gateway_that_starts_again_learns_what_others_have_kept(clock_error_ms):
    # All gateways may have been killed at once; nothing but the store remembers.
    board = SuspectBoard()
    end_servers(board, 3)
    board.update(NOW)
    kept = board.kept(NOW, 1_000_000)
    restarted = SuspectBoard()
    restarted.restore(kept, 5.0, 1_010_000 + clock_error_ms, is_own=True)
    assert is_quarantined(restarted, 5.0)
    assert [each.digest for each in restarted.kept(5.0, 1_010_000)] == [digest()]
    restarted.restore(kept, 6.0, 1_019_000, is_own=True)
    assert len(restarted.find(digest(), 6.0).ends) == 3


def test_cleared_request_is_not_refused_again_by_an_old_registration():
    board = SuspectBoard()
    end_servers(board, 3)
    board.update(NOW)
    kept = board.kept(NOW, 1_000_000)
    board.record_response(digest(), NOW + 1)
    board.update(NOW + SUSPECT_MEMORY_S + 2)
    board.restore(kept, NOW + SUSPECT_MEMORY_S + 3, 1_000_000, is_own=False)
    assert board.find(digest(), NOW + SUSPECT_MEMORY_S + 3) is None

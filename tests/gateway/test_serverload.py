from knapweeddock.gateway.serverload import FADE_S, Pending, ServerLoad


def test_announced_load_contains_own_requests_once():
    load = ServerLoad(slots=3)
    load.pending += [Pending(sent_at=0.0, expected_s=1.0)] * 2
    load.announced(running=3, waiting=1, now=0.0)
    assert load.total(0.0) == 4


def test_load_of_others_fades():
    load = ServerLoad(slots=3)
    load.announced(running=3, waiting=0, now=0.0)
    assert load.foreign(0.0) == 3
    assert load.foreign(FADE_S) < 1.2
    assert load.foreign(20 * FADE_S) < 0.01


def test_server_that_turned_a_request_away_counts_as_full():
    load = ServerLoad(slots=3)
    load.turned_away(0.0)
    assert load.total(0.0) > 3


def test_request_that_waits_longer_than_expected_is_noticed_before_its_response():
    # A server that became silent sends no response that could tell.
    load = ServerLoad(slots=3)
    assert load.overdue(0.0) == 0.0
    with load.counted(now=0.0, expected_s=0.2):
        assert load.overdue(1.0) == 5.0
    assert load.own == 0

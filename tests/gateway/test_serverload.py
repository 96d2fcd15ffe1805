from knapweeddock.gateway.serverload import FADE_S, ServerLoad


def test_announced_load_contains_own_requests_once():
    load = ServerLoad(slots=3)
    load.own = 2
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

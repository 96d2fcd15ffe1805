from knapweeddock.gateway.serverload import DECAY_TIME_CONSTANT_S, PendingRequest, ServerLoad


def test_announced_load_contains_own_requests_once():
    load = ServerLoad(slots=3)
    load.pending += [PendingRequest(sent_at=0.0, expected_s=1.0)] * 2
    load.record_reported_load(running=3, waiting=1, now=0.0)
    assert load.total_requests(0.0) == 4


def test_load_of_others_fades():
    load = ServerLoad(slots=3)
    load.record_reported_load(running=3, waiting=0, now=0.0)
    assert load.other_gateways_requests(0.0) == 3
    assert load.other_gateways_requests(DECAY_TIME_CONSTANT_S) < 1.2
    assert load.other_gateways_requests(20 * DECAY_TIME_CONSTANT_S) < 0.01


def test_server_that_turned_a_request_away_counts_as_full():
    load = ServerLoad(slots=3)
    load.record_rejection(0.0)
    assert load.total_requests(0.0) > 3


def test_request_that_waits_longer_than_expected_is_noticed_before_its_response():
    # A server that stops responding sends no response that could show it.
    load = ServerLoad(slots=3)
    assert load.oldest_pending_ratio(0.0) == 0.0
    with load.track_pending(now=0.0, expected_s=0.2):
        assert load.oldest_pending_ratio(1.0) == 5.0
    assert load.own_requests == 0

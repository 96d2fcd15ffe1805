from knapweeddock.gateway.placement.serverload import (
    DECAY_TIME_CONSTANT_S,
    MEAN_TIME_CONSTANT_S,
    PendingRequest,
    ServerLoad,
)


def test_announced_load_contains_own_requests_once():
    load = ServerLoad(slots=3)
    load.pending += [PendingRequest(sent_at=0.0, expected_s=1.0)] * 2
    load.record_reported_load(running=3, waiting=1, now=0.0)
    assert load.total_requests(0.0) == 4


def test_single_report_fades():
    # Other gateways may have sent their next requests to another server.
    load = ServerLoad(slots=3)
    load.record_reported_load(running=3, waiting=0, now=100.0)
    assert load.other_gateways_requests(100.0) == 3
    assert load.other_gateways_requests(100.0 + 2 * MEAN_TIME_CONSTANT_S) < 0.5
    assert load.other_gateways_requests(100.0 + 20 * MEAN_TIME_CONSTANT_S) < 0.01


def test_server_that_was_busy_in_all_reports_is_not_expected_to_be_idle():
    # Between two reports the queue that was reported is worked off, but the gateways go on
    # sending as before.
    load = ServerLoad(slots=3)
    for second in range(20):
        load.record_shared_load(6, observed_at=100.0 + second)
    assert load.other_gateways_requests(119.0 + DECAY_TIME_CONSTANT_S) > 3
    for second in range(20, 40):
        load.record_shared_load(0, observed_at=100.0 + second)
    assert load.other_gateways_requests(139.0 + DECAY_TIME_CONSTANT_S) < 0.5


def test_report_that_is_older_than_the_known_one_changes_nothing():
    load = ServerLoad(slots=3)
    load.record_reported_load(running=0, waiting=0, now=100.0)
    load.record_shared_load(9, observed_at=99.9)
    assert load.other_gateways_requests(100.0) == 0


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

import dataclasses

from knapweeddock.gateway.retryshare import RetryBounds, RetryShare

GATEWAYS = 11
BOUNDS = RetryBounds(ratio=0.2, slack=62.0, window_s=10.0)


def share() -> RetryShare:
    return RetryShare(bounds=BOUNDS)


def test_all_gateways_together_stay_within_the_budget():
    # All servers shed: every request of every gateway asks for a retry.
    shares = [share() for _ in range(GATEWAYS)]
    retried = []
    requested = []
    for tick in range(2000):
        now = tick * 0.01
        one = shares[tick % GATEWAYS]
        one.record_request(now)
        requested.append(now)
        if one.allows(GATEWAYS, now):
            one.record_retry(now)
            retried.append(now)
    for start in range(10):
        window = [at for at in retried if start <= at < start + 10]
        requests = [at for at in requested if start <= at < start + 10]
        assert len(window) <= 0.2 * len(requests) + 62


def test_gateway_without_traffic_has_its_part_of_the_slack():
    one = share()
    for index in range(3):
        assert one.allows(GATEWAYS, float(index))
        one.record_retry(float(index))
    assert not one.allows(GATEWAYS, 3.0)


def test_retries_are_forgotten_after_the_window():
    one = share()
    for _ in range(3):
        one.record_retry(0.0)
    assert not one.allows(GATEWAYS, 9.0)
    assert one.allows(GATEWAYS, 10.5)


def test_changed_bounds_hold_for_what_was_counted_before():
    # A reload of the settings must not wait until the services are new.
    one = share()
    for _ in range(3):
        one.record_retry(0.0)
    assert not one.allows(GATEWAYS, 1.0)
    one.bounds = dataclasses.replace(BOUNDS, slack=124.0)
    assert one.allows(GATEWAYS, 1.0)

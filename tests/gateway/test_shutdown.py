import random

from knapweeddock.gateway.shutdown import Departure


def test_any_attempt_may_begin_before_a_shutdown():
    assert Departure().allows_attempt(1e9, expected_s=1e6)


def test_attempt_that_would_be_cut_off_at_the_exit_does_not_begin():
    # Requests that take long are sent to a server late in a rolling restart and then cut off.
    departure = Departure()
    departure.begin(100.0, timeout_s=6.0)
    assert departure.allows_attempt(100.0, expected_s=3.5)
    assert not departure.allows_attempt(101.0, expected_s=3.5)
    assert departure.allows_attempt(102.5, expected_s=0.8)


def test_no_attempt_begins_after_the_time_for_it():
    departure = Departure()
    departure.begin(100.0, timeout_s=6.0)
    assert departure.allows_attempt(102.6)
    assert not departure.allows_attempt(102.8)


def test_long_shutdown_leaves_its_time_to_what_runs():
    # A request that begins late in it and is cut off is lost, however long the shutdown is.
    departure = Departure()
    departure.begin(100.0, timeout_s=30.0)
    assert departure.allows_attempt(102.9)
    assert not departure.allows_attempt(103.1)


def test_rolling_restart_under_load_cuts_no_request_off():
    # Replays 30 stops of 6 s with 40 requests a second, of which some take as long as the stop.
    rng = random.Random(1)
    begun = 0
    for _ in range(30):
        departure = Departure()
        departure.begin(0.0, timeout_s=6.0)
        for _ in range(240):
            arrived_at = rng.uniform(0.0, 6.0)
            ready_at = arrived_at + rng.choice([0.0, 0.0, rng.uniform(0.0, 3.0)])
            expected_s = rng.choice([0.2, 0.8, 3.5])
            if departure.allows_attempt(ready_at, expected_s=expected_s):
                begun += 1
                assert ready_at + 1.4 * expected_s < departure.ends_at
    # Callers that still name the gateway are served while there is time.
    assert begun > 30 * 240 * 0.25

"""Health: guards against requests to failed, cold or draining servers."""

import random

import pytest

from knapweeddock.health import ALL_SLOTS, HealthTracker
from knapweeddock.slottypes import ServerHealth, ServerReport, SlotOutcome


@pytest.fixture
def tracker():
    tracker = HealthTracker(rng=random.Random(1), now=0.0)
    tracker.configure(frozenset({"s"}), frozenset())
    return tracker


def report(tracker, health, now, in_flight=None):
    tracker.observe(
        ServerReport(server="s", health=health, in_flight=in_flight, measured_at=now), now
    )


def fail(tracker, now, times=3):
    for _ in range(times):
        tracker.request_ended("s", SlotOutcome.FAILED, now)


def test_server_that_is_ok_at_process_start_is_open_at_once(tracker):
    report(tracker, ServerHealth.OK, 0.1)
    assert tracker.records["s"].advance_slow_start(0.1) == ALL_SLOTS


def test_server_seen_later_opens_one_slot_per_step(tracker):
    report(tracker, ServerHealth.OK, 60.0)
    record = tracker.records["s"]
    assert [record.advance_slow_start(60.0 + t) for t in (0.0, 1.9, 2.0, 4.1)] == [1, 1, 2, 3]


def test_cold_server_waits_for_ok_before_its_slow_start(tracker):
    report(tracker, ServerHealth.OK, 0.1)
    report(tracker, ServerHealth.COLD, 1.0)
    assert tracker.records["s"].advance_slow_start(50.0) == 1
    report(tracker, ServerHealth.OK, 50.0)
    assert tracker.records["s"].advance_slow_start(52.0) == 2


def test_consecutive_failures_eject_a_server_with_growing_backoff(tracker):
    record = tracker.records["s"]
    fail(tracker, 1.0, times=2)
    tracker.request_ended("s", SlotOutcome.ANSWERED, 1.0)
    fail(tracker, 1.0, times=2)
    assert not record.is_blocked(1.0)
    fail(tracker, 1.0, times=1)
    first = record.trial_at - 1.0
    assert 1.0 <= first <= 1.2
    fail(tracker, 10.0, times=1)
    assert 2.0 <= record.trial_at - 10.0 <= 2.4
    for _ in range(10):
        fail(tracker, record.trial_at, times=1)
    assert record.backoff_s == 30.0


def test_only_one_trial_request_runs_at_a_time(tracker):
    """Guards against many trials at once, which would overload a server that just came back."""
    fail(tracker, 1.0)
    record = tracker.records["s"]
    assert not record.is_blocked(5.0)
    tracker.request_started("s")
    assert record.is_blocked(5.0)
    tracker.request_ended("s", SlotOutcome.UNUSED, 5.0)
    assert not record.is_blocked(5.0)
    tracker.request_started("s")
    tracker.request_ended("s", SlotOutcome.ANSWERED, 5.0)
    assert not record.is_blocked(5.0)
    assert record.advance_slow_start(5.0) == 1
    assert record.advance_slow_start(7.0) == 2


def test_draining_signal_outweighs_a_health_endpoint_that_lags(tracker):
    report(tracker, ServerHealth.OK, 0.1)
    report(tracker, ServerHealth.DRAINING, 1.0)
    report(tracker, ServerHealth.OK, 2.0)
    assert tracker.records["s"].draining
    report(tracker, ServerHealth.OK, 12.0)
    assert not tracker.records["s"].draining
    assert tracker.records["s"].advance_slow_start(12.0) == 1


def test_draining_header_outweighs_a_misleading_health_endpoint(tracker):
    """Guards against new requests to a draining server whose health endpoint still says ok."""
    report(tracker, ServerHealth.OK, 0.1)
    report(tracker, ServerHealth.DRAINING_ANNOUNCED, 1.0)
    for seconds in range(2, 120, 2):
        report(tracker, ServerHealth.OK, float(seconds))
    assert tracker.records["s"].draining
    report(tracker, ServerHealth.UNREACHABLE, 121.0)
    report(tracker, ServerHealth.OK, 123.0)
    assert not tracker.records["s"].draining

"""Health: guards against requests to failed, cold or draining servers."""

import random

import pytest

from knapweeddock.grants import ServerHealth, ServerReport, SlotOutcome
from knapweeddock.health import ALL_SLOTS, HealthBook


@pytest.fixture
def book():
    made = HealthBook(rng=random.Random(1), now=0.0)
    made.configure(frozenset({"s"}), frozenset())
    return made


def report(book, health, now, in_flight=None):
    book.observe(ServerReport(server="s", health=health, in_flight=in_flight, measured_at=now), now)


def fail(book, now, times=3):
    for _ in range(times):
        book.ended("s", SlotOutcome.FAILED, now)


def test_server_that_is_ok_at_process_start_is_open_at_once(book):
    report(book, ServerHealth.OK, 0.1)
    assert book.records["s"].open_slots(0.1) == ALL_SLOTS


def test_server_seen_later_opens_one_slot_per_step(book):
    report(book, ServerHealth.OK, 60.0)
    record = book.records["s"]
    assert [record.open_slots(60.0 + t) for t in (0.0, 1.9, 2.0, 4.1)] == [1, 1, 2, 3]


def test_cold_server_waits_for_ok_before_it_warms_up(book):
    report(book, ServerHealth.OK, 0.1)
    report(book, ServerHealth.COLD, 1.0)
    assert book.records["s"].open_slots(50.0) == 1
    report(book, ServerHealth.OK, 50.0)
    assert book.records["s"].open_slots(52.0) == 2


def test_failures_in_a_row_set_a_server_aside_with_growing_backoff(book):
    record = book.records["s"]
    fail(book, 1.0, times=2)
    book.ended("s", SlotOutcome.ANSWERED, 1.0)
    fail(book, 1.0, times=2)
    assert not record.is_set_aside(1.0)
    fail(book, 1.0, times=1)
    first = record.trial_at - 1.0
    assert 1.0 <= first <= 1.2
    fail(book, 10.0, times=1)
    assert 2.0 <= record.trial_at - 10.0 <= 2.4
    for _ in range(10):
        fail(book, record.trial_at, times=1)
    assert record.backoff == 30.0


def test_only_one_trial_request_runs_at_a_time(book):
    """Guards against overload of a server that has just recovered."""
    fail(book, 1.0)
    record = book.records["s"]
    assert not record.is_set_aside(5.0)
    book.started("s")
    assert record.is_set_aside(5.0)
    book.ended("s", SlotOutcome.UNUSED, 5.0)
    assert not record.is_set_aside(5.0)
    book.started("s")
    book.ended("s", SlotOutcome.ANSWERED, 5.0)
    assert not record.is_set_aside(5.0)
    assert record.open_slots(5.0) == 1
    assert record.open_slots(7.0) == 2


def test_sign_of_leaving_outweighs_a_health_endpoint_that_lags(book):
    report(book, ServerHealth.OK, 0.1)
    report(book, ServerHealth.DRAINING, 1.0)
    report(book, ServerHealth.OK, 2.0)
    assert book.records["s"].leaving
    report(book, ServerHealth.OK, 12.0)
    assert not book.records["s"].leaving
    assert book.records["s"].open_slots(12.0) == 1


def test_announcement_in_an_answer_outweighs_a_misleading_health_endpoint(book):
    """Guards against new requests to a draining server whose health endpoint still says ok."""
    report(book, ServerHealth.OK, 0.1)
    report(book, ServerHealth.ANNOUNCED, 1.0)
    for seconds in range(2, 120, 2):
        report(book, ServerHealth.OK, float(seconds))
    assert book.records["s"].leaving
    report(book, ServerHealth.UNREACHABLE, 121.0)
    report(book, ServerHealth.OK, 123.0)
    assert not book.records["s"].leaving

import pytest

from knapweeddock.gateway.evidence.passivehealth import (
    DECAY_TIME_CONSTANT_S,
    MAX_BACKOFF_S,
    PassiveHealth,
)


def test_unreachable_server_is_left_alone_until_a_probe_answers():
    health = PassiveHealth()
    health.record_unreachable(0.0)
    assert not health.is_usable()
    assert not health.is_probe_due(0.1)
    assert health.is_probe_due(0.6)
    health.record_probe_success()
    assert health.is_usable()


def test_probes_become_rarer_up_to_a_bound():
    health = PassiveHealth()
    for _ in range(10):
        health.record_unreachable(0.0)
    assert health.next_probe_at == MAX_BACKOFF_S


def test_failures_raise_the_share_and_are_forgotten():
    health = PassiveHealth()
    for _ in range(10):
        health.record_response(failed=True, latency_ratio=None, now=0.0)
    assert health.failure_rate(0.0) > 0.8
    assert health.failure_rate(3 * DECAY_TIME_CONSTANT_S) < 0.1


def test_slow_server_is_known_as_slow_and_tried_again_later():
    health = PassiveHealth()
    for _ in range(10):
        health.record_response(failed=False, latency_ratio=5.0, now=0.0)
    assert health.latency_ratio(0.0) > 4.0
    assert health.latency_ratio(5 * DECAY_TIME_CONSTANT_S) == pytest.approx(1.0, abs=0.1)


def test_broken_connection_counts_as_failure_without_blocking_the_server():
    health = PassiveHealth()
    health.record_broken_connection(0.0)
    assert health.failure_rate(0.0) > 0
    assert health.is_usable()

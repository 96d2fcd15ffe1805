import pytest

from knapweeddock.gateway.processingtimes import CACHE_LIFETIME_S, ProcessingTimes
from tests.gateway.support import SERVICE, make_route


def test_work_is_learned_for_known_and_new_objects_apart():
    work = ProcessingTimes()
    for _ in range(100):
        work.observe(make_route(), SERVICE, cached=True, processing_s=0.1)
        work.observe(make_route(), SERVICE, cached=False, processing_s=0.6)
    assert work.expected_s(make_route(), cached=True) == pytest.approx(0.1, rel=0.01)
    assert work.expected_s(make_route(), cached=False) == pytest.approx(0.6, rel=0.01)
    assert work.measured_mean_s(SERVICE) == pytest.approx(0.35, rel=0.2)


def test_object_is_known_for_a_while():
    work = ProcessingTimes()
    work.record_handled(SERVICE, "a", "17", 0.0)
    assert work.is_cached("a", "17", 1.0)
    assert not work.is_cached("b", "17", 1.0)
    assert not work.is_cached("a", "17", CACHE_LIFETIME_S)


def test_objects_are_counted_while_they_are_recent():
    work = ProcessingTimes()
    for index in range(30):
        work.record_handled(SERVICE, "a", str(index % 10), 0.0)
    assert work.object_count(SERVICE, 0.1) == 10
    assert work.object_count(SERVICE, CACHE_LIFETIME_S + 1.0) == 0

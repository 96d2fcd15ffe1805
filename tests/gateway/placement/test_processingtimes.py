import pytest

from knapweeddock.gateway.placement.processingtimes import CACHE_LIFETIME_S, ProcessingTimes
from tests.gateway.support import SERVICE, make_route


def test_work_is_learned_for_known_and_new_objects_apart():
    times = ProcessingTimes()
    for _ in range(100):
        times.observe(make_route(), SERVICE, cached=True, processing_s=0.1)
        times.observe(make_route(), SERVICE, cached=False, processing_s=0.6)
    assert times.expected_s(make_route(), cached=True) == pytest.approx(0.1, rel=0.01)
    assert times.expected_s(make_route(), cached=False) == pytest.approx(0.6, rel=0.01)
    assert times.measured_mean_s(SERVICE) == pytest.approx(0.35, rel=0.2)


def test_object_is_known_for_a_while():
    times = ProcessingTimes()
    times.record_handled(SERVICE, "a", "17", 0.0)
    assert times.handled_recently("a", "17", 1.0)
    assert not times.handled_recently("b", "17", 1.0)
    assert not times.handled_recently("a", "17", CACHE_LIFETIME_S)


def test_objects_are_counted_while_they_are_recent():
    times = ProcessingTimes()
    for index in range(30):
        times.record_handled(SERVICE, "a", str(index % 10), 0.0)
    assert times.object_count(SERVICE, 0.1) == 10
    assert times.object_count(SERVICE, CACHE_LIFETIME_S + 1.0) == 0

from knapweeddock.gateway.store.storeposition import UNKNOWN_ERA, EraTracker
from tests.gateway.support import at


def test_a_later_era_is_later_although_its_revision_is_lower():
    assert at(3, era=2) > at(900, era=1)


def test_changes_follow_within_their_era_only():
    # The revision was given out again, so the changes below it would be missing.
    assert at(11).can_follow(at(10))
    assert not at(11, era=2).can_follow(at(10))
    assert not at(10).can_follow(at(10))


def test_response_of_an_earlier_era_is_an_old_one():
    tracker = EraTracker()
    assert tracker.era == UNKNOWN_ERA
    assert tracker.observe(4)
    assert not tracker.observe(3)
    assert not tracker.observe(4)
    assert tracker.observe(5)


def test_single_corrupted_era_does_not_make_all_others_old():
    tracker = EraTracker()
    tracker.observe(4)
    assert not tracker.observe(90_000)
    assert not tracker.observe(4)
    assert not tracker.observe(90_000)
    assert tracker.era == 4


def test_gateway_that_missed_eras_takes_the_one_that_is_repeated():
    tracker = EraTracker()
    tracker.observe(4)
    tracker.observe(1004)
    assert tracker.observe(1004)
    assert tracker.era == 1004

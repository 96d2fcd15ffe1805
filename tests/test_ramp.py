"""Ramp: guards against remote work that meets cold caches all at once."""

import pytest

from knapweeddock.ramp import Ramp


def make_ramp(own_slots=20, start_fraction=0.2, growth_per_s=0.1):
    return Ramp(
        own_slots=own_slots, start_fraction=start_fraction, growth_per_s=growth_per_s, now=0.0
    )


def test_limit_grows_only_while_it_is_used():
    ramp = make_ramp()
    ramp.advance(2, 5.0)
    assert ramp.max_slots_beyond_shares() == 4
    ramp.advance(3, 6.0)
    assert ramp.limit == pytest.approx(6.0)


def test_limit_halves_without_use_down_to_the_start():
    """If the limit stayed high, a later shift would arrive at full size on cold caches."""
    ramp = make_ramp()
    ramp.advance(20, 100.0)
    ramp.advance(0, 109.0)
    assert ramp.max_slots_beyond_shares() == 20
    ramp.advance(0, 110.0)
    assert ramp.max_slots_beyond_shares() == 10
    ramp.advance(0, 200.0)
    assert ramp.max_slots_beyond_shares() == 4


def test_one_slot_may_always_be_lent():
    assert make_ramp(own_slots=3, start_fraction=0.0).max_slots_beyond_shares() == 1

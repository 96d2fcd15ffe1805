"""Ramp: guards against remote work that meets cold caches all at once."""

import pytest

from knapweeddock.ramp import Ramp


def make_ramp(base=20, start=0.2, growth=0.1):
    return Ramp(base=base, start=start, growth_per_s=growth, now=0.0)


def test_limit_grows_only_while_it_is_used():
    ramp = make_ramp()
    ramp.advance(2, 5.0)
    assert ramp.allowed() == 4
    ramp.advance(3, 6.0)
    assert ramp.limit == pytest.approx(6.0)


def test_limit_halves_without_use_down_to_the_start():
    """A limit that stayed high would let a later shift come in at full size."""
    ramp = make_ramp()
    ramp.advance(20, 100.0)
    ramp.advance(0, 109.0)
    assert ramp.allowed() == 20
    ramp.advance(0, 110.0)
    assert ramp.allowed() == 10
    ramp.advance(0, 200.0)
    assert ramp.allowed() == 4


def test_one_slot_may_always_be_lent():
    assert make_ramp(base=3, start=0.0).allowed() == 1

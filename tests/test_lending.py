"""Lending: guards against grants that outlive their term or use up guaranteed shares."""

import pytest

from knapweeddock.clock import MAX_CLOCK_DRIFT_FRACTION
from knapweeddock.lending import GRANT_TERM_S, Borrower, Lender, PeakMeter, SiteAvailability
from knapweeddock.ramp import Ramp
from knapweeddock.slots import slot_key
from knapweeddock.slottable import Allocation, SlotTable
from knapweeddock.slottypes import BorrowRequest, Grant, LenderCandidate, Slot

SLOTS = [Slot(site="x", server="s", index=n, rank=n, address="h") for n in range(8)]


@pytest.fixture
def lender():
    slot_table = SlotTable()
    slot_table.set_usable("x", {slot_key(slot): slot for slot in SLOTS})
    return Lender(vm="v1", incarnation="i1", internal_address="a:1", slot_table=slot_table)


def borrow(lender, wanted, domain="far", now=0.0, **more):
    free = list(lender.slot_table.free["x"].get("s", []))
    availability = {
        "lendable": free,
        "available_count": len(free),
        "guaranteed": {},
        "lender_headroom": 0,
        "lender_waiting": False,
        "remote": True,
        "region": None,
        "ramp": Ramp(own_slots=8, start_fraction=1.0, growth_per_s=0.0, now=0.0),
    }
    request = BorrowRequest(
        borrower="b", failure_domain=domain, incarnation="ib", site="x", wanted=wanted
    )
    result = lender.grant(request, SiteAvailability(**{**availability, **more}), now)
    return result.count if isinstance(result, Grant) else 0


def make_grant(count=1):
    return Grant(
        grant_id="g",
        lender="v1",
        incarnation="i1",
        site="x",
        count=count,
        term_s=GRANT_TERM_S,
        internal_address="a:1",
    )


def test_lowest_ranks_are_lent_and_come_back_after_the_term(lender):
    assert borrow(lender, 3) == 3
    assert lender.slot_table.free["x"]["s"][0].rank == 3
    assert not lender.expire(GRANT_TERM_S)
    assert lender.expire(GRANT_TERM_S * (1 + MAX_CLOCK_DRIFT_FRACTION))
    assert lender.slot_table.free_count("x") == 8


def test_own_need_and_waiting_work_come_first(lender):
    assert borrow(lender, 8, lender_headroom=6) == 2
    assert borrow(lender, 1, lender_waiting=True) == 0


def test_ramp_limits_only_what_is_beyond_the_guaranteed_share(lender):
    ramp = Ramp(own_slots=8, start_fraction=0.0, growth_per_s=0.0, now=0.0)
    assert borrow(lender, 8, ramp=ramp, guaranteed={"far": 3}) == 4
    assert borrow(lender, 8, ramp=ramp, guaranteed={"far": 3}) == 0


def test_guaranteed_share_is_lent_also_while_own_work_waits(lender):
    assert borrow(lender, 8, lender_waiting=True, guaranteed={"far": 3}) == 3


def test_others_leave_room_for_unmet_shares(lender):
    assert borrow(lender, 8, domain="other", guaranteed={"far": 3}) == 5


def test_returning_slots_are_kept_for_a_share_that_was_not_met(lender):
    """Other borrowers that renew their grants in time could starve the guaranteed domain."""
    assert borrow(lender, 5, domain="other", guaranteed={"far": 3}) == 5
    for slot in list(lender.slot_table.free["x"]["s"]):
        lender.slot_table.allocate(Allocation(slot=slot, domain="home"))
    assert borrow(lender, 3, guaranteed={"far": 3}, now=1.0) == 0
    lender.expire(2.1)
    assert borrow(lender, 5, domain="other", guaranteed={"far": 3}, now=2.1) == 2
    assert borrow(lender, 3, guaranteed={"far": 3}, now=2.1) == 3


def test_borrower_counts_the_term_from_before_it_asked():
    """If the borrower counted from the response, the lender could free the slot first."""
    borrower = Borrower()
    borrower.accept(make_grant(count=2), "p", asked_at=10.0, now=11.5)
    end = 10.0 + GRANT_TERM_S * (1 - MAX_CLOCK_DRIFT_FRACTION)
    assert borrower.acquire("p", end - 0.001, lambda grant: True) is not None
    assert borrower.acquire("p", end, lambda grant: True) is None


def test_borrower_stops_before_the_lender_at_the_largest_drift_of_their_clocks():
    # Rounded clock readings let the borrower use a slot that the lender had taken back.
    slow, fast = 1 - MAX_CLOCK_DRIFT_FRACTION, 1 + MAX_CLOCK_DRIFT_FRACTION
    for step in range(2000):
        asked_at = step * 0.01
        ended_at = asked_at + GRANT_TERM_S
        lender_ends = 500.0 + asked_at * fast + GRANT_TERM_S * fast
        borrower = Borrower()
        now = 500.0 + asked_at * slow
        borrower.accept(make_grant(), "p", asked_at=now, now=now)
        lender_has_ended = 500.0 + ended_at * fast >= lender_ends
        borrowed = borrower.acquire("p", 500.0 + ended_at * slow, lambda grant: True)
        assert not (lender_has_ended and borrowed is not None)


def test_borrowed_slots_are_limited_by_the_count_of_the_grant():
    borrower = Borrower()
    borrower.accept(make_grant(), "p", asked_at=0.0, now=0.0)
    borrowed = borrower.acquire("p", 0.1, lambda grant: True)
    assert borrower.acquire("p", 0.1, lambda grant: True) is None
    borrower.tick(50.0)
    assert borrower.grants
    borrower.release(borrowed, 50.0)
    assert not borrower.grants
    borrower.release(borrowed, 50.0)


def test_refusing_lender_is_not_asked_before_its_retry_after():
    borrower = Borrower()
    borrower.back_off(LenderCandidate(vm="v", lending_address="a", site="x"), 2.0, 10.0)
    assert borrower.is_backing_off("v", "x", 11.9)
    assert not borrower.is_backing_off("v", "x", 12.0)
    assert not borrower.is_backing_off("v", "y", 10.0)


def test_backoff_doubles_with_each_refusal_and_ends_with_a_grant():
    """With a fixed backoff, calls to lenders take most of the CPU time above full load."""
    borrower = Borrower()
    lender = LenderCandidate(vm="v1", lending_address="a", site="x")
    now = 0.0
    lengths = []
    for _ in range(6):
        borrower.back_off(lender, 0.2, now)
        lengths.append(round(borrower.backoffs["v1", "x"].until - now, 3))
        now = borrower.backoffs["v1", "x"].until
        borrower.tick(now)
    assert lengths == [0.2, 0.4, 0.8, 1.0, 1.0, 1.0]
    borrower.accept(make_grant(), "p", now, now)
    assert not borrower.is_backing_off("v1", "x", now)
    borrower.back_off(lender, 0.2, now)
    assert not borrower.is_backing_off("v1", "x", now + 0.2)


def test_peak_of_own_use_is_remembered_for_two_seconds():
    meter = PeakMeter(now=0.0)
    meter.record(5, 0.5)
    meter.record(1, 0.6)
    assert meter.peak(1, 2.5) == 5
    assert meter.peak(1, 3.5) == 1

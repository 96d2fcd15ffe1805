"""Slow attempts: guards against an unresponsive server that uses up a request's deadline."""

from knapweeddock import events
from knapweeddock.dispatchsettings import DispatchSettings, RetryBudgetLimits

from .dispatcherrig import Rig


def tick_after(rig, seconds):
    rig.clock.advance(seconds)
    return rig.handle(events.Tick())


def test_slow_attempt_is_cancelled_and_started_on_another_server():
    rig = Rig()
    [first] = rig.arrive()
    assert tick_after(rig, 0.2) == []
    cancel, second = tick_after(rig, 0.1)
    assert cancel == events.CancelAttempt(attempt=first.attempt)
    assert second.request == first.request
    assert second.slot.server != first.slot.server
    assert rig.capacity.in_use_count == 1
    assert rig.end(second.attempt)[0] == events.Deliver(request="r1", attempt=second.attempt)


def test_non_idempotent_attempt_is_never_replaced():
    """Guards against a booking that is started twice because the first attempt is slow."""
    rig = Rig()
    rig.book()
    assert tick_after(rig, 3.0) == []


def test_slow_attempt_goes_on_without_a_free_slot_or_budget():
    """Guards against cancelling a running attempt only to queue its request again."""
    single_server = Rig(servers=1)
    single_server.arrive()
    assert tick_after(single_server, 1.0) == []
    no_retries = DispatchSettings(retry_budget=RetryBudgetLimits(ratio=0.0, min_retries_per_s=0.0))
    without_budget = Rig(settings=no_retries)
    without_budget.arrive()
    assert tick_after(without_budget, 1.0) == []
    assert without_budget.capacity.in_use_count == 1


def test_borrowed_slot_has_a_longer_threshold_than_an_own_slot():
    """Guards against replacing an attempt before the lender, which knows its servers, does."""
    rig = Rig(servers=0)
    rig.add_borrowed_grant("g1", 1)
    [first] = rig.arrive()
    rig.add_borrowed_grant("g2", 1)
    assert tick_after(rig, 0.4) == []
    cancel, second = tick_after(rig, 0.2)
    assert cancel.attempt == first.attempt
    assert second.borrowed_slot.grant_id == "g2"

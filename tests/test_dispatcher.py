"""Tests of the dispatcher, one event at a time."""

import pytest

from knapweeddock import events
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import DispatchSettings, RetryBudgetLimits
from knapweeddock.events import AttemptOutcome
from knapweeddock.fakecapacity import make_slots
from knapweeddock.idempotency import KeyState
from knapweeddock.slottypes import Refusal

from .dispatcherrig import OWN_INCARNATION, POOL, Rig, make_grant, make_lender

CONNECT_FAILED, SHED, LOST = AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SHED, AttemptOutcome.LOST
INCOMPLETE, TIMED_OUT = AttemptOutcome.INCOMPLETE, AttemptOutcome.TIMED_OUT


def reply_codes(actions) -> list[tuple[str, ResultCode]]:
    return [(reply.request, reply.code) for reply in actions if isinstance(reply, events.Reply)]


def test_repeated_key_joins_and_then_gets_the_stored_response():
    """Guards against a second start of a booking that the caller sends again."""
    rig = Rig()
    [send] = rig.book()
    assert (send.idempotent, rig.capacity.in_use_count) == (False, 1)
    assert rig.book() == []
    assert rig.end(send.attempt, response_bytes=10) == [
        events.Deliver(request="r1", attempt=send.attempt),
        events.Deliver(request="r2", attempt=send.attempt),
    ]
    assert rig.capacity.in_use_count == 0
    assert rig.book() == [events.Deliver(request="r3", attempt=send.attempt)]
    rig.clock.advance(30)
    assert rig.handle(events.Tick()) == [events.DiscardResponse(attempt=send.attempt)]


def test_a_response_that_is_too_large_is_discarded_and_reported():
    rig = Rig()
    [send] = rig.book()
    actions = rig.end(send.attempt, response_bytes=70_000)
    assert actions[-1] == events.DiscardResponse(attempt=send.attempt)
    assert reply_codes(rig.book()) == [("r2", ResultCode.ANSWER_NOT_KEPT)]


@pytest.mark.parametrize("outcome", [CONNECT_FAILED, SHED])
def test_booking_that_provably_did_not_run_moves_to_another_server(outcome):
    """Guards against a booking that fails although a retry is provably safe."""
    rig = Rig()
    [first] = rig.book()
    [second] = rig.end(first.attempt, outcome)
    assert second.slot.server != first.slot.server
    [reply] = rig.end(second.attempt, outcome, retry_after_s=2.5)
    assert (reply.code, reply.retry_after_s) == (ResultCode.SHED, 2.5)
    assert reply_codes(rig.book()) == [("r2", ResultCode.KEY_REVOKED)]


@pytest.mark.parametrize(
    ("outcome", "own", "borrowed"),
    [
        (LOST, ResultCode.SERVER_LOST, ResultCode.ENTRY_LOST),
        (INCOMPLETE, ResultCode.INCOMPLETE_ANSWER, ResultCode.INCOMPLETE_ANSWER),
        (TIMED_OUT, ResultCode.DEADLINE_DURING_RUN, ResultCode.DEADLINE_DURING_RUN),
    ],
)
def test_booking_that_may_have_run_ends_as_unknown(outcome, own, borrowed):
    """Guards against a double charge and against "not run" for a booking that may have run."""
    through_entry = Rig(servers=0)
    through_entry.add_borrowed_grant("g1", 2)
    for rig, code in ((Rig(), own), (through_entry, borrowed)):
        [send] = rig.book()
        [reply] = rig.end(send.attempt, outcome)
        assert (reply.code, reply.retry_after_s) == (code, None)
        assert reply_codes(rig.book()) == [("r2", code)]
        assert rig.dispatcher.query_outcome(rig.key(), 0.0).state is KeyState.UNKNOWN
        assert rig.capacity.in_use_count == 0


def test_a_lenders_unknown_outcome_outweighs_its_refusal():
    rig = Rig(servers=0)
    rig.add_borrowed_grant("g1", 2)
    [send] = rig.book()
    assert isinstance(send, events.SendToEntry)
    [reply] = rig.end(send.attempt, SHED, code=ResultCode.SERVER_LOST)
    assert reply.code is ResultCode.SERVER_LOST


def test_lost_idempotent_request_is_retried_within_the_budget():
    """Guards against a retry storm and against "not run" after an attempt that may have run."""
    rig = Rig(
        servers=3, settings=DispatchSettings(retry_budget=RetryBudgetLimits(min_retries_per_s=1.0))
    )
    [first] = rig.arrive()
    [second] = rig.end(first.attempt, LOST)
    assert second.slot.server != first.slot.server
    [reply] = rig.end(second.attempt, SHED)
    assert (reply.code, reply.retry_after_s > 0) == (ResultCode.SERVER_LOST, True)


def test_waiting_requests_start_in_order_of_priority():
    rig = Rig(servers=1)
    [running] = rig.arrive()
    assert rig.arrive() == rig.book() == []
    actions = rig.end(running.attempt)
    assert [a.request for a in actions] == ["r1", "r3"]
    [_, last] = rig.end(actions[1].attempt)
    assert last.request == "r2"


def test_a_retry_that_waits_for_another_server_delays_no_other_request():
    """Guards against a free slot that is not used because a retry is queued."""
    rig = Rig(servers=2)
    [first], [_] = rig.arrive(), rig.arrive()
    assert rig.end(first.attempt, SHED) == []
    [send] = rig.arrive()
    assert send.slot == first.slot


def test_a_wait_beyond_the_deadline_is_refused_at_once():
    """Guards against requests that wait until shortly before their deadline and fail then."""
    rig = Rig(servers=1)
    rig.arrive()
    [reply] = rig.arrive(timeout_s=0.03)
    assert reply.code is ResultCode.WAIT_TOO_LONG
    assert 0 < reply.retry_after_s < 1
    without_slots = Rig(servers=0)
    assert reply_codes(without_slots.arrive()) == [("r1", ResultCode.WAIT_TOO_LONG)]


def test_waiting_requests_fail_when_the_estimate_grows():
    rig = Rig(servers=1)
    [running] = rig.arrive()
    rig.book("k", timeout_s=0.2)
    rig.clock.advance(0.17)
    assert reply_codes(rig.handle(events.Tick())) == [("r2", ResultCode.WAIT_TOO_LONG)]
    assert reply_codes(rig.book()) == [("r3", ResultCode.KEY_REVOKED)]
    assert rig.end(running.attempt) == [events.Deliver(request="r1", attempt=running.attempt)]


def test_lenders_are_asked_once_each_and_grants_start_waiting_requests():
    """Guards against too many calls to lenders and against a grant that is never used."""
    rig = Rig(servers=0, settings=DispatchSettings(max_borrow_calls=2, max_slots_per_borrow_call=1))
    rig.capacity.candidates[POOL] = [make_lender(f"vm-{name}") for name in "bcd"]
    [one], [two], three = rig.arrive(), rig.arrive(), rig.arrive()
    assert isinstance(one, events.Borrow)
    assert (one.lender.vm, two.lender.vm, three) == ("vm-b", "vm-c", [])
    refusal = Refusal(code=ResultCode.SHED, retry_after_s=9.0)
    refused = events.BorrowEnded(lender="vm-b", site="ledger-b", asked_at=0.0, result=refusal)
    [third] = rig.handle(refused)
    assert third.lender.vm == "vm-d"
    ended = events.BorrowEnded(lender="vm-c", site="ledger-c", asked_at=0.0, result=make_grant())
    sends = [a for a in rig.handle(ended) if isinstance(a, events.SendToEntry)]
    assert [send.request for send in sends] == ["r1", "r2"]


def test_a_lapsed_grant_is_dropped_and_costs_no_retry():
    """Guards against sending every queued request under the same ended grant."""
    rig = Rig(
        servers=0, settings=DispatchSettings(retry_budget=RetryBudgetLimits(min_retries_per_s=0.0))
    )
    rig.add_borrowed_grant("g2", 1)
    rig.add_borrowed_grant("g1", 5)
    [send] = rig.book()
    [again] = rig.end(send.attempt, SHED, code=ResultCode.GRANT_LAPSED)
    assert (send.borrowed_slot.grant_id, again.borrowed_slot.grant_id) == ("g1", "g2")
    assert rig.capacity.borrowed_slots[POOL] == []


def test_a_request_under_a_grant_runs_at_once_or_is_refused():
    """Guards against forwarding loops between entries and against queueing at a lender."""
    rig = Rig(servers=1)
    rig.capacity.add_grant("g", make_slots("lent", servers=1, slots_per_server=1))
    use = events.GrantUse(grant="g", incarnation=OWN_INCARNATION, site="lent")
    [send] = rig.book(key=rig.key(incarnation="borrower"), grant_use=use)
    assert send.slot.site == "lent"
    assert reply_codes(rig.arrive(grant_use=use)) == [("r2", ResultCode.SHED)]
    stale = events.GrantUse(grant="g", incarnation="older", site="lent")
    assert reply_codes(rig.arrive(grant_use=stale)) == [("r3", ResultCode.GRANT_LAPSED)]
    expired = rig.book(key=rig.key(incarnation="borrower", lifetime_s=0), grant_use=use)
    assert reply_codes(expired) == [("r4", ResultCode.KEY_EXPIRED)]
    rig.handle(events.CallerDisconnected(request="r1"))
    assert rig.capacity.in_use_count == 1
    assert rig.end(send.attempt) == [events.DiscardResponse(attempt=send.attempt)]


def test_caller_disconnect_cancels_idempotent_requests_only():
    """Guards against cancelling a booking, which could run again when it is sent again."""
    rig = Rig()
    [look], [book] = rig.arrive(), rig.book()
    disconnected = [
        events.CallerDisconnected(request="r1"),
        events.CallerDisconnected(request="r2"),
    ]
    assert rig.handle(disconnected[0]) == [events.CancelAttempt(attempt=look.attempt)]
    assert rig.handle(disconnected[1]) == []
    assert rig.capacity.in_use_count == 1
    assert rig.end(look.attempt) == []
    rig.book()
    assert rig.end(book.attempt) == [events.Deliver(request="r3", attempt=book.attempt)]


def test_a_known_key_is_answered_before_anything_can_refuse_it():
    """Guards against "not run" from a later check while the operation of the key runs."""
    rig = Rig()
    [send] = rig.book()
    rig.handle(events.DrainStarted())
    rig.dispatcher.admission.classifier.routes.clear()
    assert reply_codes(rig.book(timeout_s=0.0)) == [("r2", ResultCode.DEADLINE_DURING_RUN)]
    assert rig.book(timeout_s=0.5) == []
    rig.clock.advance(0.5)
    assert reply_codes(rig.handle(events.Tick())) == [("r3", ResultCode.DEADLINE_DURING_RUN)]
    [reply] = rig.book(key=rig.key(incarnation="inc-z"), timeout_s=0.0)
    assert (reply.code, reply.key_owner) == (ResultCode.OTHER_INCARNATION, "inc-z")
    assert rig.end(send.attempt) == [events.Deliver(request="r1", attempt=send.attempt)]


def test_refusals_by_admission_have_their_code():
    rig = Rig()
    assert reply_codes(rig.arrive(method="POST", path="/book"))[0][1] is ResultCode.KEY_MISSING
    assert reply_codes(rig.arrive(method="PUT"))[0][1] is ResultCode.UNKNOWN_CLASS
    assert reply_codes(rig.book("late", timeout_s=0.0))[0][1] is ResultCode.DEADLINE_PASSED
    assert reply_codes(rig.book("late"))[0][1] is ResultCode.KEY_REVOKED
    rig.capacity.pools.clear()
    assert reply_codes(rig.arrive())[0][1] is ResultCode.NO_SITE
    rig.handle(events.DrainStarted())
    assert reply_codes(rig.book("new"))[0][1] is ResultCode.DRAINING

"""The dispatcher's pipeline, one event at a time."""

from knapweeddock.events import Deliver, ForgetAnswer, SendToServer, Tick

from .dispatching import Rig

TICK = Tick()


def test_idempotent_request_is_sent_and_delivered():
    """Guards against an answer that is lost between attempt and caller, or a leaked slot."""
    rig = Rig()
    [send] = rig.arrive()
    assert isinstance(send, SendToServer)
    assert send.idempotent
    assert rig.capacity.held_count == 1
    assert rig.end(send.attempt) == [Deliver(request="r1", attempt=send.attempt)]
    assert rig.capacity.held_count == 0


def test_repeated_key_joins_and_then_gets_the_kept_answer():
    """Guards against a second start of a booking that the caller re-sent."""
    rig = Rig()
    [send] = rig.book()
    assert not send.idempotent
    assert rig.book() == []
    assert rig.end(send.attempt, answer_bytes=10) == [
        Deliver(request="r1", attempt=send.attempt),
        Deliver(request="r2", attempt=send.attempt),
    ]
    assert rig.book() == [Deliver(request="r3", attempt=send.attempt)]
    rig.clock.advance(30)
    assert rig.handle(TICK) == [ForgetAnswer(attempt=send.attempt)]

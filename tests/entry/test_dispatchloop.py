import asyncio

import pytest
from multidict import CIMultiDict
from opentelemetry.context import Context

from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.entry.dispatchloop import ActionExecutor, AttemptResult, DispatchLoop
from knapweeddock.entry.entrymetrics import EntryMetrics
from knapweeddock.entry.messages import BufferedResponse, CallResult, IncomingRequest
from knapweeddock.events import (
    Arrival,
    AttemptEnded,
    AttemptOutcome,
    Deliver,
    GrantUse,
    Reply,
    SendToServer,
    Tick,
)
from knapweeddock.fakecapacity import FakeCapacity
from knapweeddock.slottypes import Slot

SLOT = Slot(site="s", server="a", index=0, rank=0, address="127.0.0.1:1")
SEND = SendToServer(
    request="1", attempt="t", slot=SLOT, deadline=2000.0, idempotent=False, streaming=False
)


class ScriptedDispatcher:
    """Dispatcher that returns given actions or raises an exception, by event type."""

    def __init__(self, **results):
        self.results = results
        self.handled = []
        self.capacity = FakeCapacity(incarnation="i", slots={})

    def handle(self, event, now):
        name = type(event).__name__
        self.handled.append(name)
        result = self.results.get(name, [])
        if isinstance(result, Exception):
            raise result
        return result


class RecordingExecutor(ActionExecutor):
    def __init__(self, error=None):
        self.actions = []
        self.error = error

    def send(self, action, incoming):
        self.actions.append(action)
        if self.error:
            raise self.error

    def cancel(self, attempt):
        self.actions.append(attempt)

    def borrow(self, action):
        self.actions.append(action)


def make_loop(script, **options):
    clock = ManualClock()
    loop = DispatchLoop(dispatcher=script, clock=clock, metrics=EntryMetrics(vm="vm1"))
    loop.executor = RecordingExecutor(**options)
    return loop


def submit(loop, grant=None):
    arrival = Arrival(request="1", host="h", method="POST", path="/", grant_use=grant)
    incoming = IncomingRequest(
        arrival=arrival,
        method="POST",
        target="/",
        headers=CIMultiDict(),
        body=b"",
        trace_context=Context(),
    )
    pending = loop.submit(incoming)
    process_queue(loop)
    return pending


def process_queue(loop):
    while not loop.queue.empty():
        loop.process(loop.queue.get_nowait())


def answered_result(body=b"x"):
    response = BufferedResponse(status=200, reason=None, headers=CIMultiDict(), body=body)
    return CallResult(outcome=AttemptOutcome.ANSWERED, response=response)


async def test_a_fault_on_an_arrival_is_answered_and_does_not_stop_the_loop():
    """Guards against one request that stops the whole entry."""
    script = ScriptedDispatcher(Arrival=RuntimeError("bug"))
    loop = make_loop(script)
    pending = submit(loop)
    assert pending.response.result().code is ResultCode.NOT_READY
    script.results["Arrival"] = [Reply(request="1", code=ResultCode.SHED)]
    assert submit(loop).response.result().code is ResultCode.SHED


@pytest.mark.parametrize("fault", [RuntimeError("bug"), [Deliver(request="1", attempt="lost")]])
async def test_a_fault_after_the_send_is_an_unknown_outcome(fault):
    """Guards against a caller that waits forever or is told "not run"."""
    loop = make_loop(ScriptedDispatcher(Arrival=[SEND], AttemptEnded=fault))
    pending = submit(loop)
    loop.attempt_ended("t", answered_result())
    process_queue(loop)
    assert pending.response.result().code in (ResultCode.SERVER_LOST, ResultCode.ANSWER_NOT_KEPT)
    assert loop.pending == {}


async def test_a_send_that_cannot_be_started_ends_the_attempt():
    """Guards against a slot that is never released."""
    script = ScriptedDispatcher(Arrival=[SEND])
    loop = make_loop(script, error=RuntimeError("bug"))
    submit(loop)
    assert script.handled == ["Arrival", "AttemptEnded"]


async def test_only_one_answer_is_written():
    """Guards against two responses to one request on a connection."""
    loop = make_loop(
        ScriptedDispatcher(Arrival=[Reply(request="1", code=code) for code in (117, 118)])
    )
    pending = submit(loop)
    assert pending.response.result().code == 117


async def test_answers_without_a_key_are_dropped_after_delivery():
    """Guards against responses that stay in memory, and results of unknown attempts."""
    script = ScriptedDispatcher(Arrival=[SEND], AttemptEnded=[Deliver(request="1", attempt="t")])
    for grant, stored in ((None, 1), (GrantUse(grant="g", incarnation="i", site="s"), 0)):
        loop = make_loop(script)
        pending = submit(loop, grant)
        loop.attempt_ended("t", answered_result())
        loop.attempt_ended("t", answered_result())
        process_queue(loop)
        assert pending.response.result().body == b"x"
        assert len(loop.stored_responses) == stored
    assert script.handled.count(AttemptEnded.__name__) == 2


async def test_a_tick_precedes_other_items_after_a_pause():
    """Guards against the use of slots whose term ended while the process was paused."""
    script = ScriptedDispatcher()
    loop = make_loop(script)
    submit(loop)
    loop.clock.advance(10.0)
    submit(loop)
    assert script.handled == ["Arrival", Tick.__name__, "Arrival"]


async def test_results_of_unknown_attempts_are_ignored():
    """Guards against a response that is stored for an attempt that was cancelled."""
    loop = make_loop(ScriptedDispatcher())
    loop.process(AttemptResult(attempt="other", result=answered_result()))
    await asyncio.sleep(0)
    assert loop.stored_responses == {}

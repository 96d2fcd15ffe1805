"""The queue of a pool: guards against a wrong order and against waits that cannot succeed."""

from knapweeddock.attempts import Operation
from knapweeddock.codes import ResultCode
from knapweeddock.model import RequestClass
from knapweeddock.queueing import PoolQueue


def make_operation(name="w", *, priority=0, deadline=10.0, start_by=None) -> Operation:
    fields = {"methods": ["GET"], "path_prefix": "/", "idempotent": True, "pool": "p"}
    request_class = RequestClass(priority=priority, service_time_ms=100.0, **fields)
    return Operation(
        request=name,
        service="s",
        request_class=request_class,
        deadline=deadline,
        start_by=deadline if start_by is None else start_by,
    )


def make_queue(*operations: Operation, limit=10, service_time_s=0.1) -> PoolQueue:
    queue = PoolQueue(limit=limit, service_time_s=service_time_s)
    for operation in operations:
        queue.push(operation)
    return queue


def test_order_is_priority_then_deadline_then_arrival():
    late = make_operation("late", deadline=9.0)
    bulk = make_operation("bulk", priority=3, deadline=1.0)
    first = make_operation("first", deadline=5.0)
    second = make_operation("second", deadline=5.0)
    queue = make_queue(late, bulk, first, second)
    assert [operation.request for operation in queue] == ["first", "second", "late", "bulk"]
    assert queue.position(make_operation(deadline=5.0)) == 2


def test_remove_takes_out_the_given_operation_and_not_an_equal_one():
    first, second = make_operation("first"), make_operation("second")
    queue = make_queue(first, second)
    assert queue.remove(second)
    assert not queue.remove(second)
    assert list(queue) == [first]


def test_a_wait_that_does_not_fit_is_refused_at_once():
    """Guards against queueing an operation that would miss its deadline.

    With ten operations of 0.1 s queued for two slots, the next one waits 0.55 s.
    """
    queue = make_queue(*(make_operation(deadline=10.5) for _ in range(10)), limit=11)
    late = make_operation(deadline=10.0 + 0.55 + 0.09)
    assert queue.check_admission(late, running=2, now=10.0) is ResultCode.WAIT_TOO_LONG
    fits = make_operation(deadline=10.0 + 0.55 + 0.11)
    assert queue.check_admission(fits, running=2, now=10.0) is None
    assert (
        make_queue(late, limit=1).check_admission(late, running=9, now=0.0) is ResultCode.QUEUE_FULL
    )
    expiring = make_operation(deadline=20.0, start_by=10.5)
    assert queue.check_admission(expiring, running=2, now=10.0) is ResultCode.WAIT_TOO_LONG


def test_slow_responses_raise_the_estimate():
    queue = make_queue()
    for _ in range(100):
        queue.record_service_time(0.4)
    assert 0.39 < queue.estimated_wait_s(0, 1) <= 0.4


def test_varying_service_times_require_more_time_before_the_deadline():
    """Guards against late starts: with time for the mean alone, half of them are cut off."""
    queue = make_queue()
    for number in range(200):
        queue.record_service_time(0.05 if number % 2 else 0.15)
    operation = make_operation(deadline=10.0)
    required_s = queue.required_time_s(operation)
    assert 0.18 < required_s < 0.22
    assert queue.would_finish_late_if_started(operation, 10.0 - required_s + 0.001)
    assert not queue.would_finish_late_if_started(operation, 10.0 - required_s - 0.001)

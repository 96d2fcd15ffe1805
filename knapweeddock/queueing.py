"""Bounded priority queue of a pool, with an estimate of the waiting time."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from knapweeddock.attempts import Operation
from knapweeddock.codes import ResultCode

SERVICE_TIME_SMOOTHING = 0.1
"""Smoothing factor of the exponential moving averages: the weight of a new measurement."""

MARGIN_DEVIATIONS = 2.0
"""Mean deviations to add to the service time when checking it against a deadline.

If only the mean were reserved, about half of the operations started at the last
moment would be cut off by their deadline and have used their slot for nothing.
"""


@dataclass(order=True, kw_only=True, slots=True)
class QueueItem:
    """A queued operation, ordered by priority, then deadline, then arrival."""

    priority: int
    deadline: float
    sequence: int
    operation: Operation = field(compare=False)


class PoolQueue:
    """Operations that wait for a slot of one pool.

    Attributes:
        limit: Maximum number of queued operations.
        service_time_s: Moving average of the duration of answered attempts.
        mean_deviation_s: Moving average of the absolute deviation from
            ``service_time_s``.
        items: Queued operations in the order in which they are started.
        last_sequence: Arrival number of the operation that was queued last.
    """

    def __init__(self, *, limit: int, service_time_s: float) -> None:
        self.limit = limit
        self.service_time_s = service_time_s
        self.mean_deviation_s = 0.0
        self.items: list[QueueItem] = []
        self.last_sequence = 0

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[Operation]:
        """Iterate in order over a copy, so that operations may be removed meanwhile."""
        return iter([item.operation for item in self.items])

    def push(self, operation: Operation) -> None:
        """Insert ``operation`` by priority, deadline and arrival."""
        self.last_sequence += 1
        insort(self.items, _queue_item(operation, sequence=self.last_sequence))

    def remove(self, operation: Operation) -> bool:
        """Remove ``operation`` and return whether it was queued."""
        target = _queue_item(operation, sequence=0)
        for index in range(bisect_left(self.items, target), len(self.items)):
            item = self.items[index]
            if item.operation is operation:
                del self.items[index]
                return True
            if (item.priority, item.deadline) != (target.priority, target.deadline):
                break
        return False

    def position(self, operation: Operation) -> int:
        """Return how many queued operations would be ahead of a new ``operation``."""
        return bisect_left(self.items, _queue_item(operation, sequence=self.last_sequence + 1))

    def record_service_time(self, service_time_s: float) -> None:
        """Update the averages with the duration of an answered attempt, whatever its status."""
        error = service_time_s - self.service_time_s
        self.service_time_s += SERVICE_TIME_SMOOTHING * error
        self.mean_deviation_s += SERVICE_TIME_SMOOTHING * (abs(error) - self.mean_deviation_s)

    def estimated_wait_s(self, position: int, running: int) -> float:
        """Return the expected waiting time in seconds.

        Args:
            position: Number of operations ahead in the queue.
            running: Number of running attempts; each is assumed to release its
                slot once per service time.
        """
        return (position + 1) * self.service_time_s / max(1, running)

    def check_admission(
        self, operation: Operation, *, running: int, now: float
    ) -> ResultCode | None:
        """Return why a new ``operation`` may not be queued, or None if it may."""
        if len(self.items) >= self.limit:
            return ResultCode.QUEUE_FULL
        if self.would_wait_too_long(operation, self.position(operation), running=running, now=now):
            return ResultCode.WAIT_TOO_LONG
        return None

    def would_wait_too_long(
        self, operation: Operation, position: int, *, running: int, now: float
    ) -> bool:
        """Whether the expected wait ends after ``start_by`` or leaves too little time to run."""
        wait_s = self.estimated_wait_s(position, running)
        starts_late = now + wait_s > operation.start_by
        return starts_late or wait_s > operation.deadline - now - self.required_time_s(operation)

    def required_time_s(self, operation: Operation) -> float:
        """Return the time in seconds that ``operation`` needs between start and deadline."""
        relative_deviation = (
            self.mean_deviation_s / self.service_time_s if self.service_time_s > 0 else 0.0
        )
        return operation.service_time_s * (1 + MARGIN_DEVIATIONS * relative_deviation)

    def would_finish_late_if_started(self, operation: Operation, now: float) -> bool:
        """Whether ``operation`` would probably miss its deadline even if started now."""
        return now + self.required_time_s(operation) > operation.deadline


def _queue_item(operation: Operation, *, sequence: int) -> QueueItem:
    return QueueItem(
        priority=operation.request_class.priority,
        deadline=operation.deadline,
        sequence=sequence,
        operation=operation,
    )

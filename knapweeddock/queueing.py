"""The bounded queue of a pool and the estimate of the wait in it."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from knapweeddock.attempts import Operation
from knapweeddock.codes import ResultCode

SERVICE_TIME_SMOOTHING = 0.1
"""Weight of a new measurement in the moving average of the service time."""

MARGIN_DEVIATIONS = 2.0
"""Mean deviations above the service time for which work must leave room.

With room for the mean alone, every second piece of work that starts last is
cut off by its deadline and has used its slot in vain.
"""


@dataclass(order=True, kw_only=True, slots=True)
class QueueEntry:
    """Waiting work with its place: priority, then deadline, then arrival order."""

    priority: int
    deadline: float
    sequence: int
    operation: Operation = field(compare=False)


class PoolQueue:
    """Work that waits for slots of one pool.

    Attributes:
        limit: Largest number of waiting requests.
        service_time_s: Moving average of the time that an attempt takes.
        deviation_s: Moving average of how far the times are from it.
    """

    def __init__(self, *, limit: int, service_time_s: float) -> None:
        self.limit = limit
        self.service_time_s = service_time_s
        self.mean_deviation_s = 0.0
        self.entries: list[QueueEntry] = []
        self.last_sequence = 0

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[Operation]:
        """Iterate over a copy, in order, so that work may be removed meanwhile."""
        return iter([entry.operation for entry in self.entries])

    def push(self, operation: Operation) -> None:
        """Add work at its place."""
        self.last_sequence += 1
        insort(self.entries, _queue_entry(operation, number=self.last_sequence))

    def remove(self, operation: Operation) -> bool:
        """Take work out and return whether it was waiting."""
        target = _queue_entry(operation, number=0)
        for index in range(bisect_left(self.entries, target), len(self.entries)):
            entry = self.entries[index]
            if entry.operation is operation:
                del self.entries[index]
                return True
            if (entry.priority, entry.deadline) != (target.priority, target.deadline):
                break
        return False

    def position(self, operation: Operation) -> int:
        """Return how much waiting work new ``work`` would have before it."""
        return bisect_left(self.entries, _queue_entry(operation, number=self.last_sequence + 1))

    def record_service_time(self, service_time_s: float) -> None:
        """Take in the measured time of an answered attempt."""
        error = service_time_s - self.service_time_s
        self.service_time_s += SERVICE_TIME_SMOOTHING * error
        self.mean_deviation_s += SERVICE_TIME_SMOOTHING * (abs(error) - self.mean_deviation_s)

    def estimated_wait_s(self, position: int, running: int) -> float:
        """Return the expected wait in seconds behind ``position`` others.

        Args:
            position: Waiting work that goes first.
            running: Attempts that run now; each gives its slot back once per
                service time.
        """
        return (position + 1) * self.service_time_s / max(1, running)

    def refusal_code(self, operation: Operation, *, running: int, now: float) -> ResultCode | None:
        """Return why new ``work`` may not wait here, or None when it may."""
        if len(self.entries) >= self.limit:
            return ResultCode.QUEUE_FULL
        if self.would_miss_deadline(operation, self.position(operation), running=running, now=now):
            return ResultCode.WAIT_TOO_LONG
        return None

    def would_miss_deadline(
        self, operation: Operation, position: int, *, running: int, now: float
    ) -> bool:
        """Whether the expected wait leaves less than the class's service time."""
        wait_s = self.estimated_wait_s(position, running)
        starts_late = now + wait_s > operation.start_by
        return starts_late or wait_s > operation.deadline - now - self.required_time_s(operation)

    def required_time_s(self, operation: Operation) -> float:
        """Return the time in seconds that must be left when ``work`` is started."""
        relative_deviation = (
            self.mean_deviation_s / self.service_time_s if self.service_time_s > 0 else 0.0
        )
        return operation.service_time_s * (1 + MARGIN_DEVIATIONS * relative_deviation)

    def would_finish_late(self, operation: Operation, now: float) -> bool:
        """Whether waiting ``work`` would probably miss its deadline if it started now."""
        return now + self.required_time_s(operation) > operation.deadline


def _queue_entry(operation: Operation, *, number: int) -> QueueEntry:
    return QueueEntry(
        priority=operation.request_class.priority,
        deadline=operation.deadline,
        sequence=number,
        operation=operation,
    )

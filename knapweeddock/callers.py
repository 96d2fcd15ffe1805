"""The requests that have no answer yet; each one is answered exactly once."""

from knapweeddock.attempts import Operation
from knapweeddock.ids import RequestId


class PendingRequests:
    """Requests that wait for the result of some work.

    Attributes:
        waiting: Work of each request that has no answer yet.
        joined_until: Deadline of each request that joined the work of an
            earlier one; the deadline of the first request is that of the work.
    """

    def __init__(self) -> None:
        self.waiting: dict[RequestId, Operation] = {}
        self.join_deadlines: dict[RequestId, float] = {}

    def add(self, operation: Operation) -> None:
        """Let the request that asked for new work wait for it."""
        operation.waiters.append(operation.request)
        self.waiting[operation.request] = operation

    def join(self, request: RequestId, operation: Operation, deadline: float) -> None:
        """Let a repeated request wait for the work of an earlier one."""
        operation.waiters.append(request)
        self.waiting[request] = operation
        self.join_deadlines[request] = deadline

    def remove(self, request: RequestId) -> Operation | None:
        """Take a request out and return its work, or None when it was answered."""
        operation = self.waiting.pop(request, None)
        self.join_deadlines.pop(request, None)
        if operation is not None:
            operation.waiters.remove(request)
        return operation

    def remove_all(self, operation: Operation) -> list[RequestId]:
        """Take out and return all requests that wait for ``work``."""
        requests = list(operation.waiters)
        for request in requests:
            self.remove(request)
        return requests

    def remove_expired(self, now: float) -> list[RequestId]:
        """Take out and return the joined requests whose own deadline has passed."""
        expired = [request for request, deadline in self.join_deadlines.items() if deadline <= now]
        for request in expired:
            self.remove(request)
        return expired

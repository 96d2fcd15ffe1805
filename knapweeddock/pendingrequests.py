"""Pending requests; each receives exactly one response unless its caller disconnects."""

from knapweeddock.attempts import Operation
from knapweeddock.ids import RequestId


class PendingRequests:
    """Requests that wait for the result of an operation.

    Attributes:
        operations: Operation of each pending request.
        join_deadlines: Own deadline of each request that joined the operation of
            an earlier one. The deadline of the first request is that of the
            operation.
    """

    def __init__(self) -> None:
        self.operations: dict[RequestId, Operation] = {}
        self.join_deadlines: dict[RequestId, float] = {}

    def add(self, operation: Operation) -> None:
        """Add the request that created ``operation``."""
        operation.waiters.append(operation.request)
        self.operations[operation.request] = operation

    def join(self, request: RequestId, operation: Operation, deadline: float) -> None:
        """Add a repeated request to the operation of an earlier one."""
        operation.waiters.append(request)
        self.operations[request] = operation
        self.join_deadlines[request] = deadline

    def remove(self, request: RequestId) -> Operation | None:
        """Remove a request and return its operation, or None if it is no longer pending."""
        operation = self.operations.pop(request, None)
        self.join_deadlines.pop(request, None)
        if operation is not None:
            operation.waiters.remove(request)
        return operation

    def remove_all(self, operation: Operation) -> list[RequestId]:
        """Remove and return all requests that wait for ``operation``."""
        requests = list(operation.waiters)
        for request in requests:
            self.remove(request)
        return requests

    def remove_expired(self, now: float) -> list[RequestId]:
        """Remove and return the joined requests whose own deadline has passed."""
        expired = [request for request, deadline in self.join_deadlines.items() if deadline <= now]
        for request in expired:
            self.remove(request)
        return expired

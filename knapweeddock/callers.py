"""The requests that have no answer yet; each one is answered exactly once."""

from knapweeddock.attempts import Work
from knapweeddock.ids import RequestId


class Callers:
    """Requests that wait for the result of some work.

    Attributes:
        waiting: Work of each request that has no answer yet.
        joined_until: Deadline of each request that joined the work of an
            earlier one; the deadline of the first request is that of the work.
    """

    def __init__(self) -> None:
        self.waiting: dict[RequestId, Work] = {}
        self.joined_until: dict[RequestId, float] = {}

    def add(self, work: Work) -> None:
        """Let the request that asked for new work wait for it."""
        work.waiters.append(work.request)
        self.waiting[work.request] = work

    def join(self, request: RequestId, work: Work, until: float) -> None:
        """Let a repeated request wait for the work of an earlier one."""
        work.waiters.append(request)
        self.waiting[request] = work
        self.joined_until[request] = until

    def leave(self, request: RequestId) -> Work | None:
        """Take a request out and return its work, or None when it was answered."""
        work = self.waiting.pop(request, None)
        self.joined_until.pop(request, None)
        if work is not None:
            work.waiters.remove(request)
        return work

    def take(self, work: Work) -> list[RequestId]:
        """Take out and return all requests that wait for ``work``."""
        requests = list(work.waiters)
        for request in requests:
            self.leave(request)
        return requests

    def take_late(self, now: float) -> list[RequestId]:
        """Take out and return the joined requests whose own deadline has passed."""
        late = [request for request, until in self.joined_until.items() if until <= now]
        for request in late:
            self.leave(request)
        return late

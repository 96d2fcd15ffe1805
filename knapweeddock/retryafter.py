"""Retry-After values for requests that were refused or failed."""

import random

from knapweeddock.attempts import Operation
from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.queueing import PoolQueue

RETRY_AFTER_CODES = frozenset(
    {
        ResultCode.DEADLINE_PASSED,
        ResultCode.KEY_TABLE_FULL,
        ResultCode.QUEUE_FULL,
        ResultCode.WAIT_TOO_LONG,
        ResultCode.DRAINING,
        ResultCode.GRANT_LAPSED,
        ResultCode.SHED,
        ResultCode.NO_SITE,
        ResultCode.NOT_READY,
    }
)
"""Refusals after which the caller may retry."""

RETRY_AFTER_JITTER = 0.5
"""Largest random addition to a value for a failed operation, as a fraction of it.

Prevents retry bursts. A value that a server or lender gave gets no jitter.
"""


class RetryAfter:
    """Computes Retry-After values from the state of the pool's queue."""

    def __init__(self, *, settings: DispatchSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng

    def for_refused_request(self, code: ResultCode) -> float | None:
        """Return the value in seconds for a request refused by admission, None for no retry."""
        return self.settings.retry_after_s if code in RETRY_AFTER_CODES else None

    def for_operation(
        self, operation: Operation, code: ResultCode, queue: PoolQueue, running: int
    ) -> float | None:
        """Return the value in seconds for an operation that failed, None for no retry.

        A key whose outcome is unknown stays so, and a retry would not help; an
        idempotent request may simply be repeated.
        """
        unknown = outcome_of(code) is Outcome.UNKNOWN
        if unknown and not operation.request_class.idempotent:
            return None
        if not unknown and code not in RETRY_AFTER_CODES:
            return None
        if operation.retry_after_s is not None:
            return min(operation.retry_after_s, self.settings.max_retry_after_s)
        if running == 0:
            wait_s = self.settings.retry_after_s
        else:
            wait_s = queue.estimated_wait_s(len(queue), running)
        wait_s *= 1 + RETRY_AFTER_JITTER * self.rng.random()
        return min(wait_s, self.settings.max_retry_after_s)

"""Limits and defaults of the request decisions."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class KeyLimits:
    """Limits of the table of idempotency keys.

    Attributes:
        max_keys: Keys that are kept at a time.
        max_key_chars: Longest key. Header limits alone would let a full table
            take 1.6 GB.
        max_key_life_s: How far not-after may lie in the future.
        retention_s: How long the result of a started key is remembered beyond
            not-after, so that a late repetition is not told "not run".
        max_answer_bytes: Largest answer that is kept for repetitions.
        max_kept_bytes: Largest sum of the kept answers. Without it, a full
            table of the largest answers would take 6.5 GB.
    """

    max_keys: int = 100_000
    max_key_chars: int = 255
    max_key_life_s: float = 120.0
    retention_s: float = 60.0
    max_answer_bytes: int = 64 * 1024
    max_kept_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class RetryBudgetLimits:
    """Limits of the retries of one service.

    Attributes:
        ratio: Retries earned by each request.
        floor_per_s: Retries allowed each second without any earned ones.
        max_earned: Largest number of earned retries that may be saved up.
    """

    ratio: float = 0.1
    min_retries_per_s: float = 3.0
    max_earned_retries: float = 50.0


@dataclass(frozen=True, kw_only=True)
class DispatchSettings:
    """Limits and defaults of a dispatcher.

    Attributes:
        max_queue: Waiting requests per pool.
        max_budget_s: Largest time that a caller may ask for, unless the default of
            the class is longer.
        max_attempts: Attempts for one request, the first one included;
            refusals of lapsed grants do not count.
        retry_wait_s: Longest wait of a retry for a slot on another server.
        min_patience_s: Shortest time after which an idempotent attempt counts as
            slow and is replaced by one on another server.
        patience_factor: The same as a multiple of the mean service time.
        max_borrow_calls: Calls to lenders per pool that may be outstanding.
        max_borrow_count: Largest number of slots asked for in one call.
        borrow_backoff_s: Time for which a lender that did not answer is left alone.
        retry_after_s: Time to come back when no estimate exists.
        max_retry_after_s: Upper bound of an estimated time to come back.
        keys: Limits of the key table.
        retries: Limits of the retry budget.
    """

    max_queue: int = 1000
    max_timeout_s: float = 300.0
    max_attempts: int = 3
    max_retry_wait_s: float = 0.25
    min_slow_threshold_s: float = 0.25
    slow_threshold_factor: float = 4.0
    max_borrow_calls: int = 3
    max_borrow_count: int = 8
    borrow_backoff_s: float = 1.0
    retry_after_s: float = 1.0
    max_retry_after_s: float = 30.0
    keys: KeyLimits = field(default_factory=KeyLimits)
    retry_budget: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)

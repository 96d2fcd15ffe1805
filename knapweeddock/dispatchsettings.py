"""Limits and defaults of the dispatcher."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class KeyLimits:
    """Limits of the table of idempotency keys.

    Attributes:
        max_keys: Maximum number of keys in the table.
        max_key_chars: Maximum length of a key in characters. With the limits on
            header size alone, a full table could take 1.6 GB.
        max_key_life_s: Maximum time from now to a key's not-after time.
        retention_s: Time after not-after for which the state of a key whose
            operation may have run is remembered, so that a late repeated request is
            not told "not run". The stored response is discarded at not-after.
        max_response_bytes: Size of the largest response that is stored for
            repeated requests.
        max_stored_bytes: Maximum total size of the stored responses. Without it, a
            full table of the largest responses would take 6.5 GB.
    """

    max_keys: int = 100_000
    max_key_chars: int = 255
    max_key_life_s: float = 120.0
    retention_s: float = 60.0
    max_response_bytes: int = 64 * 1024
    max_stored_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class RetryBudgetLimits:
    """Limits of the retry budget of one service.

    Attributes:
        ratio: Fraction of a retry that each request earns.
        min_retries_per_s: Retries allowed each second even if none were earned;
            any value below 1 allows none.
        max_earned_retries: Maximum number of earned retries that accumulate.
    """

    ratio: float = 0.1
    min_retries_per_s: float = 3.0
    max_earned_retries: float = 50.0


@dataclass(frozen=True, kw_only=True)
class DispatchSettings:
    """Limits and defaults of a dispatcher.

    Attributes:
        max_queue_length: Maximum number of queued operations per pool.
        max_timeout_s: Longest timeout that a caller may ask for, unless the
            default of the class is longer.
        max_attempts: Maximum number of attempts for one request, including the
            first. Attempts at a lender that no longer accepts the grant or cannot
            be reached do not count.
        max_retry_wait_s: Longest time that a retry waits for a slot on another
            server. It starts with the first such wait of an operation, and no later
            retry of the operation extends it.
        min_slow_threshold_s: Shortest slow threshold: the time after which an
            attempt of an idempotent request is replaced by one on another server or
            on a borrowed slot.
        slow_threshold_factor: Slow threshold as a multiple of the mean service
            time; the larger of the two applies.
        max_borrow_calls: Maximum number of outstanding calls to lenders per pool.
        max_slots_per_borrow_call: Maximum number of slots requested in one such call.
        borrow_backoff_s: Time for which a lender that did not respond gets no
            further calls.
        retry_after_s: Retry-After value if there is no estimate.
        max_retry_after_s: Upper limit of estimated Retry-After values and of those
            that servers and lenders give.
        keys: Limits of the key table.
        retry_budget: Limits of the retry budget of each service.
    """

    max_queue_length: int = 1000
    max_timeout_s: float = 300.0
    max_attempts: int = 3
    max_retry_wait_s: float = 0.25
    min_slow_threshold_s: float = 0.25
    slow_threshold_factor: float = 4.0
    max_borrow_calls: int = 3
    max_slots_per_borrow_call: int = 8
    borrow_backoff_s: float = 1.0
    retry_after_s: float = 1.0
    max_retry_after_s: float = 30.0
    keys: KeyLimits = field(default_factory=KeyLimits)
    retry_budget: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)

"""Idempotency keys: the operation of each key runs at most once.

A key belongs to the entry process whose incarnation it names. It stays in the
table at least until its not-after time has passed on the anchored wall clock (see
``knapweeddock.clock``), and as long as its operation is queued or running.
"""

import heapq
from dataclasses import dataclass
from enum import Enum

from knapweeddock.attempts import Operation
from knapweeddock.clock import Clock
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import KeyLimits
from knapweeddock.events import IdempotencyKey
from knapweeddock.ids import AttemptId, Incarnation


class KeyState(Enum):
    """State of a key's operation."""

    PENDING = "running"
    """The operation is queued or running."""
    COMPLETE = "complete"
    """The operation ran and its response was received."""
    UNKNOWN = "unknown"
    """The operation may have run."""
    NOT_RUN = "not-run"
    """The operation provably did not run and never will."""


@dataclass(kw_only=True, eq=False, slots=True)
class KeyRecord:
    """Record of one key in the key table.

    Attributes:
        key: The key.
        fingerprint: Fingerprint of the first request with the key; empty if
            only an outcome query has named the key.
        state: State of the operation.
        operation: The operation while it is queued or running.
        attempt: Attempt whose response is stored.
        response_bytes: Size of the stored response.
        code: Result code if the outcome is unknown.
    """

    key: IdempotencyKey
    fingerprint: bytes
    state: KeyState
    operation: Operation | None = None
    attempt: AttemptId | None = None
    response_bytes: int = 0
    code: ResultCode | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyOutcome:
    """Result of an outcome query.

    Attributes:
        state: State of the key, which is what the caller may rely on.
        attempt: Attempt whose stored response can be delivered.
        code: Result code that explains the state. Its usual outcome
            (``outcome_of``) may differ: ``KEY_EXPIRED`` also occurs with ``UNKNOWN``.
        key_owner: Incarnation that owns the key, if it is another one.
    """

    state: KeyState
    attempt: AttemptId | None = None
    code: ResultCode = ResultCode.OK
    key_owner: Incarnation | None = None


class KeyTable:
    """Keys of non-idempotent requests that this entry process owns.

    Attributes:
        started_at: Unix time at which the process started.
        records: Records by key text.
        expiry_heap: Unix time of the next expiry check and the key text, as a heap.
        stored_bytes: Total size of the stored responses.
    """

    def __init__(self, *, incarnation: Incarnation, clock: Clock, limits: KeyLimits) -> None:
        self.incarnation = incarnation
        self.clock = clock
        self.limits = limits
        self.started_at = clock.wall()
        self.records: dict[str, KeyRecord] = {}
        self.expiry_heap: list[tuple[float, str]] = []
        self.stored_bytes = 0

    def check(self, key: IdempotencyKey, fingerprint: bytes) -> KeyRecord | ResultCode | None:
        """Validate the key of a request and look it up.

        Returns:
            The record of a repeated key; None if the key is new and its operation
            may be started; otherwise the reason for which the request is refused.
        """
        if key.incarnation != self.incarnation:
            return ResultCode.OTHER_INCARNATION
        if not 0 < len(key.value) <= self.limits.max_key_chars:
            return ResultCode.BAD_REQUEST
        record = self.records.get(key.value)
        if record is None:
            return self._check_new_key(key)
        if record.key.not_after != key.not_after:
            return ResultCode.KEY_MISMATCH
        if record.fingerprint and record.fingerprint != fingerprint:
            return ResultCode.KEY_MISMATCH
        return record

    def add(self, key: IdempotencyKey, fingerprint: bytes, operation: Operation) -> bool:
        """Record a new operation; return False if the table is full."""
        record = KeyRecord(
            key=key, fingerprint=fingerprint, state=KeyState.PENDING, operation=operation
        )
        return self._insert(record)

    def revoke(self, key: IdempotencyKey, fingerprint: bytes = b"") -> bool:
        """Record that a key's operation did not and will not run; False if the table is full.

        The operation must provably not have run: any attempt ended in a refusal.
        """
        record = self.records.get(key.value)
        if record is None:
            return self._insert(KeyRecord(key=key, fingerprint=fingerprint, state=KeyState.NOT_RUN))
        record.state = KeyState.NOT_RUN
        record.operation = None
        return True

    def complete(self, key: IdempotencyKey, attempt: AttemptId, response_bytes: int) -> bool:
        """Record that a key's operation completed; return whether its response is stored."""
        record = self.records[key.value]
        record.state = KeyState.COMPLETE
        record.operation = None
        fits = response_bytes <= self.limits.max_response_bytes
        fits = fits and self.stored_bytes + response_bytes <= self.limits.max_stored_bytes
        if not fits or self._is_expired(key):
            return False
        record.attempt = attempt
        record.response_bytes = response_bytes
        self.stored_bytes += response_bytes
        return True

    def mark_unknown(self, key: IdempotencyKey, code: ResultCode) -> None:
        """Record that a key's operation may have run, with the reason."""
        record = self.records[key.value]
        record.state = KeyState.UNKNOWN
        record.operation = None
        record.code = code

    def query_outcome(self, key: IdempotencyKey) -> KeyOutcome:
        """Return the outcome of a key.

        A key that was never seen and may still be started is revoked first, so
        that the result "not run" stays true.
        """
        record = self.records.get(key.value)
        if record is not None and record.key == key:
            return _outcome_of_record(record)
        found = self.check(key, b"")
        match found:
            case ResultCode.OTHER_INCARNATION:
                return KeyOutcome(state=KeyState.UNKNOWN, code=found, key_owner=key.incarnation)
            case ResultCode.KEY_EXPIRED if self._is_expired(key):
                return KeyOutcome(state=KeyState.NOT_RUN, code=found)
            case ResultCode():
                return KeyOutcome(state=KeyState.UNKNOWN, code=found)
        if not self.revoke(key):
            return KeyOutcome(state=KeyState.UNKNOWN, code=ResultCode.KEY_TABLE_FULL)
        return KeyOutcome(state=KeyState.NOT_RUN, code=ResultCode.KEY_REVOKED)

    def remaining_s(self, key: IdempotencyKey) -> float:
        """Return the seconds until not-after, when the key's operation may no longer start."""
        return key.not_after - self.clock.wall()

    def expire(self) -> list[AttemptId]:
        """Remove expired keys and return the attempts whose stored responses can be discarded."""
        now = self.clock.wall()
        discarded: list[AttemptId] = []
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, key = heapq.heappop(self.expiry_heap)
            record = self.records.get(key)
            if record is not None:
                discarded.extend(self._expire_record(record, now))
        return discarded

    def _expire_record(self, record: KeyRecord, now: float) -> list[AttemptId]:
        discarded = [] if record.attempt is None else [record.attempt]
        record.attempt = None
        self.stored_bytes -= record.response_bytes
        record.response_bytes = 0
        remove_at = record.key.not_after
        if record.state is not KeyState.NOT_RUN:
            remove_at += self.limits.retention_s
        if record.state is KeyState.PENDING:
            remove_at = max(remove_at, now + self.limits.retention_s)
        if remove_at > now:
            heapq.heappush(self.expiry_heap, (remove_at, record.key.value))
        else:
            del self.records[record.key.value]
        return discarded

    def _check_new_key(self, key: IdempotencyKey) -> ResultCode | None:
        remaining_s = self.remaining_s(key)
        if remaining_s > self.limits.max_key_life_s:
            # The key would have to stay in the table for too long.
            return ResultCode.KEY_EXPIRED
        if remaining_s > 0:
            return None
        # A record may have existed and been removed, unless the key expired before
        # this process started.
        record_may_be_gone = -remaining_s >= self.limits.retention_s
        if record_may_be_gone and key.not_after > self.started_at:
            return ResultCode.KEY_FORGOTTEN
        return ResultCode.KEY_EXPIRED

    def _is_expired(self, key: IdempotencyKey) -> bool:
        return self.remaining_s(key) <= 0

    def _insert(self, record: KeyRecord) -> bool:
        if len(self.records) >= self.limits.max_keys:
            return False
        self.records[record.key.value] = record
        heapq.heappush(self.expiry_heap, (record.key.not_after, record.key.value))
        return True


def _outcome_of_record(record: KeyRecord) -> KeyOutcome:
    match record.state:
        case KeyState.COMPLETE if record.attempt is None:
            return KeyOutcome(state=record.state, code=ResultCode.ANSWER_NOT_KEPT)
        case KeyState.COMPLETE:
            return KeyOutcome(state=record.state, attempt=record.attempt)
        case KeyState.UNKNOWN:
            return KeyOutcome(state=record.state, code=record.code or ResultCode.SERVER_LOST)
        case KeyState.NOT_RUN:
            return KeyOutcome(state=record.state, code=ResultCode.KEY_REVOKED)
        case KeyState.PENDING:
            return KeyOutcome(state=record.state)

"""The key table: guards against second starts and against false "not run" results."""

from dataclasses import replace

import pytest

from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import KeyLimits
from knapweeddock.events import IdempotencyKey
from knapweeddock.idempotency import KeyState, KeyTable

from .dispatcherrig import EPOCH
from .test_queueing import make_operation

OWN_INCARNATION = "own"
ATTEMPT = "a1"


def make_key(name="k", *, lifetime_s=30.0, incarnation=OWN_INCARNATION) -> IdempotencyKey:
    return IdempotencyKey(value=name, incarnation=incarnation, not_after=EPOCH + lifetime_s)


def make_table(**limits) -> KeyTable:
    clock = ManualClock(epoch=EPOCH)
    return KeyTable(incarnation=OWN_INCARNATION, clock=clock, limits=KeyLimits(**limits))


@pytest.fixture
def table() -> KeyTable:
    return make_table(max_keys=3)


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        (make_key(incarnation="other"), ResultCode.OTHER_INCARNATION),
        (make_key(lifetime_s=0), ResultCode.KEY_EXPIRED),
        (make_key(lifetime_s=120.5), ResultCode.KEY_EXPIRED),
        (make_key(lifetime_s=120), None),
        (make_key("k" * 256), ResultCode.BAD_REQUEST),
    ],
)
def test_only_valid_keys_of_this_process_may_be_started(table, key, expected):
    assert table.check(key, b"d") is expected


def test_a_used_key_is_refused_for_another_request(table):
    table.add(make_key(), b"d", make_operation())
    assert table.check(make_key(), b"e") is ResultCode.KEY_MISMATCH
    assert table.check(make_key(lifetime_s=31), b"d") is ResultCode.KEY_MISMATCH
    assert table.check(make_key(), b"d").state is KeyState.PENDING


def test_a_full_table_refuses_and_forgets_nothing(table):
    keys = [make_key(name) for name in "abc"]
    assert all(table.add(key, b"", make_operation()) for key in keys)
    assert not table.add(make_key("d"), b"", make_operation())
    answer = table.query_outcome(make_key("d"))
    assert (answer.state, answer.code) == (KeyState.UNKNOWN, ResultCode.KEY_TABLE_FULL)
    assert all(table.query_outcome(key).state is KeyState.PENDING for key in keys)


def test_outcome_queries_return_state_and_code(table):
    for name in ("done", "big", "lost"):
        table.add(make_key(name), b"d", make_operation())
    table.complete(make_key("done"), ATTEMPT, 64 * 1024)
    assert table.query_outcome(make_key("done")).attempt == ATTEMPT
    table.complete(make_key("big"), ATTEMPT, 64 * 1024 + 1)
    big = table.query_outcome(make_key("big"))
    assert (big.state, big.attempt) == (KeyState.COMPLETE, None)
    table.mark_unknown(make_key("lost"), ResultCode.ENTRY_LOST)
    lost = table.query_outcome(make_key("lost"))
    assert (lost.state, lost.code) == (KeyState.UNKNOWN, ResultCode.ENTRY_LOST)
    other = table.query_outcome(make_key(incarnation="b"))
    assert (other.state, other.key_owner) == (KeyState.UNKNOWN, "b")
    assert table.query_outcome(make_key("far", lifetime_s=200)).state is KeyState.UNKNOWN


def test_an_outcome_query_revokes_an_unseen_key(table):
    """Guards against a delayed first request that starts after "not run" was reported."""
    assert table.query_outcome(make_key()).state is KeyState.NOT_RUN
    assert table.check(make_key(), b"d").state is KeyState.NOT_RUN


def test_stored_responses_have_a_limit_in_bytes():
    table = make_table(max_stored_bytes=100)
    stored = []
    for name in "ab":
        table.add(make_key(name), b"d", make_operation())
        stored.append(table.complete(make_key(name), ATTEMPT, 60))
    assert stored == [True, False]
    table.clock.advance(30)
    assert table.expire() == [ATTEMPT]
    assert table.stored_bytes == 0


def test_a_completed_key_is_never_reported_as_not_run_after_it_expires(table):
    """Guards against "not run" for a key that was removed from the table after it had run.

    Past not-after, absence from the table does not prove that a key was not run.
    """
    table.add(make_key(), b"d", make_operation())
    table.complete(make_key(), ATTEMPT, 1)
    table.clock.advance(60)
    table.expire()
    assert table.query_outcome(make_key()).state is KeyState.COMPLETE
    table.clock.advance(30)
    table.expire()
    assert not table.records
    assert table.check(make_key(), b"d") is ResultCode.KEY_FORGOTTEN
    assert table.query_outcome(make_key()).state is KeyState.UNKNOWN
    before_start = replace(make_key(), not_after=EPOCH - 1)
    assert table.check(before_start, b"d") is ResultCode.KEY_EXPIRED

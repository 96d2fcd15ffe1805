"""Accepting changes: no accepted change is lost, none is made twice, none is claimed falsely."""

import asyncio
import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock import changes
from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.errors import (
    ConfigError,
    OutcomeUnknown,
    RateLimited,
    StoreError,
    StoreUnavailable,
)
from knapweeddock.headstore import fetch_document, read_head
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.publish import Current, Publisher


async def no_wait(_seconds: float) -> None:
    await asyncio.sleep(0)


def publisher(store: MemoryObjectStore, **options) -> Publisher:
    return Publisher(
        store=store,
        operator="ann",
        clock=ManualClock(),
        rng=random.Random(1),
        **({"sleep": no_wait} | options),
    )


def setting(key: str, value: object = 1):
    return lambda current: current.document | {key: value}


async def document_of(store: MemoryObjectStore) -> dict:
    return (await fetch_document(store, (await read_head(store)).head)).document


class FaultyStore(MemoryObjectStore):
    """Fails at random, with writes that are lost, or arrive long after the error."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.late: list[asyncio.Task] = []

    async def get(self, key):
        await asyncio.sleep(0)
        if self.rng.random() < 0.1:
            raise StoreUnavailable("random")
        return await super().get(key)

    async def put(self, key, value, *, expected_version):
        await asyncio.sleep(0)
        fault = self.rng.random()
        if fault < 0.05:
            raise RateLimited("random")
        if fault < 0.15:
            self.lose_answers = 1
        elif fault < 0.2:
            self.lose_writes = 1
        elif fault < 0.35:
            self.late.append(asyncio.create_task(self._late(key, value, expected_version)))
            raise OutcomeUnknown("random")
        return await super().put(key, value, expected_version=expected_version)

    async def list(self, prefix):
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)
        return await super().list(prefix)

    async def delete(self, key):
        await asyncio.sleep(0)
        await super().delete(key)

    async def _late(self, key, value, expected_version):
        for _ in range(self.rng.randrange(12)):
            await asyncio.sleep(0)
        with contextlib.suppress(StoreError):
            await super().put(key, value, expected_version=expected_version)


async def check_race(seed: int, writers: int) -> None:
    store = FaultyStore(rng=random.Random(seed))
    outcomes: dict[str, object] = {}

    async def write(name: str) -> None:
        for number in range(4):
            key = f"{name}-{number}"
            try:
                outcomes[key] = await publisher(store, max_tries=6).publish(setting(key, "x" * 50))
            except StoreError as error:
                outcomes[key] = error

    await asyncio.gather(*(write(f"w{number}") for number in range(writers)))
    await asyncio.gather(*store.late)
    calm = MemoryObjectStore()
    calm.objects = store.objects
    document = await document_of(calm)
    head = (await read_head(calm)).head
    assert head.version == len(document) == len(set(head.recent_ids))
    accepted = {key: found for key, found in outcomes.items() if not isinstance(found, StoreError)}
    refused = [
        key
        for key, found in outcomes.items()
        if isinstance(found, StoreError) and not isinstance(found, OutcomeUnknown)
    ]
    assert accepted.keys() <= document.keys()
    assert not set(refused) & document.keys()
    assert len({found.version for found in accepted.values()}) == len(accepted)
    assert all(found.change_id in head.recent_ids for found in accepted.values())


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    seed=st.integers(0, 2**32), writers=st.integers(1, 5), inline=st.sampled_from([0, 700, 2**18])
)
def test_racing_writers_with_lost_answers(seed, writers, inline):
    """An accepted change that is lost, or a refused one that arrives, breaks invariant I8."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(changes, "MAX_INLINE_BYTES", inline)
        patch.setattr(changes, "KEPT_INLINE_BYTES", inline // 2)
        asyncio.run(check_race(seed, writers))


async def test_lost_answer_is_recognised_by_the_own_id():
    store = MemoryObjectStore()
    store.lose_answers = 1
    found = await publisher(store).publish(setting("a"))
    head = (await read_head(store)).head
    assert (found.version, head.version, head.recent_ids) == (1, 1, [found.change_id])
    assert head.changes[0].operator == "ann"


async def test_equal_document_makes_no_change():
    store = MemoryObjectStore()
    await publisher(store).publish(setting("a"))
    found = await publisher(store).publish(setting("a"))
    assert (found.version, found.change_id) == (1, None)
    assert (await read_head(store)).head.version == 1


async def test_unavailable_store_ends_the_tries():
    store = MemoryObjectStore()
    store.down = True
    waits = []

    async def record(seconds: float) -> None:
        waits.append(seconds)

    with pytest.raises(StoreUnavailable):
        await publisher(store, sleep=record, max_tries=8).publish(setting("a"))
    assert len(waits) == 7
    assert max(waits) <= 2.0
    store.down = False
    store.rate_limited_s = 3.0
    with pytest.raises(RateLimited):
        await publisher(store, sleep=record, max_tries=2).publish(setting("a"))
    assert waits[-1] == 3.0


async def test_store_that_fails_after_the_write_leaves_the_outcome_unknown():
    """Reporting "nothing changed" would be false: the change is accepted."""
    store = MemoryObjectStore()
    store.lose_answers = 1

    async def go_down(_seconds: float) -> None:
        store.down = True

    with pytest.raises(OutcomeUnknown):
        await publisher(store, sleep=go_down).publish(setting("a"))
    store.down = False
    assert await document_of(store) == {"a": 1}


async def test_lost_snapshot_write_is_not_an_unknown_outcome(monkeypatch):
    monkeypatch.setattr(changes, "MAX_INLINE_BYTES", 0)
    store = MemoryObjectStore()
    store.lose_answers = 3
    with pytest.raises(StoreUnavailable, match="nothing was changed"):
        await publisher(store, max_tries=3).publish(setting("a"))
    assert (await read_head(store)).head.version == 0


async def test_old_snapshots_are_deleted(monkeypatch):
    """The snapshot before stays, since a reader may hold the head that refers to it."""
    monkeypatch.setattr(changes, "MAX_INLINE_BYTES", 0)
    monkeypatch.setattr(changes, "KEPT_INLINE_BYTES", 0)
    store = MemoryObjectStore()
    for number in range(4):
        await publisher(store).publish(setting(f"k{number}"))
    head = (await read_head(store)).head
    assert await store.list(changes.SNAPSHOT_PREFIX) == [head.previous_snapshot, head.snapshot]
    assert head.changes == []
    assert await document_of(store) == {f"k{number}": 1 for number in range(4)}


async def test_document_above_the_limit_changes_nothing():
    store = MemoryObjectStore()
    with pytest.raises(ConfigError) as raised:
        await publisher(store).publish(setting("a", "x" * changes.MAX_DOCUMENT_BYTES))
    assert raised.value.code is ResultCode.TOO_LARGE
    assert store.objects == {}


async def test_largest_document_is_published_and_read():
    """A first change of 900,000 bytes must fit into the values of the platform."""
    store = MemoryObjectStore()
    large = "x" * (changes.MAX_DOCUMENT_BYTES - 100)
    await publisher(store).publish(setting("a", large))
    await publisher(store).publish(setting("a", "y" + large))
    assert (await document_of(store))["a"] == "y" + large


async def test_proposal_sees_each_new_head():
    """A writer that loses a race must not publish its old document again."""
    store = MemoryObjectStore()
    seen = []

    def propose(current: Current) -> dict:
        seen.append(current.head.version)
        return current.document | {"mine": 1}

    class Racing(MemoryObjectStore):
        async def put(self, key, value, *, expected_version):
            if not seen[1:]:
                await publisher(store).publish(setting("theirs"))
            return await store.put(key, value, expected_version=expected_version)

    racing = Racing()
    racing.objects = store.objects
    assert (await publisher(racing).publish(propose)).version == 2
    assert seen == [0, 1]
    assert await document_of(store) == {"theirs": 1, "mine": 1}

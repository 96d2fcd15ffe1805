"""The in-memory store: its faults must be those that the platform can show."""

import asyncio

import pytest

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable, VersionConflict
from knapweeddock.objectstore import ABSENT, MemoryObjectStore


async def test_conditional_update():
    """Two writers with the same version must not both succeed."""
    store = MemoryObjectStore()
    first = await store.put("a", b"1", expected_version=ABSENT)
    with pytest.raises(VersionConflict):
        await store.put("a", b"2", expected_version=ABSENT)
    second = await store.put("a", b"2", expected_version=first)
    with pytest.raises(VersionConflict):
        await store.put("a", b"3", expected_version=first)
    assert second > first
    assert (await store.get("a")).value == b"2"


async def test_version_is_not_repeated_after_delete():
    """A writer that read before the deletion must not overwrite the new object."""
    store = MemoryObjectStore()
    old = await store.put("a", b"1", expected_version=ABSENT)
    await store.delete("a")
    await store.put("a", b"2", expected_version=ABSENT)
    with pytest.raises(VersionConflict):
        await store.put("a", b"3", expected_version=old)


async def test_lost_answer_differs_from_lost_write_only_in_effect():
    store = MemoryObjectStore()
    store.lose_answers = 1
    with pytest.raises(OutcomeUnknown):
        await store.put("a", b"1", expected_version=ABSENT)
    store.lose_writes = 1
    with pytest.raises(OutcomeUnknown):
        await store.put("b", b"1", expected_version=ABSENT)
    assert await store.list("") == ["a"]


async def test_down_and_rate_limit():
    store = MemoryObjectStore()
    store.down = True
    with pytest.raises(StoreUnavailable):
        await store.get("a")
    store.down = False
    store.rate_limited_s = 2.5
    with pytest.raises(RateLimited) as raised:
        await store.list("")
    assert raised.value.retry_after_s == 2.5


async def test_watch_sees_the_next_version_and_ends():
    """A watch that misses a change between read and wait would delay it for a whole timeout."""
    store = MemoryObjectStore()
    version = await store.put("a", b"1", expected_version=ABSENT)
    assert (await store.watch("a", ABSENT, 60)).value == b"1"
    waiting = asyncio.create_task(store.watch("a", version, 60))
    await asyncio.sleep(0)
    newer = await store.put("a", b"2", expected_version=version)
    assert (await waiting).value == b"2"
    assert await store.watch("a", newer, 0) is None


async def test_watch_ends_when_the_store_goes_down():
    store = MemoryObjectStore()
    waiting = asyncio.create_task(store.watch("a", ABSENT, 60))
    await asyncio.sleep(0)
    store.down = True
    with pytest.raises(StoreUnavailable):
        await waiting

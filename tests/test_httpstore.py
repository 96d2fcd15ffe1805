"""The HTTP store against a stand-in: every fault must end as the right error."""

import asyncio

import pytest

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable, VersionConflict
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.ids import Version
from knapweeddock.objectstore import ABSENT
from tests.fake_platform import FakePlatform


@pytest.fixture
async def platform():
    yield FakePlatform()


@pytest.fixture
async def store(platform):
    async with platform.serve() as url:
        store = HttpObjectStore(url=url)
        yield store
        await store.close()


async def test_objects_by_http(store):
    version = await store.put("config/head", b"\x00a b", expected_version=ABSENT)
    assert (await store.get("config/head")).value == b"\x00a b"
    newer = await store.put("config/head", b"2", expected_version=version)
    assert newer > version
    with pytest.raises(VersionConflict):
        await store.put("config/head", b"3", expected_version=version)
    with pytest.raises(VersionConflict):
        await store.put("config/head", b"3", expected_version=ABSENT)
    assert await store.list("config/") == ["config/head"]
    await store.delete("config/head")
    assert await store.get("config/head") is None


async def test_key_with_reserved_characters(store):
    """An unquoted key would name another object."""
    await store.put("a?b#c %41/d", b"1", expected_version=ABSENT)
    assert await store.list("a") == ["a?b#c %41/d"]
    assert (await store.get("a?b#c %41/d")).value == b"1"


async def test_watch(store, platform):
    waiting = asyncio.create_task(store.watch("a", ABSENT, 30))
    version = await platform.store.put("a", b"1", expected_version=ABSENT)
    assert (await waiting).version == version
    assert await store.watch("a", version, 0) is None


async def test_lost_answer_is_unknown_and_not_repeated(store, platform):
    """A repeated PUT would be answered 412 and report an accepted change as refused."""
    await store.get("a")
    platform.store.lose_answers = 1
    platform.requests.clear()
    with pytest.raises(OutcomeUnknown):
        await store.put("a", b"1", expected_version=ABSENT)
    assert platform.requests == ["PUT"]
    assert (await store.get("a")).value == b"1"


async def test_no_answer_in_time_is_unknown(platform):
    platform.store.delay_s = 30
    async with platform.serve() as url:
        store = HttpObjectStore(url=url, total_timeout_s=0.05)
        with pytest.raises(OutcomeUnknown):
            await store.put("a", b"1", expected_version=ABSENT)
        with pytest.raises(StoreUnavailable):
            await store.get("a")
        await store.close()


async def test_down_and_rate_limited(store, platform):
    platform.store.down = True
    with pytest.raises(StoreUnavailable):
        await store.get("a")
    with pytest.raises(StoreUnavailable):
        await store.put("a", b"1", expected_version=ABSENT)
    platform.store.down = False
    platform.store.rate_limited_s = 2.5
    with pytest.raises(RateLimited) as raised:
        await store.put("a", b"1", expected_version=ABSENT)
    assert raised.value.retry_after_s == 2.5


async def test_refused_connection_had_no_effect(unused_tcp_port):
    """A refused connection proves that the write did not happen."""
    store = HttpObjectStore(url=f"http://127.0.0.1:{unused_tcp_port}")
    with pytest.raises(StoreUnavailable):
        await store.put("a", b"1", expected_version=Version(3))
    with pytest.raises(StoreUnavailable):
        await store.delete("a")
    await store.close()

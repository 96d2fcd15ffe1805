"""Block tables on the platform: guards against a list that names a missing chunk."""

import asyncio
import contextlib
import random

import pytest

from knapweeddock import blockchunks, porcelain
from knapweeddock.blockchunks import KEY_PREFIX
from knapweeddock.blockfiles import read_block_files
from knapweeddock.blockstore import ChunkWriter
from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreError, StoreUnavailable
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.publish import Publisher
from tests.documents import DOCUMENT, document, write_folder
from tests.fake_platform import FakePlatform
from tests.test_blockfiles import write_blocks
from tests.test_porcelain import held, session


@pytest.fixture
def folder(tmp_path):
    return write_blocks(write_folder(tmp_path / "config", DOCUMENT), a="10.2.0.0/16 n1\n")


@pytest.fixture
def store():
    return MemoryObjectStore()


async def chunk_keys(store) -> set[str]:
    return set(await store.list(KEY_PREFIX))


async def named_keys(store) -> set[str]:
    chunks = (await held(store)).get("block_chunks", {})
    return {KEY_PREFIX + chunk["digest"] for chunk in chunks.values()}


async def test_apply_stores_chunks_and_deletes_old_ones(store, folder):
    await porcelain.apply(session(store), folder)
    first = await named_keys(store)
    assert await chunk_keys(store) == first != set()
    assert (await porcelain.apply(session(store), folder)).change_id is None
    for name in ("n2", "s1"):
        shown = await porcelain.diff(session(store), write_blocks(folder, a=f"10.2.0.0/16 {name}"))
        report = await porcelain.apply(session(store), folder)
        assert report.patch["block_chunks"] == shown.patch["block_chunks"]
    assert len(await chunk_keys(store)) == 2
    assert not first & await chunk_keys(store)
    await porcelain.drain(session(store), porcelain.Targets(servers=["a"]))
    (folder / "blocks" / "a.txt").unlink()
    (folder / "blocks").rmdir()
    await porcelain.apply(session(store), folder, base_version=4)
    assert "block_chunks" not in await held(store)
    assert len(await chunk_keys(store)) == 1


async def test_other_changes_leave_chunks_alone(store, folder):
    await porcelain.apply(session(store), folder)
    before = await chunk_keys(store)
    write_folder(folder, document(("lookup/entries", 3)))
    report = await porcelain.apply(session(store), folder)
    assert report.patch == {"lookup": {"entries": 3}}
    assert await chunk_keys(store) == before


async def test_no_list_without_its_chunks(folder):
    """A platform that fails between the chunks and the head must leave the old list."""

    class Failing(MemoryObjectStore):
        async def put(self, key, value, *, expected_version):
            if key.startswith(KEY_PREFIX):
                raise StoreUnavailable("full")
            return await super().put(key, value, expected_version=expected_version)

    store = Failing()
    with pytest.raises(StoreUnavailable):
        await porcelain.apply(session(store), folder)
    assert store.objects == {}


async def test_lost_answers_and_rate_limits_are_tried_again(folder):
    class Limited(MemoryObjectStore):
        refused = 0

        async def put(self, key, value, *, expected_version):
            if self.refused < 3:
                self.refused += 1
                raise RateLimited("busy", retry_after_s=1.0)
            return await super().put(key, value, expected_version=expected_version)

    store = Limited()
    store.lose_answers = 2
    assert (await porcelain.apply(session(store), folder)).version == 1
    assert await chunk_keys(store) == await named_keys(store)


async def test_failed_deletion_is_no_failure_of_the_change(store, folder):
    for name in ("n1", "n2", "s1"):
        write_blocks(folder, a=f"10.2.0.0/16 {name}")
        if name == "s1":
            store.delete = fail
        assert (await porcelain.apply(session(store), folder)).change_id
    assert len(await chunk_keys(store)) == 3


async def fail(_key: str) -> None:
    raise StoreUnavailable("down")


class SlowStore(MemoryObjectStore):
    """Lets other writers run between any two calls; some writes lose their answer."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng

    async def _admit(self) -> None:
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        await super()._admit()

    async def put(self, key, value, *, expected_version):
        if self.rng.random() < 0.1:
            self.lose_answers = 1
        return await super().put(key, value, expected_version=expected_version)


@pytest.mark.parametrize("seed", range(40))
async def test_racing_writers_never_leave_a_list_with_a_missing_chunk(seed, tmp_path, monkeypatch):
    """A chunk deleted by one writer while another names it again cannot be recovered."""
    monkeypatch.setattr(blockchunks, "MAX_CHUNK_BLOCKS", 2)
    store = SlowStore(rng=random.Random(seed))
    rng = random.Random(seed + 1)
    tables = []
    for number in range(4):
        lines = [f"{10 + block}.0.0.0/8 n{rng.randrange(2)}\n" for block in range(6)]
        directory = write_blocks(tmp_path / str(number), a="".join(lines))
        tables.append(read_block_files(directory)[0].families)

    async def write() -> None:
        for _ in range(6):
            writer = ChunkWriter(store=store, families=rng.choice(tables))
            publisher = Publisher(store=store, operator="x", rng=rng, sleep=asyncio_pause)
            with contextlib.suppress(StoreError, OutcomeUnknown):
                await publisher.publish(
                    lambda current, writer=writer: writer.with_chunks(current.document, {}), writer
                )
            named = await named_keys(calm_view(store))
            assert named <= set(store.objects)

    await asyncio.gather(*(write() for _ in range(3)))
    assert await named_keys(calm_view(store)) <= set(store.objects)


async def asyncio_pause(_seconds: float) -> None:
    await asyncio.sleep(0)


def calm_view(store) -> MemoryObjectStore:
    calm = MemoryObjectStore()
    calm.objects = store.objects.copy()
    return calm


async def test_chunks_are_kept_by_http(folder):
    """Binary values and conditional creation must work on the platform's protocol too."""
    platform = FakePlatform()
    async with platform.serve() as url:
        http = HttpObjectStore(url=url)
        for name in ("n1", "n2", "s1"):
            write_blocks(folder, a=f"10.2.0.0/16 {name}")
            await porcelain.apply(session(http), folder)
        for chunk in (await held(http))["block_chunks"].values():
            stored = await http.get(KEY_PREFIX + chunk["digest"])
            blockchunks.verify(stored.value, digest=chunk["digest"])
        assert len(await chunk_keys(http)) == 2
        await http.close()

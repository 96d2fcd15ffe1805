"""Block table updates: guards against use of an incomplete table and against stuck updates."""

import random

import pytest

from knapweeddock import blockchunks, porcelain
from knapweeddock.agent import handlers, service
from knapweeddock.blocks import parse_address
from knapweeddock.errors import PeerUnavailable
from knapweeddock.ids import FailureDomainId, Version
from knapweeddock.lookup import Lookup
from knapweeddock.lookupd.blocktableupdater import BlockTableUpdater
from knapweeddock.model import Config
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.state import NodeState
from tests.agents import agent_settings, running_agent, running_lookup, wait_until
from tests.documents import DOCUMENT, write_folder
from tests.test_blockchunks import plan
from tests.test_blockfiles import write_blocks
from tests.test_porcelain import session

CLIENT = "10.0.0.1"


class UpdaterHarness:
    """A look-up with its block table updater and the chunks available from its agent."""

    def __init__(self) -> None:
        self.available: dict[str, bytes] = {}
        self.error: Exception | None = None
        self.version = 0
        self.lookup = Lookup(failure_domain=FailureDomainId("n1"))
        self.updater = BlockTableUpdater(lookup=self.lookup, fetch=self.fetch, rng=random.Random(1))

    async def fetch(self, digest: str) -> bytes | None:
        if self.error:
            raise self.error
        return self.available.get(digest)

    def set_config(self, plan=None, *, document: str = "") -> None:
        self.version += 1
        blocks = {"10.0.0.0/8": document} if document else {}
        config = Config(block_chunks=plan.chunks if plan else {}, client_blocks=blocks)
        self.lookup.update(NodeState(config_version=Version(self.version), config=config))

    def find_location(self, client: str = CLIENT) -> str | None:
        return self.lookup.blocks.find(parse_address(client)).location


def make_blocks(*places: int) -> dict[int, int]:
    return {(10 + at) << 32 | 8: place for at, place in enumerate(places)}


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(blockchunks, "MAX_CHUNK_BLOCKS", 1)


async def test_old_table_stays_until_all_chunks_are_there():
    harness = UpdaterHarness()
    first = plan(make_blocks(0, 0, 0))
    harness.available |= first.uploads
    harness.set_config(first)
    assert await harness.updater.update()
    assert (harness.find_location(), harness.updater.parts_built) == ("n1", 3)
    second = plan(make_blocks(1, 1, 0), first)
    digests = list(second.uploads)
    harness.set_config(second)
    harness.available[digests[0]] = second.uploads[digests[0]]
    for _ in range(2):
        assert not await harness.updater.update()
        assert (harness.find_location(), harness.find_location("11.0.0.1")) == ("n1", "n1")
    harness.available |= second.uploads
    assert await harness.updater.update()
    assert (harness.find_location(), harness.find_location("11.0.0.1")) == ("n2", "n2")
    # Only the parts of the two changed blocks were built.
    assert harness.updater.parts_built == 5


async def test_failures_keep_the_table_and_are_tried_again():
    harness = UpdaterHarness()
    first = plan(make_blocks(0))
    harness.set_config(first)
    harness.error = PeerUnavailable("down")
    assert not await harness.updater.update()
    harness.error = None
    harness.available = dict.fromkeys(first.uploads, b"damaged")
    assert not await harness.updater.update()
    assert harness.find_location() is None
    harness.available = first.uploads
    assert await harness.updater.update()
    assert harness.find_location() == "n1"


async def test_unusable_table_is_not_swapped_in(monkeypatch):
    """Guards against an exception that ends the look-up daemon."""
    monkeypatch.setattr("knapweeddock.blocks.MAX_BLOCKS", 0)
    harness = UpdaterHarness()
    first = plan(make_blocks(0, 0))
    harness.available = first.uploads
    config = Config(block_chunks=first.chunks, client_blocks={"99.0.0.0/8": "n1"})
    harness.lookup.state = NodeState(config_version=Version(1), config=config)
    assert not await harness.updater.update()
    assert harness.find_location() is None


async def test_newer_list_replaces_one_whose_chunks_are_gone():
    """Guards against waiting forever for chunks of an old list, which have been deleted."""
    harness = UpdaterHarness()
    first, second = plan(make_blocks(0, 0)), plan(make_blocks(1, 1))
    harness.available = second.uploads

    async def fetch(digest: str) -> bytes | None:
        if digest in first.uploads:
            harness.set_config(second)
        return harness.available.get(digest)

    harness.updater.fetch = fetch
    harness.set_config(first)
    assert not await harness.updater.update()
    assert await harness.updater.update()
    assert harness.find_location() == "n2"


async def test_blocks_of_the_document_override_and_stay_without_chunks():
    harness = UpdaterHarness()
    harness.set_config(document="s1")
    assert harness.find_location() == "s1"
    first = plan(make_blocks(0, 0))
    harness.available = first.uploads
    harness.set_config(first, document="s1")
    assert await harness.updater.update()
    assert (harness.find_location(), harness.find_location("11.0.0.1")) == ("s1", "n1")
    harness.set_config(first)
    assert await harness.updater.update()
    assert harness.find_location() == "n1"
    harness.set_config(document="s1")
    assert await harness.updater.update()
    assert (harness.find_location(), harness.find_location("11.0.0.1")) == ("s1", None)
    assert await harness.updater.update()


async def test_chunks_reach_a_look_up_process_through_its_agent(tmp_path, monkeypatch):
    monkeypatch.setattr(service, "EXCHANGE_INTERVAL_S", 0.1)
    monkeypatch.setattr(handlers, "STREAM_HEARTBEAT_INTERVAL_S", 0.1)
    store = MemoryObjectStore()
    folder = write_blocks(write_folder(tmp_path, DOCUMENT), a="10.0.0.0/8 s1\n10.2.0.0/16 n1")
    await porcelain.apply(session(store), folder)

    def location(daemon, client: str) -> str | None:
        return daemon.lookup.blocks.find(parse_address(client)).location

    async with (
        running_agent(agent_settings("vm-1"), store) as agent,
        running_lookup("vm-1", [agent.address]) as daemon,
    ):
        await wait_until(lambda: location(daemon, "10.2.0.1") == "n1")
        assert location(daemon, "10.3.0.1") == "north"
        write_blocks(folder, a="10.0.0.0/8 s1\n10.2.0.0/16 n2")
        await porcelain.apply(session(store), folder)
        await wait_until(lambda: location(daemon, "10.2.0.1") == "n2")

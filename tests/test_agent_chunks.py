"""Agent chunks: guards against corrupt chunks, too many calls and tables lost in an outage."""

import random

import pytest

from knapweeddock import porcelain
from knapweeddock.agent import handlers, service
from knapweeddock.agent.chunkfetch import ChunkFetcher
from knapweeddock.agent.chunkstore import ChunkStore
from knapweeddock.blockchunks import digest_of, key_of
from knapweeddock.errors import ConfigError, PeerUnavailable
from knapweeddock.model import BlockChunk
from knapweeddock.objectstore import ABSENT, MemoryObjectStore
from knapweeddock.proto.knapweed_pb2 import FetchChunkReply, FetchChunkRequest
from tests.agents import agent_settings, node_stub, running_agent, wait_until, write_change
from tests.documents import DOCUMENT, write_folder
from tests.test_agent_platformwatch import make_core
from tests.test_blockfiles import write_blocks
from tests.test_porcelain import session
from tests.test_records import make_member

CHUNKS = [b"one", b"two", b"three"]


def make_chunk_list(*data: bytes) -> dict[str, BlockChunk]:
    return {str(at): BlockChunk(digest=digest_of(part), count=1) for at, part in enumerate(data)}


async def publish_chunk_list(store, *data: bytes) -> None:
    for part in data:
        key = key_of(digest_of(part))
        if key not in store.objects:
            await store.put(key, part, expected_version=ABSENT)
    chunks = {name: {"digest": c.digest, "count": 1} for name, c in make_chunk_list(*data).items()}
    await write_change(store, {"block_chunks": None, "x": 1})
    await write_change(store, {"block_chunks": chunks})


def test_store_keeps_two_lists_and_refuses_damaged_chunks():
    store = ChunkStore()
    store.set_list(make_chunk_list(*CHUNKS[:2]))
    with pytest.raises(ConfigError):
        store.add(digest_of(CHUNKS[0]), CHUNKS[1])
    for part in CHUNKS:
        store.add(digest_of(part), part)
    assert store.get(digest_of(CHUNKS[2])) is None
    assert (store.missing(), store.size_bytes) == ([], 6)
    store.set_list(make_chunk_list(CHUNKS[2]))
    assert store.get(digest_of(CHUNKS[0])) == CHUNKS[0]
    assert store.missing() == [digest_of(CHUNKS[2])]
    store.set_list(make_chunk_list(CHUNKS[1]))
    assert store.get(digest_of(CHUNKS[0])) is None
    store.add(digest_of(CHUNKS[1]), CHUNKS[1])
    assert store.size_bytes == 3


class FakePeers:
    """Peers that return the configured responses or raise the configured errors."""

    def __init__(self, responses: dict[str, object]) -> None:
        self.answers = responses
        self.calls: list[str] = []

    async def fetch_chunk(self, address, request) -> FetchChunkReply:
        self.calls.append(address)
        answer = self.answers.get(address)
        if isinstance(answer, Exception):
            raise answer
        return FetchChunkReply(found=answer is not None, data=answer or b"")


async def make_fetcher(store, answers, *, domain="gp-1") -> ChunkFetcher:
    core = make_core()
    core.node.merge([make_member(vm, domain=domain, agent_address=vm) for vm in answers], 0.0)
    core.peers = FakePeers(answers)
    current = await porcelain.read_current(store)
    core.node.history.take_document(
        current.head.version, porcelain.changes.encode(current.document)
    )
    return ChunkFetcher(core=core, store=store, rng=random.Random(1))


@pytest.mark.parametrize("answer", [b"damaged", PeerUnavailable("x"), None])
async def test_platform_is_asked_when_a_peer_does_not_have_the_right_chunk(answer):
    store = MemoryObjectStore()
    await publish_chunk_list(store, CHUNKS[0])
    fetcher = await make_fetcher(store, {"a": answer})
    for _ in range(2):
        await fetcher.fetch_missing()
    assert fetcher.core.peers.calls[0] == "a"
    assert fetcher.core.chunks.get(digest_of(CHUNKS[0])) == CHUNKS[0]


async def test_platform_is_not_called_if_a_peer_has_the_chunk():
    store = MemoryObjectStore()
    await publish_chunk_list(store, CHUNKS[0])
    fetcher = await make_fetcher(store, {"a": b"damaged", "b": CHUNKS[0]})
    store.calls = 0
    while await fetcher.fetch_missing():
        assert len(fetcher.core.peers.calls) < 20
    assert store.calls == 0


async def test_platform_outage_costs_few_calls_per_pass():
    """Guards against hundreds of chunks that each cause a call and wait for its timeout."""
    store = MemoryObjectStore()
    await publish_chunk_list(store, *CHUNKS)
    fetcher = await make_fetcher(store, {})
    store.down = True
    store.calls = 0
    assert await fetcher.fetch_missing()
    assert store.calls <= 3
    store.down = False
    store.objects.pop(key_of(digest_of(CHUNKS[0])))
    assert await fetcher.fetch_missing()
    assert fetcher.core.chunks.missing() == [digest_of(CHUNKS[0])]


async def test_unreachable_peer_is_called_once_per_pass():
    """Guards against a timeout per chunk: three here, hundreds for a whole table."""
    store = MemoryObjectStore()
    await publish_chunk_list(store, *CHUNKS)
    fetcher = await make_fetcher(store, {"a": PeerUnavailable("silent")})
    store.down = True
    await fetcher.fetch_missing()
    assert len(fetcher.core.peers.calls) == 1


async def test_newer_list_ends_a_pass():
    store = MemoryObjectStore()
    await publish_chunk_list(store, *CHUNKS)
    fetcher = await make_fetcher(store, {})
    fetcher.core.node.history.take_document(9, b"{}")
    fetcher._update_list = lambda: False
    fetcher.core.chunks.set_list(make_chunk_list(*CHUNKS))
    store.calls = 0
    assert await fetcher.fetch_missing()
    assert store.calls == 0


async def test_another_domain_helps_during_an_outage():
    store = MemoryObjectStore()
    await publish_chunk_list(store, CHUNKS[0])
    fetcher = await make_fetcher(store, {"far": CHUNKS[0]}, domain="gp-2")
    store.down = True
    assert not await fetcher.fetch_missing()


async def test_node_that_lost_everything_gets_its_chunks_from_a_peer(tmp_path, monkeypatch):
    monkeypatch.setattr(service, "EXCHANGE_INTERVAL_S", 0.1)
    monkeypatch.setattr(handlers, "STREAM_HEARTBEAT_INTERVAL_S", 0.1)
    store = MemoryObjectStore()
    folder = write_blocks(write_folder(tmp_path, DOCUMENT), a="10.2.0.0/16 n1\n2001:db8::/32 n2")
    await porcelain.apply(session(store), folder)
    async with running_agent(agent_settings("vm-1"), store) as first:
        await wait_until(lambda: first.core.chunks.chunks and not first.core.chunks.missing())
        store.down = True
        settings = agent_settings("vm-2", seeds=[first.address])
        async with running_agent(settings, store) as second:
            await wait_until(lambda: second.core.chunks.chunks and not second.core.chunks.missing())
            assert second.core.chunks.size_bytes == first.core.chunks.size_bytes > 0
            digests = [chunk.digest for chunk in second.core.chunks.chunks.values()]
            async with node_stub(second.address) as stub:
                reply = await stub.FetchChunk(FetchChunkRequest(vm="vm-2", digest=digests[0]))
                assert digest_of(reply.data) == digests[0]
                reply = await stub.FetchChunk(FetchChunkRequest(vm="vm-2", digest="0"))
                assert not reply.found

"""Block tables of 3 million blocks: reading, cutting, storing, memory and one changed block.

Part of ``python -m bench.micro_control``; also runs alone as
``python -m bench.micro_blocks``. The agent and the look-up process are measured
in processes of their own, without the memory of the operator's command.
"""

import asyncio
import json
import multiprocessing
import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from bench.measures import (
    BLOCKS,
    domain_of,
    emit,
    make_blocks,
    make_document,
    make_state,
    peak_mb,
    resident_mb,
)
from knapweeddock import changes
from knapweeddock.agent.service import AgentService
from knapweeddock.blockchunks import Plan, plan_change
from knapweeddock.blockfiles import BlockFiles, SortedBlocks, read_block_files
from knapweeddock.blocks import parse_address
from knapweeddock.changes import Change, Head
from knapweeddock.ids import ChangeId, FailureDomainId, Version, VmId
from knapweeddock.lookup import Lookup
from knapweeddock.lookupd.blocktableupdater import BlockTableUpdater
from knapweeddock.model import decode_config
from knapweeddock.objectstore import MemoryObjectStore, StoredObject
from knapweeddock.settings import AgentSettings, ProcessListen
from knapweeddock.state import NodeState
from knapweeddock.vmlist import InMemoryVmList

FILES = 4
SEARCHES = 100_000
CHANGES = 5
CHILD_LIMIT_S = 300.0


class ChunkFiles(MemoryObjectStore):
    """A platform whose chunks are files, so that the process does not hold them twice."""

    def __init__(self, directory: Path) -> None:
        super().__init__()
        self.directory = directory

    async def get(self, key: str) -> StoredObject | None:
        """Return a chunk from its file, or another object from memory."""
        name = key.removeprefix("blocks/")
        if name == key:
            return await super().get(key)
        value = (self.directory / name).read_bytes()
        return StoredObject(key=key, version=Version(1), value=value)


def write_files(directory: Path) -> None:
    """Write distinct blocks as block files."""
    rng = random.Random(1)
    written: set[str] = set()
    (directory / "blocks").mkdir()
    files = [(directory / "blocks" / f"{n}.txt").open("w") for n in range(FILES)]
    while len(written) < BLOCKS:
        for prefix, location in make_blocks(rng):
            if prefix not in written and len(written) < BLOCKS:
                files[len(written) % FILES].write(f"{prefix} {location}\n")
                written.add(prefix)
    for file in files:
        file.close()


def write_chunks(directory: Path, plan: Plan) -> None:
    """Write the new chunks of a plan."""
    for digest, data in plan.uploads.items():
        (directory / digest).write_bytes(data)


def document_of(plan: Plan) -> changes.Document:
    """Return the document of 3,000 sites with the list of chunks."""
    chunks = {
        name: {"digest": chunk.digest, "count": chunk.count} for name, chunk in plan.chunks.items()
    }
    found = make_document() | {"block_chunks": chunks}
    if plan.retired:
        found["retired_chunks"] = plan.retired
    return found


def with_one_change(found: BlockFiles, position: int) -> list[SortedBlocks]:
    """Return the families with another location for one IPv4 block."""
    first, *rest = found.families
    locations = list(first.locations)
    locations[position] = (locations[position] + 1) % len(first.names)
    return [
        SortedBlocks(
            bits=first.bits, prefixes=first.prefixes, locations=locations, names=first.names
        ),
        *rest,
    ]


def measure_files(directory: Path) -> BlockFiles:
    """Measure reading and checking the block files."""
    write_files(directory)
    before = resident_mb()
    begin = time.perf_counter()
    found, problems = read_block_files(directory)
    assert not problems
    emit(
        "block files",
        blocks=found.count,
        files=len(found.files),
        read_s=round(time.perf_counter() - begin, 1),
        resident_before_mb=before,
        peak_mb=peak_mb(),
    )
    return found


def measure_chunks(found: BlockFiles) -> Plan:
    """Measure cutting and encoding all blocks."""
    begin = time.perf_counter()
    plan = plan_change(found.families, chunks={}, retired={}, stored=(), now_s=1)
    cut_s = time.perf_counter() - begin
    sizes = [len(data) for data in plan.uploads.values()]
    emit(
        "block chunks",
        blocks=found.count,
        cut_and_encode_s=round(cut_s, 1),
        objects=len(sizes),
        bytes=sum(sizes),
        largest_bytes=max(sizes),
        list_bytes=len(changes.encode(document_of(plan)["block_chunks"])),
        document_bytes=len(changes.encode(document_of(plan))),
        one_file_bytes=sum(sizes) // FILES,
    )
    return plan


def measure_change(found: BlockFiles, plan: Plan) -> Plan:
    """Measure what one changed block moves."""
    begin = time.perf_counter()
    changed = plan_change(
        with_one_change(found, found.count // 2),
        chunks=plan.chunks,
        retired=plan.retired,
        stored=set(plan.uploads),
        now_s=1,
    )
    plan_s = time.perf_counter() - begin
    patch = changes.diff(document_of(plan), document_of(changed))
    emit(
        "one changed block",
        plan_s=round(plan_s, 1),
        new_objects=len(changed.uploads),
        chunk_bytes=sum(len(data) for data in changed.uploads.values()),
        patch_bytes=len(changes.encode(patch)),
    )
    return changed


def run_child(work: Callable[..., None], *arguments: object) -> None:
    """Run ``work`` in a process of its own."""
    child = multiprocessing.get_context("spawn").Process(target=work, args=arguments)
    child.start()
    child.join(CHILD_LIMIT_S)
    if child.exitcode is None:
        child.kill()
    if child.exitcode != 0:
        emit("child failed", work=work.__name__, exit_code=child.exitcode)


def agent_child(directory: Path, document: bytes) -> None:
    """Measure an agent that fetches all chunks."""
    asyncio.run(_measure_agent(directory, document))


async def _measure_agent(directory: Path, document: bytes) -> None:
    store = ChunkFiles(directory)
    head = Head(
        version=Version(1),
        changes=[
            Change(
                version=Version(1),
                change_id=ChangeId("c"),
                operator="bench",
                at=0.0,
                patch=msgspec.json.decode(document),
            )
        ],
    )
    await store.put(changes.HEAD_KEY, changes.encode(head), expected_version=Version(0))
    settings = AgentSettings(
        vm=VmId("vm-0"),
        failure_domain=FailureDomainId("domain-0"),
        listen=ProcessListen(host="127.0.0.1"),
        platform_url="http://127.0.0.1:9",
    )
    agent = AgentService(settings=settings, store=store, vm_list=InMemoryVmList())
    before = resident_mb()
    begin = time.perf_counter()
    await agent.start()
    async with asyncio.timeout(CHILD_LIMIT_S / 2):
        while not agent.core.chunks.chunks or agent.core.chunks.missing():  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    emit(
        "agent with all chunks",
        chunks=len(agent.core.chunks.chunks),
        chunk_bytes=agent.core.chunks.size_bytes,
        fetch_s=round(time.perf_counter() - begin, 1),
        resident_before_mb=before,
        resident_mb=resident_mb(),
        peak_mb=peak_mb(),
    )
    await agent.stop()


def lookup_child(directory: Path, first: bytes, second: bytes) -> None:
    """Measure a look-up process that builds the table and follows one changed block."""
    asyncio.run(_measure_lookup(directory, [first, second]))


async def _measure_lookup(directory: Path, documents: list[bytes]) -> None:
    configs = [decode_config(msgspec.json.decode(document)) for document in documents]
    lookup = Lookup(failure_domain=domain_of(0))
    state = make_state(configs[0])

    async def fetch(digest: str) -> bytes:
        return (directory / digest).read_bytes()

    feed = BlockTableUpdater(lookup=lookup, fetch=fetch, rng=random.Random(1))
    lookup.update(state)
    before = resident_mb()
    begin = time.perf_counter()
    assert await feed.update()
    emit(
        "chunked table",
        ranges=lookup.blocks.ranges,
        build_s=round(time.perf_counter() - begin, 1),
        arrays_mb=round(lookup.blocks.size_bytes / 1e6, 1),
        resident_before_mb=before,
        resident_mb=resident_mb(),
        peak_mb=peak_mb(),
    )
    times = []
    for number in range(1, CHANGES + 1):
        config = configs[number % 2]
        version = Version(number + 1)
        begin = time.perf_counter()
        lookup.update(NodeState(config_version=version, config=config, members=state.members))
        assert await feed.update()
        times.append(round((time.perf_counter() - begin) * 1e3, 1))
    emit("one changed block until swapped", ms=sorted(times), peak_mb=peak_mb())
    rng = random.Random(2)
    addresses = [
        parse_address(".".join(str(rng.randrange(256)) for _ in range(4))) for _ in range(SEARCHES)
    ]
    begin = time.perf_counter()
    for address in addresses:
        lookup.blocks.find(address)
    search_us = (time.perf_counter() - begin) / SEARCHES * 1e6
    emit("chunked table search", us_per_call=round(search_us, 2))


def measure_blocks() -> None:
    """Run all measures of block tables."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        found = measure_files(directory)
        plan = measure_chunks(found)
        changed = measure_change(found, plan)
        write_chunks(directory, plan)
        write_chunks(directory, changed)
        first, second = (changes.encode(document_of(one)) for one in (plan, changed))
        run_child(agent_child, directory, first)
        run_child(lookup_child, directory, first, second)


if __name__ == "__main__":
    print(json.dumps({"measure": "start", "blocks": BLOCKS}))
    measure_blocks()

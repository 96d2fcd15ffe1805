"""Helpers that run agents and look-up daemons on loopback."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from grpclib.client import Channel

from knapweeddock.agent.service import AgentService
from knapweeddock.changes import HEAD_KEY, Change, Head, append, encode
from knapweeddock.headstore import read_head
from knapweeddock.ids import ChangeId, FailureDomainId, Version, VmId
from knapweeddock.lookupd.service import LookupService
from knapweeddock.objectstore import ObjectStore
from knapweeddock.proto.knapweed_grpc import NodeStub
from knapweeddock.proto.knapweed_pb2 import ReportRequest
from knapweeddock.settings import AgentSettings, LookupSettings, ProcessListen
from knapweeddock.vmlist import InMemoryVmList, VmList

CONFIG_DOCUMENT = {
    "regions": {"gauteng": {"failure_domains": ["gp-1", "gp-2"]}},
    "services": {"ringbook": {"hosts": ["ringbook.example"], "classes": {}}},
    "client_blocks": {"10.1.0.0/16": "gp-1", "10.2.0.0/16": "gp-2"},
}


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` is true; the timeout only ends a test that hangs."""
    async with asyncio.timeout(15):
        while not condition():  # noqa: ASYNC110 - no event signals the condition
            await asyncio.sleep(0.01)


async def write_change(store: ObjectStore, patch: dict[str, object]) -> Version:
    """Append a change to the head by a conditional update and return its version."""
    stored = await read_head(store)
    version = Version(stored.head.version + 1)
    change = Change(
        version=version, change_id=ChangeId(f"c{version}"), operator="test", at=0.0, patch=patch
    )
    head: Head = append(stored.head, change)
    await store.put(HEAD_KEY, encode(head), expected_version=stored.object_version)
    return version


def agent_settings(
    vm: str, domain: str = "gp-1", seeds: list[str] | None = None, port: int = 0
) -> AgentSettings:
    return AgentSettings(
        vm=VmId(vm),
        failure_domain=FailureDomainId(domain),
        listen=ProcessListen(host="127.0.0.1", port=port),
        platform_url="http://127.0.0.1:9",
        seeds=seeds or [],
    )


@asynccontextmanager
async def running_agent(
    settings: AgentSettings, store: ObjectStore, vm_list: VmList | None = None
) -> AsyncIterator[AgentService]:
    """Run an agent for the duration of the ``with`` statement."""
    agent = AgentService(
        settings=settings,
        store=store,
        vm_list=vm_list or InMemoryVmList(),
        rng=random.Random(settings.vm),
    )
    await agent.start()
    try:
        yield agent
    finally:
        await agent.stop()


@asynccontextmanager
async def running_lookup(vm: str, agents: list[str]) -> AsyncIterator[LookupService]:
    """Run a look-up daemon for the duration of the ``with`` statement."""
    settings = LookupSettings(
        vm=VmId(vm),
        failure_domain=FailureDomainId("gp-1"),
        listen=ProcessListen(host="127.0.0.1"),
        agents=agents,
    )
    service = LookupService(settings=settings, rng=random.Random(1))
    await service.start()
    try:
        yield service
    finally:
        await service.stop()


@asynccontextmanager
async def node_stub(address: str) -> AsyncIterator[NodeStub]:
    """Open a connection to an agent, as a local process does."""
    host, port = address.split(":")
    channel = Channel(host, int(port))
    try:
        yield NodeStub(channel)
    finally:
        channel.close()


async def report_entry(
    agent: AgentService,
    *,
    incarnation: str = "e1",
    state: str = "serving",
    public: str = "127.0.0.1:9",
    version: int = 0,
) -> None:
    """Send one report of an entry process."""
    async with node_stub(agent.address) as stub:
        await stub.Report(
            ReportRequest(
                vm=agent.settings.vm,
                role="entry",
                incarnation=incarnation,
                state=state,
                public_address=public,
                internal_address=public,
                lending_address=public,
                config_version=version,
            )
        )


async def report_periodically(report: Callable[[], Awaitable[None]]) -> None:
    """Report periodically, as an entry does, until cancelled."""
    while True:
        await report()
        await asyncio.sleep(0.2)

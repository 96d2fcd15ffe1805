"""Agents on loopback: guards against lost configuration, false states and invalid messages."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import GRPCError

from knapweeddock.agent import service
from knapweeddock.agent.service import AgentService
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.proto.knapweed_pb2 import (
    ExchangeReply,
    PushReply,
    PushRequest,
    Record,
    ReportRequest,
    SubscribeRequest,
)
from tests.agents import (
    CONFIG_DOCUMENT,
    agent_settings,
    node_stub,
    report_entry,
    running_agent,
    wait_until,
    write_change,
)
from tests.test_agent_entryprober import listening_address, refusing_address


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    """Shorten the intervals, whose values do not matter to these tests."""
    monkeypatch.setattr(service, "EXCHANGE_INTERVAL_S", 0.1)
    monkeypatch.setattr(service, "ROLE_CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(service, "PROBE_INTERVAL_S", 0.05)


@asynccontextmanager
async def running_pair(
    store: MemoryObjectStore,
) -> AsyncIterator[tuple[AgentService, AgentService]]:
    """Run two agents of different domains that know each other."""
    async with running_agent(agent_settings("vm-1"), store) as one:
        settings = agent_settings("vm-2", "gp-2", [one.address])
        async with running_agent(settings, store) as other:
            await wait_until(lambda: "vm-1" in member_views(other) and "vm-2" in member_views(one))
            yield one, other


def member_views(agent: AgentService) -> dict:
    return agent.core.node.members.views


def config_version(agent: AgentService) -> int:
    return agent.core.node.history.version


async def test_a_change_reaches_agents_and_peers_learn_the_version_in_force():
    store = MemoryObjectStore()
    async with running_pair(store) as (one, other):
        await write_change(store, CONFIG_DOCUMENT)
        await wait_until(lambda: config_version(one) == config_version(other) == 1)
        await report_entry(one, version=1)
        await wait_until(lambda: member_views(other)["vm-1"].member.config_version == 1)
        assert other.core.node.history.document == CONFIG_DOCUMENT


async def test_a_new_vm_takes_the_highest_version_of_its_peers_in_an_outage():
    store = MemoryObjectStore()
    await write_change(store, CONFIG_DOCUMENT)
    await write_change(store, {"services": {"other": {"hosts": [], "classes": {}}}})
    async with running_pair(store) as (one, other):
        await wait_until(lambda: config_version(one) == config_version(other) == 2)
        store.down = True
        settings = agent_settings("vm-3", "gp-2", [one.address])
        async with running_agent(settings, store) as late:
            await wait_until(lambda: config_version(late) == 2)
            assert late.core.node.history.document == one.core.node.history.document


async def test_a_stream_starts_with_the_whole_state_and_goes_on_with_changes():
    store = MemoryObjectStore()
    await write_change(store, CONFIG_DOCUMENT)
    async with running_pair(store) as (one, other), node_stub(one.address) as stub:
        await wait_until(lambda: config_version(one) == 1)
        async with stub.Subscribe.open() as stream:
            request = SubscribeRequest(vm="vm-1", role="lookup", accepts_partial=True)
            await stream.send_message(request, end=True)
            first = await stream.recv_message()
            assert first.config_version == 1
            assert {view.member.vm for view in first.members} == {"vm-1", "vm-2"}
            await report_entry(other)
            changed: list = []
            while not any(view.member.state == "serving" for view in changed):
                message = await stream.recv_message()
                assert message.document_unchanged
                assert not message.document
                changed.extend(message.members)
            assert {view.member.vm for view in changed} == {"vm-2"}
            await stream.cancel()


async def test_a_restarted_agent_learns_from_peers_and_local_processes():
    """Guards against a temporary `joining` record, which takes a running entry out of service."""
    store = MemoryObjectStore()
    seen: set[str] = set()
    with listening_address() as address:
        async with running_agent(agent_settings("vm-2", "gp-2"), store) as peer:

            def state() -> str:
                view = member_views(peer).get("vm-1")
                if view is not None and view.member.entry_incarnation:
                    seen.add(view.member.state)
                return view.member.state if view else ""

            settings = agent_settings("vm-1", seeds=[peer.address])
            async with running_agent(settings, store) as first:
                await report_entry(first, public=address)
                await wait_until(lambda: state() == "serving")
            async with running_agent(settings, store) as second:
                await wait_until(lambda: second.core.node.is_synced and state() == "serving")
                await report_entry(second, public=address)
                start_ms = second.core.local_member.start_ms
                held = peer.core.node.store.records
                await wait_until(lambda: held["member/vm-1"].incarnation_start_ms == start_ms)
                assert state() == "serving"
    assert seen == {"serving"}


async def test_a_killed_entry_is_marked_down_at_the_peers():
    store = MemoryObjectStore()
    address = refusing_address()
    async with running_pair(store) as (one, other):
        async with node_stub(one.address) as stub, stub.Subscribe.open() as stream:
            await stream.send_message(SubscribeRequest(vm="vm-1", role="entry"), end=True)
            await stream.recv_message()
            await report_entry(one, public=address)
            await wait_until(lambda: member_views(other)["vm-1"].member.state == "serving")
            assert not member_views(other)["vm-1"].down
            await stream.cancel()
        await wait_until(lambda: member_views(other)["vm-1"].down)
        await report_entry(one, incarnation="e2", public=address)
        await wait_until(lambda: member_views(other)["vm-1"].member.entry_incarnation == "e2")


class RawCodec(ProtoCodec):
    """Sends bytes unencoded."""

    def encode(self, message: bytes, message_type: object) -> bytes:
        return message


async def call_raw(address: str, path: str, content: bytes, reply: type) -> GRPCError:
    host, port = address.split(":")
    channel = Channel(host, int(port), codec=RawCodec())
    try:
        with pytest.raises(GRPCError) as caught:
            await UnaryUnaryMethod(channel, path, bytes, reply)(content)
    finally:
        channel.close()
    return caught.value


async def test_invalid_messages_get_a_result_code_and_the_agent_keeps_running():
    store = MemoryObjectStore()
    async with running_agent(agent_settings("vm-1"), store) as agent:
        garbage = await call_raw(
            agent.address, "/knapweed.Peer/Exchange", b"\xff\xff\xff", ExchangeReply
        )
        assert (garbage.status, garbage.message[:3]) == (Status.INVALID_ARGUMENT, "501")
        without_vm = await call_raw(agent.address, "/knapweed.Peer/Push", b"", PushReply)
        assert (without_vm.status, without_vm.message[:3]) == (Status.INVALID_ARGUMENT, "501")
        unknown = PushRequest(vm="x", records=[Record(key="quota/a", version=1)])
        newer = unknown.SerializeToString()
        refused = await call_raw(agent.address, "/knapweed.Peer/Push", newer, PushReply)
        assert (refused.status, refused.message[:3]) == (Status.UNIMPLEMENTED, "502")
        async with node_stub(agent.address) as stub:
            with pytest.raises(GRPCError) as foreign:
                await stub.Report(ReportRequest(vm="vm-9", role="entry", incarnation="e"))
            assert foreign.value.message.startswith("501")
        await report_entry(agent)
        await wait_until(lambda: member_views(agent)["vm-1"].member.state == "serving")
        assert agent.crash_reason is None


async def test_an_unresponsive_peer_does_not_delay_heartbeats():
    """Guards against exchanges that wait for the peer and delay this agent's heartbeats."""
    held: list[asyncio.StreamWriter] = []

    async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        held.append(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    store = MemoryObjectStore()
    async with running_agent(agent_settings("vm-1", seeds=[address]), store) as agent:
        await report_entry(agent)
        await wait_until(lambda: bool(held))
        beats = agent.core.node.members.heartbeats
        before = beats.to_message().counters[0]
        await wait_until(lambda: beats.to_message().counters[0] >= before + 5)
        assert agent.core.exchanges_failed == 0, "the first exchange has not timed out yet"
        await wait_until(lambda: agent.core.exchanges_failed > 0)
        await wait_until(lambda: len(held) > 1)
    for writer in held:
        writer.close()
    server.close()

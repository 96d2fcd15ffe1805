import asyncio
from contextlib import asynccontextmanager

from grpclib.server import Server

from knapweeddock.entry import agentlink
from knapweeddock.proto.knapweed_grpc import NodeBase
from knapweeddock.proto.knapweed_pb2 import NodeStateMessage, ReportReply
from knapweeddock.state import MemberState, NodeState
from knapweeddock.statecodec import state_to_message
from tests.entry.support import (
    make_config,
    make_member,
    make_settings,
    respond_ok,
    run_backend,
    run_entry,
    wait_until,
)


class FakeAgent(NodeBase):
    """Agent that sends queued messages on its newest stream and records reports."""

    def __init__(self):
        self.messages = None
        self.reports = []
        self.subscriptions = 0

    async def Subscribe(self, stream):
        messages = self.messages = asyncio.Queue()
        self.subscriptions += 1
        await stream.recv_message()
        while True:
            await stream.send_message(await messages.get())

    async def Report(self, stream):
        self.reports.append(await stream.recv_message())
        await stream.send_message(ReportReply())

    async def send(self, message, *, subscription=1):
        """Send on the newest stream once the given number of streams was opened."""
        await wait_until(lambda: self.subscriptions >= subscription)
        self.messages.put_nowait(message)

    async def FetchChunk(self, stream):
        raise AssertionError("entries use no block tables")


@asynccontextmanager
async def run_agent_and_entry(*, send_state=True, **limits):
    agent = FakeAgent()
    server = Server([agent])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    settings = make_settings(agent=f"127.0.0.1:{port}", **limits)
    async with (
        run_backend(respond_ok) as backend,
        run_entry(settings=settings, wait=False) as service,
    ):
        config = make_config([backend.address])
        if send_state:
            await agent.send(make_message(service, config, 1))
            await wait_until(lambda: service.proxy_handler.member_state is MemberState.SERVING)
        yield agent, service, config
    server.close()


def make_message(service, config, version, **options):
    state = NodeState(config_version=version, config=config, members={"vm1": make_member(service)})
    return state_to_message(state, **options)


async def test_the_entry_joins_and_reports_itself():
    """Guards against look-ups that name an entry before it can serve."""
    async with run_agent_and_entry(send_state=False) as (agent, service, config):
        await wait_until(lambda: agent.reports)
        assert agent.reports[0].state == "joining"
        await agent.send(make_message(service, config, 1))
        await wait_until(lambda: agent.reports[-1].state == "serving")
        await wait_until(lambda: agent.reports[-1].settled_views)
        report = agent.reports[-1]
        assert (report.vm, report.role) == ("vm1", "entry")
        assert report.incarnation == service.incarnation
        assert report.public_address == service.ports.public.address
        assert report.internal_address == service.ports.internal.address
        assert report.lending_address == service.ports.lending.address
        assert report.config_version == 1


async def test_the_last_state_stays_when_the_stream_goes_silent():
    """Guards against an unresponsive stream that is never replaced, and a lost snapshot."""
    async with run_agent_and_entry(agent_silence_s=0.05) as (agent, service, config):
        await wait_until(lambda: agent.subscriptions >= 2)
        assert service.dispatch_loop.node_state.config_version == 1
        await agent.send(make_message(service, config, 2))
        await wait_until(lambda: service.dispatch_loop.node_state.config_version == 2)


async def test_a_new_version_is_reported_at_once(monkeypatch):
    """Guards against a new version that is not reported before the next periodic report.

    Operators would have to wait for that report to see the version in force.
    """
    monkeypatch.setattr(agentlink, "REPORT_INTERVAL_S", 3600.0)
    async with run_agent_and_entry() as (agent, service, config):
        await wait_until(lambda: agent.reports[-1].state == "serving")
        await wait_until(lambda: agent.reports[-1].settled_views)
        await wait_until(lambda: not service.dispatch_loop.report_due.is_set())
        await agent.send(make_message(service, config, 7))
        await wait_until(lambda: agent.reports[-1].config_version == 7)
        assert agent.reports[-1].config_version == 7


async def test_an_agent_that_is_behind_does_not_take_the_configuration_back():
    """Guards against a restarted agent that reverts an accepted configuration."""
    async with run_agent_and_entry() as (agent, service, config):
        await agent.send(make_message(service, config, 5))
        await wait_until(lambda: service.dispatch_loop.node_state.config_version == 5)
        stale = make_message(service, make_config([]), 3)
        stale.members[0].member.load = 0.5
        await agent.send(stale)
        await wait_until(lambda: service.dispatch_loop.node_state.members["vm1"].load == 0.5)
        assert service.dispatch_loop.node_state.config_version == 5
        assert service.dispatch_loop.node_state.config.sites


async def test_a_bad_message_replaces_the_stream():
    """Guards against a malformed message that ends the subscription permanently."""
    async with run_agent_and_entry() as (agent, service, config):
        await agent.send(NodeStateMessage(config_version=2, document=b"{"))
        unchanged = make_message(service, config, 3, document_unchanged=True)
        await agent.send(unchanged, subscription=2)
        await agent.send(make_message(service, config, 4), subscription=3)
        await wait_until(lambda: service.dispatch_loop.node_state.config_version == 4)
        assert agent.subscriptions == 3


async def test_a_down_record_of_the_entry_itself_ends_the_process():
    """Guards against two entries that use the same slots."""
    async with run_agent_and_entry() as (agent, service, config):
        message = make_message(service, config, 2)
        message.members[0].down = True
        await agent.send(message)
        await wait_until(service.marked_down.is_set)
        assert service.capacity.marked_down

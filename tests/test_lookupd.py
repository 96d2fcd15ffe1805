"""Look-up daemon: guards against lookups that fail or use older state when agents stop."""

import aiohttp
import msgspec
import pytest

from knapweeddock.agent import handlers, service
from knapweeddock.lookupd import subscription
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.proto.knapweed_pb2 import MemberRecord, MemberView, NodeStateMessage
from tests.agents import (
    CONFIG_DOCUMENT,
    agent_settings,
    report_entry,
    running_agent,
    running_lookup,
    wait_until,
    write_change,
)
from tests.test_agent_entryprober import listening_address, refusing_address


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(service, "EXCHANGE_INTERVAL_S", 0.1)
    monkeypatch.setattr(handlers, "STREAM_HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(subscription, "STREAM_TIMEOUT_S", 1.0)
    monkeypatch.setattr(subscription, "MIN_BACKOFF_S", 0.02)
    monkeypatch.setattr(subscription, "MAX_BACKOFF_S", 0.05)


async def get_json(url: str, **query: str) -> tuple[int, dict]:
    async with aiohttp.ClientSession() as session, session.get(url, params=query) as response:
        return response.status, await response.json()


async def test_lookups_fail_over_to_another_agent_and_continue_without_any():
    store = MemoryObjectStore()
    await write_change(store, CONFIG_DOCUMENT)
    with listening_address() as address:
        async with running_agent(agent_settings("vm-2"), store) as other:
            await report_entry(other, public=address)
            async with running_agent(agent_settings("vm-1", seeds=[other.address]), store) as own:
                agents = [own.address, other.address]
                async with running_lookup("vm-1", agents) as daemon:
                    await wait_until(lambda: daemon.lookup.state is not None)
                    await wait_until(lambda: "vm-2" in daemon.lookup.state.members)
                    await wait_until(lambda: daemon.lookup.state.config_version == 1)
                    assert daemon.subscriber.connected_agent == own.address
                    await own.stop()
                    await wait_until(lambda: daemon.subscriber.connected_agent == other.address)
                    await other.stop()
                    await wait_until(lambda: daemon.subscriber.connected_agent == "")
                    url = f"http://{daemon.address}/v1/lookup"
                    status, answer = await get_json(url, service="ringbook", client="10.1.0.1")
                    assert status == 200
                    assert [entry["vm"] for entry in answer["entries"]] == ["vm-2"]
                    assert answer["entries"][0]["url"] == f"http://{address}"
                    assert answer["config_version"] == 1


async def test_errors_have_a_result_code_and_a_retry_delay():
    async with running_lookup("vm-1", ["127.0.0.1:9"]) as daemon:
        url = f"http://{daemon.address}/v1/lookup"
        status, body = await get_json(url, service="ringbook", client="10.1.0.1")
        assert (status, body["code"], body["name"]) == (503, 119, "NOT_READY")
        assert body["retry_after_ms"] > 0
        for query in ({"service": "a"}, {"client": "10.1.0.1"}, {"service": "", "client": "x"}):
            status, body = await get_json(url, **query)
            assert (status, body["code"]) == (400, 101)
        metrics = f"http://{daemon.metrics_address}/metrics"
        async with aiohttp.ClientSession() as session, session.get(metrics) as response:
            assert 'knapweed_lookups_total{code="119"' in await response.text()


async def test_an_agent_with_an_older_version_does_not_lower_the_configuration():
    """Guards against an agent that has just started and has an older version or none."""
    async with running_lookup("vm-1", ["127.0.0.1:9"]) as daemon:
        newer = NodeStateMessage(config_version=5, document=b'{"lookup": {"lifetime_ms": 7}}')
        older = NodeStateMessage(config_version=0)
        view = MemberView(member=MemberRecord(vm="vm-2", state="serving"))
        older.members.append(view)
        daemon.subscriber._apply_message(newer, None, "one")
        previous = daemon.subscriber._apply_message(older, None, "other")
        state = daemon.lookup.state
        assert (state.config_version, state.config.lookup.lifetime_ms) == (5, 7)
        assert set(state.members) == {"vm-2"}
        partial = NodeStateMessage(
            document_unchanged=True, members_partial=True, removed_members=["vm-2"]
        )
        partial.config_version = previous.config_version
        daemon.subscriber._apply_message(partial, previous, "other")
        assert daemon.lookup.state.members == {}
        assert daemon.lookup.state.config_version == 5


async def test_an_agent_that_lost_the_configuration_gets_it_from_the_look_up_process():
    """Guards against a lost document when all agents restart during an outage of the platform."""
    store = MemoryObjectStore()
    store.down = True
    address = refusing_address()
    async with running_lookup("vm-1", [address]) as daemon:
        document = msgspec.json.encode(CONFIG_DOCUMENT)
        message = NodeStateMessage(config_version=7, document=document)
        daemon.subscriber._apply_message(message, None, address)
        settings = agent_settings("vm-1", port=int(address.rpartition(":")[2]))
        async with running_agent(settings, store) as agent:
            await wait_until(lambda: agent.core.node.history.version == 7)
            assert agent.core.node.history.document == CONFIG_DOCUMENT
            await wait_until(lambda: daemon.subscriber.connected_agent == address)
            assert daemon.lookup.state.config_version == 7

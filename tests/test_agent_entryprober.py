"""Entry probes: guards against marking a running entry down, and against missing a dead one."""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.entryprober import EntryProber
from knapweeddock.proto.knapweed_pb2 import ReportRequest
from tests.test_agent_platformwatch import make_core
from tests.test_records import make_member


@contextmanager
def listening_address() -> Iterator[str]:
    """Yield an address that accepts connections."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def refusing_address() -> str:
    with listening_address() as address:
        return address


def make_core_with_entry(public: str, internal: str, state: str = "serving") -> AgentCore:
    core = make_core()
    core.node.is_synced = True
    request = ReportRequest(vm="own", role="entry", incarnation="e1", state=state)
    request.public_address = public
    request.internal_address = internal
    core.local_member.accept_report(request, core.clock.monotonic())
    core.publish_and_notify()
    return core


async def is_marked_down(
    core: AgentCore, *, silent_for_s: float = 0.0, is_disconnected: bool = True
) -> bool:
    core.clock.advance(silent_for_s)
    await EntryProber(core=core).probe_entries(is_disconnected=is_disconnected)
    return core.node.members.views["own"].down


async def test_both_ports_must_refuse():
    gone = refusing_address()
    with listening_address() as open_:
        assert not await is_marked_down(make_core_with_entry(open_, gone))
        assert not await is_marked_down(make_core_with_entry(gone, open_))
    assert await is_marked_down(make_core_with_entry(gone, gone))


async def test_an_entry_that_reports_is_not_probed():
    gone = refusing_address()
    core = make_core_with_entry(gone, gone)
    assert not await is_marked_down(core, silent_for_s=2.9, is_disconnected=False)
    assert await is_marked_down(core, silent_for_s=0.2, is_disconnected=False)


async def test_a_connection_timeout_is_not_evidence(monkeypatch):
    async def silent(*_: object) -> None:
        raise TimeoutError

    monkeypatch.setattr(asyncio, "open_connection", silent)
    assert not await is_marked_down(make_core_with_entry("127.0.0.1:1", "127.0.0.1:1"))


@pytest.mark.parametrize("state", ["left", "joining"])
async def test_an_entry_without_ports_or_that_left_is_not_marked(state: str):
    gone = refusing_address() if state == "left" else ""
    assert not await is_marked_down(make_core_with_entry(gone, gone, state))


async def test_a_member_with_overdue_heartbeats_is_probed():
    """Guards against an entry that is never marked down because its agent died with it.

    Only other members of the domain can then detect the failure.
    """
    gone = refusing_address()
    core = make_core()
    fields = {"entry_incarnation": "e1", "public_address": gone, "internal_address": gone}
    core.merge([make_member("a", **fields), make_member("far", domain="wc-1", **fields)], "test")
    core.clock.advance(10.0)
    core.node.members.update_suspicion(core.clock.monotonic())
    await EntryProber(core=core).probe_entries(is_disconnected=False)
    assert core.node.members.views["a"].down
    assert not core.node.members.views["far"].down


async def test_an_entry_of_an_earlier_agent_is_probed_after_a_restart():
    """Guards against not probing because the restarted agent only has the record from its peers."""
    gone = refusing_address()
    core = make_core()
    fields = {"entry_incarnation": "e0", "public_address": gone, "internal_address": gone}
    core.merge([make_member("own", start=0, **fields)], "test")
    core.node.is_synced = True
    core.publish_and_notify()
    assert core.node.members.views["own"].member.state == "serving"
    core.clock.advance(3.0 + core.clock.monotonic())
    await EntryProber(core=core).probe_entries(is_disconnected=False)
    assert core.node.members.views["own"].member.state == "joining"

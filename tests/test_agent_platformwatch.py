"""Platform watchers: guards against lost changes, too many calls and false down records."""

import asyncio
import random

import pytest

from knapweeddock.agent import platformwatch
from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.localmember import LocalMember
from knapweeddock.agent.platformwatch import (
    MAX_BACKOFF_S,
    UNLISTED_TIMEOUT_S,
    Backoff,
    ConfigWatcher,
    VmListWatcher,
    is_watcher,
)
from knapweeddock.changes import HEAD_KEY, Head, VersionedDocument, encode
from knapweeddock.clock import ManualClock
from knapweeddock.errors import ConfigError, RateLimited, StoreError, StoreUnavailable
from knapweeddock.ids import FailureDomainId, Incarnation, Version, VmId
from knapweeddock.objectstore import ABSENT, MemoryObjectStore
from knapweeddock.replication import ReplicationNode
from knapweeddock.vmlist import InMemoryVmList, ListedVm, VmKind, VmState
from tests.agents import write_change
from tests.test_records import make_member


def make_core(vm: str = "own") -> AgentCore:
    domain = FailureDomainId("gp-1")
    own = LocalMember(
        vm=VmId(vm),
        failure_domain=domain,
        incarnation=Incarnation("agent-1"),
        start_ms=1,
        agent_address="127.0.0.1:1",
        now=0.0,
    )
    node = ReplicationNode(vm=VmId(vm), failure_domain=domain)
    return AgentCore(node=node, local_member=own, clock=ManualClock(), rng=random.Random(1))


async def test_changes_arrive_by_read_and_by_watch():
    store = MemoryObjectStore()
    await write_change(store, {"a": 1})
    core = make_core()
    watch = ConfigWatcher(core=core, store=store)
    await watch.poll()
    await write_change(store, {"b": 2})
    await watch.poll()
    assert core.node.history.document == {"a": 1, "b": 2}


async def test_a_gap_leads_to_the_snapshot():
    store = MemoryObjectStore()
    core = make_core()
    snapshot = VersionedDocument(version=Version(5), document={"a": 5})
    await store.put("config/snapshots/5", encode(snapshot), expected_version=ABSENT)
    head = Head(version=Version(5), snapshot="config/snapshots/5", snapshot_version=Version(5))
    await store.put(HEAD_KEY, encode(head), expected_version=ABSENT)
    await ConfigWatcher(core=core, store=store).poll()
    assert (core.node.history.version, core.node.history.document) == (5, {"a": 5})


async def test_a_missing_snapshot_keeps_the_configuration_and_reads_the_head_again():
    store = MemoryObjectStore()
    core = make_core()
    head = Head(version=Version(5), snapshot="config/snapshots/5", snapshot_version=Version(5))
    await store.put(HEAD_KEY, encode(head), expected_version=ABSENT)
    watch = ConfigWatcher(core=core, store=store)
    with pytest.raises(StoreUnavailable):
        await watch.poll()
    assert core.node.history.version == 0
    snapshot = VersionedDocument(version=Version(5), document={"a": 5})
    await store.put("config/snapshots/5", encode(snapshot), expected_version=ABSENT)
    await watch.poll()
    assert core.node.history.version == 5


async def test_a_malformed_head_changes_nothing():
    store = MemoryObjectStore()
    await store.put(HEAD_KEY, b"{", expected_version=ABSENT)
    core = make_core()
    with pytest.raises(ConfigError):
        await ConfigWatcher(core=core, store=store).poll()
    assert core.node.history.version == 0


async def test_a_watch_that_does_not_respond_times_out(monkeypatch):
    """Guards against an open connection that never responds again.

    The call must time out, so that the next call uses a new connection.
    """
    monkeypatch.setattr(platformwatch, "CALL_TIMEOUT_S", 0.05)
    store = MemoryObjectStore()
    await write_change(store, {"a": 1})
    core = make_core()
    watch = ConfigWatcher(core=core, store=store)
    await watch.poll()

    async def silent(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(store, "watch", silent)
    with pytest.raises(StoreUnavailable):
        await watch.poll()
    await write_change(store, {"a": 2})
    await watch.poll()
    assert core.node.history.version == 2


async def test_a_restored_platform_with_lower_object_versions_is_noticed(monkeypatch):
    monkeypatch.setattr(platformwatch, "MAX_WATCHES_BETWEEN_READS", 2)
    monkeypatch.setattr(platformwatch, "WATCH_TIMEOUT_S", 0.01)
    store = MemoryObjectStore()
    await write_change(store, {"a": 1})
    core = make_core()
    watch = ConfigWatcher(core=core, store=store)
    await watch.poll()
    watch.object_version = Version(1000)
    await write_change(store, {"a": 2})
    await watch.poll()
    await watch.poll()
    assert core.node.history.version == 2


async def test_an_older_head_does_not_lower_the_version():
    store = MemoryObjectStore()
    await write_change(store, {"a": 1})
    core = make_core()
    core.node.history.take_document(9, b'{"a": 9}')
    await ConfigWatcher(core=core, store=store).poll()
    assert (core.node.history.version, core.node.history.document) == (9, {"a": 9})


def test_backoff_doubles_to_a_bound_and_respects_the_rate_limit():
    backoff = Backoff(rng=random.Random(1))
    waits = [backoff.next_delay_s(StoreUnavailable("down")) for _ in range(20)]
    assert max(waits) <= 1.5 * MAX_BACKOFF_S
    assert len({round(wait, 6) for wait in waits[10:]}) > 1
    assert backoff.next_delay_s(RateLimited("full", retry_after_s=30.0)) > 30.0
    backoff.reset()
    assert backoff.next_delay_s(StoreUnavailable("down")) < 0.5


def make_listed_vm(vm: str, state: VmState = VmState.LIVE, kind: VmKind = VmKind.ENTRY) -> ListedVm:
    domain = FailureDomainId("gp-1")
    return ListedVm(id=vm, kind=kind, state=state, failure_domain=domain, address="")


async def test_leaving_servers_are_published_and_withdrawn():
    core = make_core()
    servers = [make_listed_vm("s1", VmState.LEAVING, VmKind.SERVER), make_listed_vm("own")]
    vm_list = InMemoryVmList(vms=servers)
    watch = VmListWatcher(core=core, vm_list=vm_list)
    await watch.poll()
    assert core.node.members.leaving_servers == ["s1"]
    vm_list.vms = [make_listed_vm("own")]
    await watch.poll()
    assert core.node.members.leaving_servers == []


async def test_an_empty_vm_list_is_rejected():
    """Guards against the empty list of a platform that has just recovered.

    Every VM with overdue heartbeats would be marked down.
    """
    with pytest.raises(StoreError):
        await VmListWatcher(core=make_core(), vm_list=InMemoryVmList()).poll()


async def test_an_unlisted_vm_with_overdue_heartbeats_is_marked_down():
    core = make_core()
    core.merge([make_member("a", entry_incarnation="e1")], "test")
    vm_list = InMemoryVmList(vms=[make_listed_vm("own"), make_listed_vm("a")])
    watch = VmListWatcher(core=core, vm_list=vm_list)
    await watch.poll()
    vm_list.vms = [make_listed_vm("own")]
    await watch.poll()
    await watch.poll()
    assert not core.node.members.views["a"].down, "its heartbeats still arrive"
    core.clock.advance(10.0)
    core.node.members.update_suspicion(core.clock.monotonic())
    await watch.poll()
    assert not core.node.members.views["a"].down, "one list alone may be wrong"
    await watch.poll()
    assert core.node.members.views["a"].down


async def test_a_vm_that_the_list_does_not_name_yet_is_not_marked_down():
    """Guards against marking new VMs down, which the list contains only after a delay."""
    core = make_core()
    core.merge([make_member("a", entry_incarnation="e1")], "test")
    watch = VmListWatcher(core=core, vm_list=InMemoryVmList(vms=[make_listed_vm("own")]))
    core.clock.advance(10.0)
    core.node.members.update_suspicion(core.clock.monotonic())
    await watch.poll()
    await watch.poll()
    assert not core.node.members.views["a"].down
    core.clock.advance(UNLISTED_TIMEOUT_S)
    await watch.poll()
    await watch.poll()
    assert core.node.members.views["a"].down


def test_a_lone_agent_watches_the_platform():
    """Guards against an agent that knows no members and never gets a configuration."""
    assert is_watcher(make_core())

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store import storewatcher
from knapweeddock.gateway.store.inmemorystore import InMemoryStore
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.store.storecache import StoreCache
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storewatcher import StoreWatcher
from tests.gateway.support import make_server
from tests.waiting import until


class Setup:
    """A store watcher of an in-memory store, whose cache feeds a routing state."""

    def __init__(self) -> None:
        self.store_client = InMemoryStore()
        self.store_client.put(Topic.CONFIGURATION, "main", RoutingConfig(version=1))
        self.store_client.put(Topic.SERVERS, "a", make_server("a"))
        self.routing_state = RoutingState(fleet=Fleet())
        self.store_cache = StoreCache()
        self.store_cache.listeners.append(self.routing_state.apply)
        self.store_watcher = StoreWatcher(
            store_client=self.store_client,
            store_cache=self.store_cache,
            outage_detection_s=0.1,
            reregistration_s=0.3,
            history_retention_s=20.0,
            rng=random.Random(1),
        )

    def set_config(self, version: int) -> None:
        self.store_client.put(Topic.CONFIGURATION, "main", RoutingConfig(version=version))

    def version(self) -> int:
        return self.routing_state.config.version if self.routing_state.config else 0


@contextlib.asynccontextmanager
async def running_watcher(monkeypatch) -> AsyncIterator[Setup]:
    monkeypatch.setattr(storewatcher, "BATCH_PAUSE_S", dict.fromkeys(Topic, 0.0))
    setup = Setup()
    task = asyncio.create_task(setup.store_watcher.run())
    try:
        await until(lambda: setup.routing_state.is_complete)
        yield setup
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_changes_come_into_force(monkeypatch):
    async with running_watcher(monkeypatch) as setup:
        setup.set_config(2)
        await until(lambda: setup.version() == 2)
        setup.store_client.remove(Topic.SERVERS, "a")
        await until(lambda: not setup.routing_state.fleet.servers)
        assert setup.version() == 2


async def test_older_version_is_ignored(monkeypatch):
    async with running_watcher(monkeypatch) as setup:
        setup.set_config(5)
        await until(lambda: setup.version() == 5)
        setup.set_config(3)
        setup.store_client.remove(Topic.SERVERS, "a")
        await until(lambda: not setup.routing_state.fleet.servers)
        assert setup.version() == 5


async def test_change_during_lost_history_comes_into_force_everywhere(monkeypatch):
    # The store accepts changes that its watches do not report, drops its history and
    # breaks only some watches; a topic whose watch keeps waiting must be listed again too.
    async with running_watcher(monkeypatch) as setup:
        await asyncio.sleep(0.02)
        setup.store_client.watches_stalled = True
        setup.set_config(2)
        setup.store_client.put(Topic.EVACUATIONS, "north-b", "north-b")
        setup.store_client.forget_history()
        setup.store_client.break_watches()
        await until(lambda: setup.version() == 2)
        await until(lambda: setup.routing_state.fleet.evacuated_domains)
        assert setup.routing_state.fleet.evacuated_domains == {"north-b"}


async def test_outage_keeps_the_last_state_and_ends(monkeypatch):
    async with running_watcher(monkeypatch) as setup:
        setup.store_client.down = True
        setup.store_client.break_watches()
        await until(lambda: not setup.store_watcher.store_reachable)
        assert setup.version() == 1
        setup.set_config(2)
        setup.store_client.down = False
        await until(lambda: setup.store_watcher.store_reachable)
        await until(lambda: setup.version() == 2)


async def test_server_that_lapsed_in_an_outage_is_kept_for_the_grace(monkeypatch):
    async with running_watcher(monkeypatch) as setup:
        setup.store_client.down = True
        setup.store_client.break_watches()
        await until(lambda: not setup.store_watcher.store_reachable)
        setup.store_client.remove(Topic.SERVERS, "a")
        setup.store_client.down = False
        await until(lambda: setup.store_watcher.store_reachable)
        await until(lambda: setup.routing_state.fleet.servers["a"].expires_at is not None)
        setup.routing_state.fleet.remove_expired(
            setup.routing_state.fleet.servers["a"].expires_at + 0.001
        )
        assert not setup.routing_state.fleet.servers


async def test_late_failure_of_an_old_call_is_no_new_outage():
    # After a lost connection the calls that waited on it fail one after the other. If
    # each counted as an outage, it would renew the grace period in which servers that
    # have left still get requests.
    store_watcher = Setup().store_watcher
    store_watcher._record_failure("first", time.monotonic())
    assert not store_watcher.store_reachable
    store_watcher._record_response()
    recovered_at = store_watcher.recovered_at
    store_watcher._record_failure("second", recovered_at - 0.5)
    assert store_watcher.store_reachable
    store_watcher._record_response()
    assert store_watcher.recovered_at == recovered_at


async def test_silent_watch_is_given_up_when_the_ping_fails(monkeypatch):
    # A watch on a dead connection would otherwise wait until its timeout.
    async with running_watcher(monkeypatch) as setup:
        await asyncio.sleep(0.02)
        setup.store_client.watches_stalled = True
        setup.set_config(2)
        setup.store_client.down = True
        await until(lambda: not setup.store_watcher.store_reachable)
        setup.store_client.down = False
        setup.store_client.watches_stalled = False
        await until(lambda: setup.version() == 2)
        assert setup.store_watcher.store_reachable


async def test_watch_whose_answer_is_lost_is_given_up_while_pings_succeed(monkeypatch):
    # The store may lose single answers; the old configuration was in force for 16 s meanwhile.
    async with running_watcher(monkeypatch) as setup:
        watches = []
        watch = setup.store_client.watch

        async def record(topic, position, wait_s, *, answer_timeout_s):
            watches.append((topic, wait_s + answer_timeout_s))
            return await watch(topic, position, wait_s, answer_timeout_s=answer_timeout_s)

        monkeypatch.setattr(setup.store_client, "watch", record)
        setup.store_client.topics_losing_answers.add(Topic.CONFIGURATION)
        setup.set_config(2)
        await until(lambda: any(topic is Topic.CONFIGURATION for topic, _ in watches))
        setup.store_client.topics_losing_answers.clear()
        setup.set_config(3)
        await until(lambda: setup.version() == 3)
        assert max(longest_s for _, longest_s in watches) < setup.store_watcher.outage_detection_s
        assert setup.store_watcher.store_reachable

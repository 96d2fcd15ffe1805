import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

from knapweeddock.gateway import following
from knapweeddock.gateway.catalog import MemoryCatalog, Topic
from knapweeddock.gateway.fleet import Fleet
from knapweeddock.gateway.following import StoreFollower
from knapweeddock.gateway.mirror import Mirror
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.routingstate import RoutingState
from tests.gateway.support import make_server
from tests.waiting import until


class Setup:
    """A follower with an in-memory catalog, whose mirror feeds a view."""

    def __init__(self) -> None:
        self.catalog = MemoryCatalog()
        self.catalog.put(Topic.CONFIGURATION, "main", RoutingConfig(version=1))
        self.catalog.put(Topic.SERVERS, "a", make_server("a"))
        self.view = RoutingState(fleet=Fleet())
        self.mirror = Mirror()
        self.mirror.listeners.append(self.view.apply)
        self.follower = StoreFollower(
            catalog=self.catalog,
            mirror=self.mirror,
            silence_s=0.1,
            lapse_s=0.3,
            history_s=20.0,
            rng=random.Random(1),
        )

    def set_config(self, version: int) -> None:
        self.catalog.put(Topic.CONFIGURATION, "main", RoutingConfig(version=version))

    def version(self) -> int:
        return self.view.config.version if self.view.config else 0


@contextlib.asynccontextmanager
async def running_follower(monkeypatch) -> AsyncIterator[Setup]:
    monkeypatch.setattr(following, "BATCH_PAUSE_S", dict.fromkeys(Topic, 0.0))
    setup = Setup()
    task = asyncio.create_task(setup.follower.run())
    try:
        await until(lambda: setup.view.is_complete)
        yield setup
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_changes_come_into_force(monkeypatch):
    async with running_follower(monkeypatch) as setup:
        setup.set_config(2)
        await until(lambda: setup.version() == 2)
        setup.catalog.remove(Topic.SERVERS, "a")
        await until(lambda: not setup.view.fleet.servers)
        assert setup.version() == 2


async def test_older_version_is_ignored(monkeypatch):
    async with running_follower(monkeypatch) as setup:
        setup.set_config(5)
        await until(lambda: setup.version() == 5)
        setup.set_config(3)
        setup.catalog.remove(Topic.SERVERS, "a")
        await until(lambda: not setup.view.fleet.servers)
        assert setup.version() == 5


async def test_change_during_lost_history_comes_into_force_everywhere(monkeypatch):
    # The store accepts changes that its watches do not report, drops its history and
    # breaks only some watches; a topic whose watch keeps waiting must be listed again too.
    async with running_follower(monkeypatch) as setup:
        await asyncio.sleep(0.02)
        setup.catalog.watches_stalled = True
        setup.set_config(2)
        setup.catalog.put(Topic.EVACUATIONS, "north-b", "north-b")
        setup.catalog.forget_history()
        setup.catalog.break_watches()
        await until(lambda: setup.version() == 2)
        await until(lambda: setup.view.fleet.evacuated_domains)
        assert setup.view.fleet.evacuated_domains == {"north-b"}


async def test_outage_keeps_the_last_state_and_ends(monkeypatch):
    async with running_follower(monkeypatch) as setup:
        setup.catalog.down = True
        setup.catalog.break_watches()
        await until(lambda: not setup.follower.connected)
        assert setup.version() == 1
        setup.set_config(2)
        setup.catalog.down = False
        await until(lambda: setup.follower.connected)
        await until(lambda: setup.version() == 2)


async def test_server_that_lapsed_in_an_outage_is_kept_for_the_grace(monkeypatch):
    async with running_follower(monkeypatch) as setup:
        setup.catalog.down = True
        setup.catalog.break_watches()
        await until(lambda: not setup.follower.connected)
        setup.catalog.remove(Topic.SERVERS, "a")
        setup.catalog.down = False
        await until(lambda: setup.follower.connected)
        await until(lambda: setup.view.fleet.servers["a"].expires_at is not None)
        setup.view.fleet.remove_expired(setup.view.fleet.servers["a"].expires_at + 0.001)
        assert not setup.view.fleet.servers


async def test_late_failure_of_an_old_call_is_no_new_outage():
    # After a lost connection the calls that waited on it fail one after the other. If
    # each counted as an outage, a server that has left would get requests for longer.
    follower = Setup().follower
    follower._record_failure("first", time.monotonic())
    assert not follower.connected
    follower._record_response()
    recovered_at = follower.recovered_at
    follower._record_failure("second", recovered_at - 0.5)
    assert follower.connected
    follower._record_response()
    assert follower.recovered_at == recovered_at


async def test_silent_watch_is_given_up_when_the_ping_fails(monkeypatch):
    # A watch on a dead connection would otherwise wait until its timeout.
    async with running_follower(monkeypatch) as setup:
        await asyncio.sleep(0.02)
        setup.catalog.watches_stalled = True
        setup.set_config(2)
        setup.catalog.down = True
        await until(lambda: not setup.follower.connected)
        setup.catalog.down = False
        setup.catalog.watches_stalled = False
        await until(lambda: setup.version() == 2)
        assert setup.follower.connected

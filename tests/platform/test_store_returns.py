"""The store comes back from a copy that is some seconds old."""

import asyncio
import time

import pytest

from standins import documents
from standins.metastore import StoreFault
from tests.platform.world import World, running_world
from tests.waiting import until

NEXT_CONFIG = documents.config(
    "00000009",
    [
        documents.route_row("r-read", "/read/", "safe"),
        documents.route_row("r-new", "/new/", "safe"),
    ],
)


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


def version_of(world: World) -> int:
    return world.gateway.routing_state.config.version


def usable_servers(world: World) -> list[str]:
    fleet = world.gateway.routing_state.fleet
    return [state.entry.server for state in fleet.group("ledger", "north")]


async def return_from(world: World, copy) -> None:
    """Let the store be away for a moment and come back from ``copy``."""
    world.store.fault = StoreFault.SILENT
    await asyncio.sleep(0.1)
    world.store.return_from(copy)
    world.store.fault = StoreFault.NONE


async def drain(world: World, name: str) -> None:
    entry = world.servers[name].entry(world.addresses[name], "north-a", "ledger")
    world.store.put("servers", name, {**entry, "State": "draining"})
    await until(lambda: name not in usable_servers(world))


async def test_later_configuration_stays_in_force(settings_path):
    async with running_world(settings_path) as world:
        copy = world.store.copy()
        world.store.put("config", "main", NEXT_CONFIG)
        await until(lambda: version_of(world) == 9)
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 2)
        await until(lambda: world.gateway.store_cache.is_complete)
        assert version_of(world) == 9
        assert (await world.ask("/new/a")).status == 200
        # The operator writes it again, and changes go on from there.
        world.store.put("config", "main", NEXT_CONFIG)
        world.store.put("config", "main", documents.config("0000000a"))
        await until(lambda: version_of(world) == 10)
        assert (await world.ask("/new/a")).status == 404


async def test_drained_server_gets_nothing_although_the_copy_lists_it_as_ready(settings_path):
    async with running_world(settings_path) as world:
        copy = world.store.copy()
        await drain(world, "i-0")
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 2)
        await until(lambda: world.gateway.store_cache.is_complete)
        assert usable_servers(world) == ["i-1"]
        await drain(world, "i-0")
        assert usable_servers(world) == ["i-1"]


async def test_server_that_is_gone_does_not_come_back_with_the_copy(settings_path):
    async with running_world(settings_path) as world:
        copy = world.store.copy()
        world.store.remove("servers", "i-0")
        await until(lambda: usable_servers(world) == ["i-1"])
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 2)
        await until(lambda: world.gateway.store_cache.is_complete)
        assert usable_servers(world) == ["i-1"]


async def test_acknowledged_evacuation_holds(settings_path):
    async with running_world(settings_path) as world:
        copy = world.store.copy()
        world.store.put("evacuations", "north-a", {})
        await until(lambda: not usable_servers(world))
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 2)
        await until(lambda: world.gateway.store_cache.is_complete)
        assert not usable_servers(world)
        # The operator writes it again and then ends it.
        world.store.put("evacuations", "north-a", {})
        world.store.remove("evacuations", "north-a")
        await until(lambda: usable_servers(world))
        assert usable_servers(world) == ["i-0", "i-1"]


async def test_registration_that_the_copy_lacks_is_written_again(settings_path):
    async with running_world(settings_path) as world:
        await until(lambda: world.store.kinds.get("gateways"))
        copy = world.store.copy()
        copy.kinds["gateways"].clear()
        await return_from(world, copy)
        await until(lambda: world.store.kinds["gateways"])
        assert list(world.store.kinds["gateways"]) == [world.gateway.settings.vm]


async def test_change_below_a_revision_that_is_given_out_again_is_seen(settings_path):
    # A watch from the old revision would start above the change and never report it.
    async with running_world(settings_path) as world:
        await until(lambda: world.store.kinds.get("gateways"))
        copy = world.store.copy()
        for index in range(5):
            world.store.put("servers", "i-9", documents.server(Sequence=index))
        await until(lambda: "i-9" in usable_servers(world))
        world.store.fault = StoreFault.SILENT
        await asyncio.sleep(0.1)
        world.store.return_from(copy)
        world.store.put("config", "main", NEXT_CONFIG)
        for index in range(9):
            world.store.put("servers", "i-8", documents.server(Sequence=index))
        world.store.fault = StoreFault.NONE
        await until(lambda: version_of(world) == 9)
        await until(lambda: "i-8" in usable_servers(world))
        assert world.gateway.store_client.era == 2


async def test_second_return_within_a_moment(settings_path):
    async with running_world(settings_path) as world:
        copy = world.store.copy()
        await drain(world, "i-0")
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 2)
        await return_from(world, copy)
        await until(lambda: world.gateway.store_client.era == 3)
        await until(lambda: world.gateway.store_cache.is_complete)
        assert usable_servers(world) == ["i-1"]


@pytest.mark.parametrize("header", ["", "soon", "-1", "2, 3", "9" * 10_000])
async def test_era_that_cannot_be_read_changes_nothing(settings_path, header):
    async with running_world(settings_path) as world:
        world.store.era_header = header
        world.store.put("config", "main", NEXT_CONFIG)
        await until(lambda: version_of(world) == 9)
        assert world.gateway.store_client.era == 1
        assert (await world.ask("/new/a")).status == 200


async def test_era_may_jump(settings_path):
    async with running_world(settings_path) as world:
        world.store.era = 1001
        world.store.put("config", "main", NEXT_CONFIG)
        await until(lambda: version_of(world) == 9)
        assert world.gateway.store_client.era == 1001


async def test_relay_lets_its_subscribers_keep_the_servers_that_it_keeps(tmp_path):
    # It may take its changes from another relay, and have seen nothing of the store's return.
    async with running_world(tmp_path / "boot.toml") as world:
        gateway = world.gateway
        assert gateway.relay.server_removal_grace_s() == 0.0
        now = time.monotonic()
        gateway.routing_state.fleet.deregister("i-0", now, grace_s=60.0)
        assert 0.0 < gateway.relay.server_removal_grace_s() <= 60.0

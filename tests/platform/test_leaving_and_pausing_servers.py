"""Servers that announce in their responses that they leave, or ask for a pause."""

import asyncio

import pytest

from standins.platformserver import ServerFault
from tests.platform.world import World, running_world
from tests.waiting import until


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


async def serving_server(world: World) -> str:
    """Return the name of the server that runs the requests for the default object."""
    await world.ask("/read/a", request_id="first")
    return next(name for name, server in world.servers.items() if server.ran)


async def test_release_while_the_store_is_away(settings_path):
    # Without the store, the responses are the only sign that servers leave.
    async with running_world(settings_path, servers=3) as world:
        world.store.deaf = True
        for _ in range(2):
            name = await serving_server(world)
            world.servers[name].leaving = True
            assert (await world.ask("/read/a", request_id=f"{name}-announces")).status == 200
            before = len(world.servers[name].headers)
            for index in range(5):
                assert (await world.ask("/read/a", request_id=f"{name}-{index}")).status == 200
            assert len(world.servers[name].headers) == before
            for server in world.servers.values():
                server.ran.clear()


@pytest.mark.parametrize("fault", [ServerFault.FAIL, ServerFault.SHED, ServerFault.UNSIGNED])
async def test_announcement_counts_with_any_response(settings_path, fault):
    async with running_world(settings_path, servers=1) as world:
        world.servers["i-0"].leaving = True
        world.servers["i-0"].fault = fault
        await world.ask("/read/a", request_id="announces")
        reached = len(world.servers["i-0"].headers)
        assert (await world.ask("/read/a", request_id="next")).status == 503
        assert len(world.servers["i-0"].headers) == reached


async def test_process_that_starts_later_under_the_identifier_is_used(settings_path):
    async with running_world(settings_path, servers=1) as world:
        await world.settle()
        server = world.servers["i-0"]
        server.leaving = True
        await world.ask("/read/a", request_id="announces")
        entry = server.entry(world.addresses["i-0"], "north-a", "ledger")
        world.store.put("servers", "i-0", {**entry, "Sequence": 9})
        await asyncio.sleep(0.1)
        assert (await world.ask("/read/a", request_id="same process")).status == 503
        server.leaving = False
        world.store.put("servers", "i-0", {**entry, "born": entry["born"] + 1})
        await until(lambda: not world.gateway.routing_state.fleet.servers["i-0"].is_leaving)
        assert (await world.ask("/read/a", request_id="next process")).status == 200


async def test_all_servers_ask_for_a_pause(settings_path):
    async with running_world(settings_path) as world:
        for server in world.servers.values():
            server.fault = ServerFault.PAUSE
            server.retry_after = "3"
        await world.ask("/read/a", request_id="q0")
        reached = sum(len(server.headers) for server in world.servers.values())
        assert reached == 2
        for index in range(5):
            reply = await world.ask("/book/a", method="POST", request_id=f"q{index + 1}")
            assert reply.status == 503
            # It is truthful: not before the first server may be asked again.
            assert 2.0 < float(reply.headers["retry-after"]) <= 4.5
        assert sum(len(server.headers) for server in world.servers.values()) == reached
        assert sum(server.probes for server in world.servers.values()) == 0


async def test_server_that_asks_for_a_pause_is_replaced_by_the_other(settings_path):
    async with running_world(settings_path) as world:
        name = await serving_server(world)
        world.servers[name].fault = ServerFault.PAUSE
        reached = len(world.servers[name].headers)
        for index in range(6):
            assert (await world.ask("/read/a", request_id=f"q{index}")).status == 200
        assert len(world.servers[name].headers) == reached + 1


@pytest.mark.parametrize(
    "retry_after",
    ["0.5", "soon", "-4", "1e99", "9" * 10_000, "Wed, 21 Oct 2015 07:28:00 GMT", "nan"],
)
async def test_retry_after_of_any_form_is_survived(settings_path, retry_after):
    async with running_world(settings_path) as world:
        name = await serving_server(world)
        world.servers[name].fault = ServerFault.PAUSE
        world.servers[name].retry_after = retry_after
        assert (await world.ask("/read/a", request_id="q0")).status == 200
        pause = world.gateway.routing_state.fleet.servers[name].pause
        assert pause.remaining_s(asyncio.get_running_loop().time()) <= 30.0

"""Gateways that start again while the store does not respond."""

from contextlib import AsyncExitStack

import pytest

from standins.metastore import StoreFault
from tests.platform.world import running_world
from tests.waiting import until

TWO = [("front-north-a-2", "north-a")]
FOUR = [*TWO, ("front-north-b-1", "north-b"), ("front-north-b-2", "north-b")]
ONE_LEFT_OF_A_DOMAIN = [("front-north-b-1", "north-b"), ("front-south-a-1", "south-a")]


@pytest.mark.parametrize(
    "others", [TWO, FOUR, ONE_LEFT_OF_A_DOMAIN], ids=["two", "four", "one left of a domain"]
)
async def test_gateway_that_starts_again_takes_what_the_others_know(tmp_path, others):
    # It knows no registrations, only whom it hears. Callers that keep to its address would be
    # refused for as long as the store is silent.
    async with running_world(tmp_path / "boot.toml", servers=3) as world, AsyncExitStack() as stack:
        gateways = [
            await stack.enter_async_context(world.another_gateway(node, zone))
            for node, zone in others
        ]
        world.store.remove("servers", "i-0")
        left = [world.gateway, *gateways]
        await until(lambda: all("i-0" not in each.routing_state.fleet.servers for each in left))
        await until(lambda: all(len(each.routing_state.gateways) == len(left) for each in left))
        world.store.fault = StoreFault.SILENT
        await world.restart()
        for index in range(10):
            reply = await world.ask("/read/a", key=str(index), request_id=f"after-{index}")
            assert reply.status == 200
        assert world.servers["i-0"].ran == []

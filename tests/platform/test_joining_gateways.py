"""Gateways that join a running region."""

import asyncio
from contextlib import AsyncExitStack

from tests.platform.world import running_world
from tests.waiting import until


async def test_third_gateway_of_a_region_becomes_known_to_the_first(tmp_path):
    # It subscribes to the second one as its relay and sends its heartbeats only there. The
    # first one knows two, too few for relays, and would never name the third to clients.
    async with running_world(tmp_path / "boot.toml") as world, AsyncExitStack() as stack:
        for node in ("front-north-a-2", "front-north-b-1"):
            await stack.enter_async_context(world.another_gateway(node, node[6:13]))

        def live_vms() -> set[str]:
            now = asyncio.get_running_loop().time()
            return {member.vm for member in world.gateway.feed.live_members(now)}

        await until(lambda: "front-north-b-1" in live_vms())
        assert len(live_vms()) == 3

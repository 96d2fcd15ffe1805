"""Gateways that join a running region."""

import asyncio
from contextlib import AsyncExitStack

from knapweeddock.gateway.store.registrations import REPLACED_DELAY_S
from tests.platform.world import running_world
from tests.waiting import until


async def test_gateway_whose_registration_was_replaced_registers_again(tmp_path):
    # The store may execute a write of an earlier start seconds later. Look-ups name no gateway
    # whose registration is that of another start.
    async with running_world(tmp_path / "boot.toml") as world:
        vm = world.gateway.settings.vm
        await until(lambda: vm in world.gateway.routing_state.gateways)
        registered = world.store.kinds["gateways"][vm].spec
        world.store.put("gateways", vm, {**registered, "incarnation": "earlier"})
        await until(lambda: world.store.kinds["gateways"][vm].spec == registered)
        reply = await world.get(world.gateway.settings.lookup, "/api/resolve?Region=north")
        assert reply.status == 200


async def test_subscriber_whose_registration_was_removed_registers_again(tmp_path):
    async with running_world(tmp_path / "boot.toml") as world, AsyncExitStack() as stack:
        gateways = [world.gateway]
        for node in ("front-north-a-2", "front-north-b-1"):
            gateways.append(
                await stack.enter_async_context(world.another_gateway(node, node[6:13]))
            )
        await until(lambda: sum(each.update_source.is_subscribed for each in gateways) == 2)
        subscriber = next(each for each in gateways if each.update_source.is_subscribed)
        vm = subscriber.settings.vm
        registered = world.store.kinds["gateways"][vm].spec
        world.store.remove("gateways", vm)
        await until(lambda: vm in world.store.kinds["gateways"])
        assert world.store.kinds["gateways"][vm].spec == registered


async def test_gateway_registers_once_if_nobody_replaces_its_registration(tmp_path):
    # A write by each gateway after each change would add up.
    async with running_world(tmp_path / "boot.toml") as world:
        vm = world.gateway.settings.vm
        await until(lambda: vm in world.gateway.routing_state.gateways)
        writes = [path for method, path in world.store.calls if method in ("PUT", "POST")]
        async with world.another_gateway("front-north-a-2", "north-a") as other:
            await until(lambda: len(other.routing_state.gateways) == 2)
            await until(lambda: len(world.gateway.routing_state.gateways) == 2)
            await asyncio.sleep(2 * REPLACED_DELAY_S)
        later = [path for method, path in world.store.calls if method in ("PUT", "POST")]
        assert len(later) == len(writes) + 1


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

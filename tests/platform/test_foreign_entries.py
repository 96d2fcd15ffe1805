"""Entries of other writers in the store, beside sound changes, behind relays and at a start."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from knapweeddock.gateway.service import Gateway
from standins import documents
from tests.platform.world import World, read_reply, request_bytes, running_world
from tests.waiting import until

OTHER_GATEWAYS = {"front-north-a-2": "north-a", "front-north-b-1": "north-b"}
"""Failure domains of further gateways: with them a region has one that watches the store."""


@contextlib.asynccontextmanager
async def running_region(path: Path) -> AsyncIterator[tuple[World, list[Gateway]]]:
    """Run three gateways of a region, one of which watches the store for the others."""
    async with running_world(path, servers=3) as world, contextlib.AsyncExitStack() as stack:
        gateways = [world.gateway]
        for node, zone in OTHER_GATEWAYS.items():
            gateways.append(await stack.enter_async_context(world.another_gateway(node, zone)))
        await until(lambda: sum(each.update_source.is_subscribed for each in gateways) == 2)
        yield world, gateways


UNDECODABLE = {
    "single surrogate": rb'"\udcff"',
    "bytes that are no UTF-8": b'"\xff\xfe"',
    "number out of range": b"1e400",
    "nesting of ten thousand": b"[" * 10_000 + b"]" * 10_000,
}
"""Values that JSON's grammar allows and decoders refuse."""


@pytest.mark.parametrize("kind", ["servers", "gateways", "config"])
@pytest.mark.parametrize("value", UNDECODABLE.values(), ids=UNDECODABLE)
async def test_entry_that_cannot_be_decoded_keeps_no_gateway_from_starting(tmp_path, value, kind):
    # Every list and watch of its kind failed: no gateway was ready again after a restart.
    async with running_world(tmp_path / "boot.toml") as world:
        world.store.encoded_texts["@value"] = value
        world.store.put(kind, "a-foreign", {"Zone": "@value"})
        await world.restart()
        assert set(world.gateway.routing_state.fleet.servers) == {"i-0", "i-1"}
        assert (await world.ask("/read/1")).status == 200


@pytest.mark.parametrize("value", UNDECODABLE.values(), ids=UNDECODABLE)
async def test_entry_that_cannot_be_decoded_hides_no_change_and_names_no_server(tmp_path, value):
    async with running_world(tmp_path / "boot.toml") as world:
        servers = world.gateway.routing_state.fleet.servers
        world.store.encoded_texts["@value"] = value
        world.store.deaf = True
        world.store.put("servers", "i-1", {**documents.server(), "Zone": "@value"})
        world.store.put("servers", "i-2", documents.server())
        world.store.hear_again()
        await until(lambda: set(servers) == {"i-0", "i-2"})
        # The next watch begins behind them: the gateway does not read these changes for ever.
        calls = len(world.store.calls)
        world.store.remove("servers", "i-2")
        await until(lambda: set(servers) == {"i-0"})
        lists = [path for _, path in world.store.calls[calls:] if path.endswith("/servers")]
        assert lists == []


@pytest.mark.parametrize("field", ["Slots", "born"])
async def test_number_too_large_for_messages_does_not_hide_a_server_that_leaves(tmp_path, field):
    # The gateway that watches the store could not pass the changes on, and the others sent
    # requests to the server that had left for as long as it answered.
    async with running_region(tmp_path / "boot.toml") as (world, gateways):
        entry = documents.server(**{field: 10**20})
        # Both changes come in one answer of the watch.
        world.store.deaf = True
        world.store.put("servers", "i-foreign", entry)
        world.store.remove("servers", "i-0")
        world.store.hear_again()
        for gateway in gateways:
            await until(lambda gateway=gateway: "i-0" not in gateway.routing_state.fleet.servers)
        for gateway in gateways:
            assert "i-foreign" not in gateway.routing_state.fleet.servers


UNUSABLE_ADDRESSES = ["\ufffd\ufffd127.0.0.9:8080", "x" * 300 + ":80", "127.0.0.9\0:80"]
"""Addresses that raise other errors than those of a connection that fails."""


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES, ids=range(len(UNUSABLE_ADDRESSES)))
async def test_address_that_no_connection_can_have_costs_no_request_its_answer(tmp_path, address):
    # The request was closed without an answer, and with it those behind on its connection.
    async with running_world(tmp_path / "boot.toml") as world:
        entry = world.servers["i-0"].entry(world.addresses["i-0"], "north-a", "ledger")
        world.store.put("servers", "i-foreign", {**entry, "Address": address})
        # Servers that are registered before a gateway starts get their full share at once.
        await world.restart()
        for key in range(24):
            reader, writer = await world.connect()
            for number in range(2):
                name = f"{key}-{number}"
                writer.write(request_bytes(f"/read/{name}", key=f"{key}", request_id=name))
            assert [(await read_reply(reader)).status for _ in range(2)] == [200, 200]
            writer.close()


@pytest.mark.parametrize("name", ["i-1\r\nSmuggled: 1", "i-\u4e2d", "i" * 16384])
async def test_server_whose_name_no_header_can_carry_gets_no_request(tmp_path, name):
    # The name goes into a header: it ended requests without an answer or added headers to them.
    async with running_world(tmp_path / "boot.toml", servers=1) as world:
        entry = world.servers["i-0"].entry(world.addresses["i-0"], "north-a", "ledger")
        world.store.put("servers", name, entry)
        await world.restart()
        for key in range(24):
            assert (await world.ask(f"/read/{key}", key=f"{key}")).status == 200
        assert not any("Smuggled" in headers for headers in world.servers["i-0"].headers)


@pytest.mark.parametrize("address", ["\ufffd:7720", "x" * 300 + ":7720", "gateway.example:7720"])
async def test_gateway_entry_with_an_unusable_address_ends_no_heartbeats(tmp_path, address):
    # An error in sending a datagram to it closed the socket for heartbeats for good.
    async with running_world(tmp_path / "boot.toml") as world:
        content = world.store.kinds["gateways"][world.gateway.settings.vm].spec
        foreign = {**content, "peer": address, "forwarding": address}
        world.store.put("gateways", "foreign", foreign)
        world.store.put("gateways", "sound", {**content, "peer": "127.0.0.1:9"})
        await until(lambda: "sound" in world.gateway.routing_state.gateways)
        world.gateway.peers.send()
        await asyncio.sleep(0)
        assert not world.gateway.peers.transport.is_closing()
        assert "foreign" not in world.gateway.routing_state.gateways

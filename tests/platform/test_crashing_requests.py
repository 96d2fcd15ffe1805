"""Requests that end every server that begins to run them, and come again and again.

Guards against a gateway that sends such a request to one server after the other.
"""

import asyncio
from contextlib import AsyncExitStack

import pytest

from knapweeddock.gateway.records import ServerPhase
from knapweeddock.gateway.service import Gateway
from standins import documents
from standins.metastore import StoreFault
from standins.platformserver import PlatformServer, ServerFault
from tests.platform.world import World, request_bytes, running_world
from tests.waiting import until

MAX_FURTHER_TRIES = 3
"""How often such a request may reach servers after three of them have ended."""

ENDS_ALLOWED = 3


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


LONG_BYTES = 120_000_000
"""Size of a response that the socket buffers between a server and a gateway do not hold."""


def end_servers_under(world: World, request_ids: list[str], *, delay_s: float = 0.0) -> None:
    """Let each server end when it runs a request with one of the identifiers."""
    loop = asyncio.get_running_loop()

    def end(server: PlatformServer, request: str, body: bytes) -> None:
        if request not in request_ids:
            return
        if delay_s > 0:
            loop.call_later(delay_s, server.end)
        else:
            server.end()

    for server in world.servers.values():
        server.on_run = end


def tries(world: World, request_ids: list[str]) -> int:
    return sum(request in request_ids for request in world.ran())


@pytest.mark.parametrize(("path", "method"), [("/read/worst", "GET"), ("/book/worst", "POST")])
async def test_request_that_ends_servers_is_refused_after_three_of_them(
    settings_path, path, method
):
    request_ids = [f"q{index}" for index in range(30)]
    async with running_world(settings_path, servers=12) as world:
        end_servers_under(world, request_ids)
        replies = [
            await world.ask(path, method=method, request_id=request_id)
            for index, request_id in enumerate(request_ids)
        ]
        assert tries(world, request_ids) <= ENDS_ALLOWED + MAX_FURTHER_TRIES
        assert replies[-1].status == 503
        assert float(replies[-1].headers["retry-after"]) > 0
        other = await world.ask("/read/other", request_id="innocent")
        assert other.status == 200


async def test_other_requests_to_the_same_path_are_served(settings_path):
    # Only path, caller and body together make the request that ends servers.
    request_ids = [f"q{index}" for index in range(10)]
    async with running_world(settings_path, servers=12) as world:
        end_servers_under(world, request_ids)
        for request_id in request_ids:
            await world.ask("/book/a", method="POST", request_id=request_id, body=b"worst")
        replies = [
            await world.ask("/book/a", method="POST", request_id="body", body=b"good"),
            await world.ask("/book/a", method="POST", request_id="caller", body=b"worst", key="9"),
            await world.ask("/book/b", method="POST", request_id="path", body=b"worst"),
        ]
        assert [reply.status for reply in replies] == [200, 200, 200]


async def test_request_that_was_lost_with_a_server_is_served_when_it_comes_again(settings_path):
    # It was there when the server ended for another reason.
    async with running_world(settings_path, servers=4) as world:
        end_servers_under(world, ["first"])
        assert (await world.ask("/book/a", method="POST", request_id="first")).status == 502
        board = world.gateway.notice_board.suspects
        await until(lambda: not board.is_empty)
        for index in range(5):
            reply = await world.ask("/book/a", method="POST", request_id=f"again{index}")
            assert reply.status == 200
        assert board.counts() == {"suspected": 0, "quarantined": 0}


async def test_request_that_is_only_broken_off_is_not_suspected(settings_path):
    # The server lives: it spoils responses, or the connection was reset on the way.
    async with running_world(settings_path, servers=2) as world:
        for server in world.servers.values():
            server.fault = ServerFault.RESET_AFTER_RUN
        for index in range(6):
            await world.ask("/book/a", method="POST", request_id=f"q{index}")
        assert world.gateway.notice_board.suspects.is_empty
        assert len(world.ran()) == 6


async def test_server_that_leaves_ends_under_no_request(settings_path):
    # A rolling release ends servers while they finish what they have.
    async with running_world(settings_path, servers=3) as world:
        for server in world.servers.values():
            server.work_s = 0.5
        asking = asyncio.create_task(world.ask("/book/a", method="POST", request_id="last"))
        await until(world.ran)
        server = next(each for each in world.servers.values() if each.ran)
        entry = server.entry(world.addresses[server.name], "north-a", "ledger")
        world.store.put("servers", server.name, {**entry, "State": "draining"})
        states = world.gateway.routing_state.fleet.servers
        await until(lambda: states[server.name].entry.phase is ServerPhase.DRAINING)
        server.end()
        assert (await asking).status == 502
        await until(lambda: not states[server.name].health.is_usable())
        assert world.gateway.notice_board.suspects.is_empty


async def test_all_gateways_start_again_while_the_request_comes_on(settings_path):
    # Their memory is gone with them; only the store knows.
    async with running_world(settings_path, servers=12) as world:
        end_servers_under(world, ["q0", "q1", "q2", "q3"])
        for request_id in ("q0", "q1", "q2"):
            await world.ask("/book/a", method="POST", request_id=request_id)
        own = world.gateway.settings.vm
        await until(lambda: "suspects" in world.store.kinds["gateways"][own].spec)
        await world.restart()
        reply = await world.ask("/book/a", method="POST", request_id="q3")
        assert reply.status == 503
        assert len(world.ran()) == 3
        incarnation = world.gateway.incarnation
        entry = world.store.kinds["gateways"][own]
        await until(lambda: world.store.kinds["gateways"][own].spec["incarnation"] == incarnation)
        assert len(entry.spec["suspects"]) == 1


async def test_server_that_ends_in_the_middle_of_a_long_response_is_counted(settings_path):
    # The client has got a part of it already, so no other attempt can tell.
    async with running_world(settings_path, servers=3) as world:
        # Gateway and server run in one process, which takes long to make the response.
        rows = [documents.route_row("r-read", "/read/", "safe", Timeout="60s")]
        world.store.put("config", "main", documents.config("00000009", rows))
        await until(lambda: world.gateway.routing_state.config.version == 9)
        end_servers_under(world, ["long"], delay_s=0.1)
        _, writer = await world.connect()
        writer.write(
            request_bytes(f"/read/a?size={LONG_BYTES}", request_id="long", budget_ms=60_000)
        )
        await until(lambda: not world.gateway.notice_board.suspects.is_empty)
        assert world.gateway.notice_board.suspects.counts()["suspected"] == 1
        assert len(world.ran()) == 1
        writer.close()


ONE_A_REGION = [("front-south-a-1", "south-a")]
RELAYS = [("front-north-a-2", "north-a"), ("front-north-b-1", "north-b"), *ONE_A_REGION]


@pytest.mark.parametrize("others", [ONE_A_REGION, RELAYS], ids=["alone", "relays"])
@pytest.mark.parametrize("fault", [StoreFault.NONE, StoreFault.SILENT])
async def test_gateways_of_all_regions_refuse_what_one_has_found_out(settings_path, others, fault):
    # The request comes at any gateway; each of them would end three servers.
    async with running_world(settings_path, servers=8) as world, AsyncExitStack() as stack:
        gateways = [
            await stack.enter_async_context(world.another_gateway(node, zone))
            for node, zone in others
        ]
        known = len(gateways) + 1
        everybody = [world.gateway, *gateways]
        await until(lambda: all(len(each.routing_state.gateways) == known for each in everybody))
        end_servers_under(world, ["q0", "q1", "q2", "q3"])
        world.store.fault = fault
        for request_id in ("q0", "q1", "q2"):
            await world.ask("/book/a", method="POST", request_id=request_id)
        for gateway in gateways:
            await until(lambda gateway=gateway: not gateway.notice_board.suspects.is_empty)
            await until(lambda gateway=gateway: quarantined(gateway) == 1)
            reply = await world.ask("/book/a", method="POST", request_id="q3", gateway=gateway)
            assert reply.status == 503
        assert len(world.ran()) == 3


def quarantined(gateway: Gateway) -> int:
    return gateway.notice_board.suspects.counts()["quarantined"]

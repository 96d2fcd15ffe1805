"""Servers that send a response once more, where the response to the next request is due."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.service import Gateway
from knapweeddock.http1.client import HttpClientConnection
from standins import documents
from standins.byteserver import (
    Behaviour,
    ByteServer,
    ReceivedRequest,
    ServerConnection,
    response,
    running_byte_server,
)
from tests.platform.world import Reply, World, running_world
from tests.waiting import until

NOT_RUN = {408, 421, 429, 503}
"""Statuses by which a client concludes that its request has not run."""

REFUSALS = [503, 429, 421, 400]
"""Statuses with which servers say that they have not run a request."""


WAYS = pytest.mark.parametrize("over_peer", [False, True], ids=["", "over a peer"])
"""Whether the gateway of the clients is cut off, so that a peer sends their requests."""


@contextlib.asynccontextmanager
async def running_servers(
    path: Path, behave: Behaviour, *, count: int = 3, over_peer: bool = False, grace: str = "6s"
) -> AsyncIterator[tuple[World, list[ByteServer]]]:
    """Run a gateway with servers that behave in a given way, beside a peer or cut off from all."""
    async with contextlib.AsyncExitStack() as stack:
        world = await stack.enter_async_context(running_world(path, servers=0, grace=grace))
        servers = []
        for index in range(count):
            name = f"i-{index}"
            server, address = await stack.enter_async_context(running_byte_server(name, behave))
            servers.append(server)
            entry = documents.server(Address=f"{address[0]}:{address[1]}", Service="ledger")
            world.store.put("servers", name, {**entry, "Zone": "north-a"})
        await world.restart()
        if over_peer:
            await stack.enter_async_context(world.another_gateway("front-north-a-2", "north-a"))
            await cut_off(world.gateway)
        yield world, servers


async def cut_off(gateway: Gateway) -> None:
    """Let a gateway reach no server any more, and wait until it knows and has a peer."""

    async def refuse(address: Address, *, timeout_s: float) -> HttpClientConnection:
        raise PeerUnavailable("cut off")

    await until(lambda: len(gateway.routing_state.gateways) == 2)
    await until(lambda: len(list(gateway.feed.live_members(time.monotonic()))) == 2)
    gateway.server_connector.open_connection = refuse
    for state in gateway.routing_state.fleet.servers.values():
        with contextlib.suppress(PeerUnavailable):
            await gateway.server_connector.connect(state.entry)
    await until(lambda: not gateway.reach_board.reaches_servers)


def repeats_refusals(status: int, *, with_id: bool, when: str) -> Behaviour:
    """Refuse each fourth request of a connection, and send the refusal again with the next."""

    async def behave(
        server: ByteServer, request: ReceivedRequest, connection: ServerConnection
    ) -> bool:
        refusal = response(status, request.request_id if with_id else "", "", "Not-Executed: 1")
        repeated = connection.memory.pop() if connection.memory else b""
        if request.number % 4 == 1:
            connection.memory.append(refusal)
            await connection.write(refusal)
            return True
        if when == "as it arrives":
            await connection.write(repeated)
        running = asyncio.create_task(server.run(request))
        await asyncio.sleep(server.work_s / 2)
        if when == "while it runs":
            await connection.write(repeated)
        if when == "in two parts":
            await connection.write(repeated[:20])
            await asyncio.sleep(server.work_s / 4)
            await connection.write(repeated[20:])
        await connection.write(await running)
        return True

    return behave


async def send_some(world: World, *, method: str, path: str) -> dict[str, Reply]:
    """Send requests, some of them at the same time; return the replies by identifier."""
    replies: dict[str, Reply] = {}

    async def send(name: str) -> None:
        replies[name] = await world.ask(
            f"{path}{name}", method=method, request_id=name, key=name[-1], body=b"b"
        )

    for turn in range(12):
        async with asyncio.TaskGroup() as group:
            for index in range(3):
                group.create_task(send(f"r{turn}-{index}"))
    return replies


@WAYS
@pytest.mark.parametrize("when", ["as it arrives", "while it runs", "in two parts"])
@pytest.mark.parametrize("with_id", [True, False], ids=["with id", "without id"])
@pytest.mark.parametrize("status", REFUSALS)
async def test_refusal_that_is_sent_again_is_not_taken_for_the_next_one(
    tmp_path, status, with_id, when, over_peer
):
    # Clients were told "not run" of requests that ran, or these ran at a second server.
    behave = repeats_refusals(status, with_id=with_id, when=when)
    path = tmp_path / "boot.toml"
    async with running_servers(path, behave, over_peer=over_peer) as (world, servers):
        replies = await send_some(world, method="POST", path="/book/")
        ran = Counter(name for server in servers for name in server.ran)
        assert [name for name, count in ran.items() if count > 1] == []
        refused = [name for name, reply in replies.items() if reply.status in NOT_RUN]
        assert [name for name in refused if ran[name]] == []
        assert any(reply.status == 200 for reply in replies.values())


def repeats_responses(*, with_id: bool) -> Behaviour:
    """Send each response again as the next request of the connection arrives."""

    async def behave(
        server: ByteServer, request: ReceivedRequest, connection: ServerConnection
    ) -> bool:
        while connection.memory:
            await connection.write(connection.memory.pop())
        answer = await server.run(request)
        if not with_id:
            answer = answer.replace(f"Request-Id: {request.request_id}\r\n".encode(), b"")
        connection.memory.append(answer)
        await connection.write(answer)
        return True

    return behave


@WAYS
@pytest.mark.parametrize("with_id", [True, False], ids=["with id", "without id"])
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/"), ("POST", "/book/")])
async def test_response_that_is_sent_again_reaches_no_other_client(
    tmp_path, with_id, method, path, over_peer
):
    behave = repeats_responses(with_id=with_id)
    settings = tmp_path / "boot.toml"
    async with running_servers(settings, behave, over_peer=over_peer) as (world, _servers):
        replies = await send_some(world, method=method, path=path)
        for name, reply in replies.items():
            assert reply.status == 200
            assert reply.body.decode().endswith(f"ran {path}{name}")
            assert reply.headers["request-id"] == name


async def test_requests_without_an_identifier_share_no_connection(tmp_path):
    # Nothing tells a response that is sent again from that to the next such request.
    behave = repeats_responses(with_id=True)
    async with running_servers(tmp_path / "boot.toml", behave) as (world, servers):
        for index in range(8):
            reply = await world.ask(f"/read/{index}", request_id="")
            assert reply.status == 200
            assert reply.body.decode().endswith(f"ran /read/{index}")
        assert {each.number for server in servers for each in server.received} == {0}

"""Planned stops of a gateway, with requests that come, or come back from a server, late."""

import asyncio
import contextlib
import time

import pytest

from standins.byteserver import (
    ByteServer,
    ReceivedRequest,
    ServerConnection,
    response,
)
from tests.platform.test_repeated_responses import running_servers
from tests.platform.world import World, read_reply, request_bytes, running_world
from tests.waiting import until


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


async def stop_until_no_attempt_begins(world: World) -> None:
    world.stop.set()
    await until(lambda: not world.gateway.departure.allows_attempt(time.monotonic()))


@pytest.mark.parametrize(("method", "path"), [("PUT", "/read/a"), ("POST", "/book/a")])
async def test_request_whose_body_ends_late_in_a_stop_is_refused_and_not_run(
    settings_path, method, path
):
    # It was sent to a server with too little time left, and cut off without an answer.
    async with running_world(settings_path, servers=1, grace="2s") as world:
        request = request_bytes(path, method=method, body=b"0123456789", budget_ms=4000)
        reader, writer = await world.connect()
        writer.write(request[:-5])
        await until(lambda: world.gateway.front_listener.active_request_count)
        await stop_until_no_attempt_begins(world)
        writer.write(request[-5:])
        reply = await read_reply(reader)
        assert reply.status == 503
        assert reply.headers["connection"] == "close"
        assert float(reply.headers["retry-after"]) == 0.0
        assert world.ran() == []
        writer.close()


@pytest.mark.parametrize(("method", "path"), [("GET", "/read/a"), ("POST", "/book/a")])
async def test_request_that_is_rejected_late_in_a_stop_is_not_sent_to_another_server(
    settings_path, method, path
):
    released = asyncio.Event()

    async def reject_late(
        server: ByteServer, request: ReceivedRequest, connection: ServerConnection
    ) -> bool:
        await released.wait()
        await connection.write(response(503, request.request_id, "", "Not-Executed: 1"))
        return True

    async with running_servers(settings_path, reject_late, grace="2s") as (world, servers):
        asking = asyncio.create_task(world.ask(path, method=method, budget_ms=4000))
        await until(lambda: any(server.received for server in servers))
        await stop_until_no_attempt_begins(world)
        released.set()
        assert (await asking).status == 503
        assert sum(len(server.received) for server in servers) == 1


async def test_request_that_takes_longer_than_the_rest_of_a_stop_is_refused_at_once(
    settings_path,
):
    async with running_world(settings_path, servers=1) as world:
        world.gateway.departure.ends_at = time.monotonic()
        reply = await world.ask("/book/a", method="POST", body=b"b")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) == 0.0
        assert world.ran() == []


class Caller:
    """Sends one request after the other until the gateway takes no more connections.

    Attributes:
        statuses: Status of each request by its identifier; 0 for one without an answer.
    """

    def __init__(self, world: World, name: str, *, keeps_connection: bool) -> None:
        self.world = world
        self.name = name
        self.keeps_connection = keeps_connection
        self.statuses: dict[str, int] = {}

    async def run(self) -> None:
        while True:
            try:
                reader, writer = await self.world.connect()
            except OSError:
                return
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use(reader, writer)
            writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            number = len(self.statuses)
            name = f"{self.name}-{number}"
            self.statuses[name] = 0
            method, path = ("GET", "/read/") if number % 2 else ("POST", "/book/")
            writer.write(request_bytes(path + name, method=method, request_id=name, body=b"b"))
            reply = await read_reply(reader)
            self.statuses[name] = reply.status
            if not self.keeps_connection or reply.headers.get("connection") == "close":
                return


@pytest.mark.parametrize("keeps_connection", [True, False], ids=["kept", "new"])
async def test_stop_under_load_leaves_no_request_that_ran_without_an_answer(
    settings_path, keeps_connection
):
    # Requests that had just been accepted were cut off without an answer.
    async with running_world(settings_path, servers=3, grace="3s") as world:
        for server in world.servers.values():
            server.work_s = 0.2
        callers = [
            Caller(world, f"c{index}", keeps_connection=keeps_connection) for index in range(20)
        ]
        running = [asyncio.create_task(caller.run()) for caller in callers]
        await until(lambda: len(world.ran()) > 40)
        world.stop.set()
        await world.running
        await asyncio.gather(*running)
        statuses = {name: status for each in callers for name, status in each.statuses.items()}
        ran = set(world.ran())
        assert [name for name, status in statuses.items() if name in ran and status != 200] == []
        assert set(statuses.values()) <= {0, 200, 503}

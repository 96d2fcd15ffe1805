import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict

from knapweeddock.entry.connectors import is_usable
from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.events import AttemptOutcome
from tests.entry.support import http_response, run_backend, wait_until


@asynccontextmanager
async def open_client(idle_s=60.0):
    client = HttpClient(
        buffer_limit=1000, header_limit=1000, connect_timeout_s=1.0, spare_idle_timeout_s=idle_s
    )
    try:
        yield client
    finally:
        await client.close()


async def send(client, address, timeout_s=5.0):
    call = Call(
        address=address,
        method="POST",
        target="/x",
        headers=CIMultiDict(),
        body=b"in",
        timeout_s=timeout_s,
        start_within_s=5.0,
        idempotent=False,
        streaming=False,
    )
    return (await client.call(call, lambda response: False)).outcome


async def wait_for_spare(client, server, connections):
    """Wait until a spare is open and the server has accepted that many connections."""
    spares = client.spare_connector.spares
    await wait_until(lambda: spares[server.address] and server.connections == connections)


class ConnectionRecorder:
    """Script that records the client address of each request, to tell connections apart."""

    def __init__(self, *, unresponsive_from=99):
        self.client_addresses = []
        self.unresponsive_from = unresponsive_from

    async def __call__(self, number, head, body, writer):
        self.client_addresses.append(writer.get_extra_info("peername"))
        if number >= self.unresponsive_from:
            await asyncio.Event().wait()
        writer.write(http_response(b"ok"))
        return True


async def test_each_spare_carries_one_request():
    """Guards against a second non-idempotent request on a connection."""
    script = ConnectionRecorder()
    async with run_backend(script) as server, open_client() as client:
        for number in range(1, 4):
            assert await send(client, server.address) is AttemptOutcome.ANSWERED
            await wait_for_spare(client, server, number + 1)
            assert len(client.spare_connector.spares[server.address]) == 1
    assert len(set(script.client_addresses)) == 3


async def test_a_spare_that_the_server_closed_is_not_used():
    """Guards against an unknown outcome when a server closes idle connections."""
    async with run_backend(ConnectionRecorder()) as server, open_client() as client:
        await send(client, server.address)
        await wait_for_spare(client, server, 2)
        for task in server.tasks:
            task.cancel()
        await asyncio.wait(server.tasks)
        assert await send(client, server.address) is AttemptOutcome.ANSWERED
        assert len(server.request_heads) == 2


async def test_a_server_that_stopped_refuses_in_spite_of_a_spare():
    """Guards against an unknown outcome where a new connection would prove "not run"."""
    async with open_client() as client:
        async with run_backend(ConnectionRecorder()) as server:
            await send(client, server.address)
            await wait_for_spare(client, server, 2)
        await asyncio.wait(server.tasks)
        assert await send(client, server.address) is AttemptOutcome.CONNECT_FAILED
        assert len(server.request_heads) == 1


async def test_a_silent_connection_is_an_unknown_outcome_and_ends_the_other_spares():
    """Guards against a retry, and further requests on unresponsive connections."""
    async with (
        run_backend(ConnectionRecorder(unresponsive_from=2)) as server,
        open_client() as client,
    ):
        await send(client, server.address)
        await wait_for_spare(client, server, 2)
        assert await send(client, server.address, timeout_s=0.1) is AttemptOutcome.TIMED_OUT
        assert len(server.request_heads) == 2
        assert not client.spare_connector.spares[server.address]


async def test_an_unused_spare_is_closed_after_its_idle_time():
    """Guards against unused connections that become unresponsive."""
    async with run_backend(ConnectionRecorder()) as server, open_client(idle_s=0.05) as client:
        await send(client, server.address)
        await wait_until(lambda: server.connections == 2 and server.closed_connections == 2)
        assert not client.spare_connector.spares[server.address]


async def test_no_spare_is_opened_by_default_or_to_a_removed_server():
    """Guards against connections to servers that were removed from the configuration."""
    async with run_backend(ConnectionRecorder()) as server, open_client(idle_s=0.0) as client:
        await send(client, server.address)
        assert not client.spare_connector.open_timers
    async with run_backend(ConnectionRecorder()) as server, open_client() as client:
        await send(client, server.address)
        await wait_for_spare(client, server, 2)
        client.keep_only(set())
        await wait_until(lambda: server.closed_connections == 2)


@pytest.mark.parametrize("end", ["closed", "reset", "data"])
async def test_data_and_eof_that_the_event_loop_has_not_processed_are_detected(end):
    """Guards against sending on a connection with unread data or EOF in its socket."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        _, protocol = await loop.create_connection(
            lambda: ResponseHandler(loop), *listener.getsockname()
        )
        accepted, _ = listener.accept()
        assert is_usable(protocol)
        # There is no await from here on, so the event loop cannot process the data or EOF.
        if end == "data":
            accepted.send(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
        elif end == "reset":
            linger = (1).to_bytes(4, "little") + bytes(4)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if end != "data":
            accepted.close()
        assert not is_usable(protocol)
        protocol.close()
        accepted.close()

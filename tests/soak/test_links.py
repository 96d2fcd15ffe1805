"""Faults of links: a fault that passes bytes on would let a soak prove nothing."""

import asyncio
import contextlib

import pytest

from soak.links import LinkFault, running_link
from tests.waiting import until


@contextlib.asynccontextmanager
async def echo_behind_link():
    """Run a server that echoes behind a link; give the link and what the server got."""
    received = []

    async def serve(reader, writer):
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server, running_link(server.sockets[0].getsockname()) as link:
        yield link, received


async def test_bytes_pass_both_ways():
    async with echo_behind_link() as (link, received):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        assert received == [b"a"]
        writer.close()


@pytest.mark.parametrize(
    ("fault", "arrives"),
    [
        (LinkFault.CUT_FORWARD, False),
        (LinkFault.CUT_BACK, True),
        (LinkFault.SILENT, False),
    ],
)
async def test_cut_holds_bytes_back_until_it_is_over(fault, arrives):
    async with echo_behind_link() as (link, received):
        reader, writer = await asyncio.open_connection(*link.address)
        link.disturb(fault)
        writer.write(b"a")
        answer = asyncio.create_task(reader.readexactly(1))
        if arrives:
            await until(lambda: received)
        await asyncio.sleep(0.05)
        assert (bool(received), answer.done()) == (arrives, False)
        link.disturb(LinkFault.NONE)
        assert await answer == b"a"
        writer.close()


async def test_reset_ends_open_connections_and_new_ones():
    async with echo_behind_link() as (link, received):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"a")
        await reader.readexactly(1)
        link.disturb(LinkFault.RESET)
        assert await _ended(reader)
        writer.close()
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"b")
        assert await _ended(reader)
        assert received == [b"a"]
        writer.close()


async def test_end_of_a_connection_passes_the_link():
    """A server that does not see its caller leave would work on for nobody."""
    async with echo_behind_link() as (link, _):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()


async def test_target_that_is_gone_ends_the_connection(unused_tcp_port):
    async with running_link(("127.0.0.1", unused_tcp_port)) as link:
        reader, writer = await asyncio.open_connection(*link.address)
        assert await _ended(reader)
        writer.close()


async def _ended(reader) -> bool:
    try:
        return await reader.read(1) == b""
    except ConnectionResetError:
        return True

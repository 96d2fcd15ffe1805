import asyncio
import socket
import struct

import pytest

from knapweeddock.errors import IncompleteResponse, MalformedResponse, PeerUnavailable
from knapweeddock.http1.client import (
    MAX_SKIPPED_BYTES,
    READ_AHEAD_BYTES,
    HttpClientConnection,
    connect,
)
from tests.http1.scripted import read_head, respond_with, scripted_server
from tests.waiting import until

GET_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
ECHOED_HEADER = (b"request-id", b"mine")


def make_response(body: bytes, *, request_id: bytes = b"mine", extra: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (request_id, extra, len(body)) + body


async def read_body(connection: HttpClientConnection) -> bytes:
    body = b""
    while chunk := await connection.read():
        body += chunk
    return body


async def exchange(connection: HttpClientConnection) -> bytes:
    connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER)
    await connection.read_head()
    return await read_body(connection)


async def test_connection_is_used_again():
    async with scripted_server(
        respond_with(make_response(b"one"), make_response(b"two"))
    ) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"one"
        connection.finish_exchange()
        assert connection.reusable
        assert await exchange(connection) == b"two"
        assert connection.exchange_count == 2


async def test_late_response_to_an_earlier_request_is_skipped():
    # A late second response of a server must not be taken for the response to the next request.
    late_response = make_response(b"other", request_id=b"earlier")
    async with scripted_server(respond_with(late_response + make_response(b"own"))) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"


UNMATCHED = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
"""A response without the identifier of its request."""


async def test_connection_of_a_response_without_an_identifier_is_not_used_again():
    # The server may send it once more, and then it would be taken for that to the next request.
    async with scripted_server(respond_with(UNMATCHED)) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER)
        assert (await connection.read_head()).status == 503
        assert await read_body(connection) == b""
        connection.finish_exchange()
        assert not connection.reusable


async def test_response_without_an_identifier_on_a_reused_connection_is_malformed():
    # It may belong to an earlier request, and must not count as this one's "not run".
    async with scripted_server(respond_with(make_response(b"one"), UNMATCHED)) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"one"
        connection.finish_exchange()
        connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER)
        with pytest.raises(MalformedResponse):
            await connection.read_head()


async def test_response_with_two_identifiers_belongs_to_another_request():
    extra = b"Request-Id: earlier\r\n"
    late_response = make_response(b"other", extra=extra)
    async with scripted_server(respond_with(late_response + make_response(b"own"))) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"


async def test_connection_without_identifiers_is_used_again():
    # The platform's store repeats no identifier.
    async with scripted_server(respond_with(UNMATCHED, UNMATCHED)) as address:
        connection = await connect(address, timeout_s=1.0)
        for _ in range(2):
            connection.start_exchange(GET_REQUEST)
            assert (await connection.read_head()).status == 503
            assert await read_body(connection) == b""
            connection.finish_exchange()
        assert connection.reusable


async def test_interim_responses_are_skipped():
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    async with scripted_server(respond_with(interim + make_response(b"own"))) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"


async def test_truncated_response_is_incomplete():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST)
        await connection.read_head()
        with pytest.raises(IncompleteResponse):
            await read_body(connection)


async def test_response_until_close_is_complete_at_the_end_of_the_connection():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"all of it"
        assert not connection.reusable


async def test_response_until_close_is_incomplete_after_a_reset():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST)
        await connection.read_head()
        with pytest.raises(IncompleteResponse):
            await read_body(connection)


async def test_connection_with_bytes_after_the_response_is_not_used_again():
    # On a reused connection, the bytes would be taken for the response to the next request.
    async with scripted_server(
        respond_with(make_response(b"own") + make_response(b"extra"))
    ) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"
        connection.finish_exchange()
        assert not connection.reusable


async def test_connection_that_receives_bytes_while_idle_is_closed():
    sent = asyncio.Event()

    async def script(reader, writer):
        await read_head(reader)
        writer.write(make_response(b"own"))
        await sent.wait()
        writer.write(make_response(b"extra"))
        await reader.read()

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"
        connection.finish_exchange()
        sent.set()
        await until(lambda: connection.closed)
        assert not connection.reusable


async def test_bytes_that_are_no_response_are_malformed():
    async with scripted_server(respond_with(b"\x00\x01 not http\r\n\r\n")) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST)
        with pytest.raises(MalformedResponse):
            await connection.read_head()


async def test_closing_connection_is_not_used_again():
    response = make_response(b"own", extra=b"Connection: close\r\n")
    async with scripted_server(respond_with(response)) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"
        connection.finish_exchange()
        assert not connection.reusable


async def test_keep_alive_timeout_is_parsed():
    response = make_response(b"own", extra=b"Keep-Alive: timeout=7, max=100\r\n")
    async with scripted_server(respond_with(response)) as address:
        connection = await connect(address, timeout_s=1.0)
        await exchange(connection)
        assert connection.keep_alive_timeout_s == 7.0


async def test_response_to_head_has_no_body():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
    async with scripted_server(respond_with(response)) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", head_only=True)
        assert (await connection.read_head()).content_length is None
        assert await read_body(connection) == b""


async def test_start_on_a_closed_connection_sends_nothing():
    async with scripted_server(respond_with(make_response(b"own"))) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.abort()
        await until(lambda: connection.closed)
        with pytest.raises(PeerUnavailable):
            connection.start_exchange(GET_REQUEST)


async def test_refused_connection_is_unavailable():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
    with pytest.raises(PeerUnavailable):
        await connect(address, timeout_s=1.0)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OTHER_RESPONSE = make_response(b"x" * 1000, request_id=b"other")


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 ", b"O" * 1000),
        (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"X: " + b"y" * 1000 + b"\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", OTHER_RESPONSE),
        (CHUNKED + b"1;", b"y" * 1000),
        (CHUNKED + b"0\r\n", b"X: " + b"y" * 1000 + b"\r\n"),
    ],
    ids=["reason", "header", "headers", "interim", "other response", "extension", "trailers"],
)
async def test_bytes_without_end_that_are_no_response_end_the_exchange(start, repeated):
    # They would fill the memory of the process until the deadline of the request.
    sent_bytes = 0

    async def script(reader, writer):
        nonlocal sent_bytes
        await read_head(reader)
        writer.write(start)
        while True:
            writer.write(repeated)
            sent_bytes += len(repeated)
            await writer.drain()

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER)
        with pytest.raises(MalformedResponse):
            await connection.read_head()
            await read_body(connection)
        await until(lambda: connection.closed)
        assert not connection.reusable
    assert sent_bytes < MAX_SKIPPED_BYTES + 16 * 1024 * 1024


async def test_bytes_without_end_after_a_response_do_not_delay_it():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(make_response(b"ok"))
        while True:
            writer.write(b"z" * 1000)
            await writer.drain()

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER)
        await connection.read_head()
        # It is closed at once, not when a slow client has read the response.
        await until(lambda: connection.closed)
        assert await read_body(connection) == b"ok"
        connection.finish_exchange()
        assert not connection.reusable


async def test_large_late_response_to_an_earlier_request_is_still_skipped():
    late_response = make_response(b"x" * 1_000_000, request_id=b"earlier")
    async with scripted_server(respond_with(late_response + make_response(b"own"))) as address:
        connection = await connect(address, timeout_s=1.0)
        assert await exchange(connection) == b"own"


async def test_body_without_end_is_read_no_faster_than_it_is_wanted():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(b"z" * 10_000)
            await writer.drain()

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST)
        await connection.read_head()
        for _ in range(100):
            assert await connection.read()
            await asyncio.sleep(0)
        assert connection._buffered_bytes <= 4 * READ_AHEAD_BYTES
        connection.abort()


@pytest.mark.parametrize("host", ["\ufffd", "x" * 300, "127.0.0.1\0"])
async def test_host_that_cannot_be_encoded_is_unavailable(host):
    # Any other error than PeerUnavailable ends a request without an answer.
    with pytest.raises(PeerUnavailable):
        await connect((host, 80), timeout_s=1.0)


async def test_port_that_does_not_exist_is_unavailable():
    with pytest.raises(PeerUnavailable):
        await connect(("127.0.0.1", 70_000), timeout_s=1.0)


def silence_s(connection: HttpClientConnection) -> float:
    """Return the time in seconds after which the kernel gives a silent peer up."""
    sock = connection.transport.get_extra_info("socket")
    idle, interval, probes = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    )
    return idle + interval * probes


async def test_silent_peer_is_waited_for_as_long_as_an_exchange_wants():
    # A frozen server that goes on later would have its running work given up after 3 s.
    async with scripted_server(respond_with(make_response(b"1"), make_response(b"2"))) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, silence_s=5.5)
        assert silence_s(connection) >= 5.5
        await connection.read_head()
        assert await read_body(connection) == b"1"
        connection.finish_exchange()
        connection.start_exchange(GET_REQUEST)
        assert silence_s(connection) == 3
        connection.abort()


async def test_absurd_wait_for_a_silent_peer_is_bounded():
    async with scripted_server(respond_with(make_response(b"1"))) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, silence_s=1e9)
        assert silence_s(connection) > 60
        connection.abort()

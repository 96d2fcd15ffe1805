"""Responses that end after any byte: none may look complete that is not."""

import asyncio
import contextlib

import pytest

from knapweeddock.errors import ResponseError
from knapweeddock.http1.client import connect
from tests.http1.scripted import read_head, reset, scripted_server

GET_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: mine\r\n\r\n"
ECHOED_HEADER = (b"request-id", b"mine")

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nResponse-Signature: s.600\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
EARLIER = b"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 2\r\n\r\nno"

RESPONSES = {
    "length": HEAD + b"Content-Length: 12\r\n\r\ntwelve bytes",
    "length of 0": HEAD + b"Content-Length: 0\r\n\r\n",
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
    "closing": HEAD + b"Connection: close\r\nContent-Length: 12\r\n\r\ntwelve bytes",
    "behind an interim response": INTERIM + HEAD + b"Content-Length: 4\r\n\r\nfour",
    "behind an earlier response": EARLIER + HEAD + b"Content-Length: 4\r\n\r\nfour",
    "without length": HEAD + b"\r\nuntil the end",
}


async def receive(data: bytes, *, with_reset: bool, head_only: bool = False) -> bytes | None:
    """Return the body of a response that ends after ``data``, or None if it is incomplete."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(data)
        await writer.drain()
        if with_reset:
            # The bytes must not be lost together with the connection.
            await asyncio.sleep(0.005)
            reset(writer)

    async with scripted_server(script) as address:
        connection = await connect(address, timeout_s=1.0)
        connection.start_exchange(GET_REQUEST, echoed_header=ECHOED_HEADER, head_only=head_only)
        body = b""
        with contextlib.suppress(ResponseError):
            await connection.read_head()
            while chunk := await connection.read():
                body += chunk
            return body
    return None


@pytest.mark.parametrize("with_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", [kind for kind in RESPONSES if kind != "without length"])
async def test_response_that_is_cut_after_any_byte_is_incomplete(kind, with_reset):
    # A server that stops in the middle of a head must not look like one with a short body.
    whole = RESPONSES[kind]
    found = [await receive(whole[:end], with_reset=with_reset) for end in range(len(whole))]
    assert found == [None] * len(whole)
    assert await receive(whole, with_reset=False) is not None


async def test_response_without_length_is_complete_only_if_its_connection_was_closed():
    whole = RESPONSES["without length"]
    head_bytes = whole.index(b"\r\n\r\n") + 4
    for end in range(len(whole) + 1):
        closed = await receive(whole[:end], with_reset=False)
        assert closed == (None if end < head_bytes else whole[head_bytes:end])


@pytest.mark.parametrize("with_reset", [False, True], ids=["closed", "reset"])
async def test_response_to_head_that_is_cut_in_its_head_is_incomplete(with_reset):
    whole = HEAD + b"Content-Length: 12\r\n\r\n"
    for end in range(len(whole)):
        assert await receive(whole[:end], with_reset=with_reset, head_only=True) is None
    assert await receive(whole, with_reset=False, head_only=True) == b""

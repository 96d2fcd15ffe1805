"""Unexpected HTTP responses: each must raise the error that claims least about the effect."""

import asyncio
import contextlib
from http import HTTPMethod

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from knapweeddock.errors import ConfigError, OutcomeUnknown, RateLimited, StoreUnavailable
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.ids import Version
from knapweeddock.platformhttp import (
    MAX_RESPONSE_BYTES,
    MAX_RETRY_AFTER_S,
    Endpoint,
    PlatformHttpClient,
    parse_endpoint,
)

EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
async def store_with_response():
    """Return a function that sets the platform's response and returns a client of its store."""
    response_options = {}

    async def handle(_request: web.Request) -> web.Response:
        return web.Response(**response_options)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    async with TestServer(app) as server:
        store = HttpObjectStore(url=str(server.make_url("/")))

        def set_response(**options) -> HttpObjectStore:
            response_options.clear()
            response_options.update(options)
            return store

        yield set_response
        await store.close()


@pytest.mark.parametrize(
    ("response_options", "error"),
    [
        ({"status": 500}, OutcomeUnknown),
        ({"status": 504}, OutcomeUnknown),
        ({"status": 200}, OutcomeUnknown),
        ({"status": 200, "headers": {"ETag": "x"}}, OutcomeUnknown),
        ({"status": 503}, StoreUnavailable),
        ({"status": 413}, StoreUnavailable),
        ({"status": 307, "headers": {"Location": "/other"}}, StoreUnavailable),
    ],
)
async def test_write(store_with_response, response_options, error):
    """A 500 of an intermediary does not prove that the write had no effect."""
    with pytest.raises(error):
        await store_with_response(**response_options).put("a", b"1", expected_version=Version(1))


@pytest.mark.parametrize(
    "response_options",
    [{"status": 500}, {"status": 200}, {"status": 302, "headers": {"Location": "/"}}],
)
async def test_read(store_with_response, response_options):
    """An unusable response must not be taken for a missing object."""
    store = store_with_response(**response_options)
    with pytest.raises(StoreUnavailable):
        await store.get("a")
    with pytest.raises(StoreUnavailable):
        await store.watch("a", Version(0), 0)
    with pytest.raises(StoreUnavailable):
        await store.list("a")


@pytest.mark.parametrize(
    ("header_value", "seconds"),
    [("2.5", 2.5), ("", 1.0), ("soon", 1.0), ("nan", 1.0), ("-1", 0.0), ("9e9", MAX_RETRY_AFTER_S)],
)
async def test_retry_after_is_bounded(store_with_response, header_value, seconds):
    """An invalid Retry-After must neither block the client for hours nor cause a retry storm."""
    store = store_with_response(status=429, headers={"Retry-After": header_value})
    with pytest.raises(RateLimited) as raised:
        await store.get("a")
    assert raised.value.retry_after_s == seconds


@contextlib.asynccontextmanager
async def run_platform(*, responses_per_connection: int, response: bytes = EMPTY_RESPONSE):
    """Run a server that closes each connection without a response after a number of them.

    Yields:
        A client of the server, and the list of request lines received so far.
    """
    received = []

    async def serve(reader, writer):
        for _ in range(responses_per_connection):
            received.append((await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
            writer.write(response)
        with contextlib.suppress(asyncio.IncompleteReadError):
            received.append((await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        http = PlatformHttpClient(endpoint=Endpoint(host=host, port=port, path="/base"))
        try:
            yield http, received
        finally:
            await http.close()


async def test_reads_share_a_connection():
    async with run_platform(responses_per_connection=2) as (http, received):
        await http.read("/a")
        await http.read("/b?c=d")
        assert received == [b"GET /base/a HTTP/1.1", b"GET /base/b?c=d HTTP/1.1"]
        assert http.call_count == 2


async def test_read_on_a_kept_connection_that_was_closed_is_not_repeated():
    """A repeated watch may block and miss changes that were in the lost response."""
    async with run_platform(responses_per_connection=1) as (http, received):
        await http.read("/a")
        with pytest.raises(StoreUnavailable):
            await http.read("/watch")
        assert received == [b"GET /base/a HTTP/1.1", b"GET /base/watch HTTP/1.1"]
        assert (await http.read("/a")).status == 200


async def test_read_without_an_answer_is_sent_once():
    async with run_platform(responses_per_connection=0) as (http, received):
        with pytest.raises(StoreUnavailable):
            await http.read("/a")
        assert received == [b"GET /base/a HTTP/1.1"]


async def test_write_uses_a_connection_of_its_own_and_is_sent_once():
    """A repeated conditional PUT would report a change that took effect as rejected."""
    async with run_platform(responses_per_connection=0) as (http, received):
        with pytest.raises(OutcomeUnknown):
            await http.write(HTTPMethod.PUT, "/a")
        assert received == [b"PUT /base/a HTTP/1.1"]


async def test_too_large_response_is_rejected():
    """An unbounded response would exhaust the memory of the process."""
    size = MAX_RESPONSE_BYTES + 1
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
    async with run_platform(responses_per_connection=1, response=response) as (http, _):
        with pytest.raises(StoreUnavailable, match="exceeds"):
            await http.read("/a")


async def test_https_is_not_spoken_in_plain_text():
    """A client that ignores the URL scheme would send requests unencrypted."""
    first_bytes = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        first_bytes.set_result(await reader.read(1))
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        http = PlatformHttpClient(endpoint=parse_endpoint(f"https://127.0.0.1:{port}"))
        with pytest.raises(StoreUnavailable):
            await http.read("/a")
        tls_handshake_record = b"\x16"
        assert await first_bytes == tls_handshake_record


@pytest.mark.parametrize(
    ("url", "endpoint"),
    [
        ("http://store", Endpoint(host="store", port=80)),
        ("https://store/", Endpoint(host="store", port=443, tls=True)),
        ("http://[::1]:81/a/b/", Endpoint(host="::1", port=81, path="/a/b")),
    ],
)
def test_endpoint_of_url(url, endpoint):
    assert parse_endpoint(url) == endpoint


@pytest.mark.parametrize("url", ["", "store:80", "ftp://store", "http://:80", "http://store:x"])
def test_url_without_an_endpoint(url):
    """The error must name the setting that is wrong; a traceback would not tell an operator."""
    with pytest.raises(ConfigError, match="platform's URL"):
        parse_endpoint(url)


@contextlib.asynccontextmanager
async def run_slow_platform(*, parts: int, sent_parts: int):
    """Run a server that sends a body of ``parts`` parts one after the other.

    It sends the first ``sent_parts`` of them and then nothing.
    """

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % parts)
            for _ in range(sent_parts):
                writer.write(b"x")
                await asyncio.sleep(0.05)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        http = PlatformHttpClient(endpoint=Endpoint(host=host, port=port), total_timeout_s=1.0)
        try:
            yield http
        finally:
            await http.close()


async def test_large_response_on_a_narrow_link_is_read_to_its_end():
    """A configuration of thousands of routes takes longer than a store may be silent."""
    async with run_slow_platform(parts=30, sent_parts=30) as http:
        assert len((await http.read("/a")).body) == 30


async def test_response_that_stops_in_the_middle_fails():
    async with run_slow_platform(parts=30, sent_parts=3) as http:
        with pytest.raises(StoreUnavailable):
            await http.read("/a")

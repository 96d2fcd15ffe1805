"""HTTP answers outside the protocol: each must end as the error that claims least."""

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
    PlatformHttp,
    endpoint_of,
)

EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
async def answer_with():
    """Return a function that sets the platform's answer and returns a store."""
    answer = {}

    async def handle(_request: web.Request) -> web.Response:
        return web.Response(**answer)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    async with TestServer(app) as server:
        store = HttpObjectStore(url=str(server.make_url("/")))

        def set_answer(**options) -> HttpObjectStore:
            answer.clear()
            answer.update(options)
            return store

        yield set_answer
        await store.close()


@pytest.mark.parametrize(
    ("answer", "error"),
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
async def test_write(answer_with, answer, error):
    """A gateway's 500 does not prove that the write did not happen."""
    with pytest.raises(error):
        await answer_with(**answer).put("a", b"1", expected_version=Version(1))


@pytest.mark.parametrize(
    "answer", [{"status": 500}, {"status": 200}, {"status": 302, "headers": {"Location": "/"}}]
)
async def test_read(answer_with, answer):
    """Anything but a complete answer must not be taken for a missing object."""
    store = answer_with(**answer)
    with pytest.raises(StoreUnavailable):
        await store.get("a")
    with pytest.raises(StoreUnavailable):
        await store.watch("a", Version(0), 0)
    with pytest.raises(StoreUnavailable):
        await store.list("a")


@pytest.mark.parametrize(
    ("header", "seconds"),
    [("2.5", 2.5), ("", 1.0), ("soon", 1.0), ("nan", 1.0), ("-1", 0.0), ("9e9", MAX_RETRY_AFTER_S)],
)
async def test_retry_after_is_bounded(answer_with, header, seconds):
    """A wrong header must neither stop the client for hours nor make it hammer the platform."""
    store = answer_with(status=429, headers={"Retry-After": header})
    with pytest.raises(RateLimited) as raised:
        await store.get("a")
    assert raised.value.retry_after_s == seconds


@contextlib.asynccontextmanager
async def platform_of(*, answers_per_connection: int, answer: bytes = EMPTY_ANSWER):
    """Serve on raw connections, each closed without a word after some answers.

    Yields a client and the request lines that were received.
    """
    received = []

    async def serve(reader, writer):
        for _ in range(answers_per_connection):
            received.append((await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
            writer.write(answer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            received.append((await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        http = PlatformHttp(endpoint=Endpoint(host=host, port=port, path="/base"))
        try:
            yield http, received
        finally:
            await http.close()


async def test_reads_share_a_connection():
    async with platform_of(answers_per_connection=2) as (http, received):
        await http.read("/a")
        await http.read("/b?c=d")
        assert received == [b"GET /base/a HTTP/1.1", b"GET /base/b?c=d HTTP/1.1"]
        assert http.calls == 2


async def test_read_on_a_kept_connection_that_was_closed_is_not_repeated():
    """A repeated watch may wait without hearing of changes that were lost meanwhile."""
    async with platform_of(answers_per_connection=1) as (http, received):
        await http.read("/a")
        with pytest.raises(StoreUnavailable):
            await http.read("/watch")
        assert received == [b"GET /base/a HTTP/1.1", b"GET /base/watch HTTP/1.1"]
        assert (await http.read("/a")).status == 200


async def test_read_without_an_answer_is_sent_once():
    async with platform_of(answers_per_connection=0) as (http, received):
        with pytest.raises(StoreUnavailable):
            await http.read("/a")
        assert received == [b"GET /base/a HTTP/1.1"]


async def test_write_uses_a_connection_of_its_own_and_is_sent_once():
    """A repeated PUT would report an accepted change as refused."""
    async with platform_of(answers_per_connection=0) as (http, received):
        with pytest.raises(OutcomeUnknown):
            await http.write(HTTPMethod.PUT, "/a")
        assert received == [b"PUT /base/a HTTP/1.1"]


async def test_answer_that_is_too_large():
    """An endless answer would fill the memory of the process."""
    size = MAX_RESPONSE_BYTES + 1
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
    async with platform_of(answers_per_connection=1, answer=answer) as (http, _):
        with pytest.raises(StoreUnavailable, match="exceeds"):
            await http.read("/a")


async def test_https_is_not_spoken_in_plain_text():
    """A client that ignores the scheme would send requests unencrypted."""
    first_bytes = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        first_bytes.set_result(await reader.read(1))
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        http = PlatformHttp(endpoint=endpoint_of(f"https://127.0.0.1:{port}"))
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
    assert endpoint_of(url) == endpoint


@pytest.mark.parametrize("url", ["", "store:80", "ftp://store", "http://:80", "http://store:x"])
def test_url_without_an_endpoint(url):
    """A traceback would not tell an operator which setting is wrong."""
    with pytest.raises(ConfigError, match="platform's URL"):
        endpoint_of(url)

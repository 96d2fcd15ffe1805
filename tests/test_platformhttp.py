"""HTTP answers outside the protocol: each must end as the error that claims least."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.ids import Version
from knapweeddock.platformhttp import MAX_RETRY_AFTER_S


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

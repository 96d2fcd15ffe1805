import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.entry.lending import (
    LendingClient,
    request_from_message,
    request_to_message,
    result_from_message,
    result_to_message,
)
from knapweeddock.events import Borrow
from knapweeddock.proto.knapweed_pb2 import BorrowResult
from knapweeddock.slottypes import BorrowRequest, Grant, LenderCandidate, Refusal
from tests.entry.support import (
    Caller,
    Serving,
    answer,
    backend,
    config_of,
    entry,
    feed,
    member_of,
    ok,
    settings_of,
    until,
)

REQUEST = BorrowRequest(
    borrower="vm2", failure_domain="d2", incarnation="i2", site="p-d1", wanted=2
)


@asynccontextmanager
async def lender_and_borrower(script, **limits):
    """Run an entry with servers, and one in another domain without any."""
    async with backend(script) as server:
        config = config_of([server.address])
        borrower_settings = settings_of(vm="vm2", failure_domain="d2", **limits)
        async with (
            entry(config) as lender,
            entry(config, settings=borrower_settings) as borrower,
            Caller(borrower) as caller,
        ):
            feed(lender, config, member_of(borrower), version=2)
            feed(borrower, config, member_of(lender), version=2)
            await until(lambda: borrower.loop_service.node_state.config_version == 2)
            yield server, lender, Serving([server], borrower, caller)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_request_is_run_by_the_lender(method):
    """Guards against a domain without servers that cannot serve its callers."""

    async def script(number, head, body, writer):
        writer.write(answer(body or b"read", headers=["Set-Cookie: a=1"]))
        return True

    async with lender_and_borrower(script) as (server, lender, run):
        headers = run.caller.key()
        data = b"charge" if method == "POST" else None
        response, body = await run.send(method, "/x?y=1", headers=headers, data=data)
        assert (response.status, body) == (200, data or b"read")
        assert response.headers["Set-Cookie"] == "a=1"
        assert response.headers.getall("Knapweed-Result") == ["0"]
        # A stop must wait for the grant's term, and for no longer than that.
        lender.clock = ManualClock(start=lender.loop_service.last_grant_end - 0.1)
        assert lender._is_busy()
        lender.clock.advance(0.2)
        assert not lender._is_busy()
    assert server.heads[0].startswith(f"{method} /x?y=1 HTTP/1.1")
    assert "Host: ledger.test" in server.heads[0]
    assert "Knapweed-" not in server.heads[0]


@pytest.mark.parametrize(
    ("ending", "code"), [(b"", 201), (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", 205)]
)
async def test_the_lenders_verdict_reaches_the_caller(ending, code):
    """Guards against a second send by the borrower after an unknown outcome."""

    async def script(number, head, body, writer):
        writer.write(ending)
        return False

    async with lender_and_borrower(script) as (server, _, run):
        response, body = await run.send("POST", headers=run.caller.key())
        assert json.loads(body)["code"] == code
        assert response.headers["Knapweed-Outcome"] == "unknown"
    assert len(server.heads) == 1


async def test_a_large_answer_is_streamed_through_both_entries():
    """Guards against a stream that is cut or reordered by the second hop."""
    content = bytes(range(256)) * 20_000

    async def script(number, head, body, writer):
        writer.write(answer(content))
        return True

    async with lender_and_borrower(script) as (_, _, run):
        response, body = await run.send("GET", "/bulk")
        assert response.status == 200
        assert body == content


async def test_a_lapsed_grant_is_refused_as_not_run():
    """Guards against work on slots that were given back."""
    async with lender_and_borrower(ok) as (server, lender, run):
        headers = {
            "Knapweed-Grant": "gone",
            "Knapweed-Grant-Incarnation": lender.incarnation,
            "Knapweed-Grant-Site": "p-d1",
        }
        url = f"http://{lender.ports.internal.address}/x"
        for extra, code in ((headers, 116), ({}, 101)):
            merged = {"Host": "ledger.test", **extra}
            async with run.caller.session.get(url, headers=merged) as response:
                assert (await response.json())["code"] == code
                assert response.headers["Knapweed-Outcome"] == "not-run"
    assert server.heads == []


async def test_the_owner_of_a_key_is_named_by_another_entry():
    """Guards against a caller that cannot find out what happened to its charge."""
    async with lender_and_borrower(ok) as (server, lender, run):
        headers = run.caller.key(incarnation=lender.incarnation)
        for path in ("/x", "/knapweed/v1/outcome"):
            response, body = await run.send("POST", path, headers=headers)
            assert (response.status, json.loads(body)["code"]) == (409, 204)
            assert response.headers["Knapweed-Ask"] == f"http://{lender.ports.public.address}"
    assert server.heads == []


async def test_a_silent_lender_is_given_up_and_its_channel_replaced():
    """Guards against a lending connection that went silent for ever."""

    async def hold(reader, writer):
        await asyncio.Event().wait()

    server = await asyncio.start_server(hold, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = LendingClient(timeout_s=0.05)
    candidate = LenderCandidate(vm="vm1", lending_address=address, site="p-d1")
    assert await client.borrow(Borrow(lender=candidate, request=REQUEST)) is None
    assert client.channels == {}
    server.close()


async def test_a_stopping_lender_lends_nothing():
    """Guards against a grant that ends with the process that gave it."""
    async with entry(config_of([])) as service:
        service.lending_server.stopping = True
        client = LendingClient(timeout_s=1.0)
        candidate = LenderCandidate(
            vm="vm1", lending_address=service.ports.lending.address, site="p-d1"
        )
        refusal = await client.borrow(Borrow(lender=candidate, request=REQUEST))
        assert refusal.code is ResultCode.DRAINING
        client.close()


def test_messages_keep_every_field():
    """Guards against a field that is lost between lender and borrower."""
    grant = Grant(
        grant_id="g",
        lender="vm1",
        incarnation="i",
        site="s",
        count=2,
        term_s=1.5,
        internal_address="127.0.0.1:1",
    )
    refusal = Refusal(code=ResultCode.SHED, retry_after_s=0.5)
    assert request_from_message(request_to_message(REQUEST)) == REQUEST
    for result in (grant, refusal):
        assert result_from_message(result_to_message(result)) == result
    assert result_from_message(BorrowResult()) is None
    unknown = BorrowResult()
    unknown.refusal.code = 9999
    assert result_from_message(unknown).code is ResultCode.UNKNOWN_MESSAGE

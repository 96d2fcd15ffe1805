import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.entry.lendingservice import (
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
    EntryRig,
    apply_snapshot,
    http_response,
    make_config,
    make_member,
    make_settings,
    respond_ok,
    run_backend,
    run_entry,
    wait_until,
)

REQUEST = BorrowRequest(
    borrower="vm2", failure_domain="d2", incarnation="i2", site="p-d1", wanted=2
)


@asynccontextmanager
async def run_lender_and_borrower(script, **limits):
    """Run a lender with a server, and a borrower in another failure domain without any."""
    async with run_backend(script) as server:
        config = make_config([server.address])
        borrower_settings = make_settings(vm="vm2", failure_domain="d2", **limits)
        async with (
            run_entry(config) as lender,
            run_entry(config, settings=borrower_settings) as borrower,
            Caller(borrower) as caller,
        ):
            apply_snapshot(lender, config, make_member(borrower), version=2)
            apply_snapshot(borrower, config, make_member(lender), version=2)
            await wait_until(lambda: borrower.dispatch_loop.node_state.config_version == 2)
            yield server, lender, EntryRig([server], borrower, caller)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_request_is_run_by_the_lender(method):
    """Guards against a failure domain without servers that cannot serve its callers."""

    async def script(number, head, body, writer):
        writer.write(http_response(body or b"read", headers=["Set-Cookie: a=1"]))
        return True

    async with run_lender_and_borrower(script) as (server, lender, rig):
        headers = rig.caller.key_headers()
        data = b"charge" if method == "POST" else None
        response, body = await rig.send(method, "/x?y=1", headers=headers, data=data)
        assert (response.status, body) == (200, data or b"read")
        assert response.headers["Set-Cookie"] == "a=1"
        assert response.headers.getall("Knapweed-Result") == ["0"]
        # The shutdown must wait until the grant has ended, and no longer than that.
        lender.clock = ManualClock(start=lender.dispatch_loop.last_grant_end - 0.1)
        assert lender._is_busy()
        lender.clock.advance(0.2)
        assert not lender._is_busy()
    assert server.request_heads[0].startswith(f"{method} /x?y=1 HTTP/1.1")
    assert "Host: ledger.test" in server.request_heads[0]
    assert "Knapweed-" not in server.request_heads[0]


@pytest.mark.parametrize(
    ("server_output", "code"), [(b"", 201), (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", 205)]
)
async def test_the_lenders_result_code_reaches_the_caller(server_output, code):
    """Guards against a retry by the borrower after an unknown outcome."""

    async def script(number, head, body, writer):
        writer.write(server_output)
        return False

    async with run_lender_and_borrower(script) as (server, _, rig):
        response, body = await rig.send("POST", headers=rig.caller.key_headers())
        assert json.loads(body)["code"] == code
        assert response.headers["Knapweed-Outcome"] == "unknown"
    assert len(server.request_heads) == 1


async def test_a_large_answer_is_streamed_through_both_entries():
    """Guards against a stream that is truncated or reordered by the second hop."""
    content = bytes(range(256)) * 20_000

    async def script(number, head, body, writer):
        writer.write(http_response(content))
        return True

    async with run_lender_and_borrower(script) as (_, _, rig):
        response, body = await rig.send("GET", "/bulk")
        assert response.status == 200
        assert body == content


async def test_a_lapsed_grant_is_refused_as_not_run():
    """Guards against requests on slots whose grant has ended."""
    async with run_lender_and_borrower(respond_ok) as (server, lender, rig):
        headers = {
            "Knapweed-Grant": "gone",
            "Knapweed-Grant-Incarnation": lender.incarnation,
            "Knapweed-Grant-Site": "p-d1",
        }
        url = f"http://{lender.ports.internal.address}/x"
        for extra, code in ((headers, 116), ({}, 101)):
            merged = {"Host": "ledger.test", **extra}
            async with rig.caller.session.get(url, headers=merged) as response:
                assert (await response.json())["code"] == code
                assert response.headers["Knapweed-Outcome"] == "not-run"
    assert server.request_heads == []


async def test_the_owner_of_a_key_is_named_by_another_entry():
    """Guards against a caller that cannot find out the outcome of its request."""
    async with run_lender_and_borrower(respond_ok) as (server, lender, rig):
        headers = rig.caller.key_headers(incarnation=lender.incarnation)
        for path in ("/x", "/knapweed/v1/outcome"):
            response, body = await rig.send("POST", path, headers=headers)
            assert (response.status, json.loads(body)["code"]) == (409, 204)
            assert response.headers["Knapweed-Ask"] == f"http://{lender.ports.public.address}"
    assert server.request_heads == []


async def test_a_silent_lender_is_given_up_and_its_channel_replaced():
    """Guards against a lending connection that stays unresponsive."""

    async def never_respond(reader, writer):
        await asyncio.Event().wait()

    server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = LendingClient(timeout_s=0.05)
    candidate = LenderCandidate(vm="vm1", lending_address=address, site="p-d1")
    assert await client.borrow(Borrow(lender=candidate, request=REQUEST)) is None
    assert client.channels == {}
    server.close()


async def test_a_stopping_lender_lends_nothing():
    """Guards against a grant that ends early because its lender stops."""
    async with run_entry(make_config([])) as service:
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

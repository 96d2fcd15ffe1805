import asyncio
import contextlib
import json

import pytest

from tests.entry.support import (
    Caller,
    EntryRig,
    http_response,
    respond_ok,
    run_entry,
    run_rig,
    wait_until,
)


def counting_script():
    async def script(number, head, body, writer):
        writer.write(http_response(b"run %d" % number))
        return True

    return script


async def query_outcome(rig, headers):
    return await rig.send("POST", "/knapweed/v1/outcome", headers=headers)


async def test_a_repeated_key_gets_the_kept_answer():
    """Guards against running a non-idempotent request twice when the caller retries."""
    async with run_rig(counting_script()) as rig:
        headers = rig.caller.key_headers()
        for _ in range(3):
            response, body = await rig.send("POST", headers=headers, data=b"charge")
            assert (response.status, body) == (200, b"run 1")
        response, body = await rig.send("POST", headers=headers, data=b"other")
        assert (response.status, json.loads(body)["code"]) == (422, 107)
        response, body = await query_outcome(rig, headers)
        assert (response.headers["Knapweed-Outcome"], body) == ("complete", b"run 1")


async def test_repetitions_join_the_running_attempt():
    """Guards against a second attempt, and more than one response to each request."""
    release = asyncio.Event()

    async def script(number, head, body, writer):
        await release.wait()
        writer.write(http_response(b"run %d" % number))
        return True

    async with run_rig(script) as rig:
        headers = rig.caller.key_headers()
        calls = [asyncio.ensure_future(rig.send("POST", headers=headers)) for _ in range(3)]
        await wait_until(lambda: len(rig.service.dispatch_loop.pending) == 3)
        response, body = await query_outcome(rig, headers)
        assert (response.status, json.loads(body)["outcome"]) == (202, "running")
        release.set()
        assert [(await call)[1] for call in calls] == [b"run 1"] * 3
    assert len(rig.server.request_heads) == 1


async def test_an_answer_too_large_to_keep_is_forgotten():
    """Guards against unbounded memory for stored responses."""
    async with run_rig(counting_script(), kept_answer_limit=1) as rig:
        headers = rig.caller.key_headers()
        assert (await rig.send("POST", headers=headers))[0].status == 200
        assert json.loads((await rig.send("POST", headers=headers))[1])["code"] == 206
        response, body = await query_outcome(rig, headers)
        assert (response.status, json.loads(body)["outcome"]) == (200, "complete")
        assert rig.service.dispatch_loop.stored_responses == {}


async def test_an_outcome_query_revokes_an_unknown_key():
    """Guards against a delayed request that starts after "not run" was reported."""
    async with run_rig(respond_ok) as rig:
        headers = rig.caller.key_headers()
        response, body = await query_outcome(rig, headers)
        assert (response.status, response.headers["Knapweed-Outcome"]) == (200, "not-run")
        response, body = await rig.send("POST", headers=headers)
        assert json.loads(body)["code"] == 108
        response, body = await query_outcome(rig, rig.caller.key_headers(incarnation="other"))
        assert (response.status, json.loads(body)["outcome"]) == (409, "unknown")
    assert rig.server.request_heads == []


BAD_REQUESTS = [
    ({"Knapweed-Deadline-Ms": "soon"}, "GET", "/x", 101),
    ({"Knapweed-Deadline-Ms": "nan"}, "GET", "/x", 101),
    ({"Knapweed-Deadline-Ms": "0"}, "GET", "/x", 104),
    ({"Host": "other.test"}, "GET", "/x", 102),
    ({"Host": ""}, "GET", "/x", 101),
    ({}, "PATCH", "/x", 103),
    ({}, "POST", "/x", 105),
    ({}, "GET", "//x", 101),
    ({}, "GET", "/a/%2e%2e/b", 101),
    ({"X": "v" * 17_000}, "GET", "/x", 115),
    ({f"X-{n}": "v" * 900 for n in range(20)}, "GET", "/x", 115),
    ({}, "GET", "/knapweed/v1/other", 103),
]


@pytest.mark.parametrize(("headers", "method", "path", "code"), BAD_REQUESTS)
async def test_invalid_requests_get_a_json_error_with_a_result_code(headers, method, path, code):
    """Guards against plain-text errors, and errors that claim that the request was run."""
    async with run_rig(respond_ok) as rig:
        response, body = await rig.send(method, path, headers=headers)
        error = json.loads(body)
        assert (error["code"], error["outcome"]) == (code, "not-run")
        assert response.headers["Knapweed-Result"] == str(code)
    assert rig.server.request_heads == []


@pytest.mark.parametrize(
    "content",
    [
        b"\x16\x03\x01 hello\r\n\r\n",
        b"GET /x HTTP/1.1\r\nbroken\r\n\r\n",
        b"OPTIONS * HTTP/1.1\r\nHost: ledger.test\r\n\r\n",
        b"GET http://ledger.test/x HTTP/1.1\r\nHost: ledger.test\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: ledger.test\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
async def test_malformed_requests_get_a_result_code(content):
    """Guards against the HTTP library's own error page."""
    async with run_rig(respond_ok) as rig:
        host, port = rig.service.ports.public.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(content)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 400 ") or head.startswith(b"HTTP/1.0 400 ")
        assert b"Knapweed-Result: 101\r\n" in head
        writer.close()


async def test_bodies_are_bounded_with_and_without_a_length():
    """Guards against a request body that exhausts the memory."""

    async def chunks():
        for _ in range(50):
            yield b"x" * 100

    async with run_rig(respond_ok, body_limit=1000) as rig:
        for name, data in (("k0", b"x" * 1001), ("k1", chunks())):
            response, body = await rig.send("POST", headers=rig.caller.key_headers(name), data=data)
            assert (response.status, json.loads(body)["code"]) == (413, 114)
        assert (await rig.send("POST", headers=rig.caller.key_headers("k2"), data=b"x" * 1000))[
            0
        ].ok


async def test_a_body_that_stalls_is_given_up():
    """Guards against a connection that is occupied by a body that never ends."""
    async with run_rig(respond_ok, body_timeout_s=0.05) as rig:
        host, port = rig.service.ports.public.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = b"POST /x HTTP/1.1\r\nHost: ledger.test\r\nContent-Length: 5\r\n"
        writer.write(head + b"Expect: 100-continue\r\n\r\n")
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert b"Knapweed-Result: 104\r\n" in await reader.readuntil(b"\r\n\r\n")
        writer.close()


async def test_an_early_rejection_of_a_key_that_ran_does_not_state_not_run():
    """Guards against "not run" for a key whose first request was run."""
    async with run_rig(counting_script()) as rig:
        headers = rig.caller.key_headers()
        assert (await rig.send("POST", headers=headers))[0].status == 200
        headers["Knapweed-Deadline-Ms"] = "soon"
        response, body = await rig.send("POST", headers=headers)
        assert (response.headers["Knapweed-Outcome"], body) == ("complete", b"run 1")


async def test_a_full_process_refuses_at_once():
    """Guards against an unbounded number of requests in the process."""
    release = asyncio.Event()

    async def script(number, head, body, writer):
        await release.wait()
        writer.write(http_response())
        return True

    async with run_rig(script, request_limit=1) as rig:
        first = asyncio.ensure_future(rig.send("GET"))
        await wait_until(lambda: rig.server.request_heads)
        response, body = await rig.send("GET")
        assert (response.status, json.loads(body)["code"]) == (503, 111)
        assert response.headers["Knapweed-Retry-After-Ms"] == "1000"
        release.set()
        assert (await first)[0].status == 200


async def test_ready_and_requests_before_the_first_configuration():
    """Guards against reporting readiness without a configuration."""
    async with run_rig(respond_ok) as rig:
        response, body = await rig.send("GET", "/knapweed/v1/ready")
        assert json.loads(body)["incarnation"] == rig.service.incarnation
    async with run_entry(wait=False) as service, Caller(service) as caller:
        for path in ("/knapweed/v1/ready", "/x"):
            response, body = await EntryRig([], service, caller).send("GET", path)
            assert (response.status, json.loads(body)["code"]) == (503, 119)


async def test_connections_without_a_request_are_bounded(monkeypatch):
    """Guards against connections that never complete a request, and too many connections."""
    monkeypatch.setattr("knapweeddock.entry.httpserver.FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("knapweeddock.entry.httpserver.MAX_CONNECTIONS", 2)
    async with run_rig(respond_ok) as rig:
        host, port = rig.service.ports.public.address.split(":")
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
        for reader, writer in connections:
            writer.write(b"GET /x HTTP/1.1\r\nHost:")
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
        assert (await rig.send("GET"))[0].status == 200

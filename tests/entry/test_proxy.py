import asyncio
import gzip
import json

import pytest

from tests.entry.support import CLOSED_ADDRESS, http_response, respond_ok, run_rig, wait_until

SHED_RESPONSE = http_response(
    b"busy", status="503 Shed", headers=["Backend-Not-Run: 1", "Retry-After: 1"]
)


async def close_without_response(number, head, body, writer):
    return False


async def never_respond(number, head, body, writer):
    await asyncio.Event().wait()


async def respond_shed(number, head, body, writer):
    writer.write(SHED_RESPONSE)
    return True


async def truncated_body(number, head, body, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this")
    return False


async def truncated_chunks(number, head, body, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
    return False


async def unframed_body(number, head, body, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nthe end or a crash")
    return False


async def invalid_http(number, head, body, writer):
    writer.write(b"\x00\x01\x02 not HTTP\r\n\r\n")
    return False


async def send_once(script, method, *, deadline_ms=2000, **options):
    """Send one request to an entry in front of a scripted server."""
    async with run_rig(script, deadline_ms=deadline_ms) as rig:
        headers = rig.caller.key_headers() if method in ("POST", "PUT", "DELETE") else {}
        return rig.server, *await rig.send(method, headers=headers, **options)


async def test_a_request_is_proxied_end_to_end():
    """Guards against a request or response that the proxy alters."""

    async def script(number, head, body, writer):
        headers = ["Set-Cookie: a=1", "Set-Cookie: b=2", "X-Hop: 1", "Connection: X-Hop"]
        writer.write(http_response(b"\x1f\x8bzip", status="201 Made", headers=headers))
        return True

    sent = {"Connection": "X-Gone", "X-Gone": "1", "Backend-Deadline-Ms": "9", "X-Kept": "\xe4"}
    sent["Traceparent"] = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    async with run_rig(script) as rig:
        headers = {**sent, **rig.caller.key_headers()}
        response, body = await rig.send("PUT", "/a%20b?x=1", headers=headers, data=b"in")
    assert (response.status, response.reason) == (201, "Made")
    assert body == b"\x1f\x8bzip"
    assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
    assert "X-Hop" not in response.headers
    assert response.headers["Knapweed-Result"] == "0"
    assert response.headers["Knapweed-Outcome"] == "complete"
    server = rig.server
    head = server.request_heads[0]
    assert head.startswith("PUT /a%20b?x=1 HTTP/1.1\r\n")
    assert server.request_bodies == [b"in"]
    assert "Host: ledger.test" in head
    assert "X-Kept: \xe4" in head
    assert "X-Gone" not in head
    assert head.lower().count("traceparent: 00-0af7651916cd43dd8448eb211c80319c-") == 1
    assert "Knapweed-" not in head
    assert head.count("Backend-Deadline-Ms") == 1
    assert "Backend-Deadline-Ms: 9\r" not in head


async def test_head_and_bodyless_answers_pass_through():
    """Guards against a wrong Content-Length, or waiting for a body that never arrives."""

    async def script(number, head, body, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
        return True

    _, response, body = await send_once(script, "HEAD")
    assert (response.headers["Content-Length"], body) == ("77", b"")

    async def empty(number, head, body, writer):
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        return True

    _, response, body = await send_once(empty, "GET")
    assert (response.status, body) == (204, b"")


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_a_non_idempotent_request_is_sent_once_when_the_server_closes(method):
    """Guards against aiohttp's automatic resend, which includes PUT and DELETE."""
    server, response, body = await send_once(close_without_response, method, data=b"charge")
    assert len(server.request_heads) == 1
    assert response.status == 502
    assert json.loads(body)["code"] == 201
    assert response.headers["Knapweed-Outcome"] == "unknown"


async def test_an_idempotent_request_is_repeated_by_the_dispatcher_only():
    """Guards against hidden retries that bypass the retry budget."""
    server, response, _ = await send_once(close_without_response, "GET")
    assert len(server.request_heads) == 1
    assert response.headers["Knapweed-Outcome"] == "unknown"


@pytest.mark.parametrize("script", [truncated_body, truncated_chunks, unframed_body, invalid_http])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_an_incomplete_answer_is_never_passed_on(script, method):
    """Guards against a truncated response that looks complete to the caller."""
    server, response, body = await send_once(script, method)
    assert response.headers["Knapweed-Outcome"] == "unknown"
    assert json.loads(body)["code"] == 205
    assert len(server.request_heads) == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_refused_connection_is_not_run(method):
    """Guards against an unknown outcome when provably nothing was sent."""
    async with run_rig(addresses=[CLOSED_ADDRESS]) as rig:
        response, _ = await rig.send(method, headers=rig.caller.key_headers())
    assert response.headers["Knapweed-Outcome"] == "not-run"
    assert "Retry-After" in response.headers


async def test_a_shed_request_moves_to_another_server():
    """Guards against failing a request that was explicitly not started."""
    async with run_rig(respond_shed, respond_ok) as rig:
        for number in range(3):
            response, _ = await rig.send("POST", headers=rig.caller.key_headers(f"k{number}"))
            assert response.status == 200
    assert len(rig.servers[1].request_heads) == 3


async def test_a_request_shed_by_all_is_not_run():
    """Guards against forwarding a server's 503 as if the request had been run."""
    _, response, body = await send_once(respond_shed, "POST")
    assert response.headers["Knapweed-Outcome"] == "not-run"
    assert json.loads(body)["code"] == 117


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_silent_connection_is_bounded_and_closed(method):
    """Guards against waiting forever and reusing an abandoned connection."""
    server, response, body = await send_once(never_respond, method, deadline_ms=150)
    assert (response.status, json.loads(body)["code"]) == (504, 202)
    assert len(server.request_heads) == 1


async def test_the_pool_is_dropped_after_a_silent_attempt():
    """Guards against further requests on connections to an unresponsive server."""

    async def script(number, head, body, writer):
        return await (never_respond if "/silent" in head else respond_ok)(
            number, head, body, writer
        )

    async with run_rig(script) as rig:
        for path in ("/a", "/b"):
            assert (await rig.send("GET", path))[0].status == 200
        pool = rig.service.http_client.pools[rig.server.address]
        headers = {"Knapweed-Deadline-Ms": "100"}
        assert (await rig.send("GET", "/silent", headers=headers))[0].status == 504
        assert rig.server.address not in rig.service.http_client.pools
        await wait_until(lambda: pool.session.closed)


async def test_connections_are_reused_for_idempotent_requests_only():
    """Guards against a non-idempotent request on a connection that may be unresponsive."""
    async with run_rig(respond_ok) as rig:

        async def new_connections(method, key):
            before = rig.server.connections
            response, _ = await rig.send(method, headers=rig.caller.key_headers(key))
            assert response.status == 200
            return rig.server.connections - before

        assert [await new_connections("GET", "") for _ in range(3)] == [1, 0, 0]
        assert [await new_connections("PUT", f"k{n}") for n in range(3)] == [1, 1, 1]


async def test_late_data_on_an_idle_connection_is_not_the_next_answer():
    """Guards against mixed-up responses: a second response to an earlier request."""
    send_late = asyncio.Event()

    async def script(number, head, body, writer):
        writer.write(http_response(b"answer %d" % number))
        if number == 1:
            await send_late.wait()
            writer.write(http_response(b"late"))
        return True

    async with run_rig(script) as rig:
        assert (await rig.send("GET"))[1] == b"answer 1"
        send_late.set()
        pool = rig.service.http_client.pools[rig.server.address]
        (idle,) = pool.session.connector._conns.values()
        await wait_until(lambda: idle[0][0].should_close)
        assert (await rig.send("GET"))[1] == b"answer 2"


async def test_a_disconnected_caller_cancels_idempotent_requests_only():
    """Guards against slots used without a caller, and cancelling a non-idempotent request."""
    release = asyncio.Event()

    async def script(number, head, body, writer):
        await release.wait()
        writer.write(http_response(b"done"))
        return True

    async with run_rig(script) as rig:
        headers = rig.caller.key_headers()
        for method in ("GET", "POST"):
            call = asyncio.ensure_future(rig.send(method, headers=headers))
            await wait_until(lambda: rig.service.sender.attempt_tasks)
            call.cancel()
            await asyncio.wait([call])
            await wait_until(lambda: not rig.service.dispatch_loop.pending)
        await wait_until(lambda: len(rig.service.sender.attempt_tasks) == 1)
        release.set()
        assert (await rig.send("POST", headers=headers))[1] == b"done"
    assert len(rig.server.request_heads) == 2


async def test_an_answer_over_the_buffer_is_refused_unless_streaming():
    """Guards against a streamed response of a class that may not be streamed."""

    async def script(number, head, body, writer):
        writer.write(http_response(b"x" * 5000))
        return True

    async with run_rig(script, buffer_limit=1000) as rig:
        _, body = await rig.send("POST", headers=rig.caller.key_headers())
        assert json.loads(body)["code"] == 205
        response, body = await rig.send("GET", "/bulk")
        assert body == b"x" * 5000
        assert response.headers["Content-Length"] == "5000"


@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
@pytest.mark.parametrize("framing", ["Content-Length: 9000", "Transfer-Encoding: chunked"])
async def test_a_broken_stream_resets_the_callers_connection(version, framing):
    """Guards against a truncated download that looks complete."""

    async def script(number, head, body, writer):
        part = b"x" * 5000
        framed = part if "Length" in framing else b"1388\r\n" + part + b"\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode() + framed)
        return False

    async with run_rig(script, buffer_limit=1000) as rig:
        host, port = rig.service.ports.public.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET /bulk {version}\r\nHost: ledger.test\r\n\r\n".encode())
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        writer.close()
        await wait_until(lambda: not rig.service.dispatch_loop.pending)


async def test_a_server_that_announces_draining_gets_no_new_requests():
    """Guards against new requests to a server that announced that it is draining."""
    server_names = []

    def make_script(name):
        async def script(number, head, body, writer):
            server_names.append(name)
            writer.write(
                http_response(b"bye", headers=["Backend-Draining: 1"] * (len(server_names) == 1))
            )
            return True

        return script

    async with run_rig(make_script("a"), make_script("b")) as rig:
        for _ in range(4):
            assert (await rig.send("GET"))[0].status == 200
    assert server_names[0] not in server_names[1:]


async def test_a_queued_keyed_request_is_sent_after_its_caller_disconnected():
    """Guards against losing the body of a keyed request that waits for a slot."""
    release = asyncio.Event()

    async def script(number, head, body, writer):
        await release.wait()
        writer.write(http_response(body))
        return True

    async with run_rig(script) as rig:
        keys = [rig.caller.key_headers(f"k{n}") for n in range(4)]
        calls = [asyncio.ensure_future(rig.send("POST", headers=k, data=b"book")) for k in keys]
        await wait_until(lambda: len(rig.server.request_heads) == 3)
        await wait_until(lambda: len(rig.service.dispatch_loop.pending) == 4)
        (waiting,) = rig.service.dispatch_loop.dispatcher.queues["p"]
        index = keys.index(next(k for k in keys if k["Idempotency-Key"] == waiting.key.value))
        calls[index].cancel()
        await wait_until(lambda: rig.service.dispatch_loop.disconnected)
        release.set()
        assert await rig.send("POST", headers=keys[index], data=b"book")
        await wait_until(lambda: not rig.service.dispatch_loop.disconnected)
        await asyncio.wait(calls)
    assert rig.server.request_bodies == [b"book"] * 4


async def test_headers_that_are_not_utf8_do_not_break_the_request():
    """Guards against an encoding error when a request or response is forwarded."""

    async def script(number, head, body, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nX-Back: \xe4\r\nContent-Length: 2\r\n\r\nok")
        return True

    async with run_rig(script) as rig:
        host, port = rig.service.ports.public.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /x HTTP/1.1\r\nHost: ledger.test\r\nX-There: \xe4\r\n\r\n")
        answer_head = await reader.readuntil(b"\r\n\r\n")
        assert answer_head.startswith(b"HTTP/1.1 200 ")
        assert b"X-Back: \xef\xbf\xbd\r\n" in answer_head
        writer.close()
    assert "X-There: \ufffd\r\n" in rig.server.request_heads[0]


async def test_compressed_bodies_redirects_and_cookies_are_passed_through():
    """Guards against a proxy that decompresses bodies, follows redirects or stores cookies."""
    compressed = gzip.compress(b"plain")

    async def script(number, head, body, writer):
        headers = ["Content-Encoding: gzip", "Location: /other", "Set-Cookie: a=1"]
        writer.write(http_response(body or compressed, status="302 Found", headers=headers))
        return True

    async with run_rig(script) as rig:
        response, body = await rig.send("GET", allow_redirects=False)
        assert (response.status, response.headers["Location"], body) == (302, "/other", compressed)
        headers = {**rig.caller.key_headers(), "Content-Encoding": "gzip"}
        options = {"headers": headers, "data": compressed, "allow_redirects": False}
        _, body = await rig.send("POST", **options)
        assert body == compressed
        rig.caller.session.cookie_jar.clear()
        await rig.send("GET", allow_redirects=False)
    assert rig.server.request_bodies == [b"", compressed, b""]
    assert not any("Cookie:" in head for head in rig.server.request_heads)

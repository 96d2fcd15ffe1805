import asyncio
import contextlib
from collections.abc import AsyncIterator

from knapweeddock.errors import IncompleteRequest
from knapweeddock.http1.listener import HttpListener
from knapweeddock.http1.server import ClientLimits, IncomingRequest
from tests.http1.scripted import read_all, read_head
from tests.waiting import until


class ServerRig:
    """Runs an ``HttpListener`` whose handler depends on the request target.

    ``/broken`` raises an error, ``/early`` responds before the body is read and
    ``/cut`` aborts its response. All other targets respond after the body.

    Attributes:
        limits: Limits of the listener.
        listener: Listener under test.
        release_events: Events for which the handler of a target waits first.
        received_targets: Targets whose handler was called.
        received_bodies: Request bodies that were read completely.
        cancelled_targets: Targets whose handler was cancelled or got an incomplete body.
    """

    def __init__(self, *, limits: ClientLimits | None = None) -> None:
        self.limits = limits or ClientLimits()
        self.listener = HttpListener(handler=self.handle, get_limits=lambda: self.limits)
        self.release_events: dict[bytes, asyncio.Event] = {}
        self.received_targets: list[bytes] = []
        self.received_bodies: list[bytes] = []
        self.cancelled_targets: list[bytes] = []

    async def handle(self, request: IncomingRequest) -> None:
        target = request.head.target
        self.received_targets.append(target)
        try:
            if target in self.release_events:
                await self.release_events[target].wait()
            if target == b"/broken":
                raise ValueError("handler failed")
            if target == b"/early":
                request.response.send(200, [], b"early")
                return
            self.received_bodies.append(await request.body.read_prefix(1 << 20))
        except (asyncio.CancelledError, IncompleteRequest):
            self.cancelled_targets.append(target)
            raise
        if target == b"/cut":
            request.response.start(200, [], content_length=None, body=b"part")
            request.response.abort()
            return
        request.response.send(200, [], b"answer to " + target)


@contextlib.asynccontextmanager
async def open_connection(
    rig: ServerRig,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    address = await rig.listener.start(("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.close()
        rig.listener.close()


def make_get(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    head = await read_head(reader)
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def test_pipelined_requests_are_answered_in_their_order():
    # Requests are handled concurrently. The response to the second must not be sent first.
    rig = ServerRig()
    rig.release_events[b"/1"] = asyncio.Event()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/1") + make_get("/2"))
        await until(lambda: rig.received_bodies == [b""])
        rig.release_events[b"/1"].set()
        assert (await read_response(reader)).endswith(b"answer to /1")
        assert (await read_response(reader)).endswith(b"answer to /2")


async def test_body_in_chunks_is_put_together():
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await read_response(reader)
        assert rig.received_bodies == [b"abcde"]


async def test_client_disconnect_cancels_its_requests():
    rig = ServerRig()
    rig.release_events[b"/slow"] = asyncio.Event()
    async with open_connection(rig) as (_, writer):
        writer.write(make_get("/slow"))
        await until(lambda: rig.received_targets)
        writer.close()
        await until(lambda: rig.cancelled_targets)
        assert rig.cancelled_targets == [b"/slow"]


async def test_too_large_header_is_refused_with_431():
    rig = ServerRig(limits=ClientLimits(header_bytes=200))
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/", "X: " + "x" * 300 + "\r\n"))
        assert (await read_all(reader)).startswith(b"HTTP/1.1 431 ")
        assert rig.received_targets == []


async def test_too_large_body_is_refused_with_413():
    rig = ServerRig(limits=ClientLimits(body_bytes=10))
    async with open_connection(rig) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 413 ")
        assert rig.received_targets == []


async def test_too_large_chunked_body_is_refused_with_413():
    rig = ServerRig(limits=ClientLimits(body_bytes=10))
    async with open_connection(rig) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"14\r\n" + b"x" * 20 + b"\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 413 ")


async def test_bytes_that_are_no_request_are_refused_with_400():
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(b"\x16\x03\x01 nonsense\r\n\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 400 ")


async def test_content_length_with_chunked_encoding_is_refused():
    # Ambiguous framing allows request smuggling: a second request hidden in the first's body.
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert (await read_all(reader)).startswith(b"HTTP/1.1 400 ")
        assert rig.received_targets == []


async def test_unfinished_header_ends_with_408():
    rig = ServerRig(limits=ClientLimits(header_timeout_s=0.05))
    async with open_connection(rig) as (reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost:")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 408 ")


async def test_idle_connection_is_closed():
    rig = ServerRig(limits=ClientLimits(idle_timeout_s=0.05))
    async with open_connection(rig) as (reader, _):
        assert await read_all(reader) == b""


async def test_broken_answer_does_not_look_complete():
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/cut"))
        with contextlib.suppress(ConnectionError):
            assert not (await read_all(reader)).endswith(b"0\r\n\r\n")


async def test_fault_of_a_handler_costs_no_other_request_its_answer():
    # The connection was closed, and requests behind on it that ran had no answer.
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/first") + make_get("/broken") + make_get("/last"))
        assert (await read_response(reader)).endswith(b"answer to /first")
        assert (await read_response(reader)).startswith(b"HTTP/1.1 500 ")
        assert (await read_response(reader)).endswith(b"answer to /last")


async def test_rest_of_a_body_is_dropped_after_an_early_answer():
    # Unread body bytes must not be parsed as the next request (request smuggling).
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(b"POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nhalf")
        assert (await read_response(reader)).endswith(b"early")
        writer.write(b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n ")
        writer.write(make_get("/next"))
        assert (await read_response(reader)).endswith(b"answer to /next")


async def test_last_answer_of_a_draining_listener_closes_the_connection():
    rig = ServerRig()
    rig.release_events[b"/1"] = asyncio.Event()
    rig.release_events[b"/2"] = asyncio.Event()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/1") + make_get("/2"))
        await until(lambda: len(rig.received_targets) == 2)
        rig.listener.draining = True
        rig.release_events[b"/1"].set()
        rig.release_events[b"/2"].set()
        received = await read_all(reader)
        assert received.count(b"HTTP/1.1 200 OK") == 2
        assert received.count(b"Connection: close") == 1
        assert received.endswith(b"answer to /2")


async def test_connection_is_closed_when_draining_began_after_the_last_answer():
    rig = ServerRig()
    rig.release_events[b"/1"] = asyncio.Event()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/1") + make_get("/2"))
        await until(lambda: len(rig.received_bodies) == 1)
        rig.listener.draining = True
        rig.release_events[b"/1"].set()
        assert (await read_all(reader)).endswith(b"answer to /2")


async def test_connections_with_requests_are_not_closed_as_idle():
    rig = ServerRig()
    rig.release_events[b"/slow"] = asyncio.Event()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/slow"))
        await until(lambda: rig.received_targets)
        assert rig.listener.close_idle_connections() == 1
        rig.release_events[b"/slow"].set()
        assert (await read_response(reader)).endswith(b"answer to /slow")


async def test_client_of_http_1_0_gets_a_closing_answer():
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(b"GET /old HTTP/1.0\r\nHost: h\r\n\r\n")
        assert (await read_all(reader)).endswith(b"answer to /old")


async def test_expected_continue_is_sent():
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert (await read_head(reader)).startswith(b"HTTP/1.1 100 ")
        writer.write(b"ok")
        await read_response(reader)
        assert rig.received_bodies == [b"ok"]


async def test_request_that_has_just_arrived_is_answered_when_idle_connections_are_closed():
    # A connection that was just accepted looks idle until its request has been read.
    rig = ServerRig()
    async with open_connection(rig) as (reader, writer):
        writer.write(make_get("/first"))
        rig.listener.draining = True
        assert rig.listener.close_idle_connections(0.2) == 1
        assert (await read_response(reader)).endswith(b"answer to /first")


async def test_connection_that_stays_idle_is_closed_in_the_end():
    rig = ServerRig()
    async with open_connection(rig) as (reader, _):
        await until(lambda: rig.listener.close_idle_connections(0.05) == 0)
        assert await read_all(reader) == b""

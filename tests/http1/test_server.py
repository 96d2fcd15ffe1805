import asyncio
import contextlib
from collections.abc import AsyncIterator

from knapweeddock.errors import ClientGone
from knapweeddock.http1.server import ClientLimits, HttpListener, IncomingRequest
from tests.http1.scripted import read_all, read_head
from tests.waiting import until


class Site:
    """A listener whose handler answers each path as it is told to."""

    def __init__(self, *, limits: ClientLimits | None = None) -> None:
        self.limits = limits or ClientLimits()
        self.listener = HttpListener(handler=self.handle, limits=lambda: self.limits)
        self.gates: dict[bytes, asyncio.Event] = {}
        self.seen: list[bytes] = []
        self.bodies: list[bytes] = []
        self.cancelled: list[bytes] = []

    async def handle(self, request: IncomingRequest) -> None:
        target = request.head.target
        self.seen.append(target)
        try:
            if target in self.gates:
                await self.gates[target].wait()
            if target == b"/broken":
                raise ValueError("a fault of the handler")
            if target == b"/early":
                request.answer.respond(200, [], b"early")
                return
            self.bodies.append(await request.body.first_part(1 << 20))
        except (asyncio.CancelledError, ClientGone):
            self.cancelled.append(target)
            raise
        if target == b"/cut":
            request.answer.start(200, [], length=None, body=b"part")
            request.answer.abort()
            return
        request.answer.respond(200, [], b"answer to " + target)


@contextlib.asynccontextmanager
async def connected(
    site: Site,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    address = await site.listener.start(("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.close()
        site.listener.close()


def get(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    head = await read_head(reader)
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def test_pipelined_requests_are_answered_in_their_order():
    # Requests run at the same time; the second must not overtake the first.
    site = Site()
    site.gates[b"/1"] = asyncio.Event()
    async with connected(site) as (reader, writer):
        writer.write(get("/1") + get("/2"))
        await until(lambda: site.bodies == [b""])
        site.gates[b"/1"].set()
        assert (await read_response(reader)).endswith(b"answer to /1")
        assert (await read_response(reader)).endswith(b"answer to /2")


async def test_body_in_chunks_is_put_together():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await read_response(reader)
        assert site.bodies == [b"abcde"]


async def test_clients_leaving_cancels_its_requests():
    site = Site()
    site.gates[b"/slow"] = asyncio.Event()
    async with connected(site) as (_, writer):
        writer.write(get("/slow"))
        await until(lambda: site.seen)
        writer.close()
        await until(lambda: site.cancelled)
        assert site.cancelled == [b"/slow"]


async def test_too_large_header_is_refused_with_431():
    site = Site(limits=ClientLimits(header_bytes=200))
    async with connected(site) as (reader, writer):
        writer.write(get("/", "X: " + "x" * 300 + "\r\n"))
        assert (await read_all(reader)).startswith(b"HTTP/1.1 431 ")
        assert site.seen == []


async def test_too_large_body_is_refused_with_413():
    site = Site(limits=ClientLimits(body_bytes=10))
    async with connected(site) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 413 ")
        assert site.seen == []


async def test_too_large_chunked_body_is_refused_with_413():
    site = Site(limits=ClientLimits(body_bytes=10))
    async with connected(site) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"14\r\n" + b"x" * 20 + b"\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 413 ")


async def test_bytes_that_are_no_request_are_refused_with_400():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(b"\x16\x03\x01 nonsense\r\n\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 400 ")


async def test_length_beside_chunks_is_refused():
    # Two framings are a way to smuggle a second request in the body of the first.
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert (await read_all(reader)).startswith(b"HTTP/1.1 400 ")
        assert site.seen == []


async def test_unfinished_header_ends_with_408():
    site = Site(limits=ClientLimits(header_timeout_s=0.05))
    async with connected(site) as (reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost:")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 408 ")


async def test_idle_connection_is_closed():
    site = Site(limits=ClientLimits(idle_timeout_s=0.05))
    async with connected(site) as (reader, _):
        assert await read_all(reader) == b""


async def test_broken_answer_does_not_look_complete():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(get("/cut"))
        with contextlib.suppress(ConnectionError):
            assert not (await read_all(reader)).endswith(b"0\r\n\r\n")


async def test_fault_of_the_handler_ends_the_connection_without_an_answer():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(get("/broken"))
        with contextlib.suppress(ConnectionError):
            assert await read_all(reader) == b""


async def test_rest_of_a_body_is_dropped_after_an_early_answer():
    # The rest of the body must not be taken for the next request.
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(b"POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nhalf")
        assert (await read_response(reader)).endswith(b"early")
        writer.write(b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n ")
        writer.write(get("/next"))
        assert (await read_response(reader)).endswith(b"answer to /next")


async def test_last_answer_of_a_draining_listener_closes_the_connection():
    site = Site()
    site.gates[b"/1"] = asyncio.Event()
    site.gates[b"/2"] = asyncio.Event()
    async with connected(site) as (reader, writer):
        writer.write(get("/1") + get("/2"))
        await until(lambda: len(site.seen) == 2)
        site.listener.draining = True
        site.gates[b"/1"].set()
        site.gates[b"/2"].set()
        received = await read_all(reader)
        assert received.count(b"HTTP/1.1 200 OK") == 2
        assert received.count(b"Connection: close") == 1
        assert received.endswith(b"answer to /2")


async def test_connection_is_closed_when_draining_began_after_the_last_answer():
    site = Site()
    site.gates[b"/1"] = asyncio.Event()
    async with connected(site) as (reader, writer):
        writer.write(get("/1") + get("/2"))
        await until(lambda: len(site.bodies) == 1)
        site.listener.draining = True
        site.gates[b"/1"].set()
        assert (await read_all(reader)).endswith(b"answer to /2")


async def test_connections_with_requests_are_not_closed_as_idle():
    site = Site()
    site.gates[b"/slow"] = asyncio.Event()
    async with connected(site) as (reader, writer):
        writer.write(get("/slow"))
        await until(lambda: site.seen)
        assert site.listener.close_idle() == 1
        site.gates[b"/slow"].set()
        assert (await read_response(reader)).endswith(b"answer to /slow")


async def test_client_of_http_1_0_gets_a_closing_answer():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(b"GET /old HTTP/1.0\r\nHost: h\r\n\r\n")
        assert (await read_all(reader)).endswith(b"answer to /old")


async def test_clients_that_wait_for_permission_get_it():
    site = Site()
    async with connected(site) as (reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert (await read_head(reader)).startswith(b"HTTP/1.1 100 ")
        writer.write(b"ok")
        await read_response(reader)
        assert site.bodies == [b"ok"]

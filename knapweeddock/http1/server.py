"""Server side of HTTP/1.1 connections: pipelined requests, answered in order."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools
import structlog

from knapweeddock.http1.answer import Answer, AnswerState
from knapweeddock.http1.body import RequestBody
from knapweeddock.http1.messages import RequestHead

log = structlog.get_logger(__name__)

MAX_PIPELINED_REQUESTS = 32
"""Requests of one connection that are handled at a time."""

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line beside its name and value."""

ACCEPT_BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted."""

LINGERING_CLOSE_S = 1.0
"""Time in seconds in which a client that is still sending can read its response."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Bounds on what a client sends.

    Attributes:
        header_bytes: Largest size of the request line and headers.
        body_bytes: Largest size of a body.
        header_timeout_s: Longest time from the first byte of a request to the
            end of its headers, in seconds.
        idle_timeout_s: Time in seconds after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(eq=False, kw_only=True, slots=True)
class IncomingRequest:
    """A request whose headers were read.

    Attributes:
        head: Request line and headers.
        body: Body, possibly still being received.
        answer: Response to it.
        arrived_at: Monotonic loop time at which the headers were complete.
        task: Task that handles it.
        client_gone: Whether the client closed the connection.
    """

    head: RequestHead
    body: RequestBody
    answer: Answer
    arrived_at: float
    task: asyncio.Task[None] | None = None
    client_gone: bool = False


RequestHandler = Callable[[IncomingRequest], Awaitable[None]]


class HttpServerConnection(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, *, listener: "HttpListener") -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.requests: deque[IncomingRequest] = deque()
        self.closing = False
        self._parser = httptools.HttpRequestParser(self)
        self._incomplete_request: IncomingRequest | None = None
        self._reading_head = False
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    # Events of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport and wait for the first request."""
        self.transport = transport
        self.listener.connections.add(self)
        self._start_timer(self.listener.limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.closing and self._incomplete_request is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except (httptools.HttpParserError, _RequestTooLarge) as error:
            status = error.status if isinstance(error, _RequestTooLarge) else _error_status(error)
            self._reject(status)
        self._update_flow_control()

    def eof_received(self) -> bool:
        """Treat a client that has closed its side as gone."""
        self._cancel_requests()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End everything that was done for the client."""
        self.closing = True
        self._cancel_timer()
        self.listener.connections.discard(self)
        self._writable.set()
        self._cancel_requests()

    def pause_writing(self) -> None:
        """Hold back response bodies."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with response bodies."""
        self._writable.set()

    def _cancel_requests(self) -> None:
        self.closing = True
        for request in self.requests:
            request.client_gone = True
            request.body.abort()
            if request.task is not None:
                request.task.cancel()

    # Events of the parser

    def on_message_begin(self) -> None:
        """Start the clock for the headers."""
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._reading_head = True
        self._start_timer(self.listener.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        self._count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Hand the request to the handler."""
        self._reading_head = False
        self._cancel_timer()
        headers_by_name = {name.lower(): value for name, value in self._headers}
        head = RequestHead(
            method=self._parser.get_method(),
            target=self._url,
            headers=tuple(self._headers),
            is_http_1_0=self._parser.get_http_version() == "1.0",
            has_body=b"transfer-encoding" in headers_by_name
            or headers_by_name.get(b"content-length", b"0").strip() not in (b"0", b""),
        )
        self._check_content_length(headers_by_name.get(b"content-length", b""))
        request = self._enqueue(head)
        self._incomplete_request = request
        if not self._parser.should_keep_alive():
            request.answer.close_connection = True
        if (
            headers_by_name.get(b"expect", b"").lower() == b"100-continue"
            and self.requests[0] is request
        ):
            self.send(CONTINUE_RESPONSE)
        request.task = self.loop.create_task(self._handle(request))

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        body = self._incomplete_request.body
        body.feed(data)
        if body.received > self.listener.limits().body_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        if self._incomplete_request is not None:
            self._incomplete_request.body.finish()
            self._incomplete_request = None

    # Requests

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.listener.limits().header_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _check_content_length(self, content_length: bytes) -> None:
        if content_length.isdigit() and int(content_length) > self.listener.limits().body_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _enqueue(self, head: RequestHead) -> IncomingRequest:
        request = IncomingRequest(
            head=head,
            body=RequestBody(on_consumed=self._update_flow_control),
            answer=Answer(head=head, sink=self),
            arrived_at=self.loop.time(),
        )
        self.requests.append(request)
        return request

    async def _handle(self, request: IncomingRequest) -> None:
        try:
            await self.listener.handler(request)
        except asyncio.CancelledError:
            if not request.client_gone:
                raise
        except Exception:
            log.exception("request handler failed")
        finally:
            if not request.answer.is_done:
                request.answer.abort()

    def _reject(self, status: HTTPStatus) -> None:
        """Answer bytes that are no acceptable request, then close."""
        self.closing = True
        self._cancel_timer()
        request = self._incomplete_request
        self._incomplete_request = None
        if request is None or request.answer.state is not AnswerState.WAITING:
            head = RequestHead(method=b"GET", target=b"", headers=())
            request = self._enqueue(head)
        elif request.task is not None:
            request.client_gone = True
            request.task.cancel()
        request.body.abort()
        request.answer.close_connection = True
        request.answer.respond(status, [])

    def _update_flow_control(self) -> None:
        """Read only as fast as requests are handled and bodies are taken."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        body_full = (
            self._incomplete_request is not None
            and self._incomplete_request.body.is_above_high_water
        )
        if body_full or len(self.requests) >= MAX_PIPELINED_REQUESTS:
            transport.pause_reading()
        else:
            transport.resume_reading()

    # Responses

    def is_next(self, response: Answer) -> bool:
        """Whether all earlier responses are finished."""
        return bool(self.requests) and self.requests[0].answer is response

    def should_close_after(self, response: Answer) -> bool:
        """Whether the connection is closed after ``answer``."""
        closing_soon = self.closing or self.listener.draining
        if closing_soon and self.requests and self.requests[-1].answer is response:
            self.closing = True
            return True
        return False

    def send(self, data: bytes) -> None:
        """Write bytes to the client."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait while the client reads too slowly."""
        await self._writable.wait()

    def response_done(self, response: Answer) -> None:
        """Go on with the next response, or close."""
        while self.requests and self.requests[0].answer.is_done:
            request = self.requests.popleft()
            if request.answer.state is AnswerState.ABORTED:
                self._close(abort=True)
                return
            if request.answer.close_connection:
                self._close(abort=False)
                return
            if not request.body.complete:
                request.body.discard()
            if self.requests:
                self.requests[0].answer.flush()
        if self.listener.draining and self.close_if_idle():
            return
        if not self.requests and not self._reading_head:
            self._start_timer(self.listener.limits().idle_timeout_s)
        self._update_flow_control()

    def _close(self, *, abort: bool) -> None:
        """Close the connection; requests behind the last response were not read."""
        may_receive_more = self._incomplete_request is not None or self.closing
        self._cancel_requests()
        if abort:
            self.transport.abort()
        elif (
            may_receive_more and not self.transport.is_closing() and self.transport.can_write_eof()
        ):
            # Closing with unread bytes would reset the connection and the response with it.
            self.transport.write_eof()
            self._cancel_timer()
            self._timer = self.loop.call_later(LINGERING_CLOSE_S, self.transport.abort)
        else:
            self.transport.close()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is being received or handled."""
        if self.requests or self._reading_head:
            return False
        self.closing = True
        self.transport.close()
        return True

    # Timers

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._reading_head:
            self._reading_head = False
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()


class _RequestTooLarge(Exception):
    """Headers or body exceed their bound."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def _error_status(error: httptools.HttpParserError) -> HTTPStatus:
    """Return the status for a parser error; callbacks' errors come wrapped."""
    cause = error.__context__
    return cause.status if isinstance(cause, _RequestTooLarge) else HTTPStatus.BAD_REQUEST


class HttpListener:
    """A listening port and its connections.

    Attributes:
        connections: Open connections.
        draining: Whether responses ask clients to leave.
    """

    def __init__(self, *, handler: RequestHandler, limits: Callable[[], ClientLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[HttpServerConnection] = set()
        self.draining = False
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on ``address`` and return the address that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(listener=self),
            address[0],
            address[1],
            backlog=ACCEPT_BACKLOG,
            reuse_address=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close idle connections and return how many are left."""
        for connection in list(self.connections):
            connection.close_if_idle()
        return len(self.connections)

    @property
    def active(self) -> int:
        """Number of requests that have no complete response yet."""
        return sum(len(connection.requests) for connection in self.connections)

    def close(self) -> None:
        """Refuse new connections and drop those that are open."""
        self.stop_accepting()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


@contextlib.asynccontextmanager
async def listening(listener: HttpListener, address: tuple[str, int]) -> AsyncIterator[None]:
    """Listen on ``address`` within the block."""
    await listener.start(address)
    try:
        yield
    finally:
        listener.close()

"""Server side of HTTP/1.1 connections: concurrent handling of pipelined requests."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools
import structlog

from knapweeddock.http1.messages import RequestHead
from knapweeddock.http1.requestbody import RequestBody
from knapweeddock.http1.responsewriter import ResponseState, ResponseWriter

log = structlog.get_logger(__name__)

MAX_PIPELINED_REQUESTS = 32
"""Unfinished requests of a connection at which it stops reading from its socket."""

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space and CRLF."""

LINGERING_CLOSE_S = 1.0
"""Time in seconds for which a connection stays half-closed, so that a client that is
still sending can read its response."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of clients.

    Attributes:
        header_bytes: Largest size in bytes of the request target and the headers.
        body_bytes: Largest size in bytes of a request body.
        header_timeout_s: Longest time in seconds from the first byte of a request
            to the end of its headers.
        idle_timeout_s: Time in seconds after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(eq=False, kw_only=True, slots=True)
class IncomingRequest:
    """A request whose headers were received.

    Attributes:
        head: Request line and headers.
        body: Body, possibly still being received.
        response: Writer of the response.
        arrived_at: Loop time (monotonic) at which the headers were complete.
        task: Task that runs the handler.
        cancelled: Whether the task was cancelled because the connection is
            closing, the client disconnected or the rest of the request is invalid.
    """

    head: RequestHead
    body: RequestBody
    response: ResponseWriter
    arrived_at: float
    task: asyncio.Task[None] | None = None
    cancelled: bool = False


RequestHandler = Callable[[IncomingRequest], Awaitable[None]]
"""Called for each request; it writes the response."""


class ConnectionOwner(Protocol):
    """Part of a listener that its connections use.

    Attributes:
        handler: Called for each request.
        get_limits: Returns the limits in force.
        accepts: Returns whether connections from a host are accepted.
        connections: Open connections.
        draining: Whether connections are closed after their last response.
    """

    handler: RequestHandler
    get_limits: Callable[[], ClientLimits]
    accepts: Callable[[str], bool]
    connections: set["HttpServerConnection"]
    draining: bool

    def log_refusal(self, host: str) -> None:
        """Log the first connection from a host that is not accepted."""


class HttpServerConnection(asyncio.Protocol):
    """A connection that a client opened.

    Attributes:
        listener: Listener that accepted the connection.
        loop: Event loop of the connection.
        transport: Transport, or None until the connection is established.
        requests: Requests without a complete response, in the order received.
        closing: Whether the connection accepts no further requests.
        idle_since: Loop time (monotonic) of its begin or of the end of its last response.
    """

    def __init__(self, *, listener: ConnectionOwner) -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.requests: deque[IncomingRequest] = deque()
        self.closing = False
        self.idle_since = self.loop.time()
        self._parser = httptools.HttpRequestParser(self)
        self._incomplete_request: IncomingRequest | None = None
        self._reading_head = False
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and start the idle timeout."""
        self.transport = transport
        host = (transport.get_extra_info("peername") or ("",))[0]
        if not self.listener.accepts(host):
            self.listener.log_refusal(host)
            self.closing = True
            transport.abort()
            return
        self.listener.connections.add(self)
        self._start_timer(self.listener.get_limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that are not a valid request are rejected."""
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
        """Treat a client that half-closed the connection as disconnected."""
        self._cancel_requests()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of the client."""
        self.closing = True
        self._cancel_timer()
        self.listener.connections.discard(self)
        self._writable.set()
        self._cancel_requests()

    def pause_writing(self) -> None:
        """Make ``drain`` wait until the transport's buffer has drained."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` continue."""
        self._writable.set()

    def _cancel_requests(self) -> None:
        self.closing = True
        for request in self.requests:
            request.cancelled = True
            request.body.abort()
            if request.task is not None:
                request.task.cancel()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start the timeout for the headers of a request."""
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._reading_head = True
        self._start_timer(self.listener.get_limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the request."""
        self._headers.append((name, value))
        self._count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Start the handler of the request."""
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
            request.response.close_connection = True
        if (
            headers_by_name.get(b"expect", b"").lower() == b"100-continue"
            and self.requests[0] is request
        ):
            self.write(CONTINUE_RESPONSE)
        request.task = self.loop.create_task(self._handle(request))

    def on_body(self, data: bytes) -> None:
        """Add a part of the body of the request."""
        body = self._incomplete_request.body
        body.feed(data)
        if body.received_bytes > self.listener.get_limits().body_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Mark the body of the request as complete."""
        if self._incomplete_request is not None:
            self._incomplete_request.body.finish()
            self._incomplete_request = None

    # Requests

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.listener.get_limits().header_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _check_content_length(self, content_length: bytes) -> None:
        if content_length.isdigit() and int(content_length) > self.listener.get_limits().body_bytes:
            raise _RequestTooLarge(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _enqueue(self, head: RequestHead) -> IncomingRequest:
        request = IncomingRequest(
            head=head,
            body=RequestBody(on_consumed=self._update_flow_control),
            response=ResponseWriter(head=head, sink=self),
            arrived_at=self.loop.time(),
        )
        self.requests.append(request)
        return request

    async def _handle(self, request: IncomingRequest) -> None:
        try:
            await self.listener.handler(request)
        except asyncio.CancelledError:
            if not request.cancelled:
                raise
        except Exception:
            log.exception("request handler failed")
            if request.response.state is ResponseState.WAITING:
                # Aborting the connection would take the answers of other requests with it.
                request.response.send(HTTPStatus.INTERNAL_SERVER_ERROR, [])
        finally:
            if not request.response.is_done:
                request.response.abort()

    def _reject(self, status: HTTPStatus) -> None:
        """Respond to an invalid request with ``status``, then close the connection.

        If the handler of the request has not started a response, it is cancelled.
        """
        self.closing = True
        self._cancel_timer()
        request = self._incomplete_request
        self._incomplete_request = None
        if request is None or request.response.state is not ResponseState.WAITING:
            head = RequestHead(method=b"GET", target=b"", headers=())
            request = self._enqueue(head)
        elif request.task is not None:
            request.cancelled = True
            request.task.cancel()
        request.body.abort()
        request.response.close_connection = True
        request.response.send(status, [])

    def _update_flow_control(self) -> None:
        """Pause reading while too many requests are unfinished or too much of a body is unread."""
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

    def is_next(self, response: ResponseWriter) -> bool:
        """Return whether all responses before ``response`` are done."""
        return bool(self.requests) and self.requests[0].response is response

    def should_close_after(self, response: ResponseWriter) -> bool:
        """Return whether the connection closes after ``response``.

        This is the case for the response to the last request while the listener
        drains or the connection is closing. The connection then stops accepting
        requests.
        """
        closing_soon = self.closing or self.listener.draining
        if closing_soon and self.requests and self.requests[-1].response is response:
            self.closing = True
            return True
        return False

    def write(self, data: bytes) -> None:
        """Write ``data`` to the transport unless it is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait while the write buffer is full because the client reads too slowly."""
        await self._writable.wait()

    def response_done(self, response: ResponseWriter) -> None:
        """Remove requests whose response is done, then send the next response or close."""
        self.idle_since = self.loop.time()
        while self.requests and self.requests[0].response.is_done:
            request = self.requests.popleft()
            if request.response.state is ResponseState.ABORTED:
                self._close(abort=True)
                return
            if request.response.close_connection:
                self._close(abort=False)
                return
            if not request.body.complete:
                request.body.discard()
            if self.requests:
                self.requests[0].response.flush()
        if self.listener.draining and self.close_if_idle():
            return
        if not self.requests and not self._reading_head:
            self._start_timer(self.listener.get_limits().idle_timeout_s)
        self._update_flow_control()

    def _close(self, *, abort: bool) -> None:
        """Close the connection and cancel the remaining requests without sending responses.

        Further requests of the client are not read.
        """
        client_may_send = self._incomplete_request is not None or self.closing
        self._cancel_requests()
        if abort:
            self.transport.abort()
        elif client_may_send and not self.transport.is_closing() and self.transport.can_write_eof():
            # Closing a socket with unread bytes resets the connection, and the client would
            # lose the response.
            self.transport.write_eof()
            self._cancel_timer()
            self._timer = self.loop.call_later(LINGERING_CLOSE_S, self.transport.abort)
        else:
            self.transport.close()

    def close_if_idle(self, min_idle_s: float = 0.0) -> bool:
        """Close the connection unless a request is being received or handled.

        Args:
            min_idle_s: Time in seconds for which it must have been idle.

        Returns:
            Whether the connection was closed.
        """
        if self.requests or self._reading_head:
            return False
        if self.loop.time() - self.idle_since < min_idle_s:
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
    """The head or the body of a request exceeds its limit."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def _error_status(error: httptools.HttpParserError) -> HTTPStatus:
    """Return the status for ``error``, whose ``__context__`` is the error of a callback, if any."""
    cause = error.__context__
    return cause.status if isinstance(cause, _RequestTooLarge) else HTTPStatus.BAD_REQUEST

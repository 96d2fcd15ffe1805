"""Client side of one HTTP/1.1 connection; one exchange at a time."""

import asyncio
import socket
from collections import deque
from enum import Enum

import httptools

from knapweeddock.errors import IncompleteResponse, MalformedResponse, PeerUnavailable
from knapweeddock.http1.messages import (
    Headers,
    ResponseHead,
    header,
    header_text,
    is_bodiless,
)

READ_AHEAD_BYTES = 256 * 1024
"""Received body bytes that are kept unread before reading pauses."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: a connection that has silently lost its peer fails after about
three seconds without traffic, which no other sign would show."""


class BodyFraming(Enum):
    """How the end of a response body is found."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"
    NONE = "none"


class HttpConnection(asyncio.Protocol):
    """A connection to a server.

    Attributes:
        address: Host and port of the server.
        exchanges: Exchanges that were started.
        idle_since: Monotonic loop time at which the last exchange ended.
        closed: Whether the connection is gone.
    """

    def __init__(self, *, address: tuple[str, int]) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.exchange_count = 0
        self.idle_since = self.loop.time()
        self.closed = False
        self.keep_alive_s: float | None = None
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._parser = httptools.HttpResponseParser(self)
        self._in_exchange = False
        self._persistent = True
        self._reset_response()

    # State

    @property
    def reusable(self) -> bool:
        """Whether another exchange may be started."""
        return self._persistent and not self.closed and not self._in_exchange

    def _reset_response(self) -> None:
        self.head: ResponseHead | None = None
        self.complete = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._skipping_response = False
        self._framing = BodyFraming.NONE

    # Use by the caller

    def start(
        self,
        data: bytes,
        *,
        echoed: tuple[bytes, bytes] | None = None,
        head_only: bool = False,
    ) -> None:
        """Start an exchange by writing ``data``.

        Args:
            data: Request head and the part of the body that is ready.
            echoed: Name (lower case) and value of a header that the response
                repeats; a response with another value belongs to an earlier
                request and is skipped.
            head_only: Whether the response has no body, as for ``HEAD``.

        Raises:
            PeerUnavailable: The connection is gone; nothing was sent.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            raise PeerUnavailable(f"{self.address[0]}:{self.address[1]}: connection is closed")
        self._reset_response()
        self._echoed = echoed
        self._head_only = head_only
        self._in_exchange = True
        self.exchange_count += 1
        self.transport.write(data)

    async def write(self, data: bytes) -> None:
        """Write more of the request body, waiting while the server reads slowly."""
        if self.closed:
            return
        self.transport.write(data)
        await self._writable.wait()

    async def response_head(self) -> ResponseHead:
        """Wait for the head of the response.

        Raises:
            IncompleteResponse: The connection ended first.
            MalformedResponse: The bytes received are no HTTP response.
        """
        while self.head is None:
            self._raise_error()
            await self._wait_for_data()
        return self.head

    async def read(self) -> bytes:
        """Return the next part of the body, or b"" at its end.

        Raises:
            IncompleteResponse: The connection ended before the body did.
            MalformedResponse: The body's framing is not valid.
        """
        while not self._chunks:
            if self.complete:
                return b""
            self._raise_error()
            await self._wait_for_data()
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes < READ_AHEAD_BYTES and self.transport and not self.closed:
            self.transport.resume_reading()
        return chunk

    def finish(self) -> None:
        """End the exchange; the connection can be reused if all of it was read."""
        self._in_exchange = False
        self.idle_since = self.loop.time()
        if not self.complete or self._chunks:
            self.abort()
        elif not self._persistent and self.transport is not None:
            self.transport.close()

    def retire(self) -> None:
        """Let this exchange be the last one of the connection."""
        self._persistent = False

    def abort(self) -> None:
        """Drop the connection at once, so that the server stops working."""
        self._persistent = False
        if self.transport is not None:
            self.transport.abort()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    async def _wait_for_data(self) -> None:
        self._waiter = self.loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Events of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport and make a silent connection fail."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_tcp_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._in_exchange or self.complete:
            # Bytes outside an exchange belong to no request.
            self._persistent = False
            if not self._in_exchange:
                self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._persistent = False
            if not self.complete:
                message = f"{self.address[0]}:{self.address[1]}: {error}"
                self._error = MalformedResponse(message)
        if self._buffered_bytes > READ_AHEAD_BYTES and not self.complete:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Let the transport close; ``connection_lost`` follows."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end; a body that lasts until the end is complete without an error."""
        self.closed = True
        self._persistent = False
        close_ends_body = self.head is not None and self._framing is BodyFraming.UNTIL_CLOSE
        if close_ends_body and error is None and self._error is None:
            self.complete = True
        elif self._error is None:
            reason = "closed" if error is None else str(error)
            message = f"{self.address[0]}:{self.address[1]}: {reason}"
            self._error = IncompleteResponse(message)
        self._writable.set()
        self._wake_reader()

    def pause_writing(self) -> None:
        """Hold back the request body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with the request body."""
        self._writable.set()

    # Events of the parser

    def on_message_begin(self) -> None:
        """Note bytes that follow the complete response."""
        if self.complete:
            self._persistent = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head, or skip a response that belongs to another request."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._skipping_response = status < 200 or self._is_for_another_request(headers)
        if self._skipping_response:
            return
        if not self._parser.should_keep_alive():
            self._persistent = False
        self.keep_alive_s = _parse_keep_alive_timeout(header_text(headers, b"keep-alive"))
        self._framing = self._find_framing(status, headers)
        length_text = header_text(headers, b"content-length")
        content_length = (
            int(length_text)
            if length_text.isdecimal() and self._framing is BodyFraming.LENGTH
            else None
        )
        self.head = ResponseHead(status=status, headers=headers, length=content_length)
        if self._head_only:
            # The parser would wait for a body, so the connection is not used again.
            self.complete = True
            self._persistent = False

    def _is_for_another_request(self, headers: Headers) -> bool:
        if self._echoed is None:
            return False
        name, value = self._echoed
        return header(headers, name) not in (None, value)

    def _find_framing(self, status: int, headers: Headers) -> BodyFraming:
        if self._head_only or is_bodiless(status):
            return BodyFraming.NONE
        if b"chunked" in (header(headers, b"transfer-encoding") or b"").lower():
            return BodyFraming.CHUNKED
        if header(headers, b"content-length") is not None:
            return BodyFraming.LENGTH
        self._persistent = False
        return BodyFraming.UNTIL_CLOSE

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if not self._skipping_response and not self.complete:
            self._chunks.append(data)
            self._buffered_bytes += len(data)

    def on_message_complete(self) -> None:
        """Note the end of the response unless it was skipped."""
        if self._skipping_response:
            self._skipping_response = False
            self._headers = []
            return
        if self.head is not None:
            self.complete = True


def _parse_keep_alive_timeout(value: str) -> float | None:
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.strip().lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return None


def enable_tcp_keepalive(sock: socket.socket) -> None:
    """Let the kernel find out when the other end is silently gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(
    address: tuple[str, int], *, timeout_s: float, tls: bool = False
) -> HttpConnection:
    """Open a connection, with TLS and a verified certificate when ``tls`` is set.

    Raises:
        PeerUnavailable: There was no connection within ``timeout_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(address=address),
                address[0],
                address[1],
                ssl=tls or None,
            )
    except (OSError, TimeoutError) as error:
        reason = str(error) or "no connection in time"
        raise PeerUnavailable(f"{address[0]}:{address[1]}: {reason}") from error
    return connection

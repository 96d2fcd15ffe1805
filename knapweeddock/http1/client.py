"""Client side of an HTTP/1.1 connection, with one exchange at a time."""

import asyncio
import math
import socket
from collections import deque
from enum import Enum

import httptools

from knapweeddock.errors import IncompleteResponse, MalformedResponse, PeerUnavailable
from knapweeddock.http1.messages import (
    Headers,
    ResponseHead,
    get_header,
    get_header_text,
    get_header_values,
    is_bodiless,
)

READ_AHEAD_BYTES = 256 * 1024
"""Unread bytes of a response body above which the connection stops reading from its socket."""

MAX_FRAMING_BYTES = 64 * 1024
"""Received bytes without any part of a body after which a response is given up: those of a
head with the interim responses before it, of a chunk's line, or of trailers."""

MAX_SKIPPED_BYTES = 8 * 1024 * 1024
"""Body bytes of responses to earlier requests that are skipped before a response."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: a connection whose peer is gone without closing it fails after about
three seconds without traffic. Nothing else would reveal that the peer is gone."""

MAX_KEEPALIVE_PROBES = 120
"""Largest number of probes; the kernel takes up to 127."""


CONNECT_ERRORS = (OSError, TimeoutError, ValueError, OverflowError)
"""What opening a connection raises, also for a host or a port that no connection can have."""


class BodyFraming(Enum):
    """How the end of a response body is determined."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"
    NONE = "none"


class _UnmatchedResponse(Exception):
    """A response does not state the request that it belongs to."""


class HttpClientConnection(asyncio.Protocol):
    """A connection to a server.

    An exchange is a request and its response. It begins with
    ``start_exchange`` and ends with ``finish_exchange`` or ``abort``.

    Attributes:
        address: Host and port of the server.
        loop: Event loop of the connection.
        transport: Transport, or None until the connection is established.
        exchange_count: Number of exchanges that were started.
        idle_since: Loop time (monotonic) at which the last exchange ended.
        closed: Whether the connection is closed or lost.
        keep_alive_timeout_s: Idle timeout in seconds that the last response announced in
            ``Keep-Alive``, or None.
        head: Head of the current response, or None until it is received.
        complete: Whether the current response was received completely.
    """

    def __init__(self, *, address: tuple[str, int]) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.exchange_count = 0
        self.idle_since = self.loop.time()
        self.closed = False
        self.keep_alive_timeout_s: float | None = None
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._parser = httptools.HttpResponseParser(self)
        self._in_exchange = False
        self._keepalive_probes = KEEPALIVE_PROBES
        self._persistent = True
        self._reset_response()

    # State of the connection

    @property
    def reusable(self) -> bool:
        """Whether the connection is idle and may be used for another exchange."""
        return self._persistent and not self.closed and not self._in_exchange

    def _reset_response(self) -> None:
        self.head: ResponseHead | None = None
        self.complete = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._skipping_response = False
        self._framing = BodyFraming.NONE

    # Exchanges

    def start_exchange(
        self,
        data: bytes,
        *,
        echoed_header: tuple[bytes, bytes] | None = None,
        head_only: bool = False,
        silence_s: float = 0.0,
    ) -> None:
        """Start an exchange by writing ``data``.

        Args:
            data: Request head and the part of the body that is available.
            echoed_header: Name (lower case) and value of a request header that the
                server echoes in the response. A response with another value
                belongs to an earlier request and is skipped. One without a value may
                belong to any request of this connection: it is malformed unless this is
                the first one, and the connection is not reused afterwards.
            head_only: Whether the response has no body, as for ``HEAD``.
            silence_s: Time in seconds for which a peer that does not even respond to TCP is
                waited for, if it is longer than usual. Such a peer may be frozen and go on.

        Raises:
            PeerUnavailable: The connection is closed; nothing was sent.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            raise PeerUnavailable(f"{self.address[0]}:{self.address[1]}: the connection is closed")
        self._reset_response()
        self._echoed = echoed_header
        self._head_only = head_only
        self._in_exchange = True
        self.exchange_count += 1
        self._set_keepalive_probes(silence_s)
        self.transport.write(data)

    def _set_keepalive_probes(self, silence_s: float) -> None:
        wanted = math.ceil((silence_s - KEEPALIVE_IDLE_S) / KEEPALIVE_INTERVAL_S)
        probes = min(MAX_KEEPALIVE_PROBES, max(KEEPALIVE_PROBES, wanted))
        sock = self.transport.get_extra_info("socket")
        if sock is not None and probes != self._keepalive_probes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
            self._keepalive_probes = probes

    async def write(self, data: bytes) -> None:
        """Send a part of the request body, waiting while the server reads too slowly.

        Does nothing if the connection is closed; reading the response raises the error.
        """
        if self.closed:
            return
        self.transport.write(data)
        await self._writable.wait()

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response and return it.

        Raises:
            IncompleteResponse: The connection was closed or lost before.
            MalformedResponse: The received bytes are not an HTTP response.
        """
        while self.head is None:
            self._raise_error()
            await self._wait_for_data()
        return self.head

    async def read(self) -> bytes:
        """Return the next part of the body, or b"" at its end.

        Raises:
            IncompleteResponse: The connection was closed or lost before the end of the body.
            MalformedResponse: The framing of the body is invalid.
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

    def finish_exchange(self) -> None:
        """End the exchange.

        The connection is aborted if the response was not read completely, and
        closed if it is not persistent. Otherwise it can be reused.
        """
        self._in_exchange = False
        self.idle_since = self.loop.time()
        if not self.complete or self._chunks:
            self.abort()
        elif not self._persistent and self.transport is not None:
            self.transport.close()

    def disable_reuse(self) -> None:
        """Prevent the connection from being reused after the current exchange."""
        self._persistent = False

    def abort(self) -> None:
        """Close the connection at once, so that the server can stop processing the request."""
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

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and enable TCP keep-alive."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_tcp_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those that belong to no request abort the connection."""
        if not self._in_exchange or self.complete:
            self.abort()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._persistent = False
            if not self.complete:
                cause = error.__context__
                reason = cause if isinstance(cause, _UnmatchedResponse) else error
                self._error = MalformedResponse(f"{self.address[0]}:{self.address[1]}: {reason}")
        self._give_up_without_end()
        if self._buffered_bytes > READ_AHEAD_BYTES and not self.complete:
            self.transport.pause_reading()
        self._wake_reader()

    def _give_up_without_end(self) -> None:
        """Abort the connection if what arrives seems to be no response and to have no end."""
        too_long = self._framing_bytes > MAX_FRAMING_BYTES
        if self.complete or not (too_long or self._skipped_bytes > MAX_SKIPPED_BYTES):
            return
        if self._error is None:
            message = f"{self.address[0]}:{self.address[1]}: bytes without end are no response"
            self._error = MalformedResponse(message)
        self.abort()

    def eof_received(self) -> bool:
        """Let the transport close itself; ``connection_lost`` is called next."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the loss of the connection.

        A body that is delimited by the end of the connection is complete if the
        connection was closed without an error.
        """
        self.closed = True
        self._persistent = False
        delimited_by_close = self.head is not None and self._framing is BodyFraming.UNTIL_CLOSE
        if delimited_by_close and error is None and self._error is None:
            self.complete = True
        elif self._error is None:
            reason = "closed before the response was complete" if error is None else str(error)
            message = f"{self.address[0]}:{self.address[1]}: {reason}"
            self._error = IncompleteResponse(message)
        self._writable.set()
        self._wake_reader()

    def pause_writing(self) -> None:
        """Make ``write`` wait until the transport's buffer has drained."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``write`` continue."""
        self._writable.set()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a response; one that follows a complete response prevents reuse."""
        if self.complete:
            self._persistent = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the response; trailers are not used."""
        if self.head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head, or skip an interim response or one that belongs to another request."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._skipping_response = status < 200 or self._is_for_another_request(headers)
        if self._skipping_response:
            return
        if not self._is_matched(headers):
            self._persistent = False
            if self.exchange_count > 1:
                # The server may repeat an earlier response; the next one may be this request's.
                raise _UnmatchedResponse(f"status {status} on a connection that was in use before")
        if not self._parser.should_keep_alive():
            self._persistent = False
        self.keep_alive_timeout_s = _parse_keep_alive_timeout(
            get_header_text(headers, b"keep-alive")
        )
        self._framing = self._find_framing(status, headers)
        length_text = get_header_text(headers, b"content-length")
        content_length = (
            int(length_text)
            if length_text.isdecimal() and self._framing is BodyFraming.LENGTH
            else None
        )
        self.head = ResponseHead(status=status, headers=headers, content_length=content_length)
        if self._head_only:
            # The parser expects a body after these headers, so the connection cannot be reused.
            self.complete = True
            self._persistent = False

    def _is_for_another_request(self, headers: Headers) -> bool:
        if self._echoed is None:
            return False
        name, own_value = self._echoed
        return any(value != own_value for value in get_header_values(headers, name))

    def _is_matched(self, headers: Headers) -> bool:
        """Whether the response states the request that it belongs to, if requests say theirs."""
        return self._echoed is None or get_header(headers, self._echoed[0]) is not None

    def _find_framing(self, status: int, headers: Headers) -> BodyFraming:
        if self._head_only or is_bodiless(status):
            return BodyFraming.NONE
        if b"chunked" in (get_header(headers, b"transfer-encoding") or b"").lower():
            return BodyFraming.CHUNKED
        if get_header(headers, b"content-length") is not None:
            return BodyFraming.LENGTH
        self._persistent = False
        return BodyFraming.UNTIL_CLOSE

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._framing_bytes = 0
        if self._skipping_response:
            self._skipped_bytes += len(data)
        elif not self.complete:
            self._chunks.append(data)
            self._buffered_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it was skipped."""
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
    """Enable TCP keep-alive, so that the kernel detects a peer that is gone without closing."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(
    address: tuple[str, int], *, timeout_s: float, tls: bool = False
) -> HttpClientConnection:
    """Open a connection.

    Args:
        address: Host and port.
        timeout_s: Longest duration in seconds.
        tls: Whether to use TLS; the server's certificate is verified.

    Raises:
        PeerUnavailable: The connection failed or was not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpClientConnection(address=address),
                address[0],
                address[1],
                ssl=tls or None,
            )
    except CONNECT_ERRORS as error:
        reason = str(error) or f"not connected within {timeout_s} s"
        raise PeerUnavailable(f"{address[0]}:{address[1]}: {reason}") from error
    return connection

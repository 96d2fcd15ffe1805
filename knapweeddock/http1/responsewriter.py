"""Writer of the response to a request, which sends pipelined responses in request order."""

import asyncio
from enum import Enum
from typing import Protocol

from knapweeddock.http1.messages import (
    LAST_CHUNK,
    RequestHead,
    encode_chunk,
    encode_response_head,
    is_bodiless,
)

RESPONSE_BUFFER_BYTES = 256 * 1024
"""Bytes of a response that are buffered while earlier responses are unfinished."""


class ResponseState(Enum):
    """Progress of a response."""

    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    ABORTED = "aborted"


class ResponseSink(Protocol):
    """Part of a server connection that its responses use."""

    def is_next(self, response: "ResponseWriter") -> bool:
        """Return whether all responses before ``response`` are done."""

    def should_close_after(self, response: "ResponseWriter") -> bool:
        """Return whether the connection closes after ``response``.

        When it returns True, the connection stops accepting requests.
        """

    def write(self, data: bytes) -> None:
        """Write ``data`` to the transport."""

    async def drain(self) -> None:
        """Wait while the write buffer is full because the client reads too slowly."""

    def response_done(self, response: "ResponseWriter") -> None:
        """Handle that ``response``, the first unfinished one, is finished or aborted."""


class ResponseWriter:
    """Writes the response to one request of a connection.

    Responses are sent in the order of their requests. While an earlier response
    is unfinished, the data of this one is buffered.

    Attributes:
        head: Head of the request.
        sink: Connection on which the response is sent.
        state: Progress of the response.
        status: Status code, or 0 until the response is started.
        close_connection: Whether the connection closes after the response.
    """

    def __init__(self, *, head: RequestHead, sink: ResponseSink) -> None:
        self.head = head
        self.sink = sink
        self.state = ResponseState.WAITING
        self.status = 0
        self.close_connection = False
        self._buffer = bytearray()
        self._chunked = False
        self._earlier_done = asyncio.Event()

    def send(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> None:
        """Send a complete response."""
        self.start(status, headers, content_length=len(body), body=body)
        self.finish()

    def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        content_length: int | None,
        body: bytes = b"",
    ) -> None:
        """Send the status line, the headers and the first part of the body.

        Args:
            status: Status code.
            headers: Headers except ``Content-Length``, ``Transfer-Encoding``
                and ``Connection``, which are added here.
            content_length: Size of the body in bytes, or None if it is not known yet.
            body: First part of the body.
        """
        self.state = ResponseState.STARTED
        self.status = status
        framing_headers = []
        bodiless = is_bodiless(status) or self.head.method == b"HEAD"
        if content_length is not None:
            if not is_bodiless(status):
                framing_headers.append((b"Content-Length", b"%d" % content_length))
        elif self.head.is_http_1_0:
            self.close_connection = True
        elif not bodiless:
            self._chunked = True
            framing_headers.append((b"Transfer-Encoding", b"chunked"))
        if self.sink.should_close_after(self):
            self.close_connection = True
        if self.close_connection:
            framing_headers.append((b"Connection", b"close"))
        elif self.head.is_http_1_0:
            framing_headers.append((b"Connection", b"keep-alive"))
        data = encode_response_head(status, [*headers, *framing_headers])
        if body and not bodiless:
            data += encode_chunk(body) if self._chunked else body
        self._write_or_buffer(data)

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting while the client reads too slowly.

        If earlier responses are unfinished, it waits for them once more than
        ``RESPONSE_BUFFER_BYTES`` are buffered.
        """
        if self.head.method == b"HEAD" or not data:
            return
        self._write_or_buffer(encode_chunk(data) if self._chunked else data)
        if self.sink.is_next(self):
            await self.sink.drain()
        elif len(self._buffer) > RESPONSE_BUFFER_BYTES:
            await self._earlier_done.wait()

    def finish(self) -> None:
        """Finish the response."""
        if self._chunked:
            self._write_or_buffer(LAST_CHUNK)
        self.state = ResponseState.FINISHED
        if self.sink.is_next(self):
            self.sink.response_done(self)

    def abort(self) -> None:
        """Abort the response and the connection, so that the response does not look complete.

        The connection stays open until all earlier responses are done.
        """
        self.state = ResponseState.ABORTED
        if self.sink.is_next(self):
            self.sink.response_done(self)

    def flush(self) -> None:
        """Send the buffered data; called when all earlier responses are done."""
        if self._buffer:
            self.sink.write(bytes(self._buffer))
            self._buffer.clear()
        self._earlier_done.set()

    @property
    def is_done(self) -> bool:
        """Whether the response is finished or aborted."""
        return self.state in (ResponseState.FINISHED, ResponseState.ABORTED)

    def _write_or_buffer(self, data: bytes) -> None:
        if self.sink.is_next(self):
            self.sink.write(data)
        else:
            self._buffer += data

"""Response to one request of a client, written when its turn comes."""

import asyncio
from enum import Enum
from typing import Protocol

from knapweeddock.http1.messages import (
    LAST_CHUNK,
    RequestHead,
    encode_chunk,
    encode_response,
    is_bodiless,
)

RESPONSE_BUFFER_BYTES = 256 * 1024
"""Bytes of a response that are kept while earlier responses are unfinished."""


class AnswerState(Enum):
    """How far a response has come."""

    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    ABORTED = "aborted"


class ResponseSink(Protocol):
    """The connection, as its responses see it."""

    def is_next(self, response: "Answer") -> bool:
        """Whether all earlier responses are finished."""

    def should_close_after(self, response: "Answer") -> bool:
        """Whether the connection is closed after ``answer``."""

    def send(self, data: bytes) -> None:
        """Write bytes to the client."""

    async def drain(self) -> None:
        """Wait while the client reads too slowly."""

    def response_done(self, response: "Answer") -> None:
        """Note that ``answer`` is finished or aborted."""


class Answer:
    """A response in the order of the requests of its connection.

    Attributes:
        state: How far it has come.
        status: Status code once it is started.
    """

    def __init__(self, *, head: RequestHead, sink: ResponseSink) -> None:
        self.head = head
        self.sink = sink
        self.state = AnswerState.WAITING
        self.status = 0
        self.close_connection = False
        self._buffer = bytearray()
        self._chunked = False
        self._earlier_done = asyncio.Event()

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> None:
        """Send a complete response."""
        self.start(status, headers, length=len(body), body=body)
        self.finish()

    def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        length: int | None,
        body: bytes = b"",
    ) -> None:
        """Send the status line, the headers and the first part of the body.

        Args:
            status: Status code.
            headers: Headers without those that frame the message.
            length: Bytes of the body; None when they are not known yet.
            body: First part of the body.
        """
        self.state = AnswerState.STARTED
        self.status = status
        framing_headers = []
        bodiless = is_bodiless(status) or self.head.method == b"HEAD"
        if length is not None:
            if not is_bodiless(status):
                framing_headers.append((b"Content-Length", b"%d" % length))
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
        data = encode_response(status, [*headers, *framing_headers])
        if body and not bodiless:
            data += encode_chunk(body) if self._chunked else body
        self._send(data)

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting while the client reads slowly."""
        if self.head.method == b"HEAD" or not data:
            return
        self._send(encode_chunk(data) if self._chunked else data)
        if self.sink.is_next(self):
            await self.sink.drain()
        elif len(self._buffer) > RESPONSE_BUFFER_BYTES:
            await self._earlier_done.wait()

    def finish(self) -> None:
        """Complete the response."""
        if self._chunked:
            self._send(LAST_CHUNK)
        self.state = AnswerState.FINISHED
        if self.sink.is_next(self):
            self.sink.response_done(self)

    def abort(self) -> None:
        """Break the connection, so that the response does not look complete."""
        self.state = AnswerState.ABORTED
        if self.sink.is_next(self):
            self.sink.response_done(self)

    def flush(self) -> None:
        """Send what was held back; all earlier responses are finished."""
        if self._buffer:
            self.sink.send(bytes(self._buffer))
            self._buffer.clear()
        self._earlier_done.set()

    @property
    def is_done(self) -> bool:
        """Whether nothing more will be written."""
        return self.state in (AnswerState.FINISHED, AnswerState.ABORTED)

    def _send(self, data: bytes) -> None:
        if self.sink.is_next(self):
            self.sink.send(data)
        else:
            self._buffer += data

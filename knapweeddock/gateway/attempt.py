"""One attempt: a request is sent to one server and its response is taken in."""

import asyncio
import time
from dataclasses import dataclass
from enum import Enum

from knapweeddock.errors import ClientGone, MalformedResponse, PeerUnavailable, ResponseError
from knapweeddock.gateway.placement import Placed
from knapweeddock.gateway.records import ServerEntry
from knapweeddock.gateway.serverpool import ConnectionPool
from knapweeddock.gateway.wire import RequestFacts, ResponseFacts, WireFormat
from knapweeddock.http1.client import HttpConnection
from knapweeddock.http1.messages import (
    LAST_CHUNK,
    ResponseHead,
    encode_chunk,
    encode_request,
    header,
)
from knapweeddock.http1.server import IncomingRequest

MAX_BUFFERED_RESPONSE_BYTES = 128 * 1024
"""Responses up to this size are taken in whole before the client gets their
first byte, so that one that breaks off can be replaced by another attempt."""


class AttemptEnd(Enum):
    """What is known after an attempt."""

    RESPONSE = "response"
    UNREACHABLE = "unreachable"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    LOST = "lost"


@dataclass(kw_only=True, slots=True)
class AttemptResult:
    """The end of an attempt.

    Attributes:
        end: What is known.
        head: Head of the response, if there is one.
        facts: What the server says beside it.
        body: Start of the body, or all of it.
        whole: Whether ``body`` is all of it.
        connection: The connection from which the rest is read.
        server: The server.
        reason: Why there is no response.
    """

    end: AttemptEnd
    server: ServerEntry | None = None
    head: ResponseHead | None = None
    facts: ResponseFacts | None = None
    body: bytes = b""
    body_complete: bool = False
    connection: HttpConnection | None = None
    reason: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.end in (AttemptEnd.RESPONSE, AttemptEnd.LOST)


@dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to servers.

    Attributes:
        request: The client's request.
        facts: What the client says about it.
        body_start: Start of the body that is kept for further attempts.
        idempotent: Whether it may run more than once.
    """

    request: IncomingRequest
    facts: RequestFacts
    buffered_body: bytes
    idempotent: bool

    @property
    def is_fully_buffered(self) -> bool:
        """Whether ``body_start`` is the whole body, so that another attempt can have it."""
        body = self.request.body
        return body.complete and body.received == len(self.buffered_body)


class AttemptRunner:
    """Sends requests to servers."""

    def __init__(self, *, wire: WireFormat, pool: ConnectionPool) -> None:
        self.wire = wire
        self.pool = pool

    async def run(
        self, outgoing: OutgoingRequest, placed: Placed, *, remaining_s: float
    ) -> AttemptResult:
        """Send ``outgoing`` to the chosen server and wait for its response."""
        entry = placed.server.entry
        now = time.monotonic()
        with placed.server.load.counted(now=now, expected_s=placed.expected_s):
            try:
                connection = await self.pool.acquire(entry, idempotent=outgoing.idempotent)
            except PeerUnavailable as error:
                return AttemptResult(end=AttemptEnd.UNREACHABLE, reason=str(error))
            try:
                result = await self._exchange(outgoing, placed, connection, remaining_s)
            except PeerUnavailable as error:
                return AttemptResult(end=AttemptEnd.UNREACHABLE, reason=str(error))
            except ResponseError as error:
                connection.abort()
                return AttemptResult(end=AttemptEnd.LOST, reason=str(error))
            except BaseException:
                # The caller is gone or the time is over: the server need not go on.
                connection.abort()
                raise
        result.server = entry
        if result.body_complete:
            self.pool.release(entry, connection)
        return result

    async def _exchange(
        self,
        outgoing: OutgoingRequest,
        placed: Placed,
        connection: HttpConnection,
        remaining_s: float,
    ) -> AttemptResult:
        server = placed.server.entry.server
        head = outgoing.request.head
        headers = self.wire.server_request(head, server=server, remaining_s=remaining_s)
        chunked = False
        fully_buffered = outgoing.is_fully_buffered
        if fully_buffered:
            if head.has_body or outgoing.buffered_body:
                headers.append((b"Content-Length", b"%d" % len(outgoing.buffered_body)))
        else:
            length = header(head.headers, b"content-length")
            chunked = length is None
            framing = (b"Transfer-Encoding", b"chunked")
            headers.append(framing if chunked else (b"Content-Length", length))
        body = outgoing.buffered_body
        if chunked and body:
            body = encode_chunk(body)
        connection.start(
            encode_request(head.method, head.target, headers) + body,
            echoed=self.wire.echoed(outgoing.facts),
            head_only=head.method == b"HEAD",
        )
        if fully_buffered:
            return await self._read_response(connection)
        return await self._stream_body(outgoing, connection, chunked=chunked)

    async def _stream_body(
        self, outgoing: OutgoingRequest, connection: HttpConnection, *, chunked: bool
    ) -> AttemptResult:
        """Pass on the rest of the body while waiting for the response."""
        send_task = asyncio.create_task(
            _send_remaining_body(outgoing.request, connection, chunked=chunked)
        )
        try:
            result = await self._read_response(connection)
        finally:
            unfinished = not send_task.done()
            send_task.cancel()
            await asyncio.gather(send_task, return_exceptions=True)
        if unfinished:
            # The server would take the next request for the rest of this body.
            connection.retire()
        return result

    async def _read_response(self, connection: HttpConnection) -> AttemptResult:
        head = await connection.response_head()
        facts = self.wire.response_facts(head)
        if 200 <= head.status < 300 and not facts.signed:
            raise MalformedResponse(f"status {head.status} without the server's mark")
        body = bytearray()
        body_complete = False
        while len(body) <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await connection.read()
            if not chunk:
                body_complete = True
                break
            body += chunk
            if head.length is not None and head.length > MAX_BUFFERED_RESPONSE_BYTES:
                break
        if facts.misdirected:
            end = AttemptEnd.MISDIRECTED
        elif facts.not_run:
            end = AttemptEnd.NOT_RUN
        else:
            end = AttemptEnd.RESPONSE
        return AttemptResult(
            end=end,
            head=head,
            facts=facts,
            body=bytes(body),
            body_complete=body_complete,
            connection=connection,
        )


async def _send_remaining_body(
    request: IncomingRequest, connection: HttpConnection, *, chunked: bool
) -> None:
    try:
        while True:
            chunk = await request.body.read()
            if not chunk:
                break
            await connection.write(encode_chunk(chunk) if chunked else chunk)
    except ClientGone:
        # The server must not take a part of the body for all of it.
        connection.abort()
        return
    if chunked:
        await connection.write(LAST_CHUNK)

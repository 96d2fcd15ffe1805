"""HTTP client for backend servers and other entries that sends each call at most once.

aiohttp resends a request with an idempotent method (PUT, DELETE and others) when its
connection is lost, even if the connection was new. A middleware converts the errors
that trigger the resend into ``ConnectionLost``, which does not trigger it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import structlog
from aiohttp import ClientRequest, ClientResponse, ClientTimeout, hdrs
from multidict import CIMultiDict
from yarl import URL

from knapweeddock.entry import headers as header_names
from knapweeddock.entry.connectors import CheckedConnector, SpareConnector
from knapweeddock.entry.messages import (
    BufferedResponse,
    CallResult,
    StreamedResponse,
    StreamEnd,
)
from knapweeddock.events import AttemptOutcome

log = structlog.get_logger(__name__)

POOL_IDLE_TIMEOUT_S = 5.0
"""Idle time after which a pooled connection is closed, since it may have become
unresponsive."""

CONNECT_MARGIN_S = 0.005
"""Connecting times out this long before the deadline, so that the attempt counts as
refused and not as timed out."""

CONNECTION_FAILURES = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)
"""Outcomes after which the spare connections to the same server are closed, since they
may be broken, too."""

BODYLESS_STATUS = frozenset({204, 304})

AUTOMATIC_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)
"""Headers that aiohttp adds to a request by default; they are not added here."""

CommitCallback = Callable[[StreamedResponse], bool]


class ConnectionLost(aiohttp.ClientError):
    """The connection was lost after at least a part of the request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A request to send.

    Attributes:
        address: ``host:port`` of the receiver.
        method: HTTP method.
        target: Path with query.
        headers: Headers to send.
        body: The body.
        timeout_s: Time in seconds after which the call times out.
        start_within_s: Time in seconds after which the request must no longer be sent.
        idempotent: Whether a pooled connection may be used.
        streaming: Whether the response may be forwarded before it is complete.
    """

    address: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    timeout_s: float
    start_within_s: float
    idempotent: bool
    streaming: bool


async def send_once(
    request: ClientRequest, handler: Callable[[ClientRequest], Awaitable[ClientResponse]]
) -> ClientResponse:
    """Send a request and prevent the session from resending it (client middleware)."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(str(error)) from error


@dataclass(kw_only=True, eq=False, slots=True)
class ConnectionPool:
    """Connection pool of one receiver, for idempotent calls.

    Attributes:
        session: Session that holds the connections.
        running_calls: Number of calls that use the session.
        retired: Whether the session is closed as soon as no call runs.
    """

    session: aiohttp.ClientSession
    running_calls: int = 0
    retired: bool = False


class HttpClient:
    """Sends calls and classifies their outcomes.

    Attributes:
        buffer_limit: Size in bytes of the largest response that is buffered.
        pools: Connection pool by address, for idempotent calls.
        spare_connector: Opens the connections of all other calls.
        unpooled_session: Session of the calls that must not reuse a connection.
        close_tasks: Tasks that close retired pools.
    """

    def __init__(
        self,
        *,
        buffer_limit: int,
        header_limit: int,
        connect_timeout_s: float,
        spare_idle_timeout_s: float = 0.0,
    ) -> None:
        self.buffer_limit = buffer_limit
        self.header_limit = header_limit
        self.connect_timeout_s = connect_timeout_s
        self.pools: dict[str, ConnectionPool] = {}
        self.spare_connector = SpareConnector(
            limit=0,
            force_close=True,
            idle_timeout_s=spare_idle_timeout_s,
            connect_timeout_s=connect_timeout_s,
        )
        self.unpooled_session = self._new_session(self.spare_connector)
        self.close_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.session.close()
        self.pools.clear()
        self.spare_connector.close_all_spares()
        await self.unpooled_session.close()
        if self.close_tasks:
            await asyncio.wait(self.close_tasks)

    def keep_only(self, addresses: set[str]) -> None:
        """Retire the pools and close the spares of receivers that are not in ``addresses``.

        Running calls may finish.
        """
        for address in self.pools.keys() - addresses:
            self.retire_pool(address)
        self.spare_connector.keep_only(addresses)

    def retire_pool(self, address: str) -> None:
        """Close the pool of a receiver; running calls may finish."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_if_unused(pool)

    async def call(self, call: Call, commit: CommitCallback) -> CallResult:
        """Send a call.

        Args:
            call: What to send.
            commit: Called with a response that exceeds the buffer limit, before its
                chunks are queued. Returns False if no caller waits for it.

        Returns:
            Result of the call. Cancelling the call closes its connection.
        """
        if not call.idempotent:
            result = await self._call_with_timeout(self.unpooled_session, call, commit)
            if result.outcome in CONNECTION_FAILURES:
                self.spare_connector.close_spares(call.address)
            return result
        pool = self.pools.get(call.address)
        if pool is None:
            pool = self.pools[call.address] = ConnectionPool(
                session=self._new_session(self._pool_connector())
            )
        pool.running_calls += 1
        try:
            result = await self._call_with_timeout(pool.session, call, commit)
        finally:
            pool.running_calls -= 1
            self._close_if_unused(pool)
        if result.outcome is AttemptOutcome.TIMED_OUT and self.pools.get(call.address) is pool:
            self.retire_pool(call.address)
        return result

    async def _call_with_timeout(
        self, session: aiohttp.ClientSession, call: Call, commit: CommitCallback
    ) -> CallResult:
        try:
            async with asyncio.timeout(call.timeout_s):
                return await self._exchange(session, call, commit)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        except TimeoutError:
            return CallResult(outcome=AttemptOutcome.TIMED_OUT)
        except ConnectionLost:
            return CallResult(outcome=AttemptOutcome.LOST)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            return CallResult(outcome=AttemptOutcome.INCOMPLETE)
        except (aiohttp.ClientError, OSError) as error:
            log.warning("call failed", address=call.address, error=repr(error))
            return CallResult(outcome=AttemptOutcome.LOST)

    async def _exchange(
        self, session: aiohttp.ClientSession, call: Call, commit: CommitCallback
    ) -> CallResult:
        connect_timeout_s = min(
            self.connect_timeout_s, call.timeout_s - CONNECT_MARGIN_S, call.start_within_s
        )
        if connect_timeout_s <= 0:
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        try:
            url = URL(f"http://{call.address}{call.target}", encoded=True)
            # yarl parses the authority lazily; reading the port raises the ValueError here.
            _ = url.port
        except ValueError as error:
            log.error("invalid address", address=call.address, error=str(error))
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        try:
            response = await session.request(
                call.method,
                url,
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=ClientTimeout(connect=connect_timeout_s),
            )
        except UnicodeError as error:
            # Host and headers are encoded before anything is sent.
            log.error("invalid address", address=call.address, error=str(error))
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        try:
            return await self._receive(response, call, commit)
        finally:
            # Has no effect once the response was read completely.
            response.close()

    async def _receive(
        self, response: ClientResponse, call: Call, commit: CommitCallback
    ) -> CallResult:
        if not _is_self_delimiting(response, call.method):
            return CallResult(outcome=AttemptOutcome.INCOMPLETE)
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if size > self.buffer_limit:
                if not call.streaming:
                    return CallResult(outcome=AttemptOutcome.INCOMPLETE)
                return await _stream(response, b"".join(chunks), call.timeout_s, commit)
        buffered = BufferedResponse(
            status=response.status,
            reason=response.reason,
            headers=response.headers,
            body=b"".join(chunks),
        )
        return CallResult(outcome=AttemptOutcome.ANSWERED, response=buffered, response_bytes=size)

    def _pool_connector(self) -> CheckedConnector:
        return CheckedConnector(limit=0, keepalive_timeout=POOL_IDLE_TIMEOUT_S)

    def _new_session(self, connector: CheckedConnector) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=AUTOMATIC_HEADERS,
            timeout=ClientTimeout(),
            middlewares=(send_once,),
            max_line_size=self.header_limit,
            max_field_size=self.header_limit,
        )

    def _close_if_unused(self, pool: ConnectionPool) -> None:
        if pool.retired and pool.running_calls == 0 and not pool.session.closed:
            task = asyncio.get_running_loop().create_task(pool.session.close())
            self.close_tasks.add(task)
            task.add_done_callback(self.close_tasks.discard)


def _is_self_delimiting(response: ClientResponse, method: str) -> bool:
    """Return whether the framing of a response shows where its body ends.

    A response that ends when its connection closes may have been truncated by a crash
    of the server, so it is never treated as complete.
    """
    if method == hdrs.METH_HEAD or response.status in BODYLESS_STATUS:
        return True
    if response.status < 200:
        return False
    if hdrs.CONTENT_LENGTH in response.headers:
        return True
    return "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()


async def _stream(
    response: ClientResponse, first_chunk: bytes, timeout_s: float, commit: CommitCallback
) -> CallResult:
    streamed = StreamedResponse(
        status=response.status,
        reason=response.reason,
        headers=header_names.forwarded_response_headers(response.headers, keep_length=False),
        length=response.content_length,
        timeout_s=timeout_s,
    )
    size = len(first_chunk)
    draining = response.headers.get(header_names.BACKEND_DRAINING) == "1"
    if not commit(streamed):
        return CallResult(outcome=AttemptOutcome.LOST, draining=draining)
    try:
        await streamed.chunks.put(first_chunk)
        async for chunk in response.content.iter_any():
            size += len(chunk)
            await streamed.chunks.put(chunk)
        await streamed.chunks.put(StreamEnd.COMPLETE)
    except BaseException:
        _abort_stream(streamed)
        raise
    return CallResult(outcome=AttemptOutcome.ANSWERED, response_bytes=size, draining=draining)


def _abort_stream(streamed: StreamedResponse) -> None:
    """End a stream immediately.

    Queued chunks may be discarded, since they are of no use in a broken response.
    """
    while streamed.chunks.full():
        streamed.chunks.get_nowait()
    streamed.chunks.put_nowait(StreamEnd.BROKEN)

"""HTTP calls to backend servers and other entries, each sent at most once.

aiohttp repeats a request with an idempotent method (PUT, DELETE and others)
when its connection breaks, on a fresh connection as well. A middleware turns
the errors that trigger the repetition into ``ConnectionLost``, which does not.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import structlog
from aiohttp import ClientRequest, ClientResponse, ClientTimeout, hdrs
from multidict import CIMultiDict
from yarl import URL

from knapweeddock.entry import headers as names
from knapweeddock.entry.connectors import CleanConnector, SpareConnector
from knapweeddock.entry.messages import (
    BufferedAnswer,
    CallResult,
    StreamedAnswer,
    StreamEnd,
)
from knapweeddock.events import AttemptOutcome

log = structlog.get_logger(__name__)

IDLE_S = 5.0
"""Idle time after which a pooled connection is closed, since it may go silent."""

CONNECT_MARGIN_S = 0.005
"""A connect ends this much before the deadline, so that it counts as refused."""

CONNECTION_FAULTS = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)
"""Outcomes after which other connections to the server are not trusted either."""

BODYLESS_STATUS = frozenset({204, 304})

AUTOMATIC_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)
"""Headers that aiohttp would add to a request that lacks them."""

Commit = Callable[[StreamedAnswer], bool]


class ConnectionLost(aiohttp.ClientError):
    """The connection broke after at least a part of the request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request to send.

    Attributes:
        address: ``host:port`` of the receiver.
        method: HTTP method.
        target: Path with query.
        headers: Headers to send.
        body: The body.
        timeout_s: When the call is given up.
        start_within_s: Time after which the request must not be sent any more.
        idempotent: Whether a pooled connection may be used.
        streaming: Whether the answer may be passed on before it is complete.
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
    """Keep the session from sending ``request`` a second time by itself."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(str(error)) from error


@dataclass(kw_only=True, eq=False, slots=True)
class Pool:
    """The reusable connections to one receiver.

    Attributes:
        session: Session with the connections.
        users: Calls that run on it.
        retired: Whether it is closed as soon as no call runs.
    """

    session: aiohttp.ClientSession
    users: int = 0
    retired: bool = False


class HttpClient:
    """Sends calls and classifies how they end."""

    def __init__(
        self,
        *,
        buffer_limit: int,
        header_limit: int,
        connect_timeout_s: float,
        spare_idle_s: float = 0.0,
    ) -> None:
        self.buffer_limit = buffer_limit
        self.header_limit = header_limit
        self.connect_timeout_s = connect_timeout_s
        self.pools: dict[str, Pool] = {}
        self.spares = SpareConnector(
            limit=0, force_close=True, idle_s=spare_idle_s, connect_timeout_s=connect_timeout_s
        )
        self.fresh = self._session(self.spares)
        self.closing: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.session.close()
        self.pools.clear()
        self.spares.drop_spares()
        await self.fresh.close()
        if self.closing:
            await asyncio.wait(self.closing)

    def keep_only(self, addresses: set[str]) -> None:
        """Drop the pools to receivers outside ``addresses``."""
        for address in self.pools.keys() - addresses:
            self.drop_pool(address)
        self.spares.keep_only(addresses)

    def drop_pool(self, address: str) -> None:
        """Close the idle connections to a receiver; running calls finish."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_unused(pool)

    async def call(self, call: Call, commit: Commit) -> CallResult:
        """Send a call.

        Args:
            call: What to send.
            commit: Takes over an answer that is larger than the buffer; its
                chunks follow. It returns False when nobody waits for it.

        Returns:
            How the call ended. A cancelled call closes its connection.
        """
        if not call.idempotent:
            result = await self._bounded(self.fresh, call, commit)
            if result.outcome in CONNECTION_FAULTS:
                self.spares.drop(call.address)
            return result
        pool = self.pools.get(call.address)
        if pool is None:
            pool = self.pools[call.address] = Pool(session=self._session(self._pooling()))
        pool.users += 1
        try:
            result = await self._bounded(pool.session, call, commit)
        finally:
            pool.users -= 1
            self._close_unused(pool)
        if result.outcome is AttemptOutcome.TIMED_OUT and self.pools.get(call.address) is pool:
            self.drop_pool(call.address)
        return result

    async def _bounded(
        self, session: aiohttp.ClientSession, call: Call, commit: Commit
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
        self, session: aiohttp.ClientSession, call: Call, commit: Commit
    ) -> CallResult:
        connect_s = min(
            self.connect_timeout_s, call.timeout_s - CONNECT_MARGIN_S, call.start_within_s
        )
        if connect_s <= 0:
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        try:
            url = URL(f"http://{call.address}{call.target}", encoded=True)
            # The address is parsed on the first use of a part of it.
            _ = url.port
        except ValueError as error:
            log.error("address is not valid", address=call.address, error=str(error))
            return CallResult(outcome=AttemptOutcome.CONNECT_FAILED)
        response = await session.request(
            call.method,
            url,
            headers=call.headers,
            data=call.body or None,
            allow_redirects=False,
            timeout=ClientTimeout(connect=connect_s),
        )
        try:
            return await self._receive(response, call, commit)
        finally:
            # Has no effect on a connection whose answer was read to its end.
            response.close()

    async def _receive(self, response: ClientResponse, call: Call, commit: Commit) -> CallResult:
        if not _has_known_end(response, call.method):
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
        answer = BufferedAnswer(
            status=response.status,
            reason=response.reason,
            headers=response.headers,
            body=b"".join(chunks),
        )
        return CallResult(outcome=AttemptOutcome.ANSWERED, answer=answer, answer_bytes=size)

    def _pooling(self) -> CleanConnector:
        return CleanConnector(limit=0, keepalive_timeout=IDLE_S)

    def _session(self, connector: CleanConnector) -> aiohttp.ClientSession:
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

    def _close_unused(self, pool: Pool) -> None:
        if pool.retired and pool.users == 0 and not pool.session.closed:
            task = asyncio.get_running_loop().create_task(pool.session.close())
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)


def _has_known_end(response: ClientResponse, method: str) -> bool:
    """Whether a broken connection can be told from the end of the answer.

    An answer that ends with its connection may have been cut off by the death
    of the server; it is never taken for complete.
    """
    if method == hdrs.METH_HEAD or response.status in BODYLESS_STATUS:
        return True
    if response.status < 200:
        return False
    if hdrs.CONTENT_LENGTH in response.headers:
        return True
    return "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()


async def _stream(
    response: ClientResponse, first: bytes, timeout_s: float, commit: Commit
) -> CallResult:
    answer = StreamedAnswer(
        status=response.status,
        reason=response.reason,
        headers=names.answer_headers(response.headers, keep_length=False),
        length=response.content_length,
        timeout_s=timeout_s,
    )
    size = len(first)
    draining = response.headers.get(names.BACKEND_DRAINING) == "1"
    if not commit(answer):
        return CallResult(outcome=AttemptOutcome.LOST, draining=draining)
    try:
        await answer.chunks.put(first)
        async for chunk in response.content.iter_any():
            size += len(chunk)
            await answer.chunks.put(chunk)
        await answer.chunks.put(StreamEnd.COMPLETE)
    except BaseException:
        _put_broken(answer)
        raise
    return CallResult(outcome=AttemptOutcome.ANSWERED, answer_bytes=size, draining=draining)


def _put_broken(answer: StreamedAnswer) -> None:
    """End a stream at once; what still waits in it is of no use any more."""
    while answer.chunks.full():
        answer.chunks.get_nowait()
    answer.chunks.put_nowait(StreamEnd.BROKEN)

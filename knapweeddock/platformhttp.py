"""HTTP calls to the platform with bounded waits and typed errors."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable
from knapweeddock.objectstore import MAX_VALUE_BYTES

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_TOTAL_TIMEOUT_S = 5.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
"""Bound on a retry-after, so that a wrong header cannot stop a client for hours."""

MAX_ANSWER_BYTES = 16 * MAX_VALUE_BYTES
"""Bound on an answer: lists of VMs and object names exceed a single value."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An answer of the platform.

    Attributes:
        status: HTTP status.
        etag: Content of the ``ETag`` header without quotes, or "".
        body: The complete body.
    """

    status: int
    etag: str
    body: bytes


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that keeps aiohttp from sending a request again.

    aiohttp repeats a PUT or DELETE by itself when the connection breaks
    before the answer, on fresh connections too. A repeated conditional PUT
    whose first try took effect is answered 412, which would report an
    accepted write as refused.

    Raises:
        OutcomeUnknown: The connection broke after the request was sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise OutcomeUnknown(f"{request.method} {request.url.path}: {_text(error)}") from error


class PlatformHttp:
    """HTTP connections to the platform.

    Reads share kept-alive connections. Each write opens its own connection,
    since a reused one that the platform has closed would leave the write with
    an unknown outcome.

    Attributes:
        url: Base URL of the platform.
        total_timeout_s: Longest duration of a call, connecting included.
    """

    def __init__(
        self,
        *,
        url: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
    ) -> None:
        self.url = url.rstrip("/")
        self.connect_timeout_s = connect_timeout_s
        self.total_timeout_s = total_timeout_s
        self._reads: aiohttp.ClientSession | None = None
        self._writes: aiohttp.ClientSession | None = None

    async def read(
        self, path: str, *, params: Mapping[str, str] | None = None, extra_wait_s: float = 0.0
    ) -> Answer:
        """Send a GET and return the answer.

        Args:
            path: Path with its leading slash.
            params: Query parameters.
            extra_wait_s: Time that the platform may hold the call open.

        Raises:
            StoreUnavailable: There was no complete answer, or status 5xx.
            RateLimited: The platform refused the call.
        """
        if self._reads is None:
            self._reads = aiohttp.ClientSession()
        timeout = self._timeout(extra_wait_s)
        try:
            async with self._reads.get(
                self.url + path, params=params, timeout=timeout, allow_redirects=False
            ) as response:
                answer = await self._answer(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailable(f"GET {path}: {_text(error)}") from error
        if answer.status >= 500:
            raise StoreUnavailable(f"GET {path}: the platform answered {answer.status}")
        return answer

    async def write(
        self, method: str, path: str, *, headers: Mapping[str, str], body: bytes = b""
    ) -> Answer:
        """Send a PUT or DELETE and return the answer.

        Raises:
            StoreUnavailable: The connection was refused, or status 503.
            OutcomeUnknown: The call was sent and its answer was lost.
            RateLimited: The platform refused the call.
        """
        if self._writes is None:
            self._writes = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True), middlewares=(send_once,)
            )
        try:
            async with self._writes.request(
                method,
                self.url + path,
                headers=headers,
                data=body,
                timeout=self._timeout(0.0),
                allow_redirects=False,
            ) as response:
                answer = await self._answer(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailable(f"{method} {path}: {_text(error)}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknown(f"{method} {path}: {_text(error)}") from error
        if answer.status == 503:
            raise StoreUnavailable(f"{method} {path}: the platform answered 503")
        if answer.status >= 500:
            raise OutcomeUnknown(f"{method} {path}: the platform answered {answer.status}")
        return answer

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._reads, self._writes):
            if session is not None:
                await session.close()
        self._reads = None
        self._writes = None

    def _timeout(self, extra_wait_s: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self.total_timeout_s + extra_wait_s, sock_connect=self.connect_timeout_s
        )

    async def _answer(self, response: aiohttp.ClientResponse) -> Answer:
        if response.status == 429:
            retry_after_s = _retry_after_s(response.headers.get("Retry-After", ""))
            raise RateLimited("the platform's rate limit was reached", retry_after_s=retry_after_s)
        body = bytearray()
        async for chunk in response.content.iter_chunked(64 * 1024):
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                raise aiohttp.ClientPayloadError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        etag = response.headers.get("ETag", "").removeprefix("W/").strip('"')
        return Answer(status=response.status, etag=etag, body=bytes(body))


def _text(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return f"no answer in time ({type(error).__name__})"
    return str(error) or type(error).__name__


def _retry_after_s(header: str) -> float:
    try:
        seconds = float(header)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)

"""HTTP calls to the platform with bounded waits and typed errors.

Every client of the platform makes its calls here: the object API, the list of
VMs and the catalog in the store.
"""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPMethod, HTTPStatus
from urllib.parse import urlsplit

from knapweeddock.errors import (
    ConfigError,
    OutcomeUnknown,
    PeerUnavailable,
    RateLimited,
    ResponseError,
    StoreUnavailable,
)
from knapweeddock.http1.client import HttpConnection, connect
from knapweeddock.http1.messages import Headers, encode_request, header_text
from knapweeddock.objectstore import MAX_VALUE_BYTES

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_TOTAL_TIMEOUT_S = 5.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
"""Bound on a retry-after, so that a wrong header cannot stop a client for hours."""

MAX_RESPONSE_BYTES = 16 * MAX_VALUE_BYTES
"""Bound on an answer: lists of VMs and object names exceed a single value."""

DEFAULT_PORTS = {"http": 80, "https": 443}


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Where the platform is reached.

    Attributes:
        host: Host name or IP address.
        port: TCP port.
        tls: Whether connections use TLS.
        path: Path that precedes the path of each call, without a trailing slash.
    """

    host: str
    port: int
    tls: bool = False
    path: str = ""

    @property
    def authority(self) -> str:
        """Content of the ``Host`` header."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def endpoint_of(url: str) -> Endpoint:
    """Return the endpoint that a base URL names.

    Raises:
        ConfigError: The URL has no host, another scheme or an invalid port.
    """
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        raise ConfigError(f"the platform's URL is {url!r}: {error}") from error
    if parts.scheme not in DEFAULT_PORTS or not parts.hostname:
        raise ConfigError(f"the platform's URL is {url!r}: not an http or https URL with a host")
    return Endpoint(
        host=parts.hostname,
        port=DEFAULT_PORTS[parts.scheme] if port is None else port,
        tls=parts.scheme == "https",
        path=parts.path.rstrip("/"),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An answer of the platform.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def etag(self) -> str:
        """Content of the ``ETag`` header without quotes, or ""."""
        return header_text(self.headers, b"etag").removeprefix("W/").strip('"')


class PlatformHttp:
    """HTTP connections to the platform.

    Reads share kept connections. Each write opens its own connection, since a
    kept one that the platform has closed would leave the write with an
    unknown outcome. No call is repeated here. A repeated conditional PUT whose
    first try took effect would be reported as refused; a repeated watch may
    wait without hearing of what was lost with the first one.

    Attributes:
        endpoint: Where the platform is reached.
        connect_timeout_s: Longest duration of opening a connection.
        total_timeout_s: Longest duration of a call, connecting included.
        calls: Number of calls, refused ones included.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
    ) -> None:
        self.endpoint = endpoint
        self.connect_timeout_s = connect_timeout_s
        self.total_timeout_s = total_timeout_s
        self.calls = 0
        self._idle: list[HttpConnection] = []

    async def read(
        self, target: str, *, extra_wait_s: float = 0.0, total_timeout_s: float | None = None
    ) -> Answer:
        """Send a GET and return the answer.

        Args:
            target: Path with its leading slash, and the query.
            extra_wait_s: Time that the platform may hold the call open.
            total_timeout_s: Longest duration beside that; the client's when None.

        Raises:
            StoreUnavailable: There was no complete answer, or status 5xx.
            RateLimited: The platform refused the call.
        """
        timeout_s = (total_timeout_s or self.total_timeout_s) + extra_wait_s
        data = self._encode_request(HTTPMethod.GET, target, {}, b"")
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(self._pop_idle() or await self._connect(), data)
        except (PeerUnavailable, ResponseError, TimeoutError) as error:
            raise StoreUnavailable(f"GET {target}: {_error_text(error)}") from error
        _raise_if_rate_limited(response)
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(f"GET {target}: the platform answered {response.status}")
        return response

    async def write(
        self,
        method: HTTPMethod,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send a PUT, POST or DELETE once and return the answer.

        Raises:
            StoreUnavailable: There was no connection, or status 503.
            OutcomeUnknown: The call was sent and its answer was lost.
            RateLimited: The platform refused the call.
        """
        data = self._encode_request(method, target, headers or {}, body)
        self.calls += 1
        try:
            async with asyncio.timeout(self.total_timeout_s):
                response = await self._exchange(await self._connect(), data)
        except PeerUnavailable as error:
            raise StoreUnavailable(f"{method} {target}: {_error_text(error)}") from error
        except (ResponseError, TimeoutError) as error:
            raise OutcomeUnknown(f"{method} {target}: {_error_text(error)}") from error
        _raise_if_rate_limited(response)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise StoreUnavailable(f"{method} {target}: the platform answered 503")
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise OutcomeUnknown(f"{method} {target}: the platform answered {response.status}")
        return response

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _encode_request(
        self, method: HTTPMethod, target: str, headers: Mapping[str, str], body: bytes
    ) -> bytes:
        header_fields = [(b"Host", self.endpoint.authority.encode())]
        header_fields += [(name.encode(), value.encode()) for name, value in headers.items()]
        if body or method in (HTTPMethod.PUT, HTTPMethod.POST):
            header_fields.append((b"Content-Length", b"%d" % len(body)))
        path = (self.endpoint.path + target).encode()
        return encode_request(method.encode(), path, header_fields) + body

    async def _exchange(self, connection: HttpConnection, data: bytes) -> Answer:
        body = bytearray()
        try:
            connection.start(data)
            head = await connection.response_head()
            while chunk := await connection.read():
                body += chunk
                if len(body) > MAX_RESPONSE_BYTES:
                    raise ResponseError(f"the answer exceeds {MAX_RESPONSE_BYTES} bytes")
        except BaseException:
            connection.abort()
            raise
        connection.finish()
        if connection.reusable:
            self._idle.append(connection)
        return Answer(status=head.status, headers=head.headers, body=bytes(body))

    def _pop_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.abort()
        return None

    async def _connect(self) -> HttpConnection:
        address = (self.endpoint.host, self.endpoint.port)
        return await connect(address, timeout_s=self.connect_timeout_s, tls=self.endpoint.tls)


def _raise_if_rate_limited(response: Answer) -> None:
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        retry_after_s = _parse_retry_after(header_text(response.headers, b"retry-after"))
        raise RateLimited("the platform's rate limit was reached", retry_after_s=retry_after_s)


def _error_text(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return str(error) or type(error).__name__


def _parse_retry_after(header: str) -> float:
    try:
        seconds = float(header)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)

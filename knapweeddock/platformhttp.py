"""HTTP client of the platform, with timeouts and typed errors.

All calls to the platform go through this module: those of the object API, the
list of VMs and the platform's store, which holds the catalog of configuration,
servers, evacuations and gateways.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
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
from knapweeddock.http1.client import HttpClientConnection, connect
from knapweeddock.http1.messages import Headers, encode_request_head, get_header_text
from knapweeddock.objectstore import MAX_VALUE_BYTES

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_TOTAL_TIMEOUT_S = 5.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
"""Limit on Retry-After in seconds, so that a wrong header cannot block a client for hours."""

MAX_RESPONSE_BYTES = 16 * MAX_VALUE_BYTES
"""Limit on a response body; lists of VMs and of object names are larger than a single value."""

MAX_TRANSFER_S = 30.0
"""Longest time in seconds that the body of a response may take."""

DEFAULT_PORTS = {"http": 80, "https": 443}


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Network location of the platform.

    Attributes:
        host: Host name or IP address.
        port: TCP port.
        tls: Whether connections use TLS.
        path: Prefix of the path of each call, without a trailing slash.
    """

    host: str
    port: int
    tls: bool = False
    path: str = ""

    @property
    def authority(self) -> str:
        """Value of the ``Host`` header."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_endpoint(url: str) -> Endpoint:
    """Return the endpoint of a base URL.

    Raises:
        ConfigError: The URL is not an http or https URL, or has no host or an invalid port.
    """
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        raise ConfigError(f"the platform's URL {url!r} is invalid: {error}") from error
    if parts.scheme not in DEFAULT_PORTS or not parts.hostname:
        raise ConfigError(f"the platform's URL {url!r} is not an http or https URL with a host")
    return Endpoint(
        host=parts.hostname,
        port=DEFAULT_PORTS[parts.scheme] if port is None else port,
        tls=parts.scheme == "https",
        path=parts.path.rstrip("/"),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformResponse:
    """A response of the platform.

    Attributes:
        status: Status code.
        headers: All headers.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def etag(self) -> str:
        """Value of the ``ETag`` header without ``W/`` and quotes, or ""."""
        return get_header_text(self.headers, b"etag").removeprefix("W/").strip('"')


class PlatformHttpClient:
    """HTTP client of the platform with a pool of idle connections.

    Reads reuse idle connections. Each write opens a new connection, since
    sending it on an idle connection that the platform has closed would leave the
    outcome of the write unknown. The client does not retry. A repeated conditional
    PUT would be reported as rejected if the first attempt took effect, and a
    repeated watch may block and miss changes that were in the lost response.

    Attributes:
        endpoint: Network location of the platform.
        connect_timeout_s: Longest time in seconds to open a connection.
        total_timeout_s: Longest duration of a call in seconds, including the
            time to open a connection. In a read, each part of the body that arrives
            begins it anew: a large body takes long on a narrow link.
        call_count: Number of calls, including rejected ones.
        observe_headers: Called with the headers of each response, whatever its status.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
        observe_headers: Callable[[Headers], None] = lambda headers: None,
    ) -> None:
        self.endpoint = endpoint
        self.observe_headers = observe_headers
        self.connect_timeout_s = connect_timeout_s
        self.total_timeout_s = total_timeout_s
        self.call_count = 0
        self._idle: list[HttpClientConnection] = []

    async def read(
        self, target: str, *, long_poll_s: float = 0.0, total_timeout_s: float | None = None
    ) -> PlatformResponse:
        """Send a GET request and return the response.

        Args:
            target: Path with its leading slash, and the query.
            long_poll_s: Time in seconds for which the platform may delay the
                response (long polling).
            total_timeout_s: Longest duration in seconds without that delay, and from one
                part of the body to the next; None means the client's ``total_timeout_s``.

        Raises:
            StoreUnavailable: There was no complete response, or its status is 5xx.
            RateLimited: The response has status 429.
        """
        part_timeout_s = total_timeout_s or self.total_timeout_s
        data = self._encode_request(HTTPMethod.GET, target, {}, b"")
        self.call_count += 1
        try:
            async with asyncio.timeout(part_timeout_s + long_poll_s) as timeout:
                connection = self._pop_idle() or await self._connect()
                response = await self._exchange(
                    connection, data, on_part=_extension(timeout, part_timeout_s)
                )
        except (PeerUnavailable, ResponseError, TimeoutError) as error:
            raise StoreUnavailable(f"GET {target}: {_error_text(error)}") from error
        _raise_if_rate_limited(response)
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(f"GET {target}: the platform responded with {response.status}")
        return response

    async def write(
        self,
        method: HTTPMethod,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> PlatformResponse:
        """Send a PUT, POST or DELETE request once and return the response.

        Raises:
            StoreUnavailable: There was no connection, or the status is 503.
            OutcomeUnknown: There was no complete response in time, or its status
                is 5xx other than 503. The write may have taken effect.
            RateLimited: The response has status 429.
        """
        data = self._encode_request(method, target, headers or {}, body)
        self.call_count += 1
        try:
            async with asyncio.timeout(self.total_timeout_s):
                response = await self._exchange(await self._connect(), data)
        except PeerUnavailable as error:
            raise StoreUnavailable(f"{method} {target}: {_error_text(error)}") from error
        except (ResponseError, TimeoutError) as error:
            raise OutcomeUnknown(f"{method} {target}: {_error_text(error)}") from error
        _raise_if_rate_limited(response)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise StoreUnavailable(f"{method} {target}: the platform responded with 503")
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise OutcomeUnknown(
                f"{method} {target}: the platform responded with {response.status}"
            )
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
        return encode_request_head(method.encode(), path, header_fields) + body

    async def _exchange(
        self,
        connection: HttpClientConnection,
        data: bytes,
        *,
        on_part: Callable[[], None] = lambda: None,
    ) -> PlatformResponse:
        body = bytearray()
        try:
            connection.start_exchange(data)
            head = await connection.read_head()
            self.observe_headers(head.headers)
            while chunk := await connection.read():
                body += chunk
                on_part()
                if len(body) > MAX_RESPONSE_BYTES:
                    raise ResponseError(f"the response body exceeds {MAX_RESPONSE_BYTES} bytes")
        except BaseException:
            connection.abort()
            raise
        connection.finish_exchange()
        if connection.reusable:
            self._idle.append(connection)
        return PlatformResponse(status=head.status, headers=head.headers, body=bytes(body))

    def _pop_idle(self) -> HttpClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.abort()
        return None

    async def _connect(self) -> HttpClientConnection:
        address = (self.endpoint.host, self.endpoint.port)
        return await connect(address, timeout_s=self.connect_timeout_s, tls=self.endpoint.tls)


def _extension(timeout: asyncio.Timeout, part_timeout_s: float) -> Callable[[], None]:
    """Return a function that lets ``timeout`` begin anew, up to ``MAX_TRANSFER_S`` in all."""
    loop = asyncio.get_running_loop()
    last_s: float | None = None

    def extend() -> None:
        nonlocal last_s
        now = loop.time()
        last_s = now + MAX_TRANSFER_S if last_s is None else last_s
        timeout.reschedule(min(now + part_timeout_s, last_s))

    return extend


def _raise_if_rate_limited(response: PlatformResponse) -> None:
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        retry_after_s = _parse_retry_after(get_header_text(response.headers, b"retry-after"))
        raise RateLimited("the platform's rate limit was reached", retry_after_s=retry_after_s)


def _error_text(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "no response in time"
    return str(error) or type(error).__name__


def _parse_retry_after(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)

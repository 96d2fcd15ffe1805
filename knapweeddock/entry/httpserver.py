"""HTTP server with limits on headers and connections, and JSON errors with result codes."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler
from mode import Service

from knapweeddock.codes import ResultCode
from knapweeddock.entry.messages import CodeResponse
from knapweeddock.entry.ports import BoundPort
from knapweeddock.entry.responses import code_response

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger(__name__)

KEEPALIVE_TIMEOUT_S = 75.0
"""Idle time after which a client connection is closed."""

LINGERING_TIMEOUT_S = 2.0
"""Maximum time to read the rest of a rejected request's body."""

SHUTDOWN_TIMEOUT_S = 1.0
"""Maximum time for handlers to finish when the server stops."""

FIRST_REQUEST_TIMEOUT_S = 10.0
"""Maximum time from accepting a connection to the end of its first request's headers."""

MAX_CONNECTIONS = 8192
"""Limit per port; connections above it are closed immediately."""

MAX_HEADERS = 128
BACKLOG = 1024


class JsonErrorHandler(RequestHandler):
    """Connection handler with JSON errors for invalid requests and failures of the handler."""

    __slots__ = ("first_request_timer",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the first request; aiohttp has one for later requests."""
        super().connection_made(transport)
        self.first_request_timer = self._loop.call_later(
            FIRST_REQUEST_TIMEOUT_S, self._close_unused
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timeout for the first request."""
        self.first_request_timer.cancel()
        super().connection_lost(exc)

    def _close_unused(self) -> None:
        if self._request_count == 0:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return an error response after which the connection is closed."""
        if request.writer.output_size > 0 or isinstance(exc, ConnectionError):
            raise ConnectionError("a response was started or the caller disconnected") from exc
        if status >= 500:
            log.error("request handler failed", exc_info=exc)
            response = CodeResponse(
                code=ResultCode.SERVER_LOST,
                message="The entry failed while it handled the request.",
            )
        else:
            too_long = isinstance(exc, LineTooLong)
            code = ResultCode.HEADER_TOO_LARGE if too_long else ResultCode.BAD_REQUEST
            response = CodeResponse(code=code, message=_one_line(message))
        web_response = code_response(response)
        web_response.force_close()
        return web_response


class BoundedServer(web.Server):
    """Creates a ``JsonErrorHandler`` for each connection, up to a limit."""

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Register a connection, or abort it above the limit."""
        super().connection_made(handler, transport)
        if len(self._connections) > MAX_CONNECTIONS:
            transport.abort()

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return JsonErrorHandler(self, loop=self._loop, **self._kwargs)


class HttpServer(Service):
    """Serves one port.

    Attributes:
        handler: Called for each request.
        header_limit: Maximum size in bytes of the request line and of each header field.
    """

    def __init__(self, *, port: BoundPort, handler: Handler, header_limit: int) -> None:
        super().__init__()
        self.port = port
        self.handler = handler
        self.header_limit = header_limit
        self.web_server: web.Server | None = None
        self.listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Start listening."""
        self.web_server = BoundedServer(
            self.handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=self.header_limit,
            max_field_size=self.header_limit,
            max_headers=MAX_HEADERS,
        )
        self.listener = await asyncio.get_running_loop().create_server(
            self.web_server, sock=self.port.socket, backlog=BACKLOG
        )

    async def on_stop(self) -> None:
        """Close the listening socket, then the connections."""
        if self.listener is not None:
            self.listener.close()
        if self.web_server is not None:
            self.web_server.pre_shutdown()
            await self.web_server.shutdown(SHUTDOWN_TIMEOUT_S)


def _one_line(message: str | None) -> str | None:
    return None if message is None else " ".join(message.split())[:200]

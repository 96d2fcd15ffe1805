"""Listening ports for HTTP/1.1, and their connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import structlog

from knapweeddock.http1.server import ClientLimits, HttpServerConnection, RequestHandler

log = structlog.get_logger(__name__)

ACCEPT_BACKLOG = 1024
"""Established connections that the kernel queues until they are accepted."""

MAX_REFUSED_HOSTS = 100
"""Largest number of hosts whose refused connections are logged, each once."""


class HttpListener:
    """A listening port and its connections.

    Attributes:
        handler: Called for each request. It writes the response.
        get_limits: Returns the limits in force.
        accepts: Returns whether connections from a host are accepted.
        connections: Open connections.
        draining: Whether connections are closed after their last response,
            which tells the client with ``Connection: close``.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        accepts: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.handler = handler
        self.accepts = accepts
        self.get_limits = get_limits
        self.connections: set[HttpServerConnection] = set()
        self.draining = False
        self._refused_hosts: set[str] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on ``address`` (host and port) and return the address that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(listener=self),
            address[0],
            address[1],
            backlog=ACCEPT_BACKLOG,
            reuse_address=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def log_refusal(self, host: str) -> None:
        """Log the first connection from a host that is not accepted."""
        if host not in self._refused_hosts and len(self._refused_hosts) < MAX_REFUSED_HOSTS:
            self._refused_hosts.add(host)
            log.warning("connection not accepted", host=host)

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def stop_accepting(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle_connections(self, min_idle_s: float = 0.0) -> int:
        """Close idle connections and return the number of open connections.

        Those that were just closed are counted, until their transports are closed.

        Args:
            min_idle_s: Time in seconds for which a connection must have been idle.
        """
        for connection in list(self.connections):
            connection.close_if_idle(min_idle_s)
        return len(self.connections)

    @property
    def active_request_count(self) -> int:
        """Number of requests without a complete response."""
        return sum(len(connection.requests) for connection in self.connections)

    def close(self) -> None:
        """Stop accepting new connections and abort the open ones."""
        self.stop_accepting()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


@contextlib.asynccontextmanager
async def listening(listener: HttpListener, address: tuple[str, int]) -> AsyncIterator[None]:
    """Listen on ``address`` within the block, and abort all connections at its end."""
    await listener.start(address)
    try:
        yield
    finally:
        listener.close()


@contextlib.asynccontextmanager
async def listening_if(
    listener: HttpListener, address: tuple[str, int] | None
) -> AsyncIterator[None]:
    """Listen on ``address`` within the block, unless there is none."""
    async with contextlib.AsyncExitStack() as stack:
        if address is not None:
            await stack.enter_async_context(listening(listener, address))
        yield

"""Pool of idle keep-alive connections to backend servers."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

from knapweeddock.gateway.records import Address
from knapweeddock.http1.client import HttpClientConnection

DEFAULT_IDLE_TIMEOUT_S = 8.0
"""Idle time in seconds after which a connection is no longer reused, for servers
that do not announce a keep-alive timeout."""

KEEP_ALIVE_MARGIN_S = 1.5
"""Safety margin in seconds before the end of the keep-alive timeout that a server
announces. A connection is not reused within it, since the server might close the
connection while the request is on its way."""

NON_IDEMPOTENT_MAX_IDLE_S = 1.0
"""Longest idle time in seconds of a connection that is reused for a non-idempotent
request. If the connection was silently lost, nobody can tell whether the request
ran, so it must not be retried; a new connection costs only a round trip, which takes
a millisecond within the region."""


class Destination(Protocol):
    """A server, or a peer that serves requests in its place.

    Attributes:
        server: Its identifier.
        address: Where it accepts connections.
    """

    server: str
    address: Address


class ConnectionPool:
    """Idle connections by server; the most recently used one is reused first.

    Attributes:
        connect: Opens a connection to a server, or raises ``PeerUnavailable``.
        get_max_idle: Returns how many idle connections to a server are kept.
        connections_opened: Number of connections opened since the start, including
            failed connection attempts.
    """

    def __init__(
        self,
        *,
        connect: Callable[[Destination], Awaitable[HttpClientConnection]],
        get_max_idle: Callable[[Destination], int],
    ) -> None:
        self.connect = connect
        self.get_max_idle = get_max_idle
        self.connections_opened = 0
        self._idle: dict[str, list[HttpClientConnection]] = {}

    async def acquire(
        self, entry: Destination, *, idempotent: bool, has_id: bool = True
    ) -> HttpClientConnection:
        """Return a connection to the server, a new one if no idle one can be reused.

        Args:
            entry: The server.
            idempotent: Whether the request may run more than once; if not, only
                connections that were idle for a short time are reused.
            has_id: Whether the request has an identifier that its response repeats. On a
                reused connection nothing else tells a late response to an earlier request
                from its own.

        Raises:
            PeerUnavailable: No connection could be opened; nothing was sent.
        """
        reused = self._acquire_idle(entry, idempotent=idempotent) if has_id else None
        if reused is not None:
            return reused
        self.connections_opened += 1
        return await self.connect(entry)

    def _acquire_idle(self, entry: Destination, *, idempotent: bool) -> HttpClientConnection | None:
        idle = self._idle.get(entry.server)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if not connection.reusable or connection.address != entry.address:
                connection.abort()
                continue
            max_idle_s = _max_idle_s(connection)
            if not idempotent:
                max_idle_s = min(max_idle_s, NON_IDEMPOTENT_MAX_IDLE_S)
            if now - connection.idle_since <= max_idle_s:
                return connection
            if idempotent:
                connection.abort()
                continue
            # An idempotent request may still reuse it. The others have been idle longer.
            idle.append(connection)
            return None
        return None

    def release(self, entry: Destination, connection: HttpClientConnection) -> None:
        """End an exchange; keep the connection if it can be reused, else close it.

        Closes the least recently used idle connection of the server when there are
        more than ``get_max_idle`` returns.
        """
        connection.finish_exchange()
        if not connection.reusable:
            return
        idle = self._idle.setdefault(entry.server, [])
        idle.append(connection)
        if len(idle) > self.get_max_idle(entry):
            idle.pop(0).abort()

    def retain_servers(self, server_ids: Collection[str]) -> None:
        """Close the idle connections to all servers but those listed."""
        for server_id in [server_id for server_id in self._idle if server_id not in server_ids]:
            self.close_idle(server_id)

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(server_id, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain_servers(())


def _max_idle_s(connection: HttpClientConnection) -> float:
    if connection.keep_alive_timeout_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(0.0, connection.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S)

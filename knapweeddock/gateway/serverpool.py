"""Connections to backend servers."""

import asyncio
from collections.abc import Callable, Collection

from knapweeddock.gateway.records import ServerEntry
from knapweeddock.http1.client import HttpConnection, connect
from knapweeddock.ids import ServerId

CONNECT_TIMEOUT_S = 0.25
"""Time for a new connection in seconds; a round trip to another region takes 24 ms."""

IDLE_LIMIT_S = 8.0
"""Idle time in seconds after which a connection is not used again unless the
server announced a longer time."""

IDLE_MARGIN_S = 1.5
"""Time in seconds before the announced end of an idle connection at which it is
not used any more, so that a request does not cross the server's close."""

PROVEN_IDLE_S = 1.0
"""Idle time in seconds up to which a connection carries a request that must not
be repeated: when a connection has silently gone, nobody can tell whether the
request ran, and a new connection costs a millisecond."""


class ServerPool:
    """Idle connections by server, the latest used last.

    Attributes:
        idle_limit: Returns how many idle connections to a server are kept.
        opened: Number of connections that were opened.
    """

    def __init__(self, *, idle_limit: Callable[[ServerEntry], int]) -> None:
        self.idle_limit = idle_limit
        self.opened = 0
        self._idle: dict[ServerId, list[HttpConnection]] = {}

    async def take(self, entry: ServerEntry, *, idempotent: bool) -> HttpConnection:
        """Return a connection to the server, a new one when none is fit.

        Raises:
            PeerUnavailable: There is no connection; nothing was sent.
        """
        found = self._reuse(entry, idempotent=idempotent)
        if found is not None:
            return found
        self.opened += 1
        return await connect(entry.address, timeout_s=CONNECT_TIMEOUT_S)

    def _reuse(self, entry: ServerEntry, *, idempotent: bool) -> HttpConnection | None:
        idle = self._idle.get(entry.server)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if not connection.reusable or connection.address != entry.address:
                connection.abort()
                continue
            limit_s = _idle_limit_s(connection)
            if not idempotent:
                limit_s = min(limit_s, PROVEN_IDLE_S)
            if now - connection.idle_since <= limit_s:
                return connection
            if idempotent:
                connection.abort()
                continue
            idle.append(connection)
            return None
        return None

    def give_back(self, entry: ServerEntry, connection: HttpConnection) -> None:
        """End an exchange and keep the connection if it can be used again."""
        connection.finish()
        if not connection.reusable:
            return
        idle = self._idle.setdefault(entry.server, [])
        idle.append(connection)
        if len(idle) > self.idle_limit(entry):
            idle.pop(0).abort()

    def keep_only(self, servers: Collection[ServerId]) -> None:
        """Close idle connections to all other servers."""
        for server in [server for server in self._idle if server not in servers]:
            self.drop(server)

    def drop(self, server: ServerId) -> None:
        """Close the idle connections to ``server``."""
        for connection in self._idle.pop(server, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(())


def _idle_limit_s(connection: HttpConnection) -> float:
    if connection.keep_alive_s is None:
        return IDLE_LIMIT_S
    return max(0.0, connection.keep_alive_s - IDLE_MARGIN_S)

"""Opens the connections of this gateway to backend servers."""

from collections.abc import Awaitable, Callable

from knapweeddock.gateway.records import ServerEntry
from knapweeddock.http1.client import HttpClientConnection, connect

CONNECT_TIMEOUT_S = 0.25
"""Connect timeout in seconds; a round trip to another region takes 24 ms."""

OpenConnection = Callable[..., Awaitable[HttpClientConnection]]
"""Opens a connection to an address within ``timeout_s`` seconds, as ``http1.client.connect``."""


class ServerConnector:
    """Opens connections to backend servers, for requests and for checks.

    Attributes:
        open_connection: Opens a connection to an address.
    """

    def __init__(self, *, open_connection: OpenConnection = connect) -> None:
        self.open_connection = open_connection

    async def connect(self, entry: ServerEntry) -> HttpClientConnection:
        """Open a connection to a server.

        Raises:
            PeerUnavailable: The connection failed or was not established in time.
        """
        return await self.open_connection(entry.address, timeout_s=CONNECT_TIMEOUT_S)

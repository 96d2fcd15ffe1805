"""Opens the connections of this gateway to backend servers."""

import time
from collections.abc import Awaitable, Callable

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.records import ServerEntry
from knapweeddock.http1.client import HttpClientConnection, connect

CONNECT_TIMEOUT_S = 0.25
"""Connect timeout in seconds; a round trip to another region takes 24 ms."""

OpenConnection = Callable[..., Awaitable[HttpClientConnection]]
"""Opens a connection to an address within ``timeout_s`` seconds, as ``http1.client.connect``."""


class ServerConnector:
    """Opens connections to backend servers, for requests and for checks.

    Attributes:
        reach_board: Learns whether servers are reached.
        on_failure: Called after a connection has failed.
        open_connection: Opens a connection to an address.
    """

    def __init__(
        self, *, reach_board: ReachBoard, open_connection: OpenConnection = connect
    ) -> None:
        self.reach_board = reach_board
        self.on_failure: Callable[[], None] = lambda: None
        self.open_connection = open_connection

    async def connect(self, entry: ServerEntry) -> HttpClientConnection:
        """Open a connection to a server, and learn from it.

        Raises:
            PeerUnavailable: The connection failed or was not established in time.
        """
        try:
            connection = await self.open(entry)
        except PeerUnavailable:
            self.reach_board.of(entry.service).record_failed(entry.server, time.monotonic())
            self.on_failure()
            raise
        self.reach_board.of(entry.service).record_connected(time.monotonic())
        return connection

    async def open(self, entry: ServerEntry) -> HttpClientConnection:
        """Open a connection to a server.

        Raises:
            PeerUnavailable: The connection failed or was not established in time.
        """
        return await self.open_connection(entry.address, timeout_s=CONNECT_TIMEOUT_S)

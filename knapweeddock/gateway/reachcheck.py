"""Checks by connections whether this gateway reaches backend servers."""

import asyncio
import time

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.fleet import ServerState
from knapweeddock.gateway.reach import Reach
from knapweeddock.gateway.serverconnector import ServerConnector


class ReachChecker:
    """Runs the checks that are due, one at a time.

    Attributes:
        reach: Decides when a check is due, and what follows from it.
        connector: Opens connections to servers.
    """

    def __init__(self, *, reach: Reach, connector: ServerConnector) -> None:
        self.reach = reach
        self.connector = connector
        self._running: asyncio.Task[None] | None = None

    def start_due_check(self) -> None:
        """Start a check if one is due and none is running."""
        now = time.monotonic()
        if self._running is None and self.reach.is_check_due(now):
            servers = self.reach.choose_servers(now)
            self._running = asyncio.create_task(self._check(servers))
            self._running.add_done_callback(self._end_check)

    async def wait(self) -> None:
        """Wait until no check is running."""
        if self._running is not None:
            await asyncio.wait([self._running])

    def _end_check(self, task: asyncio.Task[None]) -> None:
        self._running = None
        if not task.cancelled():
            task.result()

    async def _check(self, servers: list[ServerState]) -> None:
        """Connect to ``servers``; while the gateway reaches some, one of them is enough."""
        attempts = [asyncio.create_task(self._can_connect(server)) for server in servers]
        reached = 0
        try:
            for attempt in asyncio.as_completed(attempts):
                reached += await attempt
                if reached and self.reach.reaches_servers:
                    break
        finally:
            for each in attempts:
                each.cancel()
        self.reach.record_check(reached=reached, checked=len(servers), now=time.monotonic())

    async def _can_connect(self, server: ServerState) -> bool:
        try:
            connection = await self.connector.open(server.entry)
        except PeerUnavailable:
            # The reach of servers counts, not each one of them.
            return False
        connection.abort()
        return True

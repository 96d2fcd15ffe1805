"""Checks by connections whether this gateway reaches backend servers."""

import asyncio
import time

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.evidence.reach import Reach
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.placement.fleet import ServerState
from knapweeddock.gateway.requests.serverconnector import ServerConnector
from knapweeddock.ids import ServiceId


class ReachChecker:
    """Runs the checks that are due, one at a time for each service.

    Attributes:
        board: Decides when checks are due, and what follows from them.
        connector: Opens connections to servers.
    """

    def __init__(self, *, board: ReachBoard, connector: ServerConnector) -> None:
        self.board = board
        self.connector = connector
        self._running: dict[ServiceId, asyncio.Task[None]] = {}

    def start_due_checks(self) -> None:
        """Start the checks that are due and not running."""
        now = time.monotonic()
        for reach in self.board.all():
            if reach.service not in self._running and reach.is_check_due(now):
                servers = reach.choose_servers(now)
                task = asyncio.create_task(self._check(reach, servers))
                self._running[reach.service] = task
                task.add_done_callback(lambda _, service=reach.service: self._running.pop(service))

    async def wait(self, service: ServiceId) -> None:
        """Wait until no check of ``service`` is running."""
        task = self._running.get(service)
        if task is not None:
            await asyncio.wait([task])

    async def _check(self, reach: Reach, servers: list[ServerState]) -> None:
        """Connect to ``servers``; while the gateway reaches some, one of them is enough."""
        attempts = [asyncio.create_task(self._can_connect(server)) for server in servers]
        reached = 0
        try:
            for attempt in asyncio.as_completed(attempts):
                reached += await attempt
                if reached and reach.reaches_servers:
                    break
        finally:
            for each in attempts:
                each.cancel()
        reach.record_check(reached=reached, checked=len(servers), now=time.monotonic())

    async def _can_connect(self, server: ServerState) -> bool:
        try:
            connection = await self.connector.open(server.entry)
        except PeerUnavailable:
            # The reach of the service counts, not that of each server.
            return False
        connection.abort()
        return True

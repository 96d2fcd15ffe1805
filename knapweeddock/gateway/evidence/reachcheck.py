"""Checks by connections whether this gateway reaches backend servers."""

import asyncio
import time

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.evidence.reach import Reach, ReachState
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.placement.fleet import ServerState
from knapweeddock.gateway.requests.serverconnector import ServerConnector
from knapweeddock.ids import ServiceId

STAGGER_S = 0.05
"""Time in seconds after which the next server is tried; a round trip to another region takes
24 ms."""


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
        """Connect to ``servers``, one after the other while they do not respond at once.

        Unless a cut is to be over, one that is reached is enough.
        """
        reached = 0
        pending: set[asyncio.Task[bool]] = set()
        try:
            for server in servers:
                pending.add(asyncio.create_task(self._can_connect(server)))
                done, pending = await asyncio.wait(
                    pending, timeout=STAGGER_S, return_when=asyncio.FIRST_COMPLETED
                )
                reached += sum(attempt.result() for attempt in done)
                if reached and reach.state is not ReachState.CUT_OFF:
                    break
            else:
                reached += sum(await asyncio.gather(*pending))
        finally:
            for each in pending:
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

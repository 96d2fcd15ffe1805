"""Keeps the view up to date with the store, through its outages."""

import asyncio
import random
import time

import structlog

from knapweeddock.errors import HistoryGone, StoreError
from knapweeddock.gateway.catalog import Catalog, Topic
from knapweeddock.gateway.view import View
from knapweeddock.ids import Revision

log = structlog.get_logger(__name__)

WATCH_S = 25.0
"""Time in seconds for which the store may hold a watch; each one is a priced call."""

BATCH_S = {
    Topic.CONFIGURATION: 0.1,
    Topic.SERVERS: 0.4,
    Topic.EVACUATIONS: 0.4,
    Topic.GATEWAYS: 0.8,
}
"""Pause in seconds between two watches, in which further changes collect; each
watch is a priced call, and servers register and leave by the dozen."""

RETRY_START_S = 0.1
RETRY_MAX_S = 0.6
"""Bounds of the pause in seconds before a failed call is repeated; kept under the
time within which a store that is back must be noticed."""

PING_PART = 0.4
"""Interval of the pings relative to the time within which silence must be noticed."""


class StoreFollower:
    """Follows all topics of the store.

    Attributes:
        connected: Whether the store answered last.
        returned_at: Monotonic time at which the store answered after an outage.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        view: View,
        silence_s: float,
        lapse_s: float,
        rng: random.Random,
    ) -> None:
        self.catalog = catalog
        self.view = view
        self.silence_s = silence_s
        self.lapse_s = lapse_s
        self.rng = rng
        self.connected = True
        self.returned_at = float("-inf")
        self._waiting: dict[Topic, asyncio.Task[object]] = {}

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            for topic in Topic:
                group.create_task(self._follow(topic))
            group.create_task(self._ping())

    def grace_s(self) -> float:
        """Return for how long in seconds a missing server is kept.

        Registrations may lapse while the store is away, and come back within a
        short time after it.
        """
        return max(0.0, self.returned_at + self.lapse_s - time.monotonic())

    async def _follow(self, topic: Topic) -> None:
        revision: Revision | None = None
        failures = 0
        while True:
            try:
                if revision is None:
                    revision = await self._read(topic)
                else:
                    revision = await self._watch(topic, revision)
                failures = 0
            except HistoryGone:
                log.info("history gone; reading the whole list", topic=topic.value)
                revision = None
            except StoreError as error:
                failures += 1
                if failures > 1 or revision is None:
                    # One watch that breaks off is no outage.
                    self._lost(str(error))
                    await self._pause(failures)

    async def _read(self, topic: Topic) -> Revision:
        snapshot = await self.catalog.snapshot(topic)
        self._answered()
        self.view.take_snapshot(topic, snapshot, grace_s=self.grace_s())
        return snapshot.revision

    async def _watch(self, topic: Topic, revision: Revision) -> Revision:
        task = asyncio.create_task(self.catalog.changes(topic, revision, WATCH_S))
        self._waiting[topic] = task
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            del self._waiting[topic]
        if task.cancelled():
            # The ping found the store silent; the watch may be lost.
            return revision
        found = task.result()
        self._answered()
        for change in found.changes:
            self.view.take_change(topic, change, grace_s=self.grace_s())
        if found.changes:
            await asyncio.sleep(BATCH_S[topic])
        return found.revision

    async def _ping(self) -> None:
        failures = 0
        while True:
            try:
                await self.catalog.ping()
            except StoreError as error:
                failures += 1
                self._lost(str(error))
                if failures == 1:
                    self._restart_watches()
                await self._pause(failures)
            else:
                if failures:
                    self._answered()
                    self._restart_watches()
                failures = 0
                await asyncio.sleep(PING_PART * self.silence_s)

    def _restart_watches(self) -> None:
        for task in self._waiting.values():
            task.cancel()

    async def _pause(self, failures: int) -> None:
        pause_s = min(RETRY_MAX_S, RETRY_START_S * 2 ** min(failures, 8))
        await asyncio.sleep(pause_s * (0.5 + 0.5 * self.rng.random()))

    def _lost(self, reason: str) -> None:
        if self.connected:
            log.warning("store lost", reason=reason)
        self.connected = False

    def _answered(self) -> None:
        if not self.connected:
            self.returned_at = time.monotonic()
            log.info("store regained")
        self.connected = True

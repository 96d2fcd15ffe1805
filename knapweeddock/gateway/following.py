"""Keeps the mirror up to date with the store, through its outages."""

import asyncio
import random
import time

import structlog

from knapweeddock.errors import HistoryGone, StoreError
from knapweeddock.gateway.catalog import Catalog, Topic
from knapweeddock.gateway.mirror import Mirror

log = structlog.get_logger(__name__)

WATCH_TIMEOUT_FRACTION = 0.75
"""Time for which the store may hold a watch, relative to the time for which it keeps
its history: what a watch returns is then recent enough for the next one."""

BATCH_PAUSE_S = {
    Topic.CONFIGURATION: 0.1,
    Topic.SERVERS: 0.4,
    Topic.EVACUATIONS: 0.4,
    Topic.GATEWAYS: 0.8,
}
"""Pause in seconds between two watches, in which further changes collect; each
watch is a priced call, and servers register and leave by the dozen."""

BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.6
"""Bounds of the pause in seconds before a failed call is repeated; kept under the
time within which a store that is back must be noticed."""

PING_INTERVAL_FRACTION = 0.1
MIN_PING_TIMEOUT_FRACTION = 0.15
MAX_PING_TIMEOUT_FRACTION = 0.4
"""Interval of the pings, and bounds of the time for their answer, relative to the time
within which silence must be noticed. Gateways that take changes from this one have to
notice it, try another relay, and read the store by themselves within that time."""

PING_LATENCY_FACTOR = 4.0
"""Time for the answer to a ping relative to the time that the last one took."""


class StoreFollower:
    """Follows all topics of the store.

    While the store is away only pings are repeated, since every call is priced.

    Attributes:
        answered_at: Monotonic time of the store's last answer.
        returned_at: Monotonic time at which the store answered after an outage.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        mirror: Mirror,
        silence_s: float,
        lapse_s: float,
        history_s: float,
        rng: random.Random,
    ) -> None:
        self.catalog = catalog
        self.mirror = mirror
        self.silence_s = silence_s
        self.lapse_s = lapse_s
        self.watch_timeout_s = WATCH_TIMEOUT_FRACTION * history_s
        self.rng = rng
        self.recovered_at = float("-inf")
        self._connected = asyncio.Event()
        self._connected.set()
        self.last_answer_at = time.monotonic()
        self._watch_tasks: dict[Topic, asyncio.Task[object]] = {}

    @property
    def connected(self) -> bool:
        """Whether the store answered last."""
        return self._connected.is_set()

    async def list_missing_topics(self) -> None:
        """Read the topics that were never read, until all of them are there."""
        async with asyncio.TaskGroup() as group:
            for topic in Topic:
                if topic not in self.mirror.revisions:
                    group.create_task(self._list_until_success(topic))

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            for topic in Topic:
                group.create_task(self._follow_topic(topic))
            group.create_task(self._run_pings())

    def grace_s(self) -> float:
        """Return for how long in seconds a missing server is kept.

        Registrations may lapse while the store is away, and come back within a
        short time after it.
        """
        return max(0.0, self.recovered_at + self.lapse_s - time.monotonic())

    def age_s(self) -> float:
        """Return the seconds since the store answered last."""
        return time.monotonic() - self.last_answer_at

    async def _list_until_success(self, topic: Topic) -> None:
        failures = 0
        while True:
            started_at = time.monotonic()
            try:
                await self._list_topic(topic)
                return
            except StoreError as error:
                failures += 1
                self._record_failure(str(error), started_at)
                await self._back_off(failures)

    async def _follow_topic(self, topic: Topic) -> None:
        failures = 0
        while True:
            await self._connected.wait()
            started_at = time.monotonic()
            try:
                if topic in self.mirror.revisions:
                    await self._watch_topic(topic)
                else:
                    await self._list_topic(topic)
                failures = 0
            except HistoryGone:
                log.info("history gone; reading all lists", topic=topic.value)
                self._relist_all_topics()
            except StoreError as error:
                failures += 1
                was_watching = self.mirror.revisions.pop(topic, None) is not None
                if was_watching:
                    # The list tells what a broken watch has missed; a new watch from
                    # the same revision may wait without ever hearing of it.
                    log.info("watch broken", topic=topic.value, reason=str(error))
                else:
                    self._record_failure(str(error), started_at)
                await self._back_off(failures)

    async def _list_topic(self, topic: Topic) -> None:
        snapshot = await self.catalog.snapshot(topic)
        self._record_answer()
        self.mirror.apply_snapshot(topic, snapshot, grace_s=self.grace_s())

    async def _watch_topic(self, topic: Topic) -> None:
        revision = self.mirror.revisions[topic]
        task = asyncio.create_task(self.catalog.changes(topic, revision, self.watch_timeout_s))
        self._watch_tasks[topic] = task
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            del self._watch_tasks[topic]
        if task.cancelled():
            # The watch may be lost, or wait at a revision whose history is gone.
            return
        batch = task.result()
        self._record_answer()
        if self.mirror.revisions.get(topic) == revision:
            self.mirror.apply_changes(topic, batch, grace_s=self.grace_s())
        if batch.changes:
            await asyncio.sleep(BATCH_PAUSE_S[topic])

    def _relist_all_topics(self) -> None:
        """Read all lists again.

        A watch that began shortly before the history was lost may wait on
        without hearing of what was lost.
        """
        self.mirror.revisions.clear()
        self._restart_watches()

    async def _run_pings(self) -> None:
        failures = 0
        timeout_s = MIN_PING_TIMEOUT_FRACTION * self.silence_s
        while True:
            started_at = time.monotonic()
            try:
                await self.catalog.ping(timeout_s)
            except StoreError as error:
                failures += 1
                self._record_failure(str(error), started_at)
                if failures == 1:
                    self._restart_watches()
                # The store may be slow instead of away.
                timeout_s = MAX_PING_TIMEOUT_FRACTION * self.silence_s
                await self._back_off(failures)
            else:
                scaled_latency_s = PING_LATENCY_FACTOR * (time.monotonic() - started_at)
                timeout_s = self._ping_timeout_s(scaled_latency_s)
                if failures:
                    self._restart_watches()
                self._record_answer()
                failures = 0
                await asyncio.sleep(PING_INTERVAL_FRACTION * self.silence_s)

    def _ping_timeout_s(self, scaled_latency_s: float) -> float:
        min_timeout_s = MIN_PING_TIMEOUT_FRACTION * self.silence_s
        return min(MAX_PING_TIMEOUT_FRACTION * self.silence_s, max(min_timeout_s, scaled_latency_s))

    def _restart_watches(self) -> None:
        for task in self._watch_tasks.values():
            task.cancel()

    async def _back_off(self, failures: int) -> None:
        backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(failures, 8))
        await asyncio.sleep(backoff_s * (0.5 + 0.5 * self.rng.random()))

    def _record_failure(self, reason: str, started_at: float) -> None:
        """Note a failed call, unless another one was answered after its start."""
        if started_at < self.last_answer_at:
            return
        if self.connected:
            log.warning("store lost", reason=reason)
        self._connected.clear()

    def _record_answer(self) -> None:
        self.last_answer_at = time.monotonic()
        if not self.connected:
            self.recovered_at = self.last_answer_at
            log.info("store regained")
        self._connected.set()

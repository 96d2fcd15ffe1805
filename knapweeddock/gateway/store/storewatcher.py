"""Lists and watches the store to keep the store cache up to date, also across outages."""

import asyncio
import random
import time
from collections.abc import Iterable

import structlog

from knapweeddock.errors import EraChanged, HistoryGone, StoreError
from knapweeddock.gateway.store.storecache import StoreCache
from knapweeddock.gateway.store.storeclient import StoreClient, Topic
from knapweeddock.ids import Era

log = structlog.get_logger(__name__)

WATCH_TIMEOUT_FRACTION = 0.75
"""Longest watch, as a fraction of the time for which the store keeps its history; the
revision that a watch returns is then recent enough to start the next watch."""

MAX_WATCH_FRACTION = 0.65
WATCH_ANSWER_FRACTION = 0.2
"""Longest watch, and the time after its end within which the answer must arrive, as fractions of
``outage_detection_s``. The answer to a watch may be lost while the store responds to all other
calls; this shows it, with time left for listing the topic."""

BATCH_PAUSE_S = {
    Topic.CONFIGURATION: 0.1,
    Topic.SERVERS: 0.4,
    Topic.EVACUATIONS: 0.4,
    Topic.GATEWAYS: 0.8,
}
"""Pause in seconds between two watches, during which further changes accumulate: the
platform bills every call, and servers register and leave by the dozen."""

BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.6
"""Exponential backoff in seconds after failed calls: ``BASE_BACKOFF_S * 2**failures``, at
most ``MAX_BACKOFF_S``, of which jitter takes off up to a half. The longest backoff is
shorter than the time within which the recovery of the store must be noticed."""

MAX_PING_BACKOFF_S = 0.25
"""The same for pings, which alone are repeated while the store is away. A gateway keeps servers
that the store no longer lists for ``reregistration_s`` after it has noticed the return, and that
time must be over when ``outage_detection_s`` after the return is."""

RETURN_SPREAD_S = 0.25
"""Time in seconds over which gateways spread their lists after the store came back from
an older copy, since all that watch it notice that in the same moment."""

PING_INTERVAL_FRACTION = 0.1
"""Interval of the pings, as a fraction of ``outage_detection_s``."""

MIN_PING_TIMEOUT_FRACTION = 0.15
"""Shortest timeout of a ping, as a fraction of ``outage_detection_s``. If pings time out
after this time, the gateways that subscribe to this one can detect the outage, try
another relay, and list the store themselves within ``outage_detection_s``."""

MAX_PING_TIMEOUT_FRACTION = 0.4
"""Longest timeout of a ping, also the one after a failed ping, as a fraction of
``outage_detection_s``."""

PING_LATENCY_FACTOR = 4.0
"""Timeout of a ping, as a multiple of the latency of the last successful one; limited by
``MIN_PING_TIMEOUT_FRACTION`` and ``MAX_PING_TIMEOUT_FRACTION``."""


class StoreWatcher:
    """Lists and watches all topics of the store.

    During an outage ``run`` retries only pings, since the platform bills every call.

    Attributes:
        outage_detection_s: Time in seconds within which an outage of the store must be
            detected.
        reregistration_s: Time in seconds within which servers register again after an
            outage of the store.
        history_retention_s: Time in seconds for which the store keeps its history.
        last_response_at: Monotonic time of the store's last response, or of the
            construction while there was none.
        recovered_at: Monotonic time of the first response after the latest outage.
    """

    def __init__(
        self,
        *,
        store_client: StoreClient,
        store_cache: StoreCache,
        outage_detection_s: float,
        reregistration_s: float,
        history_retention_s: float,
        rng: random.Random,
    ) -> None:
        self.store_client = store_client
        self.store_cache = store_cache
        self.outage_detection_s = outage_detection_s
        self.reregistration_s = reregistration_s
        self.history_retention_s = history_retention_s
        self.rng = rng
        self.recovered_at = float("-inf")
        self._store_reachable = asyncio.Event()
        self._store_reachable.set()
        self.last_response_at = time.monotonic()
        self._watch_tasks: dict[Topic, asyncio.Task[object]] = {}
        self._next_list_at = float("-inf")
        store_client.era_listeners.append(self._handle_new_era)

    @property
    def store_reachable(self) -> bool:
        """Whether no list or ping that started after the store's last response has failed.

        A call that the store refuses counts as failed; a broken watch does not.
        """
        return self._store_reachable.is_set()

    @property
    def watch_timeout_s(self) -> float:
        """Longest watch in seconds."""
        return min(
            WATCH_TIMEOUT_FRACTION * self.history_retention_s,
            MAX_WATCH_FRACTION * self.outage_detection_s,
        )

    async def list_missing_topics(self, topics: Iterable[Topic]) -> None:
        """List those of ``topics`` that are not in the store cache, with retries until they are."""
        async with asyncio.TaskGroup() as group:
            for topic in topics:
                if not self.store_cache.is_listed(topic):
                    group.create_task(self._list_until_success(topic))

    async def run(self) -> None:
        """List and watch all topics until cancelled."""
        async with asyncio.TaskGroup() as group:
            for topic in Topic:
                group.create_task(self._follow_topic(topic))
            group.create_task(self._run_pings())

    def server_removal_grace_s(self) -> float:
        """Return the seconds for which a server that the store no longer lists is kept.

        Registrations may expire during an outage of the store, and those written since
        the copy from which the store came back are lost; the servers register again
        within ``reregistration_s`` seconds.
        """
        return max(0.0, self.recovered_at + self.reregistration_s - time.monotonic())

    def age_s(self) -> float:
        """Return the seconds since the store's last response."""
        return time.monotonic() - self.last_response_at

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
            await self._store_reachable.wait()
            started_at = time.monotonic()
            try:
                if self.store_cache.is_listed(topic):
                    await self._watch_topic(topic)
                else:
                    await asyncio.sleep(self._next_list_at - time.monotonic())
                    await self._list_topic(topic)
                failures = 0
            except HistoryGone:
                log.info("history gone; reading all lists", topic=topic.value)
                self._relist(Topic)
                failures += 1
                await self._back_off(failures)
            except EraChanged as error:
                log.info("watch belongs to another era", topic=topic.value, reason=str(error))
                self._relist_earlier_eras()
            except StoreError as error:
                failures += 1
                was_watching = self.store_cache.is_listed(topic)
                self.store_cache.invalidate(topic)
                if was_watching:
                    # A list contains the changes that the broken watch missed; after an
                    # error, a new watch from the same revision may never report them.
                    log.info("watch broken", topic=topic.value, reason=str(error))
                else:
                    self._record_failure(str(error), started_at)
                await self._back_off(failures)

    async def _list_topic(self, topic: Topic) -> None:
        snapshot = await self.store_client.list_objects(topic)
        self._record_response()
        self.store_cache.apply_snapshot(topic, snapshot, grace_s=self.server_removal_grace_s())

    async def _watch_topic(self, topic: Topic) -> None:
        position = self.store_cache.positions[topic]
        watch = self.store_client.watch(
            topic,
            position,
            self.watch_timeout_s,
            answer_timeout_s=WATCH_ANSWER_FRACTION * self.outage_detection_s,
        )
        task = asyncio.create_task(watch)
        self._watch_tasks[topic] = task
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            del self._watch_tasks[topic]
        if task.cancelled():
            # By _restart_watches. Awaiting the task itself would not tell this apart
            # from the cancellation of the watcher.
            return
        batch = task.result()
        self._record_response()
        # Another topic may have lost its history in the meantime.
        if self.store_cache.is_listed(topic):
            self.store_cache.apply_changes(topic, batch, grace_s=self.server_removal_grace_s())
        if batch.changes:
            await asyncio.sleep(BATCH_PAUSE_S[topic])

    def _relist(self, topics: Iterable[Topic]) -> None:
        """List ``topics`` again before they are watched.

        A watch that began shortly before the store lost its history may keep waiting
        and never report the lost changes.
        """
        for topic in topics:
            self.store_cache.invalidate(topic)
        self._restart_watches()

    def _relist_earlier_eras(self) -> None:
        """List the topics again that are known from an earlier era than the store's.

        A watch from a revision of an earlier era would miss the changes at and below it,
        since the store has given out the revision again.
        """
        positions = self.store_cache.positions
        self._relist(topic for topic in positions if positions[topic].era != self.store_client.era)

    def _handle_new_era(self, era: Era) -> None:
        now = time.monotonic()
        self.recovered_at = now
        self._next_list_at = now + RETURN_SPREAD_S * self.rng.random()
        self._relist_earlier_eras()

    async def _run_pings(self) -> None:
        failures = 0
        timeout_s = MIN_PING_TIMEOUT_FRACTION * self.outage_detection_s
        while True:
            started_at = time.monotonic()
            try:
                await self.store_client.ping(timeout_s)
            except StoreError as error:
                failures += 1
                self._record_failure(str(error), started_at)
                if failures == 1:
                    self._restart_watches()
                # The store may be slow rather than unavailable.
                timeout_s = MAX_PING_TIMEOUT_FRACTION * self.outage_detection_s
                await self._back_off(failures, longest_s=MAX_PING_BACKOFF_S)
            else:
                scaled_latency_s = PING_LATENCY_FACTOR * (time.monotonic() - started_at)
                timeout_s = self._ping_timeout_s(scaled_latency_s)
                if failures:
                    self._restart_watches()
                self._record_response()
                failures = 0
                await asyncio.sleep(PING_INTERVAL_FRACTION * self.outage_detection_s)

    def _ping_timeout_s(self, scaled_latency_s: float) -> float:
        min_timeout_s = MIN_PING_TIMEOUT_FRACTION * self.outage_detection_s
        return min(
            MAX_PING_TIMEOUT_FRACTION * self.outage_detection_s,
            max(min_timeout_s, scaled_latency_s),
        )

    def _restart_watches(self) -> None:
        """Cancel the running watches, whose connections may be dead.

        A topic that need not be listed again is then watched from its known position.
        """
        for task in self._watch_tasks.values():
            task.cancel()

    async def _back_off(self, failures: int, *, longest_s: float = MAX_BACKOFF_S) -> None:
        backoff_s = min(longest_s, BASE_BACKOFF_S * 2 ** min(failures, 8))
        await asyncio.sleep(backoff_s * (0.5 + 0.5 * self.rng.random()))

    def _record_failure(self, reason: str, started_at: float) -> None:
        """Mark the store as unreachable, unless it has responded since the call started."""
        if started_at < self.last_response_at:
            return
        if self.store_reachable:
            log.warning("store lost", reason=reason)
        self._store_reachable.clear()

    def _record_response(self) -> None:
        self.last_response_at = time.monotonic()
        if not self.store_reachable:
            self.recovered_at = self.last_response_at
            log.info("store regained")
        self._store_reachable.set()

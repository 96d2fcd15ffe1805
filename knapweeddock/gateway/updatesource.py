"""Decides whether a gateway watches the store itself or subscribes to a relay."""

import asyncio
import random
import time
from collections.abc import Callable, Collection

import structlog

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.gateway.peers import relay_order
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.regionfeed import RegionFeed
from knapweeddock.gateway.relay import RELAY_TIMEOUT_S, RelayServer, subscribe
from knapweeddock.gateway.storecache import StoreCache
from knapweeddock.gateway.storeclient import Topic
from knapweeddock.gateway.storewatcher import StoreWatcher
from knapweeddock.ids import RegionId, VmId

log = structlog.get_logger(__name__)

RELAYS_PER_REGION = 2
"""Number of gateways of a region that relay changes to the others. The first one watches the
store; the second subscribes to the first, and watches the store when the first fails."""

MIN_GATEWAYS_FOR_RELAYS = 3
"""Size of a region below which each of its gateways watches the store itself."""

STARTUP_WAIT_S = 1.0
"""Time in seconds after the start in which the other gateways of a new deployment register."""

STARTUP_LIST_TIMEOUT_S = 1.2
"""Time in seconds within which a starting gateway must have listed the registered gateways;
else it looks for relays among those that it hears."""

RELAY_SEARCH_S = 2.0
"""Time in seconds for which a starting gateway looks for a relay; after a start of the whole
deployment the relays themselves are still starting."""

RELAY_SEARCH_INTERVAL_S = 0.3
"""Pause in seconds between two rounds of that search."""

MAX_SEARCHED_RELAYS = 6
"""Number of registered gateways that a starting gateway tries as relays; some may be down."""

STEP_DOWN_CHECK_INTERVAL_S = 3.0
"""Shortest time in seconds for which a gateway watches the store before it looks for a
relay again; jitter adds up to 30 %."""


def choose_relays(region: RegionId, live_gateways: Collection[VmId]) -> list[VmId]:
    """Return the relays of ``region`` in order of preference.

    Args:
        region: The region.
        live_gateways: Live gateways of the region, including this one.
    """
    return relay_order(region, live_gateways)[:RELAYS_PER_REGION]


class UpdateSource:
    """Keeps the store cache up to date from the store or from a relay, and chooses which.

    Attributes:
        registered_gateways: Returns the registered gateways of the region.
        watches_store: Whether this gateway watches the store itself.
        watching_since: Monotonic time at which it last began to watch the store.
        last_confirmed_at: Monotonic time of the last pulse of a relay whose own source
            was reachable, or of the construction while there was none.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        region: RegionId,
        store_cache: StoreCache,
        store_watcher: StoreWatcher,
        relay: RelayServer,
        feed: RegionFeed,
        live_gateways: Callable[[], Collection[VmId]],
        registered_gateways: Callable[[], Collection[VmId]],
        address_of: Callable[[VmId], Address | None],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.region = region
        self.store_cache = store_cache
        self.store_watcher = store_watcher
        self.relay = relay
        self.feed = feed
        self.live_gateways = live_gateways
        self.registered_gateways = registered_gateways
        self.address_of = address_of
        self.rng = rng
        self.watches_store = True
        self.watching_since = float("-inf")
        self.last_confirmed_at = time.monotonic()
        self._is_confirmed = False

    @property
    def source_reachable(self) -> bool:
        """Whether the source of the updates is reachable.

        The store is if it has responded since this gateway began to watch it and no later
        call has failed; a relay is for ``RELAY_TIMEOUT_S`` after each pulse. Topics
        that are being listed again do not count.
        """
        if self.watches_store:
            verified = self.store_watcher.last_response_at >= self.watching_since
            return self.store_watcher.store_reachable and verified
        return time.monotonic() - self.last_confirmed_at < RELAY_TIMEOUT_S

    @property
    def is_subscribed(self) -> bool:
        """Whether a relay confirms its updates."""
        return not self.watches_store and self.source_reachable

    @property
    def is_relay(self) -> bool:
        """Whether this gateway watches the store and others subscribe to it."""
        return self.watches_store and self.relay.subscriber_count > 0

    def age_s(self) -> float:
        """Return the seconds since the store's last response or the relay's last pulse."""
        if self.watches_store:
            return self.store_watcher.age_s()
        return time.monotonic() - self.last_confirmed_at

    async def run(self) -> None:
        """Keep the store cache up to date until cancelled.

        The relays are chosen again when a subscription or the watching of the store ends,
        so a gateway stays with the second relay although the first one has returned.
        """
        await self._find_relay()
        while True:
            relays = choose_relays(self.region, self.live_gateways())
            if self.vm not in relays:
                self.relay.disconnect_subscribers()
            self.relay.accepting = self.vm in relays
            for vm in self._candidate_relays(relays):
                await self._subscribe_to(vm)
            await self._watch_store()

    async def _find_relay(self) -> None:
        """Subscribe to one of the registered gateways, and return when there is none.

        All that a starting gateway reads from the store is the list of the gateways: if all
        gateways of a deployment start at once, each further call comes as often as there
        are gateways.
        """
        await self._list_gateways()
        if len(self.registered_gateways()) < MIN_GATEWAYS_FOR_RELAYS:
            # The deployment is new, or the store or the region has no other gateway.
            await asyncio.sleep(STARTUP_WAIT_S * (0.8 + 0.4 * self.rng.random()))
            self.store_cache.invalidate(Topic.GATEWAYS)
            await self._list_gateways()
        deadline = time.monotonic() + RELAY_SEARCH_S
        while time.monotonic() < deadline:
            known = {*self.registered_gateways(), *self.live_gateways(), self.vm}
            order = relay_order(self.region, known)
            candidates = order[: order.index(self.vm)][:MAX_SEARCHED_RELAYS]
            if not candidates or len(known) < MIN_GATEWAYS_FOR_RELAYS:
                return
            for vm in candidates:
                await self._subscribe_to(vm)
                if self.store_cache.is_complete:
                    return
            await asyncio.sleep(RELAY_SEARCH_INTERVAL_S * (0.5 + self.rng.random()))

    async def _list_gateways(self) -> None:
        listing = asyncio.create_task(self.store_watcher.list_missing_topics([Topic.GATEWAYS]))
        _, unfinished = await asyncio.wait([listing], timeout=STARTUP_LIST_TIMEOUT_S)
        for task in unfinished:
            # The store is unavailable; a relay may still have its last known objects.
            task.cancel()
        await asyncio.gather(listing, return_exceptions=True)

    async def _watch_store(self) -> None:
        """Watch the store until this gateway can subscribe to a relay."""
        self.watches_store = True
        self.watching_since = time.monotonic()
        self.relay.accepting = True
        log.info("watching the store")
        following = asyncio.create_task(self.store_watcher.run())
        try:
            while True:
                wait_s = STEP_DOWN_CHECK_INTERVAL_S * (1 + 0.3 * self.rng.random())
                await asyncio.wait([following], timeout=wait_s)
                if following.done():
                    following.result()
                if self._can_step_down():
                    return
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    def _candidate_relays(self, relays: list[VmId]) -> list[VmId]:
        """Return the relays to which this gateway may subscribe, in order of preference."""
        if len(self.live_gateways()) < MIN_GATEWAYS_FOR_RELAYS:
            return []
        if self.vm in relays:
            return relays[: relays.index(self.vm)]
        return relays

    def _can_step_down(self) -> bool:
        """Whether this gateway may leave the store for a relay.

        It goes on watching while the store is unreachable or a topic is not listed.
        """
        candidates = self._candidate_relays(choose_relays(self.region, self.live_gateways()))
        return (
            bool(candidates) and self.store_watcher.store_reachable and self.store_cache.is_complete
        )

    async def _subscribe_to(self, vm: VmId) -> None:
        """Apply the changes from ``vm`` until the subscription fails."""
        address = self.address_of(vm)
        if address is None:
            return
        self.watches_store = False
        self._is_confirmed = False
        log.info("taking changes from a relay", relay=vm)
        try:
            await subscribe(
                self.store_cache,
                self.feed,
                address,
                on_pulse=self._record_pulse,
                on_progress=self._record_progress,
            )
        except (PeerUnavailable, MessageError) as error:
            log.info("relay lost", relay=vm, reason=str(error))

    def _record_pulse(self) -> None:
        self._is_confirmed = True
        self.last_confirmed_at = time.monotonic()

    def _record_progress(self) -> None:
        """Count the parts of a long message as pulses, since the pulses wait behind it.

        Those of the first message do not count: it is not known yet whether the relay's own
        source is reachable.
        """
        if self._is_confirmed:
            self.last_confirmed_at = time.monotonic()

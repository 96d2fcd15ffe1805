"""Decides whether a gateway watches the store itself or subscribes to a relay."""

import asyncio
import random
import time
from collections.abc import Callable, Collection, Mapping

import structlog

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.gateway.membership.regionfeed import Pulse, RegionFeed
from knapweeddock.gateway.membership.relay import RELAY_TIMEOUT_S, RelayServer, subscribe
from knapweeddock.gateway.membership.relaytree import (
    MAX_RELAY_DEPTH,
    MIN_GATEWAYS_FOR_RELAYS,
    RelayTree,
    relay_order,
)
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.gateway.store.storecache import StoreCache
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storewatcher import StoreWatcher
from knapweeddock.ids import VmId

log = structlog.get_logger(__name__)

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

FAILED_RELAY_PAUSE_S = 3.0
"""Time in seconds for which a relay that has failed is tried last."""

RETURN_INTERVAL_S = 5.0
"""Time in seconds for which a gateway stays with a relay before it returns to a better one;
jitter adds up to 50 %."""

STEP_DOWN_CHECK_INTERVAL_S = 3.0
"""Shortest time in seconds for which a gateway watches the store before it looks for a
relay again; jitter adds up to 30 %."""


COPY_CHECK_INTERVAL_S = 0.5
"""Shortest time in seconds between two rounds in which a gateway without all objects asks the
others for them while the store is away; jitter adds up to 30 %."""


class UpdateSource:
    """Keeps the store cache up to date from the store or from a relay, and chooses which.

    Attributes:
        own_entry: Registration of this gateway.
        live_gateways: Returns the live gateways of the region.
        heard_gateways: Returns the other gateways of all regions that are heard, whether
            registered or not, those of this region first.
        registered_gateways: Returns the registered gateways of all regions by VM.
        watches_store: Whether this gateway watches the store itself.
        depth: Number of relays between this gateway and the store.
        watching_since: Monotonic time at which it last began to watch the store.
        last_confirmed_at: Monotonic time of the last pulse of a relay whose own source
            was reachable, or of the construction while there was none.
    """

    def __init__(
        self,
        *,
        own_entry: GatewayEntry,
        store_cache: StoreCache,
        store_watcher: StoreWatcher,
        relay: RelayServer,
        feed: RegionFeed,
        live_gateways: Callable[[], Collection[VmId]],
        heard_gateways: Callable[[], Collection[VmId]],
        registered_gateways: Callable[[], Mapping[VmId, GatewayEntry]],
        address_of: Callable[[VmId], Address | None],
        rng: random.Random,
    ) -> None:
        self.own_entry = own_entry
        self.vm = own_entry.vm
        self.region = own_entry.region
        self.store_cache = store_cache
        self.store_watcher = store_watcher
        self.relay = relay
        self.feed = feed
        self.live_gateways = live_gateways
        self.heard_gateways = heard_gateways
        self.registered_gateways = registered_gateways
        self.address_of = address_of
        self.rng = rng
        self.watches_store = True
        self.depth = 0
        self.watching_since = float("-inf")
        self.last_confirmed_at = time.monotonic()
        self._is_confirmed = False
        self._return_at = float("inf")
        self._max_source_depth = MAX_RELAY_DEPTH
        self._relay: VmId | None = None
        self._failed_at: dict[VmId, float] = {}

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
        """Keep the store cache up to date until cancelled."""
        await self._find_relay()
        while True:
            if not self.store_cache.is_complete and not self.store_watcher.store_reachable:
                await self._copy_from_peers()
            if not await self._subscribe_to_best():
                await self._watch_store()

    async def _subscribe_to_best(self) -> bool:
        """Subscribe to the first relay that accepts and is connected, until it is left.

        Returns:
            Whether there was one. The relays are then chosen again.
        """
        for vm in self._candidates():
            await self._subscribe_to(vm)
            if self._is_confirmed:
                return True
        return False

    async def _find_relay(self) -> None:
        """Subscribe to one of the registered gateways, and return when there is none.

        All that a starting gateway reads from the store is the list of the gateways: if all
        gateways of a deployment start at once, each further call comes as often as there
        are gateways.
        """
        await self._list_gateways()
        if len(self._registered_in_region()) < MIN_GATEWAYS_FOR_RELAYS:
            # The deployment is new, or the store or the region has no other gateway.
            await asyncio.sleep(STARTUP_WAIT_S * (0.8 + 0.4 * self.rng.random()))
            self.store_cache.invalidate(Topic.GATEWAYS)
            await self._list_gateways()
        deadline = time.monotonic() + RELAY_SEARCH_S
        while time.monotonic() < deadline:
            known = {*self._registered_in_region(), *self.live_gateways()}
            candidates = self._tree(known).sources(self.vm)[:MAX_SEARCHED_RELAYS]
            if not candidates:
                return
            for vm in candidates:
                await self._subscribe_to(vm)
                if self.store_cache.is_complete:
                    return
            await asyncio.sleep(RELAY_SEARCH_INTERVAL_S * (0.5 + self.rng.random()))

    async def _copy_from_peers(self) -> None:
        """Take the objects from any gateway that has them, relay or not, as they are.

        A gateway that starts while the store is away knows of the others only whom it hears.
        """
        for vm in list(self.heard_gateways())[:MAX_SEARCHED_RELAYS]:
            await self._subscribe_to(vm)
            if self.store_cache.is_complete:
                log.info("took the last known objects from a peer", peer=vm)
                return

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
        self.depth = 0
        self.watching_since = time.monotonic()
        log.info("watching the store")
        following = asyncio.create_task(self.store_watcher.run())
        try:
            while True:
                await asyncio.wait([following], timeout=self._check_interval_s())
                if following.done():
                    following.result()
                if self._can_step_down() or self._can_copy():
                    return
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    def _check_interval_s(self) -> float:
        complete = self.store_cache.is_complete
        interval_s = STEP_DOWN_CHECK_INTERVAL_S if complete else COPY_CHECK_INTERVAL_S
        return interval_s * (1 + 0.3 * self.rng.random())

    def _can_copy(self) -> bool:
        """Whether this gateway lacks objects that the store does not give it, but peers may."""
        if self.store_cache.is_complete or self.store_watcher.store_reachable:
            return False
        return bool(self.heard_gateways())

    def _registered_in_region(self) -> list[VmId]:
        registered = self.registered_gateways()
        return [vm for vm, entry in registered.items() if entry.region == self.region]

    def _tree(self, gateways: Collection[VmId]) -> RelayTree:
        """Return the relays of the region if ``gateways`` and this one are alive.

        Gateways that are not registered have no address to which others could connect.
        """
        registered = self.registered_gateways()
        links_mbps = {vm: registered[vm].link_mbps for vm in gateways if vm in registered}
        links_mbps[self.vm] = self.own_entry.link_mbps
        return RelayTree(order=relay_order(self.region, links_mbps))

    def _candidates(self) -> list[VmId]:
        """Return the gateways to which this one may subscribe; those that failed come last."""
        now = time.monotonic()
        sources = self._tree(self.live_gateways()).sources(self.vm)
        failed = [
            vm
            for vm in sources
            if now - self._failed_at.get(vm, float("-inf")) < FAILED_RELAY_PAUSE_S
        ]
        return [vm for vm in sources if vm not in failed] + failed

    def _can_step_down(self) -> bool:
        """Whether this gateway may leave the store for a relay.

        It goes on watching while the store is unreachable or a topic is not listed.
        """
        return (
            bool(self._candidates())
            and self.store_watcher.store_reachable
            and self.store_cache.is_complete
        )

    async def _subscribe_to(self, vm: VmId) -> None:
        """Apply the changes from ``vm`` until the subscription ends."""
        self._is_confirmed = False
        address = self.address_of(vm)
        if address is None:
            return
        self.watches_store = False
        self._relay = vm
        # A relay takes its changes from the root only.
        is_relay = self._tree(self.live_gateways()).is_relay(self.vm)
        self._max_source_depth = 0 if is_relay else MAX_RELAY_DEPTH
        self._return_at = time.monotonic() + RETURN_INTERVAL_S * (1 + 0.5 * self.rng.random())
        log.info("taking changes from a relay", relay=vm)
        try:
            await subscribe(
                self.store_cache,
                self.feed,
                address,
                on_pulse=self._handle_pulse,
                on_progress=self._record_progress,
            )
        except _BetterRelay as error:
            log.info("relay left for a better one", relay=vm, better=error.vm)
        except (PeerUnavailable, MessageError) as error:
            self._failed_at[vm] = time.monotonic()
            log.info("relay lost", relay=vm, reason=str(error))

    def _handle_pulse(self, pulse: Pulse) -> None:
        """Confirm what is known, unless the relay is of no use.

        Raises:
            PeerUnavailable: The relay has lost its source, is too far from the store, or a
                better one has returned.
        """
        if not pulse.connected:
            raise PeerUnavailable("the relay has lost its source")
        if pulse.depth > self._max_source_depth:
            raise PeerUnavailable(f"the relay is {pulse.depth} relays away from the store")
        now = time.monotonic()
        self.depth = pulse.depth + 1
        self._is_confirmed = True
        self.last_confirmed_at = now
        if now >= self._return_at:
            self._return_to_better_relay(now)

    def _return_to_better_relay(self, now: float) -> None:
        """Leave the relay if a better one is known, such as one that has restarted.

        Raises:
            _BetterRelay: There is one.
        """
        self._return_at = now + RETURN_INTERVAL_S
        best = self._candidates()[:1]
        if best and best != [self._relay]:
            raise _BetterRelay(best[0])

    def _record_progress(self) -> None:
        """Count the parts of a long message as pulses, since the pulses wait behind it.

        Those of the first message do not count: it is not known yet whether the relay's own
        source is reachable.
        """
        if self._is_confirmed:
            self.last_confirmed_at = time.monotonic()


class _BetterRelay(PeerUnavailable):
    """A gateway leaves its relay for a better one.

    Attributes:
        vm: The better relay.
    """

    def __init__(self, vm: VmId) -> None:
        super().__init__(f"{vm} is a better relay")
        self.vm = vm

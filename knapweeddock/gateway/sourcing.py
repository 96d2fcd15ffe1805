"""Decides whether a gateway watches the store itself or takes changes from another."""

import asyncio
import random
import time
from collections.abc import Callable, Collection

import structlog

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.gateway.following import StoreFollower
from knapweeddock.gateway.mirror import Mirror
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.relay import RELAY_TIMEOUT_S, RelayServer, subscribe
from knapweeddock.ids import RegionId, VmId
from knapweeddock.rendezvous import weighted_order

log = structlog.get_logger(__name__)

RELAYS_PER_REGION = 2
"""Gateways of a region that pass changes on. The first one watches the store; the
second takes the changes from it, and watches the store when the first fails."""

MIN_GATEWAYS_FOR_RELAYS = 3
"""Gateways of a region below which each one watches the store itself."""

STARTUP_WAIT_S = 1.0
"""Time in seconds after the start in which heartbeats of the others arrive."""

STEP_DOWN_CHECK_INTERVAL_S = 3.0
"""Time in seconds for which a gateway keeps watching before it looks for a relay again."""


def choose_relays(region: RegionId, alive: Collection[VmId]) -> list[VmId]:
    """Return the gateways of ``region`` that pass changes on, the first one first.

    Gateways that know of different others still agree on the order of any two, so
    that no two of them take changes from each other.

    Args:
        region: The region.
        alive: Its gateways that live, the asking one included.
    """
    return weighted_order(f"watch {region}", dict.fromkeys(alive, 1.0))[:RELAYS_PER_REGION]


class StoreSource:
    """Keeps the mirror up to date by the store or by a relay.

    Attributes:
        direct: Whether this gateway watches the store itself.
        direct_since: Monotonic time since which it watches the store.
        complete_at: Monotonic time at which the mirror was known to be complete.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        region: RegionId,
        mirror: Mirror,
        follower: StoreFollower,
        relay: RelayServer,
        alive: Callable[[], Collection[VmId]],
        address_of: Callable[[VmId], Address | None],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.region = region
        self.mirror = mirror
        self.follower = follower
        self.relay = relay
        self.alive = alive
        self.address_of = address_of
        self.rng = rng
        self.direct = True
        self.watching_since = float("-inf")
        self.last_complete_at = time.monotonic()

    @property
    def connected(self) -> bool:
        """Whether the mirror is known to be complete."""
        if self.direct:
            verified = self.follower.last_answer_at >= self.watching_since
            return self.follower.connected and verified
        return time.monotonic() - self.last_complete_at < RELAY_TIMEOUT_S

    def age_s(self) -> float:
        """Return the age of what is known of the store, in seconds."""
        if self.direct:
            return self.follower.age_s()
        return time.monotonic() - self.last_complete_at

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled."""
        await self._list_store()
        while True:
            relays = choose_relays(self.region, self.alive())
            if self.vm not in relays:
                self.relay.stop()
            self.relay.accepting = self.vm in relays
            for vm in self._candidate_relays(relays):
                await self._subscribe_to(vm)
            await self._watch_store()

    async def _list_store(self) -> None:
        """Read the store while heartbeats of the others arrive."""
        listing = asyncio.create_task(self.follower.list_missing_topics())
        await asyncio.sleep(STARTUP_WAIT_S * (0.8 + 0.4 * self.rng.random()))
        if listing.done():
            listing.result()
        else:
            # The store is away; a relay still has what it knew last.
            listing.cancel()
            await asyncio.gather(listing, return_exceptions=True)

    async def _watch_store(self) -> None:
        """Watch the store until another gateway can be asked."""
        self.direct = True
        self.watching_since = time.monotonic()
        self.relay.accepting = True
        log.info("watching the store")
        following = asyncio.create_task(self.follower.run())
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
        """Return the relays from which this gateway may take changes, in their order."""
        if len(self.alive()) < MIN_GATEWAYS_FOR_RELAYS:
            return []
        if self.vm in relays:
            return relays[: relays.index(self.vm)]
        return relays

    def _can_step_down(self) -> bool:
        candidates = self._candidate_relays(choose_relays(self.region, self.alive()))
        return bool(candidates) and self.follower.connected and self.mirror.is_complete

    async def _subscribe_to(self, vm: VmId) -> None:
        """Take changes from ``vm`` for as long as it has them."""
        address = self.address_of(vm)
        if address is None:
            return
        self.direct = False
        log.info("taking changes from a relay", relay=vm)
        try:
            await subscribe(self.mirror, address, on_pulse=self._record_pulse)
        except (PeerUnavailable, MessageError) as error:
            log.info("relay lost", relay=vm, reason=str(error))

    def _record_pulse(self) -> None:
        self.last_complete_at = time.monotonic()

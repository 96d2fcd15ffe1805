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
from knapweeddock.gateway.relay import SILENT_S, RelayServer, subscribe
from knapweeddock.ids import RegionId, VmId
from knapweeddock.rendezvous import weighted_order

log = structlog.get_logger(__name__)

RELAYS = 2
"""Gateways of a region that pass changes on. The first one watches the store; the
second takes the changes from it, and watches the store when the first fails."""

MIN_REGION = 3
"""Gateways of a region below which each one watches the store itself."""

FIRST_CHOICE_S = 1.0
"""Time in seconds after the start in which heartbeats of the others arrive."""

HOLD_S = 3.0
"""Time in seconds for which a gateway keeps watching before it looks for a relay again."""


def relays(region: RegionId, alive: Collection[VmId]) -> list[VmId]:
    """Return the gateways of ``region`` that pass changes on, the first one first.

    Gateways that know of different others still agree on the order of any two, so
    that no two of them take changes from each other.

    Args:
        region: The region.
        alive: Its gateways that live, the asking one included.
    """
    return weighted_order(f"watch {region}", dict.fromkeys(alive, 1.0))[:RELAYS]


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
        self.direct_since = float("-inf")
        self.complete_at = time.monotonic()

    @property
    def connected(self) -> bool:
        """Whether the mirror is known to be complete."""
        if self.direct:
            verified = self.follower.answered_at >= self.direct_since
            return self.follower.connected and verified
        return time.monotonic() - self.complete_at < SILENT_S

    def age_s(self) -> float:
        """Return the age of what is known of the store, in seconds."""
        if self.direct:
            return self.follower.age_s()
        return time.monotonic() - self.complete_at

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled."""
        await self._start()
        while True:
            chosen = relays(self.region, self.alive())
            if self.vm not in chosen:
                self.relay.stop()
            self.relay.serving = self.vm in chosen
            for vm in self._before(chosen):
                await self._take_from(vm)
            await self._watch_directly()

    async def _start(self) -> None:
        """Read the store while heartbeats of the others arrive."""
        reading = asyncio.create_task(self.follower.read_all())
        await asyncio.sleep(FIRST_CHOICE_S * (0.8 + 0.4 * self.rng.random()))
        if reading.done():
            reading.result()
        else:
            # The store is away; a relay still has what it knew last.
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _watch_directly(self) -> None:
        """Watch the store until another gateway can be asked."""
        self.direct = True
        self.direct_since = time.monotonic()
        self.relay.serving = True
        log.info("watching the store")
        following = asyncio.create_task(self.follower.run())
        try:
            while True:
                wait_s = HOLD_S * (1 + 0.3 * self.rng.random())
                await asyncio.wait([following], timeout=wait_s)
                if following.done():
                    following.result()
                if self._may_step_down():
                    return
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    def _before(self, chosen: list[VmId]) -> list[VmId]:
        """Return the relays from which this gateway may take changes, in their order."""
        if len(self.alive()) < MIN_REGION:
            return []
        if self.vm in chosen:
            return chosen[: chosen.index(self.vm)]
        return chosen

    def _may_step_down(self) -> bool:
        others = self._before(relays(self.region, self.alive()))
        return bool(others) and self.follower.connected and self.mirror.is_complete

    async def _take_from(self, vm: VmId) -> None:
        """Take changes from ``vm`` for as long as it has them."""
        address = self.address_of(vm)
        if address is None:
            return
        self.direct = False
        log.info("taking changes from a relay", relay=vm)
        try:
            await subscribe(self.mirror, address, on_pulse=self._complete)
        except (PeerUnavailable, MessageError) as error:
            log.info("relay lost", relay=vm, reason=str(error))

    def _complete(self) -> None:
        self.complete_at = time.monotonic()

"""Keeps the registrations of gateways in the store up to date.

A gateway stays registered across restarts, so a VM that never comes back leaves its
registration behind. The gateways of a region that watch the store remove it after
``GATEWAY_EXPIRY_S`` without any sign of life. A gateway that watches the store and
finds its own registration missing writes it again. If the store comes back from an
older copy that lacks the registration, each gateway writes its own at once. A gateway
whose registration was replaced, as by a write of its earlier start that the store executed
late, writes it again, too: look-ups would not name the present start.

A gateway keeps the refused requests of which it has evidence in its registration, for
gateways that start later or reach only the store, and takes them over when it starts again.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Collection, Mapping

import structlog

from knapweeddock.errors import StoreError
from knapweeddock.gateway.records import Address, GatewayEntry, KeptSuspect
from knapweeddock.gateway.store.storecache import Update
from knapweeddock.gateway.store.storeclient import StoreClient, Topic
from knapweeddock.http1.client import CONNECT_ERRORS
from knapweeddock.ids import Era, VmId

log = structlog.get_logger(__name__)

GATEWAY_EXPIRY_S = 600.0
"""Time in seconds without a sign of life after which a gateway counts as permanently
gone; restarts and network outages are shorter."""

RETURN_SPREAD_S = 0.5
"""Time in seconds over which gateways spread the writing of their registrations after the
store came back from an older copy."""

CHECK_INTERVAL_S = 30.0
REGISTER_RETRY_S = 0.5

REPLACED_DELAY_S = 1.0
"""Time in seconds after which a registration that was replaced is written again, if it was not an
older state that came late. It doubles each time, for two gateways with the same name, up to
``MAX_DOUBLINGS`` times."""

MAX_DOUBLINGS = 5

PREVIOUS_ENTRY_WAIT_S = 0.5
"""Longest time in seconds for which a gateway that starts again waits for the registration that
it had before, with what it kept there."""
CONNECT_TIMEOUT_S = 1.0


class ExpiryTracker:
    """Tracks how long registered gateways have shown no sign of life."""

    def __init__(self) -> None:
        self._silent_since: dict[VmId, float] = {}

    def update(
        self, now: float, registered: Collection[VmId], live_gateways: Collection[VmId]
    ) -> list[VmId]:
        """Record who is alive, and return the gateways silent for ``GATEWAY_EXPIRY_S``.

        Args:
            now: Monotonic time in seconds.
            registered: Registered gateways to track; others are forgotten.
            live_gateways: Gateways that count as alive.
        """
        self._silent_since = {
            vm: self._silent_since.get(vm, now) for vm in registered if vm not in live_gateways
        }
        return sorted(
            vm for vm, since in self._silent_since.items() if now - since >= GATEWAY_EXPIRY_S
        )

    def mark_alive(self, vm: VmId) -> None:
        """Record a sign of life other than a heartbeat."""
        self._silent_since.pop(vm, None)


class Registrations:
    """Registers this gateway and removes the registrations of gateways that are gone.

    Attributes:
        own_entry: Entry of this gateway.
        is_new: Whether this gateway has probably never registered before.
        kept_suspects: Returns the refused requests that this gateway keeps in its registration.
    """

    def __init__(
        self,
        *,
        own_entry: GatewayEntry,
        store_client: StoreClient,
        gateways: Callable[[], Mapping[VmId, GatewayEntry]],
        live_gateways: Callable[[], Collection[VmId]],
        watches_store: Callable[[], bool],
        is_new: bool = False,
        kept_suspects: Callable[[], tuple[KeptSuspect, ...]] = lambda: (),
        rng: random.Random,
    ) -> None:
        self.own_entry = own_entry
        self.store_client = store_client
        self.gateways = gateways
        self.live_gateways = live_gateways
        self.watches_store = watches_store
        self.is_new = is_new
        self.kept_suspects = kept_suspects
        self.rng = rng
        self.expiry_tracker = ExpiryTracker()
        self._registered_era: Era | None = None
        self._is_lost_in_return = False
        self._replaced_count = 0
        self._must_write = asyncio.Event()
        self._may_be_replaced = asyncio.Event()
        self._has_list = asyncio.Event()

    async def run(self) -> None:
        """Register, then check all registrations until cancelled."""
        await self._await_previous_entry()
        await self.register()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_checks())
            group.create_task(self._restore_replaced())

    async def _run_checks(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S * (0.8 + 0.4 * self.rng.random())):
                    await self._must_write.wait()
            except TimeoutError:
                await self.check(time.monotonic())
            else:
                await self._write_again()

    async def _restore_replaced(self) -> None:
        """Write this gateway's registration again each time it was replaced or removed."""
        while True:
            await self._may_be_replaced.wait()
            delay_s = REPLACED_DELAY_S * 2 ** min(self._replaced_count, MAX_DOUBLINGS)
            await asyncio.sleep(delay_s * (0.8 + 0.4 * self.rng.random()))
            self._may_be_replaced.clear()
            found = self.gateways().get(self.own_entry.vm)
            if found == self.own_entry:
                continue
            self._replaced_count += 1
            log.warning(
                "registration replaced",
                vm=self.own_entry.vm,
                incarnation=self.own_entry.incarnation,
                found=found.incarnation if found is not None else None,
            )
            self._must_write.set()

    async def _await_previous_entry(self) -> None:
        if self.is_new:
            return
        try:
            async with asyncio.timeout(PREVIOUS_ENTRY_WAIT_S):
                await self._has_list.wait()
        except TimeoutError:
            log.info("registering without the list of gateways", vm=self.own_entry.vm)

    def update_suspects(self) -> None:
        """Write the registration again if other requests are to be kept than before."""
        kept = {suspect.digest for suspect in self.kept_suspects()}
        if kept != {suspect.digest for suspect in self.own_entry.suspects}:
            self._must_write.set()

    def handle_update(self, update: Update) -> None:
        """Note whether a later era of the store lacks this gateway's registration."""
        if update.topic is not Topic.GATEWAYS:
            return
        self._has_list.set()
        if self._registered_era is None:
            return
        own_vm = self.own_entry.vm
        if not (update.whole or own_vm in update.items):
            return
        if update.position.era <= self._registered_era:
            if update.items.get(own_vm) != self.own_entry:
                self._may_be_replaced.set()
            return
        if update.items.get(own_vm) == self.own_entry:
            self._registered_era = update.position.era
            self._is_lost_in_return = False
        else:
            self._is_lost_in_return = True
            self._must_write.set()

    async def _write_again(self) -> None:
        if self._is_lost_in_return:
            await asyncio.sleep(RETURN_SPREAD_S * self.rng.random())
        self._must_write.clear()
        if self._is_lost_in_return:
            log.warning("registration lost in the store's return", vm=self.own_entry.vm)
        await self.register()

    async def register(self) -> None:
        """Write this gateway's registration, with retries until the store has accepted it."""
        while True:
            self.own_entry = dataclasses.replace(self.own_entry, suspects=self.kept_suspects())
            try:
                await self.store_client.register(self.own_entry, is_new=self.is_new)
            except StoreError as error:
                log.warning("registration failed", reason=str(error))
                await asyncio.sleep(REGISTER_RETRY_S * (0.5 + self.rng.random()))
            else:
                log.info("registered", vm=self.own_entry.vm)
                self.is_new = False
                self._registered_era = self.store_client.era
                self._is_lost_in_return = False
                return

    async def check(self, now: float) -> None:
        """Restore this gateway's registration, and remove those of gateways that are gone.

        Does nothing unless this gateway watches the store.
        """
        if not self.watches_store():
            return
        gateways = self.gateways()
        if self.own_entry.vm not in gateways:
            log.warning("own registration is missing", vm=self.own_entry.vm)
            await self.register()
        own_region_vms = [
            vm for vm, entry in gateways.items() if entry.region == self.own_entry.region
        ]
        for vm in self.expiry_tracker.update(now, own_region_vms, self.live_gateways()):
            # In a large region heartbeats reach only some of the gateways.
            if await _accepts_connections(gateways[vm].peer_address):
                self.expiry_tracker.mark_alive(vm)
            else:
                await self._remove(vm)

    async def _remove(self, vm: VmId) -> None:
        try:
            await self.store_client.unregister(vm)
        except StoreError as error:
            log.warning("registration not removed", gateway=vm, reason=str(error))
        else:
            log.info("registration removed", gateway=vm, silent_s=GATEWAY_EXPIRY_S)


async def _accepts_connections(address: Address) -> bool:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except CONNECT_ERRORS as error:
        log.info("gateway is unreachable", address=address[0], reason=str(error) or "timeout")
        return False
    writer.close()
    return True

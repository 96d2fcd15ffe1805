"""Heartbeats between gateways: who lives, and how much work its clients bring."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec
import structlog

from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.ids import Incarnation, RegionId, ServiceId, VmId
from knapweeddock.rendezvous import weighted_order

log = structlog.get_logger(__name__)

HEARTBEAT_S = 0.7
"""Interval of heartbeats in seconds."""

SILENT_S = 2.4
"""Time in seconds without heartbeats after which a gateway is not named to clients."""

NEAR_RECEIVERS = 32
FAR_RECEIVERS = 4
"""Gateways of the own region, and of each other region, that get heartbeats; the
cost per gateway stays the same in larger fleets."""


class GatewayPhase(Enum):
    """Whether a gateway takes new clients."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a gateway tells the others.

    Attributes:
        vm: The sender.
        incarnation: Its start.
        phase: Whether it takes new clients.
        region: Its region.
        work: Slots that its clients keep busy, by service.
        objects: Objects that its clients' requests concern, by service.
        shares: Part of its requests that runs in each region, by service.
    """

    vm: VmId
    incarnation: Incarnation
    phase: GatewayPhase
    region: RegionId
    work: dict[ServiceId, float]
    objects: dict[ServiceId, int]
    shares: dict[ServiceId, dict[RegionId, float]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """The latest heartbeat of a gateway.

    Attributes:
        heartbeat: The heartbeat.
        at: Monotonic time at which it came.
        address: Where it came from.
    """

    heartbeat: Heartbeat
    at: float
    address: Address


class Peers(asyncio.DatagramProtocol):
    """Other gateways as their heartbeats show them."""

    def __init__(
        self,
        *,
        vm: VmId,
        region: RegionId,
        gateways: Callable[[], Iterable[GatewayEntry]],
        own: Callable[[], Heartbeat],
    ) -> None:
        self.vm = vm
        self.region = region
        self.gateways = gateways
        self.own = own
        self.heard: dict[VmId, Heard] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Take in a heartbeat."""
        try:
            heartbeat = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("heartbeat unreadable", sender=address[0], error=str(error))
            return
        now = asyncio.get_running_loop().time()
        before = self.heard.get(heartbeat.vm)
        if before is None or now - before.at > SILENT_S:
            log.info("gateway heard", vm=heartbeat.vm, phase=heartbeat.phase.value)
        self.heard[heartbeat.vm] = Heard(heartbeat=heartbeat, at=now, address=address)

    def error_received(self, error: OSError) -> None:
        """Note that a datagram was not delivered, as to a gateway that is gone."""
        log.debug("heartbeat not delivered", error=str(error))

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the heartbeats of the gateways that were heard a short time ago."""
        return [heard.heartbeat for heard in self.heard.values() if now - heard.at <= SILENT_S]

    def near(self, now: float) -> list[VmId]:
        """Return the gateways of the own region that live and stay, this one included."""
        found = {
            heartbeat.vm
            for heartbeat in self.alive(now)
            if heartbeat.region == self.region and heartbeat.phase is not GatewayPhase.LEAVING
        }
        return sorted(found | {self.vm})

    def address_of(self, vm: VmId) -> Address | None:
        """Return the address from which ``vm`` sends its heartbeats."""
        heard = self.heard.get(vm)
        return None if heard is None else heard.address

    def send(self) -> None:
        """Send one heartbeat to each receiver."""
        if self.transport is None:
            return
        data = self._encoder.encode(self.own())
        for entry in receivers(self.vm, self.region, self.gateways()):
            self.transport.sendto(data, entry.peer_address)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_S)


def receivers(vm: VmId, region: RegionId, gateways: Iterable[GatewayEntry]) -> list[GatewayEntry]:
    """Return the gateways that get the heartbeats of ``vm``."""
    by_region: dict[RegionId, dict[VmId, GatewayEntry]] = {}
    for entry in gateways:
        if entry.vm != vm:
            by_region.setdefault(entry.region, {})[entry.vm] = entry
    chosen = []
    for found, entries in by_region.items():
        limit = NEAR_RECEIVERS if found == region else FAR_RECEIVERS
        names = list(entries)
        if len(names) > limit:
            names = weighted_order(vm, dict.fromkeys(names, 1.0))[:limit]
        chosen += [entries[name] for name in names]
    return chosen


@contextlib.asynccontextmanager
async def heartbeat_port(peers: Peers, address: Address) -> AsyncIterator[None]:
    """Receive heartbeats on ``address`` within the block."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=address)
    try:
        yield
    finally:
        transport.close()

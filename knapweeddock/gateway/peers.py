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

HEARTBEAT_INTERVAL_S = 0.7
"""Interval of heartbeats in seconds."""

HEARTBEAT_TIMEOUT_S = 2.4
"""Time in seconds without heartbeats after which a gateway is not named to clients."""

MAX_OWN_REGION_RECEIVERS = 32
MAX_OTHER_REGION_RECEIVERS = 4
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
class ReceivedHeartbeat:
    """The latest heartbeat of a gateway.

    Attributes:
        heartbeat: The heartbeat.
        at: Monotonic time at which it came.
        address: Where it came from.
    """

    heartbeat: Heartbeat
    received_at: float
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
        self.latest_heartbeats: dict[VmId, ReceivedHeartbeat] = {}
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
        previous = self.latest_heartbeats.get(heartbeat.vm)
        if previous is None or now - previous.received_at > HEARTBEAT_TIMEOUT_S:
            log.info("gateway heard", vm=heartbeat.vm, phase=heartbeat.phase.value)
        self.latest_heartbeats[heartbeat.vm] = ReceivedHeartbeat(
            heartbeat=heartbeat, received_at=now, address=address
        )

    def error_received(self, error: OSError) -> None:
        """Note that a datagram was not delivered, as to a gateway that is gone."""
        log.debug("heartbeat not delivered", error=str(error))

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the heartbeats of the gateways that were heard a short time ago."""
        return [
            latest.heartbeat
            for latest in self.latest_heartbeats.values()
            if now - latest.received_at <= HEARTBEAT_TIMEOUT_S
        ]

    def near(self, now: float) -> list[VmId]:
        """Return the gateways of the own region that live and stay, this one included."""
        vms = {
            heartbeat.vm
            for heartbeat in self.alive(now)
            if heartbeat.region == self.region and heartbeat.phase is not GatewayPhase.LEAVING
        }
        return sorted(vms | {self.vm})

    def address_of(self, vm: VmId) -> Address | None:
        """Return the address from which ``vm`` sends its heartbeats."""
        latest = self.latest_heartbeats.get(vm)
        return None if latest is None else latest.address

    def send(self) -> None:
        """Send one heartbeat to each receiver."""
        if self.transport is None:
            return
        data = self._encoder.encode(self.own())
        for entry in choose_receivers(self.vm, self.region, self.gateways()):
            self.transport.sendto(data, entry.peer_address)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def choose_receivers(
    vm: VmId, region: RegionId, gateways: Iterable[GatewayEntry]
) -> list[GatewayEntry]:
    """Return the gateways that get the heartbeats of ``vm``."""
    by_region: dict[RegionId, dict[VmId, GatewayEntry]] = {}
    for entry in gateways:
        if entry.vm != vm:
            by_region.setdefault(entry.region, {})[entry.vm] = entry
    chosen = []
    for entry_region, entries in by_region.items():
        limit = MAX_OWN_REGION_RECEIVERS if entry_region == region else MAX_OTHER_REGION_RECEIVERS
        candidates = list(entries)
        if len(candidates) > limit:
            candidates = weighted_order(vm, dict.fromkeys(candidates, 1.0))[:limit]
        chosen += [entries[candidate] for candidate in candidates]
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

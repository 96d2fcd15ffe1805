"""Heartbeats between gateways, which show their liveness and the load of their clients."""

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
"""Time in seconds without heartbeats after which a gateway no longer counts as alive
and is no longer returned to clients."""

MAX_OWN_REGION_RECEIVERS = 32
MAX_OTHER_REGION_RECEIVERS = 4
"""Maximum number of gateways in the sender's region, and in each other region, that get
its heartbeats; the bounds keep the cost per gateway constant in larger fleets."""


class GatewayPhase(Enum):
    """Whether a gateway accepts new clients."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State that a gateway reports to the others.

    Attributes:
        vm: VM of the sender.
        incarnation: Identifier of this start of the sender.
        phase: Whether the sender accepts new clients.
        region: Region of the sender.
        work: Offered load: average number of slots that its clients' requests keep
            busy, by service.
        objects: Number of objects that its clients' requests concern, by service.
        shares: Fraction of its requests that runs in each region, by service.
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
        received_at: Monotonic time at which it was received.
        address: Address from which it was sent.
    """

    heartbeat: Heartbeat
    received_at: float
    address: Address


class Peers(asyncio.DatagramProtocol):
    """Sends and receives heartbeats, and knows the other gateways from them.

    Attributes:
        latest_heartbeats: Latest heartbeat of each gateway that was ever heard from.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        region: RegionId,
        gateways: Callable[[], Iterable[GatewayEntry]],
        own_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self.vm = vm
        self.region = region
        self.gateways = gateways
        self.own_heartbeat = own_heartbeat
        self.latest_heartbeats: dict[VmId, ReceivedHeartbeat] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the socket for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Store a heartbeat, unless it cannot be decoded."""
        try:
            heartbeat = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("cannot decode heartbeat", sender=address[0], error=str(error))
            return
        now = asyncio.get_running_loop().time()
        previous = self.latest_heartbeats.get(heartbeat.vm)
        if previous is None or now - previous.received_at > HEARTBEAT_TIMEOUT_S:
            log.info("gateway is alive", vm=heartbeat.vm, phase=heartbeat.phase.value)
        self.latest_heartbeats[heartbeat.vm] = ReceivedHeartbeat(
            heartbeat=heartbeat, received_at=now, address=address
        )

    def error_received(self, error: OSError) -> None:
        """Log that a datagram was not delivered, such as one to a gateway that has exited."""
        log.debug("heartbeat not delivered", error=str(error))

    def live_heartbeats(self, now: float) -> list[Heartbeat]:
        """Return the latest heartbeats of the other gateways that are alive, of all regions.

        Args:
            now: Monotonic time in seconds, on the clock of the event loop.
        """
        return [
            latest.heartbeat
            for latest in self.latest_heartbeats.values()
            if now - latest.received_at <= HEARTBEAT_TIMEOUT_S
        ]

    def live_gateways(self, now: float) -> list[VmId]:
        """Return the live gateways of this region that are not leaving, and this one.

        Args:
            now: Monotonic time in seconds, on the clock of the event loop.
        """
        vms = {
            heartbeat.vm
            for heartbeat in self.live_heartbeats(now)
            if heartbeat.region == self.region and heartbeat.phase is not GatewayPhase.LEAVING
        }
        return sorted(vms | {self.vm})

    def address_of(self, vm: VmId) -> Address | None:
        """Return the address from which ``vm`` sends its heartbeats."""
        latest = self.latest_heartbeats.get(vm)
        return None if latest is None else latest.address

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each receiver."""
        if self.transport is None:
            return
        data = self._encoder.encode(self.own_heartbeat())
        for entry in choose_receivers(self.vm, self.region, self.gateways()):
            self.transport.sendto(data, entry.peer_address)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def choose_receivers(
    vm: VmId, region: RegionId, gateways: Iterable[GatewayEntry]
) -> list[GatewayEntry]:
    """Return the gateways to which ``vm`` sends its heartbeats."""
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
async def listen_for_heartbeats(peers: Peers, address: Address) -> AsyncIterator[None]:
    """Receive heartbeats on ``address`` within the block."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=address)
    try:
        yield
    finally:
        transport.close()

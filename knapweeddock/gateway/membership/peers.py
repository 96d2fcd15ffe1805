"""Datagrams between gateways: heartbeats without a relay, and summaries between regions.

A gateway that subscribes to a relay sends its heartbeats there only. One that has no relay,
and each relay, sends them to several others, so that they find each other.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable, Mapping

import msgspec
import structlog

from knapweeddock.gateway.evidence.duekeys import Direction, Source
from knapweeddock.gateway.evidence.notices import NoticeDatagram, Notices
from knapweeddock.gateway.membership.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    Heartbeat,
    RegionSummary,
)
from knapweeddock.gateway.membership.regionfeed import RegionFeed
from knapweeddock.gateway.membership.relaytree import relay_order
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.ids import RegionId, VmId
from knapweeddock.rendezvous import weighted_order

log = structlog.get_logger(__name__)

MAX_OWN_REGION_RECEIVERS = 32
"""Maximum number of gateways in the sender's region that get its heartbeats; the bound keeps
the cost per gateway constant in larger fleets."""

NOTICE_INTERVAL_S = 0.2
"""Interval in seconds at which notices are sent that have become due."""

MAX_SUMMARIZED_REGION = 8
"""Largest number of gateways of a region in which relays also send summaries to the gateways of
their own region. One that takes the region for too small for relays, and watches the store,
hears no heartbeats of those that have joined and subscribed to a relay."""

MAX_OTHER_REGION_RECEIVERS = 4
"""Maximum number of gateways of each other region that get heartbeats or summaries."""

FIRST_RELAYS = 2
"""Number of receivers that are chosen as the relays of their region are, so that a summary
reaches one in most cases; the others pass it on to theirs."""


class Peers(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Attributes:
        entry: Registration of this gateway.
        feed: Receives what other gateways tell.
        gateways: Returns the registered gateways by VM.
        is_subscribed: Returns whether this gateway has a relay.
        is_relay: Returns whether this gateway is a relay that watches the store.
    """

    def __init__(
        self,
        *,
        entry: GatewayEntry,
        feed: RegionFeed,
        gateways: Callable[[], Mapping[VmId, GatewayEntry]],
        is_subscribed: Callable[[], bool],
        is_relay: Callable[[], bool],
    ) -> None:
        self.entry = entry
        self.feed = feed
        self.gateways = gateways
        self.is_subscribed = is_subscribed
        self.is_relay = is_relay
        self.transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[VmId, Address] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | RegionSummary | NoticeDatagram)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the socket for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass a message on to the feed, unless it cannot be decoded."""
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("cannot decode heartbeat", sender=address[0], error=str(error))
            return
        now = asyncio.get_running_loop().time()
        match message:
            case Heartbeat(member=member):
                self._addresses[member.vm] = address
                self.feed.record_heartbeat(message, now)
            case RegionSummary():
                self.feed.record_summary(message, now)
            case NoticeDatagram(region=region, notices=notices):
                self.feed.notice_board.merge(notices, now, self._source(region))

    def _source(self, region: RegionId) -> Source:
        if region != self.entry.region:
            return Source.OTHER_REGION
        reaches_all = self._region_size() - 1 <= MAX_OWN_REGION_RECEIVERS
        return Source.NEAR_PEER if reaches_all else Source.SPREADING_PEER

    def _region_size(self) -> int:
        return sum(entry.region == self.entry.region for entry in self.gateways().values())

    def error_received(self, error: OSError) -> None:
        """Log that a datagram was not delivered, such as one to a gateway that has exited."""
        log.debug("heartbeat not delivered", error=str(error))

    def address_of(self, vm: VmId) -> Address | None:
        """Return the address at which ``vm`` accepts datagrams and subscribers."""
        entry = self.gateways().get(vm)
        return self._addresses.get(vm) if entry is None else entry.peer_address

    def send(self) -> None:
        """Send what is due: nothing if this gateway has a relay."""
        if self.transport is None or self.is_subscribed():
            return
        heartbeat = self._encoder.encode(self.feed.own_heartbeat())
        summary = None
        if self.is_relay():
            now = asyncio.get_running_loop().time()
            summary = self._encoder.encode(self.feed.summary(now))
        is_small = self._region_size() <= MAX_SUMMARIZED_REGION
        for entry in choose_receivers(self.entry, self.gateways().values()):
            is_near = entry.region == self.entry.region
            if is_near or summary is None:
                self.transport.sendto(heartbeat, entry.peer_address)
            if summary is not None and (is_small or not is_near):
                self.transport.sendto(summary, entry.peer_address)

    def send_notices(self, now: float) -> None:
        """Send the notices that are due to gateways that no relay tells.

        A relay tells the gateways of its region by its pulses, and a subscriber leaves it to
        its relay to tell anybody.
        """
        board = self.feed.notice_board
        if self.is_subscribed():
            board.drop(Direction.TO_OTHER_REGIONS)
            return
        board.suspects.announce(now)
        far = board.take(Direction.TO_OTHER_REGIONS, now)
        near = board.take(Direction.TO_RELAY, now)
        if self.is_relay():
            near = Notices()
        if self.transport is None or (near.is_empty and far.is_empty):
            return
        for entry in choose_receivers(self.entry, self.gateways().values()):
            notices = near if entry.region == self.entry.region else far
            if not notices.is_empty:
                datagram = NoticeDatagram(region=self.entry.region, notices=notices)
                self.transport.sendto(self._encoder.encode(datagram), entry.peer_address)

    async def run(self) -> None:
        """Send heartbeats and notices until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_heartbeats())
            group.create_task(self._send_notices())

    async def _send_heartbeats(self) -> None:
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_notices(self) -> None:
        while True:
            self.send_notices(asyncio.get_running_loop().time())
            await asyncio.sleep(NOTICE_INTERVAL_S)


def choose_receivers(own: GatewayEntry, gateways: Iterable[GatewayEntry]) -> list[GatewayEntry]:
    """Return the gateways to which the gateway ``own`` sends datagrams."""
    by_region: dict[RegionId, dict[VmId, GatewayEntry]] = {}
    for entry in gateways:
        if entry.vm != own.vm:
            by_region.setdefault(entry.region, {})[entry.vm] = entry
    chosen = []
    for region, entries in by_region.items():
        limit = MAX_OWN_REGION_RECEIVERS if region == own.region else MAX_OTHER_REGION_RECEIVERS
        candidates = list(entries)
        if len(candidates) > limit:
            links_mbps = {vm: entry.link_mbps for vm, entry in entries.items()}
            first = relay_order(region, links_mbps)[:FIRST_RELAYS]
            others = weighted_order(own.vm, dict.fromkeys(candidates, 1.0))
            candidates = list(dict.fromkeys([*first, *others]))[:limit]
        chosen += [entries[candidate] for candidate in candidates]
    return chosen


@contextlib.asynccontextmanager
async def listen_for_heartbeats(peers: Peers, address: Address) -> AsyncIterator[None]:
    """Receive datagrams on ``address`` within the block."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=address)
    try:
        yield
    finally:
        transport.close()

"""Relays the store's changes and the region feed from one gateway to the others of its region.

The platform bills every call of the store, and if every gateway watched it, the number
of calls would grow with the fleet. Instead, one gateway of each region watches the
store; the others subscribe to it over TCP, in a large region through further relays
(``relaytree``). In a region of very few gateways each one watches the store. Over the same
connections the subscribers report to the relay, and its pulses carry what all of them
report.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec
import structlog

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.gateway.membership.regionfeed import Pulse, RegionFeed, SubscriberReport
from knapweeddock.gateway.membership.relaymessages import (
    ConfigUpdate,
    RelayMessage,
    decode,
    decode_report,
    encode,
    encode_report,
    read_frame,
    to_update,
)
from knapweeddock.gateway.membership.relaytree import MAX_RELAY_DEPTH
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.store.configpatch import make_patch
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import StoreObject, Topic
from knapweeddock.gateway.store.storeposition import StorePosition
from knapweeddock.http1.client import CONNECT_ERRORS
from knapweeddock.ids import Era

log = structlog.get_logger(__name__)

PULSE_INTERVAL_S = 0.15
"""Interval in seconds of the pulses."""

REPORT_INTERVAL_S = 0.25
"""Interval in seconds at which a subscriber sends what is due to its relay."""

SUBSCRIBER_TIMEOUT_S = 5.0
"""Time in seconds without a report after which a relay disconnects a subscriber."""

SOURCE_LOSS_DELAY_S = 0.15
"""Time in seconds for which a relay that has lost the store tries to reach it again before it
tells its subscribers to leave."""

RELAY_CHANGE_DELAY_S = 0.4
"""Time in seconds for which a relay that has lost its own relay looks for another one before
it tells its subscribers to leave: they would only look for the same one."""

FIRST_REPORT_TIMEOUT_S = 0.5
"""Time in seconds within which a subscriber must send its first report."""

RELAY_TIMEOUT_S = 0.7
"""Time in seconds without any bytes after which a subscriber leaves its relay. A large message
on a narrow link may take longer than that, but its bytes keep arriving."""

CONNECT_TIMEOUT_S = 0.3
"""Timeout in seconds for connecting to a relay, which is in the same region."""

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
"""Unsent bytes above which a subscriber is disconnected when the next message is due."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _EncodedState:
    position: StorePosition
    grace_s: float
    data: bytes


class RelayServer:
    """Sends the changes of the store cache and the region feed to subscribers.

    A gateway that has just begun to watch the store sends no pulse until the store
    responds or ``SOURCE_LOSS_DELAY_S`` has passed, since its cache may be out of date;
    subscribers wait that long.

    Attributes:
        feed: What the gateways of the region report.
        is_source_reachable: Returns whether the source of the store cache is reachable.
        depth: Returns the number of relays between this gateway and the store.
        server_removal_grace_s: Returns the seconds for which servers that the store no
            longer lists are kept.
        closed: Whether it no longer accepts subscribers, since the gateway shuts down.
    """

    def __init__(
        self,
        *,
        store_cache: StoreCache,
        feed: RegionFeed,
        is_source_reachable: Callable[[], bool],
        depth: Callable[[], int],
        server_removal_grace_s: Callable[[], float],
    ) -> None:
        self.store_cache = store_cache
        self.feed = feed
        self.is_source_reachable = is_source_reachable
        self.depth = depth
        self.server_removal_grace_s = server_removal_grace_s
        self.closed = False
        self._source_lost_at: float | None = None
        self._subscribers: set[asyncio.StreamWriter] = set()
        self._sent_configs: dict[str, StoreObject] = {}
        self._sent_era: Era | None = None
        self._encoded_states: dict[Topic, _EncodedState] = {}
        self._note_sent_configs()
        store_cache.listeners.append(self._broadcast_update)

    @property
    def subscriber_count(self) -> int:
        """Number of connected subscribers."""
        return len(self._subscribers)

    @property
    def accepting(self) -> bool:
        """Whether subscribers are accepted."""
        is_near = self.depth() <= MAX_RELAY_DEPTH
        return is_near and not self.closed and self.store_cache.is_complete

    def close(self) -> None:
        """Disconnect all subscribers, and accept no more.

        A last pulse tells them that this gateway is leaving.
        """
        self.closed = True
        self._broadcast_pulse()
        for writer in self._subscribers:
            writer.close()
        self._subscribers.clear()

    async def run(self) -> None:
        """Send pulses until cancelled."""
        while True:
            self._broadcast_pulse()
            await asyncio.sleep(PULSE_INTERVAL_S)

    def _broadcast_pulse(self) -> None:
        connected = self._is_connected()
        if self._subscribers and connected is not None:
            now = time.monotonic()
            pulse = self.feed.take_pulse(now, connected=connected, depth=self.depth())
            self._broadcast(encode(pulse))

    def _is_connected(self) -> bool | None:
        """Return what a pulse says of the source, or None while it may still come back.

        The first call after the loss of the source starts the delay.
        """
        if self.is_source_reachable():
            self._source_lost_at = None
            return True
        now = time.monotonic()
        if self._source_lost_at is None:
            self._source_lost_at = now
        delay_s = RELAY_CHANGE_DELAY_S if self.depth() > 0 else SOURCE_LOSS_DELAY_S
        return False if now - self._source_lost_at >= delay_s else None

    async def serve_subscriber(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one subscriber until it disconnects."""
        report = await self._read_first_report(reader)
        if report is None or not self.accepting:
            writer.close()
            return
        # Without an await before the subscriber is added, no update can be missed.
        for topic in Topic:
            if self.store_cache.has_changed_since(topic, report.known.get(topic)):
                writer.write(self._encoded_state(topic))
        now = time.monotonic()
        connected = self._is_connected()
        if connected is not None:
            pulse = self.feed.first_pulse(now, connected=connected, depth=self.depth())
            writer.write(encode(pulse))
        self._subscribers.add(writer)
        try:
            self.feed.apply_report(report, now)
            await self._read_reports(reader)
        finally:
            self._subscribers.discard(writer)
            writer.close()

    async def _read_first_report(self, reader: asyncio.StreamReader) -> SubscriberReport | None:
        try:
            async with asyncio.timeout(FIRST_REPORT_TIMEOUT_S):
                return decode_report(await read_frame(reader, "subscriber"))
        except (OSError, asyncio.IncompleteReadError, TimeoutError, MessageError) as error:
            log.info("no subscription", reason=str(error) or "silent")
            return None

    def _encoded_state(self, topic: Topic) -> bytes:
        """Return all objects of ``topic``, encoded once for all that subscribe together."""
        grace_s = round(self.server_removal_grace_s(), 1)
        state = self._encoded_states.get(topic)
        position = self.store_cache.positions[topic]
        if state is None or state.position != position or state.grace_s != grace_s:
            data = encode(self.store_cache.full_update(topic, grace_s=grace_s))
            state = _EncodedState(position=position, grace_s=grace_s, data=data)
            self._encoded_states[topic] = state
        return state.data

    async def _read_reports(self, reader: asyncio.StreamReader) -> None:
        """Apply the reports of a subscriber until it disconnects."""
        while True:
            try:
                async with asyncio.timeout(SUBSCRIBER_TIMEOUT_S):
                    report = decode_report(await read_frame(reader, "subscriber"))
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                # It has left; its heartbeats tell whether it lives.
                return
            except MessageError as error:
                log.warning("subscriber disconnected", reason=str(error))
                return
            self.feed.apply_report(report, time.monotonic())

    def _broadcast_update(self, update: Update) -> None:
        if self._subscribers:
            self._broadcast(encode(self._as_patch(update) or update))
        if update.topic is Topic.CONFIGURATION:
            self._note_sent_configs()

    def _note_sent_configs(self) -> None:
        self._sent_configs = dict(self.store_cache.items[Topic.CONFIGURATION])
        position = self.store_cache.positions.get(Topic.CONFIGURATION)
        self._sent_era = position.era if position is not None else None

    def _as_patch(self, update: Update) -> ConfigUpdate | None:
        """Return a change of one configuration as a patch, or None if it is no such change.

        All subscribers have what was broadcast before, or the whole state that was known when
        they came.
        """
        if update.topic is not Topic.CONFIGURATION or len(update.items) != 1:
            return None
        ((name, config),) = update.items.items()
        sent = self._sent_configs.get(name)
        is_list_of_others = update.whole and len(self._sent_configs) != 1
        if sent is None or config is None or is_list_of_others:
            return None
        if update.position.era != self._sent_era:
            return None
        patch = make_patch(sent, config)
        if patch is None:
            return None
        return ConfigUpdate(name=name, patch=patch, position=update.position)

    def _broadcast(self, data: bytes) -> None:
        for writer in list(self._subscribers):
            if writer.transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
                log.warning("slow subscriber disconnected")
                self._subscribers.discard(writer)
                writer.transport.abort()
            else:
                writer.write(data)


@contextlib.asynccontextmanager
async def listen_for_subscribers(relay: RelayServer, address: Address) -> AsyncIterator[None]:
    """Accept subscribers on ``address`` within the block."""
    server = await asyncio.start_server(relay.serve_subscriber, address[0], address[1])
    try:
        yield
    finally:
        relay.close()
        server.close()


async def subscribe(
    store_cache: StoreCache,
    feed: RegionFeed,
    address: Address,
    *,
    on_pulse: Callable[[Pulse], None],
    on_progress: Callable[[], None] = lambda: None,
) -> None:
    """Apply the changes and the feed from the relay at ``address``, and report to it.

    The cache keeps its content until the relay has sent its own. Always ends with an error.

    Args:
        store_cache: Local copy of the store's objects.
        feed: What this gateway knows of the others.
        address: Address of the relay.
        on_pulse: Called for each pulse after it has been applied; it raises
            ``PeerUnavailable`` to leave the relay.
        on_progress: Called for each part of a message that takes long to arrive.

    Raises:
        PeerUnavailable: The relay is unreachable, silent, has closed the connection, or
            ``on_pulse`` leaves it.
        MessageError: The relay sent an invalid message.
    """
    peer = f"{address[0]}:{address[1]}"
    reader, writer = await _connect(address, peer)
    feed.start_subscription()
    first_report = feed.take_report(time.monotonic())
    known = store_cache.known_positions()
    writer.write(encode_report(msgspec.structs.replace(first_report, known=known)))
    reporting = asyncio.create_task(_send_reports(feed, writer))
    try:
        while True:
            match await _read_message(reader, peer, on_progress):
                case Update() as update:
                    store_cache.apply_update(update)
                case ConfigUpdate() as change:
                    store_cache.apply_update(to_update(change, store_cache))
                case Pulse() as pulse:
                    feed.apply_pulse(pulse, time.monotonic())
                    on_pulse(pulse)
    finally:
        reporting.cancel()
        writer.transport.abort()


async def _connect(
    address: Address, peer: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(address[0], address[1])
    except CONNECT_ERRORS as error:
        raise PeerUnavailable(f"{peer}: {str(error) or 'connection timed out'}") from error


async def _send_reports(feed: RegionFeed, writer: asyncio.StreamWriter) -> None:
    while not writer.is_closing():
        report = feed.take_report(time.monotonic())
        if not report.is_empty:
            writer.write(encode_report(report))
        await asyncio.sleep(REPORT_INTERVAL_S)


async def _read_message(
    reader: asyncio.StreamReader, peer: str, on_progress: Callable[[], None]
) -> RelayMessage:
    try:
        async with asyncio.timeout(RELAY_TIMEOUT_S) as timeout:

            def extend() -> None:
                timeout.reschedule(asyncio.get_running_loop().time() + RELAY_TIMEOUT_S)
                on_progress()

            return decode(await read_frame(reader, peer, extend))
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise PeerUnavailable(f"{peer}: {str(error) or 'silent'}") from error

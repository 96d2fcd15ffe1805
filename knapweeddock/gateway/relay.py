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
import struct
import time
import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec
import structlog

from knapweeddock.errors import MessageError, PatchMismatch, PeerUnavailable
from knapweeddock.gateway.configpatch import ConfigPatch, apply_patch, make_patch
from knapweeddock.gateway.records import Address, GatewayEntry, ServerEntry
from knapweeddock.gateway.regionfeed import Pulse, RegionFeed, SubscriberReport
from knapweeddock.gateway.relaytree import MAX_RELAY_DEPTH
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.storecache import StoreCache, Update
from knapweeddock.gateway.storeclient import StoreObject, Topic
from knapweeddock.gateway.storeposition import StorePosition
from knapweeddock.ids import Era, FailureDomainId

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

READ_BYTES = 64 * 1024
"""Largest number of bytes that are read at once."""

CONNECT_TIMEOUT_S = 0.3
"""Timeout in seconds for connecting to a relay, which is in the same region."""

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Length above which a subscriber refuses a message, without the prefix."""

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
"""Unsent bytes above which a subscriber is disconnected when the next message is due."""

MIN_COMPRESSED_BYTES = 1024
"""Length from which a message to subscribers is compressed: routes and servers have much in
common, and a relay sends them to every subscriber."""

COMPRESSION_LEVEL = 1
"""Level of zlib: the fastest, since small VMs compress and decompress."""

LENGTH_PREFIX = struct.Struct("!I")

ITEM_TYPES = {
    Topic.CONFIGURATION: RoutingConfig,
    Topic.SERVERS: ServerEntry,
    Topic.EVACUATIONS: FailureDomainId,
    Topic.GATEWAYS: GatewayEntry,
}
"""Type of the objects of each topic; an evacuation is the identifier of its domain."""


class EncodedUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """An ``Update`` as it is received.

    Its objects are still encoded, since the topic determines their type.
    """

    topic: Topic
    whole: bool
    items: dict[str, msgspec.Raw]
    position: StorePosition
    grace_s: float = 0.0


class ConfigUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="patch"):
    """A changed configuration, as the difference from the one that all subscribers have.

    Attributes:
        name: Name of the store's object.
        patch: The difference.
        position: Position of the store up to which changes are included.
    """

    name: str
    patch: ConfigPatch
    position: StorePosition


class Compressed(msgspec.Struct, frozen=True, kw_only=True, tag="compressed"):
    """Another message, compressed.

    Attributes:
        data: The encoded message, compressed by zlib.
    """

    data: bytes


RelayMessage = Update | ConfigUpdate | Pulse
"""What a relay sends to its subscribers."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EncodedUpdate | ConfigUpdate | Pulse | Compressed)
_report_decoder = msgspec.msgpack.Decoder(SubscriberReport)
_item_decoders = {topic: msgspec.msgpack.Decoder(kind | None) for topic, kind in ITEM_TYPES.items()}


def encode(message: RelayMessage) -> bytes:
    """Return a relay's ``message`` encoded, compressed if that pays, and with its length."""
    data = _encoder.encode(message)
    if len(data) >= MIN_COMPRESSED_BYTES:
        data = _encoder.encode(Compressed(data=zlib.compress(data, COMPRESSION_LEVEL)))
    return LENGTH_PREFIX.pack(len(data)) + data


def encode_report(report: SubscriberReport) -> bytes:
    """Return a subscriber's ``report`` encoded and prefixed with its length."""
    data = _encoder.encode(report)
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(data: bytes) -> RelayMessage:
    """Decode a relay's message, without its length prefix.

    Raises:
        MessageError: The data is not a valid message.
    """
    try:
        message = _decoder.decode(data)
        if isinstance(message, Compressed):
            message = _decoder.decode(_decompress(message.data))
        match message:
            case EncodedUpdate():
                return _decode_update(message)
            case ConfigUpdate() | Pulse():
                return message
    except msgspec.MsgspecError as error:
        raise MessageError(f"cannot decode relay message: {error}") from error
    raise MessageError("relay message is compressed twice")


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise MessageError(f"cannot decompress relay message: {error}") from error
    if not decompressor.eof:
        raise MessageError("compressed relay message is too large or incomplete")
    return content


def _decode_update(message: EncodedUpdate) -> Update:
    decoder = _item_decoders[message.topic]
    items: dict[str, StoreObject | None] = {
        name: decoder.decode(raw) for name, raw in message.items.items()
    }
    return Update(
        topic=message.topic,
        whole=message.whole,
        items=items,
        position=message.position,
        grace_s=message.grace_s,
    )


def decode_report(data: bytes) -> SubscriberReport:
    """Decode a subscriber's message, without its length prefix.

    Raises:
        MessageError: The data is not a valid message.
    """
    try:
        return _report_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"cannot decode subscriber's message: {error}") from error


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
                return decode_report(await _read_frame(reader, "subscriber"))
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
                    report = decode_report(await _read_frame(reader, "subscriber"))
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

    The cache keeps its content until the relay has sent its own. Never returns
    normally; the subscription ends with an error.

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
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address[0], address[1])
    except (OSError, TimeoutError) as error:
        raise PeerUnavailable(f"{peer}: {str(error) or 'connection timed out'}") from error
    feed.start_subscription()
    first_report = feed.take_report(time.monotonic())
    known = store_cache.known_positions()
    writer.write(encode_report(msgspec.structs.replace(first_report, known=known)))
    reporting = asyncio.create_task(_send_reports(feed, writer))
    try:
        while True:
            message = await _read_message(reader, peer, on_progress)
            match message:
                case Update():
                    store_cache.apply_update(message)
                case ConfigUpdate():
                    store_cache.apply_update(to_update(message, store_cache))
                case Pulse():
                    feed.apply_pulse(message, time.monotonic())
                    on_pulse(message)
    finally:
        reporting.cancel()
        writer.transport.abort()


def to_update(message: ConfigUpdate, store_cache: StoreCache) -> Update:
    """Return the changed configuration as an update of the objects in ``store_cache``.

    Raises:
        PatchMismatch: It cannot be told from the known version, which is neither the one that
            the relay had nor a later one than the patch results in.
    """
    known = store_cache.items[Topic.CONFIGURATION].get(message.name)
    items: dict[str, StoreObject | None] = {}
    if known is None:
        raise PatchMismatch(f"patch of {message.name}, of which no version is known")
    if known.version < message.patch.version:
        items[message.name] = apply_patch(known, message.patch)
    return Update(topic=Topic.CONFIGURATION, whole=False, items=items, position=message.position)


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

            return decode(await _read_frame(reader, peer, extend))
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise PeerUnavailable(f"{peer}: {str(error) or 'silent'}") from error


async def _read_frame(
    reader: asyncio.StreamReader, peer: str, on_progress: Callable[[], None] = lambda: None
) -> bytes:
    """Read a message without its length prefix.

    Args:
        reader: Where to read.
        peer: Who sends the message.
        on_progress: Called for each part of the message but the last one.

    Raises:
        MessageError: The message is too large.
    """
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_MESSAGE_BYTES:
        raise MessageError(f"{peer}: message of {length} bytes is too large")
    parts = []
    remaining = length
    while remaining > 0:
        part = await reader.read(min(remaining, READ_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"".join(parts), length)
        parts.append(part)
        remaining -= len(part)
        if remaining > 0:
            on_progress()
    return b"".join(parts)

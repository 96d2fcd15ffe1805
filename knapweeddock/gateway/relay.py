"""Relays the store's changes from one gateway to the others of its region.

The platform bills every call of the store, and if every gateway watched it, the number
of calls would grow with the fleet. Instead, one gateway of each region watches the
store; the others subscribe to it over TCP, or to a second one when it fails. In a
region of very few gateways each one watches the store.
"""

import asyncio
import contextlib
import struct
import time
from collections.abc import AsyncIterator, Callable

import msgspec
import structlog

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.gateway.records import Address, GatewayEntry, ServerEntry
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.storecache import StoreCache, Update
from knapweeddock.gateway.storeclient import StoreObject, Topic
from knapweeddock.gateway.storeposition import StorePosition
from knapweeddock.ids import FailureDomainId

log = structlog.get_logger(__name__)

PULSE_INTERVAL_S = 0.15
"""Interval in seconds of the pulses."""

SOURCE_LOSS_DELAY_S = 0.15
"""Time in seconds for which a relay that has lost its source tries to reach the store
before it tells its subscribers to leave."""

RELAY_TIMEOUT_S = 0.7
"""Time in seconds without a message after which a subscriber leaves its relay."""

CONNECT_TIMEOUT_S = 0.3
"""Timeout in seconds for connecting to a relay, which is in the same region."""

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Length above which a subscriber refuses a message, without the prefix."""

MAX_BACKLOG_BYTES = 4 * 1024 * 1024
"""Unsent bytes above which a subscriber is disconnected when the next message is due."""

LENGTH_PREFIX = struct.Struct("!I")

ITEM_TYPES = {
    Topic.CONFIGURATION: RoutingConfig,
    Topic.SERVERS: ServerEntry,
    Topic.EVACUATIONS: FailureDomainId,
    Topic.GATEWAYS: GatewayEntry,
}
"""Type of the objects of each topic; an evacuation is the identifier of its domain."""


class Pulse(msgspec.Struct, frozen=True, kw_only=True, tag="pulse"):
    """Keepalive message, which tells subscribers whether the relay's source is reachable.

    It follows all changes that the relay has applied so far.

    Attributes:
        connected: Whether the sender receives changes, from the store or from another
            relay; subscribers leave when it does not.
    """

    connected: bool


class EncodedUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """An ``Update`` as it is received.

    Its objects are still encoded, since the topic determines their type.
    """

    topic: Topic
    whole: bool
    items: dict[str, msgspec.Raw]
    position: StorePosition
    grace_s: float = 0.0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EncodedUpdate | Pulse)
_item_decoders = {topic: msgspec.msgpack.Decoder(kind | None) for topic, kind in ITEM_TYPES.items()}


def encode(message: Update | Pulse) -> bytes:
    """Return ``message`` encoded and prefixed with its length."""
    data = _encoder.encode(message)
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(data: bytes) -> Update | Pulse:
    """Decode a message, without its length prefix.

    Raises:
        MessageError: The data is not a valid message.
    """
    try:
        message = _decoder.decode(data)
        if isinstance(message, Pulse):
            return message
        decoder = _item_decoders[message.topic]
        items: dict[str, StoreObject | None] = {
            name: decoder.decode(raw) for name, raw in message.items.items()
        }
    except msgspec.MsgspecError as error:
        raise MessageError(f"cannot decode relay message: {error}") from error
    return Update(
        topic=message.topic,
        whole=message.whole,
        items=items,
        position=message.position,
        grace_s=message.grace_s,
    )


class RelayServer:
    """Sends the changes of the store cache to subscribers.

    A gateway that has just begun to watch the store sends no pulse until the store
    responds or ``SOURCE_LOSS_DELAY_S`` has passed, since its cache may be out of date;
    subscribers wait that long.

    Attributes:
        is_source_reachable: Returns whether the source of the store cache is reachable.
        server_removal_grace_s: Returns the seconds for which servers that the store no
            longer lists are kept.
        accepting: Whether subscribers are accepted.
    """

    def __init__(
        self,
        *,
        store_cache: StoreCache,
        is_source_reachable: Callable[[], bool],
        server_removal_grace_s: Callable[[], float],
    ) -> None:
        self.store_cache = store_cache
        self.is_source_reachable = is_source_reachable
        self.server_removal_grace_s = server_removal_grace_s
        self.accepting = False
        self._source_lost_at: float | None = None
        self._subscribers: set[asyncio.StreamWriter] = set()
        store_cache.listeners.append(self._broadcast_update)

    @property
    def subscriber_count(self) -> int:
        """Number of connected subscribers."""
        return len(self._subscribers)

    def disconnect_subscribers(self) -> None:
        """Disconnect all subscribers, and accept none until ``accepting`` is set again."""
        self.accepting = False
        for writer in self._subscribers:
            writer.close()
        self._subscribers.clear()

    async def run(self) -> None:
        """Send pulses until cancelled."""
        while True:
            pulse = self._current_pulse()
            if self._subscribers and pulse is not None:
                self._broadcast(encode(pulse))
            await asyncio.sleep(PULSE_INTERVAL_S)

    def _current_pulse(self) -> Pulse | None:
        """Return the pulse to send, or None while the source may still come back.

        The first call after the loss of the source starts ``SOURCE_LOSS_DELAY_S``.
        """
        if self.is_source_reachable():
            self._source_lost_at = None
            return Pulse(connected=True)
        now = time.monotonic()
        if self._source_lost_at is None:
            self._source_lost_at = now
        return Pulse(connected=False) if now - self._source_lost_at >= SOURCE_LOSS_DELAY_S else None

    async def serve_subscriber(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one subscriber until it disconnects."""
        if not self.accepting or not self.store_cache.is_complete:
            writer.close()
            return
        # Without an await before the subscriber is added, no update can be missed.
        for topic in Topic:
            writer.write(
                encode(self.store_cache.full_update(topic, grace_s=self.server_removal_grace_s()))
            )
        pulse = self._current_pulse()
        if pulse is not None:
            writer.write(encode(pulse))
        self._subscribers.add(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self._subscribers.discard(writer)
        writer.close()

    def _broadcast_update(self, update: Update) -> None:
        if self._subscribers:
            self._broadcast(encode(update))

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
        relay.disconnect_subscribers()
        server.close()


async def subscribe(
    store_cache: StoreCache, address: Address, *, on_pulse: Callable[[], None]
) -> None:
    """Apply the changes from the relay at ``address`` to ``store_cache``.

    The cache keeps its content until the relay has sent its own. Never returns
    normally; the subscription ends with an error.

    Args:
        store_cache: Local copy of the store's objects.
        address: Address of the relay.
        on_pulse: Called for each pulse of a relay whose source is reachable.

    Raises:
        PeerUnavailable: The relay is unreachable, silent, has closed the connection, or
            has lost its source.
        MessageError: The relay sent an invalid message.
    """
    peer = f"{address[0]}:{address[1]}"
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address[0], address[1])
    except (OSError, TimeoutError) as error:
        raise PeerUnavailable(f"{peer}: {error or 'connection timed out'}") from error
    try:
        while True:
            message = await _read_message(reader, peer)
            match message:
                case Update():
                    store_cache.apply_update(message)
                case Pulse(connected=True):
                    on_pulse()
                case Pulse():
                    raise PeerUnavailable(f"{peer}: the relay has lost its source")
    finally:
        writer.transport.abort()


async def _read_message(reader: asyncio.StreamReader, peer: str) -> Update | Pulse:
    try:
        async with asyncio.timeout(RELAY_TIMEOUT_S):
            (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
            if length > MAX_MESSAGE_BYTES:
                raise MessageError(f"{peer}: message of {length} bytes is too large")
            return decode(await reader.readexactly(length))
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise PeerUnavailable(f"{peer}: {error or 'no message in time'}") from error

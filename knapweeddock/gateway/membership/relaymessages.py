"""Messages between a relay and its subscribers, and their encoding.

A message is a length and a value in MessagePack; long ones are compressed. A changed
configuration travels as a patch, which the subscriber applies to the version that it knows.
"""

import asyncio
import struct
import zlib
from collections.abc import Callable

import msgspec
import structlog

from knapweeddock.errors import MessageError, PatchMismatch
from knapweeddock.gateway.membership.regionfeed import Pulse, SubscriberReport
from knapweeddock.gateway.records import GatewayEntry, ServerEntry
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.configpatch import ConfigPatch, apply_patch
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import StoreObject, Topic
from knapweeddock.gateway.store.storeposition import StorePosition
from knapweeddock.ids import FailureDomainId

log = structlog.get_logger(__name__)

READ_BYTES = 64 * 1024
"""Largest number of bytes that are read at once."""

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Length above which a subscriber refuses a message, without the prefix."""

MIN_COMPRESSED_BYTES = 1024
"""Length from which a message to subscribers is compressed: routes and servers have much in
common, and a relay sends them to every subscriber."""

COMPRESSION_LEVEL = 1
"""Level of zlib: the fastest, since small VMs compress and decompress."""

ENCODING_ERRORS = (OverflowError, UnicodeError, TypeError, RecursionError, msgspec.MsgspecError)
"""What the encoder raises for a value that MessagePack cannot hold."""

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
    """Return a relay's ``message`` encoded, compressed if that pays, and with its length.

    Objects that the encoding cannot hold are left out of an update as if they were
    unreadable: subscribers must not miss the changes that came with them.
    """
    try:
        data = _encoder.encode(message)
    except ENCODING_ERRORS:
        if not isinstance(message, Update):
            raise
        data = _encoder.encode(_without_unencodable(message))
    if len(data) >= MIN_COMPRESSED_BYTES:
        data = _encoder.encode(Compressed(data=zlib.compress(data, COMPRESSION_LEVEL)))
    return LENGTH_PREFIX.pack(len(data)) + data


def _without_unencodable(update: Update) -> Update:
    return msgspec.structs.replace(
        update,
        items={
            name: item if _can_encode(update.topic, name, item) else None
            for name, item in update.items.items()
        },
    )


def _can_encode(topic: Topic, name: str, item: StoreObject | None) -> bool:
    try:
        _encoder.encode(item)
    except ENCODING_ERRORS as error:
        log.error("object not passed on", topic=topic.value, name=name, reason=str(error))
        return False
    return True


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


async def read_frame(
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

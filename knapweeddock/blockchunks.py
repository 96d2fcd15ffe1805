"""Cuts block tables into chunks, encodes them, and tells which ones are missing or obsolete.

A chunk holds the blocks that start in one range of addresses. A range with
too many blocks is halved, so the cut depends on the blocks alone: one changed
block changes one chunk, or a few when its range is halved or joined.

Chunks are immutable objects ``blocks/<digest>``. A chunk that a new list no
longer names is first recorded in the document as retired and deleted only
after that document was accepted; a writer never names a retired digest. The
conditional update of the head therefore keeps a writer from naming a chunk
that another one deletes.
"""

import hashlib
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

import msgspec

from knapweeddock.blockfiles import LENGTH_BITS, V4_BITS, V6_BITS, SortedBlocks, format_prefix
from knapweeddock.changes import Document
from knapweeddock.errors import ConfigError
from knapweeddock.model import BlockChunk

KEY_PREFIX = "blocks/"

MAX_CHUNK_BLOCKS = 8_192
"""Blocks of one chunk: 57 KB for IPv4 and 156 KB for IPv6, without names.

Smaller chunks move fewer bytes per change, but their list takes room in the
document (about 75 bytes per chunk).
"""

MAX_CHUNK_BYTES = 500_000
DIGEST_BYTES = 16
FORMAT = 1

FORGET_AFTER_S = 3600
"""Time after which a deleted chunk's digest may be used again.

It exceeds the time that a writer spends on deleting, so that its late call
cannot remove a chunk that was created again.
"""

NEWLY_RETIRED = 0
"""Value of a retired chunk that the list before the newest still names."""

_LENGTH_MASK = (1 << LENGTH_BITS) - 1


class _Encoded(msgspec.Struct, array_like=True, forbid_unknown_fields=True, kw_only=True):
    """The object of a chunk; numbers in the byte strings are little-endian.

    Attributes:
        format: Always ``FORMAT``.
        generation: Makes the digest differ from that of a retired chunk.
        bits: 32 or 128.
        names: Names of the locations, sorted.
        starts: First address of each block, 4 or 16 bytes.
        lengths: Prefix length of each block, 1 byte.
        locations: Index into ``names`` of each block, 2 bytes.
    """

    format: int
    generation: int
    bits: int
    names: list[str]
    starts: bytes
    lengths: bytes
    locations: bytes


@dataclass(frozen=True, kw_only=True)
class Cut:
    """Blocks ``begin`` to ``end`` of a family, those that start in one range.

    Attributes:
        range: The range as a prefix.
        family: Where the blocks are.
        begin: Index of the first block.
        end: Index after the last block.
    """

    range: str
    family: SortedBlocks
    begin: int
    end: int


@dataclass(frozen=True, kw_only=True)
class Plan:
    """A new list of chunks and what it needs on the platform.

    Attributes:
        chunks: The chunks by range.
        retired: Digests that the list does not name and that are or were
            stored; ``NEWLY_RETIRED``, or the Unix time in seconds since which
            the chunk may be deleted.
        uploads: The objects that the list before does not name, by digest.
    """

    chunks: dict[str, BlockChunk]
    retired: dict[str, int]
    uploads: dict[str, bytes]


def key_of(digest: str) -> str:
    """Return the key of a chunk's object."""
    return KEY_PREFIX + digest


def digest_of(data: bytes) -> str:
    """Return the digest of an encoded chunk."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def cut(families: Iterable[SortedBlocks]) -> Iterator[Cut]:
    """Cut sorted blocks by address range."""
    for family in families:
        yield from _halve(family, 0, 0, 0, len(family.prefixes))


def _halve(family: SortedBlocks, start: int, depth: int, begin: int, end: int) -> Iterator[Cut]:
    if begin == end:
        return
    if end - begin <= MAX_CHUNK_BLOCKS or depth == family.bits:
        name = format_prefix(start << LENGTH_BITS | depth, family.bits)
        yield Cut(range=name, family=family, begin=begin, end=end)
        return
    middle = start + (1 << (family.bits - depth - 1))
    split = bisect_left(family.prefixes, middle << LENGTH_BITS, begin, end)
    yield from _halve(family, start, depth + 1, begin, split)
    yield from _halve(family, middle, depth + 1, split, end)


def encode(part: Cut, *, generation: int = 0) -> bytes:
    """Encode a chunk; equal blocks and generation give equal bytes."""
    family = part.family
    prefixes = family.prefixes[part.begin : part.end]
    places = family.locations[part.begin : part.end]
    names = sorted({family.names[place] for place in set(places)})
    positions = {name: index for index, name in enumerate(names)}
    indexes = {place: positions[family.names[place]] for place in set(places)}
    content = _Encoded(
        format=FORMAT,
        generation=generation,
        bits=family.bits,
        names=names,
        starts=_encode_starts(prefixes, family.bits),
        lengths=bytes([prefix & _LENGTH_MASK for prefix in prefixes]),
        locations=_little(array("H", [indexes[place] for place in places])).tobytes(),
    )
    data = msgspec.msgpack.encode(content)
    if len(data) > MAX_CHUNK_BYTES:
        raise ConfigError(f"the chunk {part.range} has {len(data)} bytes")
    return data


def _encode_starts(prefixes: Iterable[int], bits: int) -> bytes:
    if bits == V4_BITS:
        return _little(array("I", [prefix >> LENGTH_BITS for prefix in prefixes])).tobytes()
    return b"".join([(prefix >> LENGTH_BITS).to_bytes(16, "little") for prefix in prefixes])


def _little(numbers: array) -> array:
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def decode(data: bytes, *, digest: str) -> SortedBlocks:
    """Verify and decode a chunk.

    Raises:
        ConfigError: The digest is another one, or the content is malformed.
    """
    verify(data, digest=digest)
    try:
        content = msgspec.msgpack.decode(data, type=_Encoded)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"block chunk {digest} is malformed: {error}") from error
    count = len(content.lengths)
    is_sound = (
        content.format == FORMAT
        and content.bits in (V4_BITS, V6_BITS)
        and len(content.starts) == count * content.bits // 8
        and len(content.locations) == 2 * count
    )
    if not is_sound:
        raise ConfigError(f"block chunk {digest} is malformed")
    locations = _little(array("H", content.locations))
    prefixes = [
        start << LENGTH_BITS | length
        for start, length in zip(_decode_starts(content), content.lengths, strict=True)
    ]
    if count and (max(locations) >= len(content.names) or max(content.lengths) > content.bits):
        raise ConfigError(f"block chunk {digest} has an index or length out of range")
    if any(one >= other for one, other in pairwise(prefixes)):
        raise ConfigError(f"block chunk {digest} is not sorted")
    return SortedBlocks(
        bits=content.bits, prefixes=prefixes, locations=locations, names=content.names
    )


def _decode_starts(content: _Encoded) -> Iterable[int]:
    if content.bits == V4_BITS:
        return _little(array("I", content.starts))
    data = content.starts
    return [int.from_bytes(data[at : at + 16], "little") for at in range(0, len(data), 16)]


def verify(data: bytes, *, digest: str) -> None:
    """Check that ``data`` is the content of the chunk ``digest``.

    Raises:
        ConfigError: It is not.
    """
    if len(data) > MAX_CHUNK_BYTES or digest_of(data) != digest:
        raise ConfigError(f"the content of block chunk {digest} has another digest")


def chunks_of(document: Document) -> dict[str, BlockChunk]:
    """Return the list of chunks of a document.

    Raises:
        ConfigError: The list is malformed.
    """
    try:
        return msgspec.convert(document.get("block_chunks", {}), dict[str, BlockChunk])
    except msgspec.ValidationError as error:
        raise ConfigError(f"block_chunks is malformed: {error}") from error


def missing(chunks: Mapping[str, BlockChunk], held: Iterable[str]) -> list[str]:
    """Return the digests of ``chunks`` that are not held, each once."""
    present = set(held)
    needed = dict.fromkeys(chunk.digest for chunk in chunks.values())
    return [digest for digest in needed if digest not in present]


def plan_change(
    families: Iterable[SortedBlocks],
    *,
    chunks: Mapping[str, BlockChunk],
    retired: Mapping[str, int],
    stored: Iterable[str],
    now_s: int,
) -> Plan:
    """Plan the change from the accepted list of chunks to one for ``families``.

    Args:
        families: The new blocks.
        chunks: The accepted list.
        retired: The retired chunks of the accepted document.
        stored: Digests of the objects on the platform.
        now_s: Unix time in seconds.
    """
    named: dict[str, BlockChunk] = {}
    uploads: dict[str, bytes] = {}
    for part in cut(families):
        held = chunks.get(part.range)
        data = encode(part, generation=held.generation if held else 0)
        found = held
        if held is None or digest_of(data) != held.digest:
            found, data = _new_chunk(part, retired)
            uploads[found.digest] = data
        named[part.range] = found
    if named == dict(chunks):
        return Plan(chunks=named, retired=dict(retired), uploads={})
    digests = {chunk.digest for chunk in named.values()}
    before = {chunk.digest for chunk in chunks.values()}
    later = _retired_later(retired, set(stored), digests | before, now_s)
    later |= dict.fromkeys(sorted(before - digests), NEWLY_RETIRED)
    return Plan(chunks=named, retired=later, uploads=uploads)


def _new_chunk(part: Cut, retired: Mapping[str, int]) -> tuple[BlockChunk, bytes]:
    generation = 0
    data = encode(part)
    while digest_of(data) in retired:
        generation += 1
        data = encode(part, generation=generation)
    chunk = BlockChunk(digest=digest_of(data), count=part.end - part.begin, generation=generation)
    return chunk, data


def _retired_later(
    retired: Mapping[str, int], stored: set[str], named: set[str], now_s: int
) -> dict[str, int]:
    """Return the chunks that may be deleted after the change.

    Stored chunks that nothing names are left by writers whose change was not
    accepted; a writer that is still at work sees them retired and creates
    other ones.
    """
    later = {}
    for digest, since in retired.items():
        since_s = since or now_s
        if digest in stored or now_s - since_s <= FORGET_AFTER_S:
            later[digest] = since_s
    for digest in sorted(stored - named - later.keys()):
        later[digest] = now_s
    return later


def deletable(retired: Mapping[str, int], stored: Iterable[str]) -> list[str]:
    """Return the stored digests that no kept list names, for an accepted document."""
    return [digest for digest in stored if retired.get(digest, NEWLY_RETIRED) != NEWLY_RETIRED]

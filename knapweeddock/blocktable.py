"""A client block table that is built chunk by chunk.

The range of a chunk is a prefix, so a block of another chunk either lies
outside the range or holds all of it. Each chunk is therefore flattened on its
own, without the blocks that are wider than its range. These wide blocks form
one background table, which is searched when the chunk has no match. A changed
block costs the flattening of one chunk.
"""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from knapweeddock import blockchunks
from knapweeddock.blockfiles import (
    LENGTH_BITS,
    V4_BITS,
    V6_BITS,
    SortedBlocks,
    format_prefix,
    parse_prefix,
)
from knapweeddock.blocks import Address, BlockMatch, BlockTable
from knapweeddock.errors import ConfigError
from knapweeddock.model import BlockChunk

_LENGTH_MASK = (1 << LENGTH_BITS) - 1

Prefix = tuple[int, int]
"""A packed prefix and the bits of its family."""


@dataclass(frozen=True, slots=True)
class PartKey:
    """What a part is built from.

    Attributes:
        range: Address range of the chunk.
        digest: Digest of the chunk.
        overrides: Blocks of the document in the range, with their locations.
    """

    range: str
    digest: str
    overrides: tuple[tuple[int, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """One flattened chunk.

    Attributes:
        key: What it was built from.
        first: First address of the range.
        last: Last address of the range.
        bits: 32 or 128.
        table: The blocks that are not wider than the range.
        wide: The others with their locations.
    """

    key: PartKey
    first: int
    last: int
    bits: int
    table: BlockTable
    wide: dict[int, str]


@dataclass(frozen=True, kw_only=True)
class Layout:
    """The parts that a configuration needs, and what lies outside of them.

    Attributes:
        parts: Keys of the parts.
        outside: Blocks of the document that start in no part.
    """

    parts: list[PartKey]
    outside: dict[Prefix, str]


def _bounds(packed: int, bits: int) -> tuple[int, int]:
    first = packed >> LENGTH_BITS
    return first, first + (1 << (bits - (packed & _LENGTH_MASK))) - 1


def plan_layout(chunks: Mapping[str, BlockChunk], client_blocks: Mapping[str, str]) -> Layout:
    """Assign the blocks of the document to the chunks' ranges.

    Blocks and ranges that are malformed are left out, as in ``BlockTable``.
    """
    ranges: dict[int, list[tuple[int, int, str]]] = {V4_BITS: [], V6_BITS: []}
    for name in chunks:
        try:
            packed, bits = parse_prefix(name)
        except ValueError:
            continue
        ranges[bits].append((*_bounds(packed, bits), name))
    for held in ranges.values():
        held.sort()
    overrides: dict[str, list[tuple[int, str]]] = {}
    outside: dict[Prefix, str] = {}
    for text, location in client_blocks.items():
        try:
            packed, bits = parse_prefix(text)
        except ValueError:
            continue
        name = _range_of(ranges[bits], packed >> LENGTH_BITS)
        if name is None:
            outside[packed, bits] = location
        else:
            overrides.setdefault(name, []).append((packed, location))
    parts = [
        PartKey(name, chunks[name].digest, tuple(sorted(overrides.get(name, ()))))
        for held in ranges.values()
        for _, _, name in held
    ]
    return Layout(parts=parts, outside=outside)


def _range_of(ranges: list[tuple[int, int, str]], value: int) -> str | None:
    position = bisect_right(ranges, value, key=lambda held: held[0]) - 1
    if position >= 0 and value <= ranges[position][1]:
        return ranges[position][2]
    return None


def build_part(key: PartKey, data: bytes) -> Part:
    """Flatten one chunk; about 50 ms for the largest.

    Raises:
        ConfigError: The chunk is malformed or not the one of ``key``.
    """
    packed, bits = parse_prefix(key.range)
    blocks = blockchunks.decode(data, digest=key.digest)
    if blocks.bits != bits:
        raise ConfigError(f"block chunk {key.digest} is not of the range {key.range}")
    first, last = _bounds(packed, bits)
    if blocks.prefixes and not (
        first <= blocks.prefixes[0] >> LENGTH_BITS and blocks.prefixes[-1] >> LENGTH_BITS <= last
    ):
        raise ConfigError(f"block chunk {key.digest} is not of the range {key.range}")
    depth = packed & _LENGTH_MASK
    # Wide blocks start where the range starts, so only the first ones can be wide.
    may_be_wide = any(prefix & _LENGTH_MASK < depth for prefix in blocks.prefixes[: depth + 1])
    wide: dict[int, str] = {}
    if key.overrides or may_be_wide:
        blocks, wide = _merge(blocks, key.overrides, depth)
    return Part(
        key=key, first=first, last=last, bits=bits, table=BlockTable.of([blocks]), wide=wide
    )


def _merge(
    blocks: SortedBlocks, overrides: Iterable[tuple[int, str]], depth: int
) -> tuple[SortedBlocks, dict[int, str]]:
    """Return the blocks with the document's, and those that are wider than the range."""
    merged = {
        prefix: blocks.names[location]
        for prefix, location in zip(blocks.prefixes, blocks.locations, strict=True)
    }
    merged.update(overrides)
    wide = {prefix: name for prefix, name in merged.items() if prefix & _LENGTH_MASK < depth}
    prefixes = sorted(merged.keys() - wide.keys())
    return _sorted_blocks(blocks.bits, prefixes, merged), wide


def _sorted_blocks(bits: int, prefixes: list[int], names: Mapping[int, str]) -> SortedBlocks:
    indexes: dict[str, int] = {}
    locations = [indexes.setdefault(names[prefix], len(indexes)) for prefix in prefixes]
    return SortedBlocks(bits=bits, prefixes=prefixes, locations=locations, names=list(indexes))


@dataclass(frozen=True, kw_only=True)
class _Family:
    """The parts of one address family in order of their ranges."""

    firsts: list[int] = field(default_factory=list)
    parts: list[Part] = field(default_factory=list)

    def find(self, value: int, address: Address) -> BlockMatch | None:
        position = bisect_right(self.firsts, value) - 1
        if position < 0 or value > self.parts[position].last:
            return None
        match = self.parts[position].table.find(address)
        return None if match.location is None else match


class ChunkedTable:
    """A table of client blocks that does not change once it is built.

    Attributes:
        parts: The parts by their keys.
        background: Blocks that are wider than a part, or outside of all.
    """

    def __init__(self, layout: Layout, parts: Mapping[PartKey, Part]) -> None:
        """Put the parts of a layout together.

        Args:
            layout: The layout.
            parts: At least all parts of the layout.
        """
        self.parts = {key: parts[key] for key in layout.parts}
        found = sorted(self.parts.values(), key=lambda part: part.first)
        self._v4 = self._family(found, V4_BITS)
        self._v6 = self._family(found, V6_BITS)
        background = dict(layout.outside)
        for part in found:
            background |= {(prefix, part.bits): name for prefix, name in part.wide.items()}
        self.background = BlockTable(
            (format_prefix(*prefix), name) for prefix, name in background.items()
        )

    @staticmethod
    def _family(parts: list[Part], bits: int) -> _Family:
        held = [part for part in parts if part.bits == bits]
        return _Family(firsts=[part.first for part in held], parts=held)

    def find(self, address: Address) -> BlockMatch:
        """Return the range that covers ``address``."""
        family = self._v6 if address.is_v6 else self._v4
        return family.find(address.value, address) or self.background.find(address)

    @property
    def ranges(self) -> int:
        """Number of disjoint ranges."""
        return self.background.ranges + sum(part.table.ranges for part in self.parts.values())

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays in bytes."""
        tables = [part.table for part in self.parts.values()]
        return sum(table.size_bytes for table in (self.background, *tables))

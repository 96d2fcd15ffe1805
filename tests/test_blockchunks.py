"""Chunks: guards against a cut that depends on more than the blocks, and against damage."""

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from knapweeddock import blockchunks
from knapweeddock.blockchunks import cut, decode, deletable, digest_of, encode, missing, plan_change
from knapweeddock.blockfiles import LENGTH_BITS, SortedBlocks
from knapweeddock.errors import ConfigError
from knapweeddock.model import BlockChunk

NAMES = ["n1", "n2", "s1"]
LIMIT = 8

block_starts = st.integers(0, 255).map(lambda top: top << 24)
blocks = st.dictionaries(
    st.builds(
        lambda start, length: (start >> (32 - length) << (32 - length)) << LENGTH_BITS | length,
        st.one_of(st.integers(0, 2**32 - 1), block_starts),
        st.integers(1, 32),
    ),
    st.sampled_from(range(3)),
    max_size=60,
)


def family_of(table: dict[int, int], bits: int = 32) -> SortedBlocks:
    prefixes = sorted(table)
    return SortedBlocks(
        bits=bits,
        prefixes=prefixes,
        locations=[table[prefix] for prefix in prefixes],
        names=NAMES,
    )


def plan(table, before=None, *, stored=(), now_s=100, retired=None):
    chunks = before.chunks if before else {}
    kept = (before.retired if before else {}) if retired is None else retired
    return plan_change([family_of(table)], chunks=chunks, retired=kept, stored=stored, now_s=now_s)


def content_of(table: dict[int, int]) -> dict[int, str]:
    found = {}
    for part in cut([family_of(table)]):
        data = encode(part)
        decoded = decode(data, digest=digest_of(data))
        for prefix, place in zip(decoded.prefixes, decoded.locations, strict=True):
            found[prefix] = decoded.names[place]
    return found


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(table=blocks)
def test_chunks_hold_every_block_once(table):
    with mock.patch.object(blockchunks, "MAX_CHUNK_BLOCKS", LIMIT):
        parts = list(cut([family_of(table)]))
        assert content_of(table) == {prefix: NAMES[place] for prefix, place in table.items()}
    assert sum(part.end - part.begin for part in parts) == len(table)
    assert len({part.range for part in parts}) == len(parts)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(table=blocks.filter(bool), data=st.data())
def test_one_changed_block_changes_one_chunk(table, data):
    """More changed chunks would mean more bytes for every node and each change."""
    prefix = data.draw(st.sampled_from(sorted(table)))
    changed = table | {prefix: (table[prefix] + 1) % 3}
    with mock.patch.object(blockchunks, "MAX_CHUNK_BLOCKS", LIMIT):
        first = plan(table)
        second = plan(changed, first, stored=first.uploads)
    assert first.chunks.keys() == second.chunks.keys()
    assert len(second.uploads) == 1
    assert len(second.retired) == 1
    assert not deletable(second.retired, first.uploads)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(table=blocks, prefix=st.integers(0, 2**24 - 1).map(lambda top: top << 16 | 24))
def test_one_added_block_changes_one_range(table, prefix):
    """Chunks outside the range whose count crosses the limit must stay as they are."""
    with mock.patch.object(blockchunks, "MAX_CHUNK_BLOCKS", LIMIT):
        first = plan(table)
        second = plan(table | {prefix: 1}, first, stored=first.uploads)
    gone = first.chunks.keys() - second.chunks.keys()
    assert len(gone) <= 1
    changed = [name for name in first.chunks if first.chunks[name] != second.chunks.get(name)]
    assert len(changed) <= 1


def test_wrong_or_malformed_content_is_refused():
    [part] = cut([family_of({10 << 32 | 8: 0, 11 << 32 | 8: 1})])
    data = encode(part)
    with pytest.raises(ConfigError, match="another digest"):
        decode(data + b"x", digest=digest_of(data))
    unsorted = blockchunks._Encoded(
        format=1,
        generation=0,
        bits=32,
        names=["n1"],
        starts=bytes(8),
        lengths=b"\x08\x08",
        locations=bytes(4),
    )
    for changes in ({}, {"bits": 7}, {"lengths": b"\x08"}, {"locations": b"\1\0\0\0"}):
        fields = {name: getattr(unsorted, name) for name in unsorted.__struct_fields__}
        bad = blockchunks.msgspec.msgpack.encode(blockchunks._Encoded(**(fields | changes)))
        with pytest.raises(ConfigError):
            decode(bad, digest=digest_of(bad))
    for bad in (b"", b"\xc1", b"\x90"):
        with pytest.raises(ConfigError, match="malformed"):
            decode(bad, digest=digest_of(bad))


def test_v6_blocks_come_back():
    table = {(0x20010DB8 << 96) << LENGTH_BITS | 32: 2, (0xFD << 120) << LENGTH_BITS | 8: 0}
    [part] = cut([family_of(table, bits=128)])
    data = encode(part)
    found = decode(data, digest=digest_of(data))
    assert (found.bits, list(found.prefixes)) == (128, sorted(table))
    assert [found.names[place] for place in found.locations] == ["s1", "n1"]


def test_missing_names_each_digest_once():
    chunks = {
        name: BlockChunk(digest=digest, count=1)
        for name, digest in {"a": "1", "b": "2", "c": "2", "d": "3"}.items()
    }
    assert missing(chunks, ["1"]) == ["2", "3"]


def test_chunks_of_the_last_two_lists_are_kept_and_retired_ones_not_named_again():
    """A writer that names a chunk while another deletes it would leave a hole in the table."""
    first = plan({10 << 32 | 8: 0})
    stored = set(first.uploads)
    second = plan({10 << 32 | 8: 1}, first, stored=stored)
    stored |= second.uploads.keys()
    assert deletable(second.retired, stored) == []
    third = plan({10 << 32 | 8: 2}, second, stored=stored)
    stored |= third.uploads.keys()
    assert deletable(third.retired, stored) == list(first.uploads)
    again = plan({10 << 32 | 8: 0}, third, stored=stored)
    assert not again.uploads.keys() & stored
    [chunk] = again.chunks.values()
    assert chunk.generation == 1
    unchanged = plan({10 << 32 | 8: 0}, again, stored=stored | again.uploads.keys(), retired={})
    assert (unchanged.chunks, unchanged.uploads) == (again.chunks, {})


def test_deleted_digests_are_forgotten_late_and_orphans_are_retired():
    table = {10 << 32 | 8: 0}
    later = plan(table, stored=["orphan"], retired={"old": 100, "new": 3000}, now_s=3800)
    assert later.retired == {"new": 3000, "orphan": 3800}
    assert deletable(later.retired, ["orphan", "unknown"]) == ["orphan"]

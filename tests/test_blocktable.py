"""Chunked tables: must answer as one table of all blocks does, and build only what changed."""

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from knapweeddock import blockchunks
from knapweeddock.blockfiles import LENGTH_BITS, format_prefix
from knapweeddock.blocks import BlockTable, parse_address
from knapweeddock.blocktable import ChunkedTable, build_part, plan_layout
from knapweeddock.errors import ConfigError
from knapweeddock.model import BlockChunk
from tests.test_blockchunks import LIMIT, NAMES, blocks, family_of, plan


def texts(table: dict[int, int], bits: int = 32) -> dict[str, str]:
    return {format_prefix(prefix, bits): NAMES[place] for prefix, place in table.items()}


def chunked(plan, client_blocks=(), before=None) -> ChunkedTable:
    layout = plan_layout(plan.chunks, dict(client_blocks))
    parts = dict(before.parts) if before else {}
    for key in layout.parts:
        if key not in parts:
            parts[key] = build_part(key, plan.uploads[key.digest])
    return ChunkedTable(layout, parts)


def edges(*tables: dict[int, int]) -> list[str]:
    """Return the addresses at and beside the ends of all blocks."""
    found = {0, 2**32 - 1}
    for prefix in (prefix for table in tables for prefix in table):
        first = prefix >> LENGTH_BITS
        last = first + (1 << (32 - (prefix & 0xFF))) - 1
        found |= {first - 1, first, last, last + 1}
    return [
        ".".join(str(part) for part in value.to_bytes(4, "big"))
        for value in found
        if 0 <= value < 2**32
    ]


@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
@given(table=blocks, document=blocks)
def test_answers_are_those_of_one_table_in_which_the_document_wins(table, document):
    with mock.patch.object(blockchunks, "MAX_CHUNK_BLOCKS", LIMIT):
        found = chunked(plan(table), texts(document))
    expected = BlockTable(texts(table | document).items())
    for client in edges(table, document):
        address = parse_address(client)
        assert found.find(address).location == expected.find(address).location


@hypothesis_settings(derandomize=True, deadline=None, max_examples=100)
@given(table=blocks.filter(bool), data=st.data())
def test_one_changed_block_builds_one_part(table, data):
    prefix = data.draw(st.sampled_from(sorted(table)))
    with mock.patch.object(blockchunks, "MAX_CHUNK_BLOCKS", LIMIT):
        first = plan(table)
        second = plan(table | {prefix: (table[prefix] + 1) % 3}, first)
    before = chunked(first)
    after = chunked(second, before=before)
    assert len(after.parts.keys() - before.parts.keys()) == 1


def test_v6_blocks_beside_v4():
    table = {(0x20010DB8 << 96) << LENGTH_BITS | 32: 2, (0x20010DB8 << 96) << LENGTH_BITS | 48: 0}
    found = blockchunks.plan_change(
        [family_of({10 << 32 | 8: 1}), family_of(table, bits=128)],
        chunks={},
        retired={},
        stored=(),
        now_s=1,
    )
    full = chunked(found, {"2001:db8:1::/48": "n2"})
    wanted = {"2001:db8::1": "n1", "2001:db8:1::1": "n2", "2001:db8:2::1": "s1", "fd::1": None}
    for client, location in wanted.items():
        assert full.find(parse_address(client)).location == location
    assert (full.ranges > 0, full.size_bytes > 0) == (True, True)


def test_chunk_of_another_range_is_refused():
    """A list that pairs a range with a wrong digest must not give wrong answers."""
    found = plan({10 << 32 | 8: 0})
    [(digest, data)] = found.uploads.items()
    for name in ("11.0.0.0/8", "::/0"):
        [key] = plan_layout({name: BlockChunk(digest=digest, count=1)}, {}).parts
        with pytest.raises(ConfigError, match="not of the range"):
            build_part(key, data)
    assert plan_layout({"x": BlockChunk(digest=digest, count=1)}, {"y": "n1"}).parts == []

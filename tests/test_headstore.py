"""Reading the configuration: a gap must end in an error, never in a wrong document."""

import pytest

from knapweeddock import changes
from knapweeddock.changes import Head, VersionedDocument
from knapweeddock.errors import ConfigError, StoreUnavailable
from knapweeddock.headstore import fetch_document, read_head
from knapweeddock.ids import Version
from knapweeddock.objectstore import ABSENT, MemoryObjectStore

HEAD = Head(version=Version(5), snapshot="s", snapshot_version=Version(5))


async def test_no_head_is_the_empty_configuration():
    stored = await read_head(MemoryObjectStore())
    assert (stored.object_version, stored.head) == (ABSENT, Head())


async def test_snapshot_is_fetched_only_when_needed():
    store = MemoryObjectStore()
    with pytest.raises(StoreUnavailable, match="is gone"):
        await fetch_document(store, HEAD)
    snapshot = VersionedDocument(version=Version(5), document={"a": 1})
    await store.put("s", changes.encode(snapshot), expected_version=ABSENT)
    assert await fetch_document(store, HEAD) == snapshot
    store.down = True
    assert await fetch_document(store, HEAD, snapshot) is snapshot


async def test_gaps_are_errors():
    store = MemoryObjectStore()
    with pytest.raises(ConfigError, match="neither"):
        await fetch_document(store, Head(version=Version(2)))
    old = VersionedDocument(version=Version(3), document={})
    await store.put("s", changes.encode(old), expected_version=ABSENT)
    with pytest.raises(ConfigError, match="missing"):
        await fetch_document(store, HEAD)

"""Configuration history: guards against a version that falls, gaps and lost changes."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock import confighistory
from knapweeddock.changes import Change, Head, VersionedDocument
from knapweeddock.confighistory import ConfigHistory, Progress
from knapweeddock.errors import MessageError
from knapweeddock.ids import ChangeId, Version
from knapweeddock.proto.knapweed_pb2 import ConfigChange, ConfigRecord


def change(version: int, patch: object) -> ConfigChange:
    return ConfigChange(config_version=version, patch=msgspec.json.encode(patch))


def history_at(version: int) -> ConfigHistory:
    history = ConfigHistory()
    history.apply([change(n, {"a": n}) for n in range(1, version + 1)], version)
    return history


def test_changes_apply_in_order_of_version():
    history = ConfigHistory()
    assert history.apply([change(2, {"a": 2}), change(1, {"a": 1, "b": 1})], 2) is Progress.ADVANCED
    assert history.document == {"a": 2, "b": 1}
    assert history.version == 2


def test_a_gap_changes_nothing():
    """Changes applied over a gap would make a document that never existed."""
    history = history_at(1)
    assert history.apply([change(3, {"a": 3})], 3) is Progress.GAP
    assert (history.version, history.document) == (1, {"a": 1})


def test_late_and_doubled_deliveries_never_take_a_version_back():
    history = history_at(3)
    assert history.apply([change(2, {"a": "old"})], 2) is Progress.UNCHANGED
    assert history.take_document(2, b'{"a": "old"}') is Progress.UNCHANGED
    old = VersionedDocument(version=Version(1), document={"a": "old"})
    assert history.take_snapshot(old) is Progress.UNCHANGED
    assert history.document == {"a": 3}


def test_a_peer_gets_changes_or_the_whole_document(monkeypatch):
    history = history_at(3)
    missing = history.since(1)
    assert [entry.config_version for entry in missing.changes] == [2, 3]
    assert history.since(3) is None
    monkeypatch.setattr(confighistory, "MAX_KEPT_CHANGES", 2)
    history.apply([change(4, {"a": 4})], 4)
    assert msgspec.json.decode(history.since(1).document) == {"a": 4}
    assert [entry.config_version for entry in history.since(2).changes] == [3, 4]


def test_a_node_with_a_document_serves_the_document():
    """It has no changes; an empty list would leave the peer behind for ever."""
    history = ConfigHistory()
    history.take_document(7, b'{"a": 7}')
    assert history.since(6).document == b'{"a":7}'
    empty = ConfigHistory()
    empty.take_document(1, b"{}")
    assert empty.since(0).document == b"{}"


def test_an_announced_version_without_content_is_a_gap():
    assert history_at(1).take_record(ConfigRecord(config_version=3)) is Progress.GAP


def test_head_changes_before_the_own_version_are_skipped():
    history = history_at(1)
    head = Head(
        version=Version(2),
        changes=[
            Change(
                version=Version(n), change_id=ChangeId("c"), operator="o", at=0.0, patch={"a": n}
            )
            for n in (1, 2)
        ],
    )
    assert history.take_head(head) is Progress.ADVANCED
    assert history.take_head(head) is Progress.UNCHANGED


@pytest.mark.parametrize("patch", [b"", b"[1]", b"{", b"null"])
def test_a_malformed_patch_is_refused_whole(patch: bytes):
    history = history_at(1)
    bad = ConfigChange(config_version=3, patch=patch)
    with pytest.raises(MessageError):
        history.apply([change(2, {"a": 2}), bad], 3)
    assert (history.version, history.document) == (1, {"a": 1})


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 8), st.integers(1, 8)), max_size=30))
def test_any_order_of_deliveries_keeps_the_document_of_its_version(deliveries):
    """The document at a version is the same however the version was reached."""
    history = ConfigHistory()
    for first, target in deliveries:
        before = history.version
        history.apply([change(n, {"a": n, f"k{n}": n}) for n in range(first, target + 1)], target)
        assert history.version >= before
        expected = {f"k{n}": n for n in range(1, history.version + 1)}
        assert history.document == (expected | {"a": history.version} if expected else {})

"""The head object: guards against lost, reordered or wrongly merged changes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock import changes
from knapweeddock.changes import Change, Head, VersionedDocument
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import ChangeId, Version

LEAVES = st.one_of(st.booleans(), st.integers(-2, 2), st.just(1.0), st.text("ab", max_size=2))
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=2), st.dictionaries(st.text("ab", max_size=2), inner, max_size=3)
    ),
    max_leaves=8,
)
DOCUMENTS = st.dictionaries(st.text("abc", max_size=2), VALUES, max_size=4)


def change(version: int, patch: dict, *, size: int = 0) -> Change:
    return Change(
        version=Version(version),
        change_id=ChangeId(f"change-{version}"),
        operator="o" * size,
        at=0.0,
        patch=patch,
    )


def head_of(patches: list[dict], *, size: int = 0) -> Head:
    head = Head()
    for version, patch in enumerate(patches, start=1):
        head = changes.append(head, change(version, patch, size=size))
    return head


@settings(derandomize=True, deadline=None, max_examples=200)
@given(old=DOCUMENTS, new=DOCUMENTS)
def test_patch_round_trip(old, new):
    """A patch that misses a difference would put another configuration in force."""
    assert changes.encode(changes.merge(old, changes.diff(old, new))) == changes.encode(new)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(document=DOCUMENTS)
def test_equal_documents_need_no_patch(document):
    assert changes.diff(document, document) == {}


def test_patch_tells_true_from_one():
    """Python's 1 == True would hide a change of type."""
    assert changes.diff({"a": 1}, {"a": True}) == {"a": True}


@settings(derandomize=True, deadline=None, max_examples=50)
@given(documents=st.lists(DOCUMENTS, min_size=1, max_size=6), start=st.integers(0, 6))
def test_any_older_node_catches_up(documents, start):
    """A node that missed changes must end with the same document as all others."""
    states = [{}, *documents]
    patches = [changes.diff(a, b) for a, b in zip(states, documents, strict=False)]
    start = min(start, len(documents))
    base = VersionedDocument(version=Version(start), document=states[start])
    head = changes.decode_head(changes.encode(head_of(patches)))
    found = changes.catch_up(base, head)
    assert found.version == len(documents)
    assert changes.encode(found.document) == changes.encode(documents[-1])


def test_node_behind_the_kept_changes_needs_the_snapshot():
    """Applying only the changes that are still inline would skip the others."""
    head = head_of([{f"k{n}": n} for n in range(5)], size=changes.KEPT_INLINE_BYTES // 2 - 200)
    assert changes.needs_snapshot(head)
    trimmed = changes.trim(head, "config/snapshots/5")
    assert [kept.version for kept in trimmed.changes] == [4, 5]
    assert (trimmed.snapshot, trimmed.snapshot_version) == ("config/snapshots/5", 5)
    assert changes.catch_up(VersionedDocument(version=Version(2)), trimmed) is None
    assert changes.catch_up(VersionedDocument(version=Version(3)), trimmed).version == 5


def test_single_large_change_moves_to_the_snapshot():
    """A change above the limit must not keep the head near the value limit."""
    trimmed = changes.trim(head_of([{}], size=changes.MAX_INLINE_BYTES), "s")
    assert trimmed.changes == []
    assert trimmed.version == 1


def test_newer_node_keeps_its_document():
    """A node must never go back to an older head."""
    base = VersionedDocument(version=Version(9), document={"new": 1})
    assert changes.catch_up(base, head_of([{"old": 1}])) is base


def test_recent_ids_are_bounded():
    head = Head(recent_ids=[ChangeId(str(n)) for n in range(changes.MAX_RECENT_IDS)])
    grown = changes.append(head, change(1, {}))
    assert len(grown.recent_ids) == changes.MAX_RECENT_IDS
    assert grown.recent_ids[-1] == "change-1"


def test_version_gap_is_refused():
    with pytest.raises(ValueError, match="does not follow"):
        changes.append(Head(), change(2, {}))


def test_malformed_objects_are_errors():
    with pytest.raises(ConfigError, match="malformed"):
        changes.decode_head(b'{"version": "x"}')
    with pytest.raises(ConfigError, match="malformed"):
        changes.decode_snapshot(b"[]")


@pytest.mark.parametrize(
    ("document", "code"),
    [
        ({"a": "x" * changes.MAX_DOCUMENT_BYTES}, ResultCode.TOO_LARGE),
        ({"a": "\ud800"}, ResultCode.SYNTAX),
    ],
)
def test_document_that_the_platform_cannot_hold(document, code):
    with pytest.raises(ConfigError) as raised:
        changes.check_size(document)
    assert raised.value.code is code

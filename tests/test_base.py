"""The operator's base: guards against undoing others' changes without notice."""

import pytest

from knapweeddock import base as bases
from knapweeddock import changes
from knapweeddock.base import Base, ChangedByOthers
from knapweeddock.changes import Change, Head
from knapweeddock.errors import ConfigError
from knapweeddock.ids import ChangeId, Version
from knapweeddock.publish import Current
from tests.documents import DOCUMENT


def current(*patches: dict) -> Current:
    head = Head()
    document = {}
    for number, patch in enumerate(patches, start=1):
        change = Change(
            version=Version(number),
            change_id=ChangeId(str(number)),
            operator="bob",
            at=0.0,
            patch=patch,
        )
        head = changes.append(head, change)
        document = changes.merge_document(document, patch)
    return Current(head=head, document=document)


def test_only_drains_may_change_since_the_base():
    drained = current(DOCUMENT, {"drains": {"vms": {"v1": True}}})
    bases.check_base(Base(version=Version(1)), drained)
    mixed = current(DOCUMENT, {"drains": {}, "lookup": {"entries": 3}}, {"drains": {}})
    with pytest.raises(ChangedByOthers) as raised:
        bases.check_base(Base(version=Version(1)), mixed)
    assert [change.version for change in raised.value.changes] == [2]
    with pytest.raises(ChangedByOthers, match="right platform"):
        bases.check_base(Base(version=Version(4)), mixed)


def test_base_older_than_the_listed_changes():
    """Without the list of changes, only an equal document proves that nobody interfered."""
    found = current(DOCUMENT, {"drains": {"vms": {"v1": True}}})
    trimmed = Current(head=changes.trim(found.head, "s"), document=found.document)
    trimmed.head.changes.clear()
    base = Base(version=Version(1), digest=bases.digest(DOCUMENT))
    bases.check_base(base, trimmed)
    with pytest.raises(ChangedByOthers, match="no longer listed"):
        bases.check_base(Base(version=Version(1)), trimmed)


def test_base_is_written_and_read(tmp_path):
    base = Base(version=Version(3), digest="d", platform="http://p")
    assert bases.read_base(tmp_path, platform="http://p").version == 0
    bases.write_base(tmp_path, base)
    assert bases.read_base(tmp_path, platform="http://p") == base
    assert bases.read_base(tmp_path, platform="http://q").version == 0
    assert [file.name for file in (tmp_path / ".knapweed").iterdir()] == ["base.json"]


def test_malformed_base(tmp_path):
    (tmp_path / ".knapweed").mkdir()
    (tmp_path / bases.BASE_FILE).write_text("{")
    with pytest.raises(ConfigError, match="knapweed diff"):
        bases.read_base(tmp_path, platform="http://p")

"""The ``config/head`` object: accepted changes of the configuration in order.

A change carries the difference between two merged documents as a JSON merge
patch (RFC 7396). When the inline changes grow too large, a snapshot object
holds the whole document and the head keeps only the newest changes.
"""

from dataclasses import dataclass, field, replace

import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import ChangeId, Version, new_id

HEAD_KEY = "config/head"
SNAPSHOT_PREFIX = "config/snapshots/"

MAX_DOCUMENT_BYTES = 900_000
"""Largest encoded document, below the megabyte that a platform value holds."""

MAX_INLINE_BYTES = 256 * 1024
"""Size of the inline changes above which a snapshot is written."""

KEPT_INLINE_BYTES = 128 * 1024
"""Size of the changes kept beside a new snapshot.

Nodes that are a little behind then need no snapshot; half of the limit leaves
room for many changes before the next snapshot.
"""

NO_VERSION = Version(0)
"""Version of the empty document, before the first change."""

MAX_RECENT_IDS = 1000
"""Change ids that the head keeps, by which a writer recognises its change."""

Document = dict[str, object]


@dataclass(frozen=True, kw_only=True)
class Change:
    """An accepted change.

    Attributes:
        version: Version of the document after the change.
        change_id: Random id by which the writer recognises it.
        operator: Who made the change.
        at: Wall time of the change in seconds since the Unix epoch.
        patch: JSON merge patch from the document before the change.
    """

    version: Version
    change_id: ChangeId
    operator: str
    at: float
    patch: Document


@dataclass(frozen=True, kw_only=True)
class Head:
    """Content of the ``config/head`` object.

    Attributes:
        version: Version of the document, one more with each change.
        changes: The newest changes, contiguous up to ``version``.
        recent_ids: Ids of the newest changes, oldest first.
        snapshot: Key of the newest snapshot object, None before the first.
        snapshot_version: Version of that snapshot.
        previous_snapshot: Key of the snapshot before, which readers of an
            older head may still fetch.
    """

    version: Version = NO_VERSION
    changes: list[Change] = field(default_factory=list)
    recent_ids: list[ChangeId] = field(default_factory=list)
    snapshot: str | None = None
    snapshot_version: Version = NO_VERSION
    previous_snapshot: str | None = None


@dataclass(frozen=True, kw_only=True)
class VersionedDocument:
    """A merged document and its version; also the content of a snapshot object."""

    version: Version = NO_VERSION
    document: Document = field(default_factory=dict)


def encode(value: object) -> bytes:
    """Encode ``value`` as JSON with sorted keys."""
    return msgspec.json.encode(value, order="deterministic")


def decode_head(data: bytes) -> Head:
    """Decode the value of the head object.

    Raises:
        ConfigError: The value is malformed.
    """
    try:
        return msgspec.json.decode(data, type=Head)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{HEAD_KEY} is malformed: {error}") from error


def decode_snapshot(data: bytes) -> VersionedDocument:
    """Decode the value of a snapshot object.

    Raises:
        ConfigError: The value is malformed.
    """
    try:
        return msgspec.json.decode(data, type=VersionedDocument)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"a snapshot is malformed: {error}") from error


def merge(document: object, patch: object) -> object:
    """Apply a JSON merge patch (RFC 7396) and return the new document.

    Neither argument is changed; the result may share parts with both.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), value)
    return merged


def merge_document(document: Document, patch: Document) -> Document:
    """Apply a JSON merge patch between two whole documents."""
    merged = merge(document, patch)
    assert isinstance(merged, dict)
    return merged


def diff(old: Document, new: Document) -> Document:
    """Return the merge patch that turns ``old`` into ``new``.

    Values are compared by their encoding, since Python holds ``1``, ``1.0``
    and ``True`` equal. ``new`` must hold no null, which a patch cannot set.
    """
    patch: Document = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if key in old and isinstance(before, dict) and isinstance(value, dict):
            nested = diff(before, value)
            if nested:
                patch[key] = nested
        elif key not in old or encode(before) != encode(value):
            patch[key] = value
    return patch


def catch_up(base: VersionedDocument, head: Head) -> VersionedDocument | None:
    """Apply the head's inline changes to ``base``.

    Args:
        base: Document of a node, or a snapshot.
        head: The head.

    Returns:
        The head's document, ``base`` itself when it is not older, or None
        when changes between both are no longer inline (the caller then
        fetches the snapshot).
    """
    if base.version >= head.version:
        return base
    missing = [change for change in head.changes if change.version > base.version]
    if len(missing) != head.version - base.version:
        return None
    document = base.document
    for change in missing:
        document = merge_document(document, change.patch)
    return VersionedDocument(version=head.version, document=document)


def append(head: Head, change: Change) -> Head:
    """Return ``head`` with ``change`` as its newest change."""
    if change.version != head.version + 1:
        raise ValueError(f"change {change.version} does not follow version {head.version}")
    return replace(
        head,
        version=change.version,
        changes=[*head.changes, change],
        recent_ids=[*head.recent_ids, change.change_id][-MAX_RECENT_IDS:],
    )


def needs_snapshot(head: Head) -> bool:
    """Return whether the inline changes are too large to stay in the head."""
    return sum(len(encode(change)) for change in head.changes) > MAX_INLINE_BYTES


def snapshot_key(version: Version) -> str:
    """Return a new key for the snapshot of ``version``.

    Keys sort by version; the random part keeps racing writers apart.
    """
    return f"{SNAPSHOT_PREFIX}{version:012d}-{new_id()}"


def trim(head: Head, key: str) -> Head:
    """Return ``head`` with the snapshot ``key`` of its version.

    The newest changes up to ``KEPT_INLINE_BYTES`` stay inline.
    """
    kept: list[Change] = []
    size = 0
    for change in reversed(head.changes):
        size += len(encode(change))
        if size > KEPT_INLINE_BYTES:
            break
        kept.insert(0, change)
    return replace(
        head,
        changes=kept,
        snapshot=key,
        snapshot_version=head.version,
        previous_snapshot=head.snapshot,
    )


def check_size(document: Document) -> bytes:
    """Encode ``document`` and check that it fits into a platform value.

    Raises:
        ConfigError: The document is too large or cannot be encoded.
    """
    try:
        data = encode(document)
    except (TypeError, ValueError, RecursionError) as error:
        raise ConfigError(f"the document cannot be encoded as JSON: {error}") from error
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ConfigError(
            f"the document has {len(data)} bytes, at most {MAX_DOCUMENT_BYTES} are allowed",
            code=ResultCode.TOO_LARGE,
        )
    return data

"""Reads the configuration that the platform holds."""

from dataclasses import dataclass

from knapweeddock.changes import (
    HEAD_KEY,
    Head,
    VersionedDocument,
    catch_up,
    decode_head,
    decode_snapshot,
)
from knapweeddock.errors import ConfigError, StoreUnavailable
from knapweeddock.ids import Version
from knapweeddock.objectstore import ABSENT, ObjectStore, StoredObject


@dataclass(frozen=True, kw_only=True)
class StoredHead:
    """The head and the version of its object, which a conditional update needs.

    Attributes:
        head: The head; the empty one when the object does not exist.
        object_version: Version of the object, ``ABSENT`` when it does not exist.
    """

    head: Head
    object_version: Version


def stored_head(found: StoredObject | None) -> StoredHead:
    """Decode what ``get`` or ``watch`` returned for the head's key."""
    if found is None:
        return StoredHead(head=Head(), object_version=ABSENT)
    return StoredHead(head=decode_head(found.value), object_version=found.version)


async def read_head(store: ObjectStore) -> StoredHead:
    """Read the head.

    Raises:
        StoreError: The platform did not answer.
        ConfigError: The head is malformed.
    """
    return stored_head(await store.get(HEAD_KEY))


async def fetch_document(
    store: ObjectStore, head: Head, base: VersionedDocument | None = None
) -> VersionedDocument:
    """Return the document of ``head``.

    Args:
        store: The object API, asked only when changes are missing.
        head: The head.
        base: An older document that the caller has.

    Raises:
        StoreUnavailable: The snapshot cannot be read, or has been deleted
            since the head was read; reading the head again helps then.
        ConfigError: The snapshot is malformed, or the changes have a gap.
    """
    current = catch_up(base or VersionedDocument(), head)
    if current is not None:
        return current
    if head.snapshot is None:
        raise ConfigError(f"version {head.version} has neither all changes nor a snapshot")
    found = await store.get(head.snapshot)
    if found is None:
        raise StoreUnavailable(f"{head.snapshot} is gone; a newer head refers to another one")
    current = catch_up(decode_snapshot(found.value), head)
    if current is None:
        raise ConfigError(f"changes after {head.snapshot} are missing in version {head.version}")
    return current

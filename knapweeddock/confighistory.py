"""The merged configuration document of one node and its newest changes.

The version only grows, whatever is delivered late or twice. A node that is
behind takes the missing changes in order, or the whole document when they are
no longer at hand.
"""

from collections import deque
from enum import Enum

import msgspec

from knapweeddock.changes import Document, Head, VersionedDocument, merge_document
from knapweeddock.errors import MessageError
from knapweeddock.ids import Version
from knapweeddock.proto.knapweed_pb2 import ConfigChange, ConfigRecord

MAX_KEPT_CHANGES = 1000
"""Largest number of changes kept for peers that are behind."""

MAX_KEPT_BYTES = 256 * 1024
"""Largest size of the patches kept, as in ``config/head``; a peer that is
further behind gets the whole document."""


class Progress(Enum):
    """What came of an offered configuration."""

    ADVANCED = "advanced"
    UNCHANGED = "unchanged"
    GAP = "gap"


class ConfigHistory:
    """The configuration document that is in force and the changes that led to it.

    Attributes:
        version: Version of the document, 0 before the first.
        document: The merged document; callers must not change it.
    """

    def __init__(self) -> None:
        self.version = Version(0)
        self.document: Document = {}
        self._changes: deque[ConfigChange] = deque()
        self._kept_bytes = 0
        self._encoded: bytes | None = None

    @property
    def encoded(self) -> bytes:
        """The document as JSON, empty before the first version."""
        if self._encoded is None:
            self._encoded = msgspec.json.encode(self.document) if self.version else b""
        return self._encoded

    def take_head(self, head: Head) -> Progress:
        """Apply the changes of ``config/head`` that are missing here."""
        if head.version <= self.version:
            return Progress.UNCHANGED
        missing = [
            ConfigChange(
                config_version=change.version,
                change_id=change.change_id,
                patch=msgspec.json.encode(change.patch),
            )
            for change in head.changes
            if change.version > self.version
        ]
        return self.apply(missing, head.version)

    def apply(self, changes: list[ConfigChange], target: int) -> Progress:
        """Apply changes in order of version.

        Args:
            changes: Changes in any order; those that are in force are skipped.
            target: Version that the sender has.

        Returns:
            ``GAP`` when the changes do not lead from here to ``target``;
            nothing was changed then.

        Raises:
            MessageError: A patch is not a JSON object; nothing was changed.
        """
        if target <= self.version:
            return Progress.UNCHANGED
        by_version = {change.config_version: change for change in changes}
        needed = range(self.version + 1, target + 1)
        if len(by_version) < len(needed):
            return Progress.GAP
        if any(version not in by_version for version in needed):
            return Progress.GAP
        document = self.document
        for version in needed:
            document = merge_document(document, _decode(by_version[version].patch, "patch"))
        for version in needed:
            self._keep(by_version[version])
        self._advance(Version(target), document)
        return Progress.ADVANCED

    def take_document(self, version: int, encoded: bytes) -> Progress:
        """Take a whole document if it is newer.

        Raises:
            MessageError: The document is not a JSON object; nothing was changed.
        """
        if version <= self.version:
            return Progress.UNCHANGED
        self._replace(Version(version), _decode(encoded, "document"))
        return Progress.ADVANCED

    def take_snapshot(self, snapshot: VersionedDocument) -> Progress:
        """Take the document of a snapshot object if it is newer."""
        if snapshot.version <= self.version:
            return Progress.UNCHANGED
        self._replace(snapshot.version, snapshot.document)
        return Progress.ADVANCED

    def take_record(self, record: ConfigRecord) -> Progress:
        """Take what a peer sent: a whole document or changes.

        Raises:
            MessageError: The record is malformed; nothing was changed.
        """
        if record.document:
            return self.take_document(record.config_version, record.document)
        return self.apply(list(record.changes), record.config_version)

    def since(self, version: int) -> ConfigRecord | None:
        """Return what a node at ``version`` misses, or None when it misses nothing."""
        if version >= self.version:
            return None
        first_kept = self._changes[0].config_version if self._changes else self.version + 1
        if version + 1 < first_kept:
            return ConfigRecord(config_version=self.version, document=self.encoded)
        missing = [change for change in self._changes if change.config_version > version]
        return ConfigRecord(config_version=self.version, changes=missing)

    def _replace(self, version: Version, document: Document) -> None:
        self._changes.clear()
        self._kept_bytes = 0
        self._advance(version, document)

    def _advance(self, version: Version, document: Document) -> None:
        self.version = version
        self.document = document
        self._encoded = None

    def _keep(self, change: ConfigChange) -> None:
        self._changes.append(change)
        self._kept_bytes += len(change.patch)
        while len(self._changes) > MAX_KEPT_CHANGES or self._kept_bytes > MAX_KEPT_BYTES:
            self._kept_bytes -= len(self._changes.popleft().patch)


def _decode(data: bytes, what: str) -> Document:
    try:
        return msgspec.json.decode(data, type=dict[str, object])
    except msgspec.MsgspecError as error:
        raise MessageError(f"configuration {what} is not a JSON object: {error}") from error

"""The version of the configuration that an operator last saw for a folder.

``diff`` and ``apply`` write it to ``DIR/.knapweed/base.json``. An ``apply``
whose base is older than somebody else's change is refused, since the folder
would undo that change without its author or the operator noticing.
"""

import contextlib
import os
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

import msgspec

from knapweeddock import changes
from knapweeddock.changes import Change, Document, Head
from knapweeddock.checks import DRAINS
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigConflict, ConfigError
from knapweeddock.ids import Version
from knapweeddock.publish import Current

BASE_FILE = Path(".knapweed") / "base.json"


@dataclass(frozen=True, kw_only=True)
class Base:
    """What the operator last saw.

    Attributes:
        version: Version of the document.
        digest: Digest of the document without drains, or "" when only the
            version is known.
        platform: URL of the platform, so that the base of one platform is
            not taken for that of another.
    """

    version: Version = changes.NO_VERSION
    digest: str = ""
    platform: str = ""


class ChangedByOthers(ConfigConflict):
    """The configuration moved on since the operator's base.

    Attributes:
        version: Current version.
        changes: The changes of the others, oldest first; empty when they are
            no longer listed one by one.
    """

    def __init__(self, message: str, *, version: Version, found: list[Change]) -> None:
        super().__init__(message)
        self.version = version
        self.changes = found


def without_drains(document: Document) -> Document:
    """Return the part of ``document`` that a folder defines."""
    return {key: value for key, value in document.items() if key != DRAINS}


def digest(document: Document) -> str:
    """Return a digest of ``document`` without drains."""
    return blake2b(changes.encode(without_drains(document)), digest_size=16).hexdigest()


def read_base(directory: Path, *, platform: str) -> Base:
    """Return the base of ``directory``; version 0 when there is none.

    Raises:
        ConfigError: The file is malformed or cannot be read.
    """
    path = directory / BASE_FILE
    try:
        base = msgspec.json.decode(path.read_bytes(), type=Base)
    except FileNotFoundError:
        return Base(platform=platform)
    except (OSError, msgspec.MsgspecError) as error:
        raise ConfigError(
            f"{path}: {error}; remove the file and run 'knapweed diff' to see the current version",
            code=ResultCode.UNREADABLE,
        ) from error
    if base.platform != platform:
        return Base(platform=platform)
    return base


def write_base(directory: Path, base: Base) -> None:
    """Write the base of ``directory``; a crash leaves the old or the new file.

    Raises:
        OSError: The file cannot be written.
    """
    path = directory / BASE_FILE
    path.parent.mkdir(exist_ok=True)
    with _temporary(path) as temporary:
        temporary.write_bytes(msgspec.json.encode(base))
        os.replace(temporary, path)


@contextlib.contextmanager
def _temporary(path: Path) -> Iterator[Path]:
    temporary = path.with_suffix(f".{os.getpid()}.tmp")
    try:
        yield temporary
    finally:
        temporary.unlink(missing_ok=True)


def check_base(base: Base, current: Current) -> None:
    """Check that nobody changed more than drains since ``base``.

    Raises:
        ChangedByOthers: Somebody did.
    """
    head = current.head
    if base.version > head.version:
        raise ChangedByOthers(
            f"the base has version {base.version}, but the platform has {head.version};"
            " is this the right platform?",
            version=head.version,
            found=[],
        )
    listed = listed_changes(base.version, head)
    if listed is None:
        if base.digest and base.digest == digest(current.document):
            return
        raise ChangedByOthers(
            f"the configuration moved on from version {base.version} to {head.version};"
            " the changes between are no longer listed, run 'knapweed diff' to see the difference",
            version=head.version,
            found=[],
        )
    others = [change for change in listed if without_drains(change.patch)]
    if others:
        raise ChangedByOthers(
            f"{len(others)} change(s) of others since version {base.version};"
            f" the current version is {head.version}",
            version=head.version,
            found=others,
        )


def listed_changes(version: Version, head: Head) -> list[Change] | None:
    """Return the changes after ``version``, or None when some are not inline."""
    found = [change for change in head.changes if change.version > version]
    return found if len(found) == head.version - version else None

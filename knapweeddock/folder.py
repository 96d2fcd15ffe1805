"""A configuration folder: files merged in the order of their names.

The files are merged by the rules of a JSON merge patch (RFC 7396): a later
file replaces values of an earlier one, and null removes a key that an earlier
file sets. The file that set each path is remembered for messages.
"""

from dataclasses import dataclass, field
from pathlib import Path as FilePath

from knapweeddock import jsonc
from knapweeddock.blockfiles import BlockFiles, read_block_files
from knapweeddock.changes import Document
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.problems import Path, Problem, raise_problems

SUFFIXES = (".json", ".jsonc", ".json5")

MAX_FILES = 10_000


@dataclass(frozen=True, kw_only=True)
class Folder:
    """The merged content of a folder.

    Attributes:
        directory: The folder.
        files: Names of the files in the order of merging.
        document: The merged document.
        origins: The file that set each path last; for an object, the file
            that first named it.
        blocks: The merged block files.
    """

    directory: FilePath
    files: list[str]
    document: Document
    origins: dict[Path, str] = field(repr=False)
    blocks: BlockFiles = field(default_factory=BlockFiles, repr=False)

    def origin(self, path: Path) -> str:
        """Return the file that set ``path`` or the nearest object around it."""
        while path and path not in self.origins:
            path = path[:-1]
        return self.origins.get(path, str(self.directory))


def read_folder(directory: FilePath) -> Folder:
    """Read and merge all files of ``directory``.

    Files with other suffixes, hidden files and subfolders are not read, except
    the block files.

    Raises:
        ExceptionGroup: All files' problems, each one a ``Problem``.
    """
    merger = _Merger()
    files = _list_files(directory)
    for file in files:
        merger.add_file(file)
    blocks, problems = read_block_files(directory)
    if merger.problems or problems:
        raise_problems([*merger.problems, *problems])
    return Folder(
        directory=directory,
        files=[file.name for file in files],
        document=merger.document,
        origins=merger.origins,
        blocks=blocks,
    )


def _list_files(directory: FilePath) -> list[FilePath]:
    allowed = f"a folder with files that end in {', '.join(SUFFIXES)}"
    try:
        found = [
            entry
            for entry in directory.iterdir()
            if entry.suffix in SUFFIXES and not entry.name.startswith(".") and entry.is_file()
        ]
    except OSError as error:
        raise_problems([_unreadable(str(directory), error.strerror or str(error), allowed)])
    if not found:
        # An empty folder would remove the whole configuration.
        raise_problems([_unreadable(str(directory), "no configuration file", allowed)])
    if len(found) > MAX_FILES:
        raise_problems([_unreadable(str(directory), f"{len(found)} files", f"{MAX_FILES} files")])
    return sorted(found, key=lambda file: file.name)


def _unreadable(file: str, found: str, allowed: str) -> Problem:
    return Problem(code=ResultCode.UNREADABLE, file=file, found=found, allowed=allowed)


class _Merger:
    """Merges files one by one and collects their problems."""

    def __init__(self) -> None:
        self.document: Document = {}
        self.origins: dict[Path, str] = {}
        self.problems: list[ConfigError] = []

    def add_file(self, file: FilePath) -> None:
        """Read ``file`` and merge it."""
        try:
            content = jsonc.parse(file.read_bytes(), file=file.name)
        except OSError as error:
            text = error.strerror or str(error)
            self.problems.append(_unreadable(file.name, text, "a readable file"))
        except ExceptionGroup as group:
            self.problems += group.exceptions
        else:
            self._merge(self.document, content, (), file.name)

    def _merge(self, target: Document, patch: Document, path: Path, file: str) -> None:
        for key, value in patch.items():
            here = (*path, key)
            if value is None:
                self._remove(target, key, here, file)
            elif isinstance(value, dict):
                if not isinstance(target.get(key), dict):
                    self._forget(here, target.get(key))
                    target[key] = {}
                self.origins.setdefault(here, file)
                self._merge(target[key], value, here, file)
            else:
                self._forget(here, target.get(key))
                target[key] = value
                self.origins[here] = file

    def _remove(self, target: Document, key: str, path: Path, file: str) -> None:
        if key not in target:
            self.problems.append(
                Problem(
                    code=ResultCode.WRONG_TYPE,
                    file=file,
                    path=path,
                    found="null for a key that no earlier file sets",
                    allowed="a value, or null to remove what an earlier file sets",
                )
            )
            return
        self._forget(path, target.pop(key))

    def _forget(self, path: Path, value: object) -> None:
        """Drop the origins of a replaced value and of everything inside it."""
        self.origins.pop(path, None)
        if isinstance(value, dict):
            for key, inner in value.items():
                self._forget((*path, key), inner)

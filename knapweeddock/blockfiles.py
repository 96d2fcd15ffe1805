"""Reads block files: ``blocks/*.txt`` of a configuration folder.

A line holds a prefix and a location; ``#`` starts a comment. The files are
merged in the order of their names, and a later file's line for a prefix
replaces that of an earlier file.
"""

import socket
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path as FilePath

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.problems import Problem, show

DIRECTORY = "blocks"
SUFFIX = ".txt"
MAX_FILES = 10_000
MAX_LINES = 8_000_000
"""Lines of all files, as many as a look-up process holds."""
MAX_LOCATIONS = 65_535
MAX_PROBLEMS = 100
"""Problems that are reported of one folder; a wrong file can have millions."""

V4_BITS = 32
V6_BITS = 128
LENGTH_BITS = 8
"""Low bits of a packed prefix that hold its length."""

PREFIX_ALLOWED = "a CIDR prefix without host bits, as 10.0.0.0/16"
_LOCATION_BITS = 16
_LINE_BITS = 24


class _Malformed(Exception):
    """A line is unusable."""


@dataclass(frozen=True, kw_only=True)
class Place:
    """File and line of a definition."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, kw_only=True)
class SortedBlocks:
    """The blocks of one address family in order of (start, length).

    Attributes:
        bits: 32 or 128.
        prefixes: Packed prefixes, ``start << LENGTH_BITS | length``.
        locations: Index into ``names`` for each prefix.
        names: Names of the locations.
    """

    bits: int
    prefixes: Sequence[int] = ()
    locations: Sequence[int] = ()
    names: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True)
class BlockFiles:
    """The merged block files of a folder.

    Attributes:
        files: Names of the files in the order of merging.
        families: The blocks of IPv4 and IPv6.
        first_use: Where each location is named first.
    """

    files: list[str] = field(default_factory=list)
    families: Sequence[SortedBlocks] = ()
    first_use: dict[str, Place] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of blocks."""
        return sum(len(family.prefixes) for family in self.families)

    def check_locations(self, known: set[str]) -> list[ConfigError]:
        """Return a problem for each location that is not in ``known``."""
        return [
            Problem(
                code=ResultCode.UNKNOWN_REFERENCE,
                file=str(place),
                found=f"failure domain or region {show(name)}",
                allowed="a failure domain or region of the folder",
            )
            for name, place in self.first_use.items()
            if name not in known
        ]


def parse_prefix(text: str) -> tuple[int, int]:
    """Return the packed prefix and the number of bits of its family.

    Raises:
        ValueError: The text is not a prefix, or has host bits.
    """
    head, _, tail = text.partition("/")
    if not (tail.isascii() and tail.isdecimal() and len(tail) <= 3):
        raise ValueError(text)
    is_v6 = ":" in head
    bits = V6_BITS if is_v6 else V4_BITS
    try:
        packed = socket.inet_pton(socket.AF_INET6 if is_v6 else socket.AF_INET, head)
    except (OSError, UnicodeError) as error:
        raise ValueError(text) from error
    start = int.from_bytes(packed, "big")
    length = int(tail)
    if length > bits or start & ((1 << (bits - length)) - 1):
        raise ValueError(text)
    return start << LENGTH_BITS | length, bits


def format_prefix(packed: int, bits: int) -> str:
    """Return a packed prefix as text."""
    start = packed >> LENGTH_BITS
    length = packed & ((1 << LENGTH_BITS) - 1)
    family = socket.AF_INET if bits == V4_BITS else socket.AF_INET6
    return f"{socket.inet_ntop(family, start.to_bytes(bits // 8, 'big'))}/{length}"


def read_block_files(directory: FilePath) -> tuple[BlockFiles, list[ConfigError]]:
    """Read the block files of a configuration folder.

    Args:
        directory: The configuration folder.

    Returns:
        The merged files, and all problems.
    """
    reader = _Reader()
    folder = directory / DIRECTORY
    if not folder.exists():
        return BlockFiles(), []
    try:
        files = sorted(
            (
                entry
                for entry in folder.iterdir()
                if entry.suffix == SUFFIX and not entry.name.startswith(".")
            ),
            key=lambda file: file.name,
        )
    except OSError as error:
        return BlockFiles(), [_unreadable(DIRECTORY, error, "a folder with block files")]
    if not files or len(files) > MAX_FILES:
        # An emptied folder would remove all blocks; without tables it is deleted.
        problem = Problem(
            code=ResultCode.UNREADABLE,
            file=DIRECTORY,
            found=f"{len(files)} files that end in {SUFFIX}",
            allowed=f"1 to {MAX_FILES} files, or no folder of this name",
        )
        return BlockFiles(), [problem]
    for file in files:
        reader.read(file)
    return reader.result([file.name for file in files]), reader.problems


def _unreadable(file: str, error: Exception, allowed: str) -> Problem:
    return Problem(code=ResultCode.UNREADABLE, file=file, found=str(error), allowed=allowed)


class _Reader:
    """Merges block files.

    Each prefix maps to one integer (file, line, location): two dictionaries
    of objects would take several times the memory for millions of lines.
    """

    def __init__(self) -> None:
        self.problems: list[ConfigError] = []
        self._tables: dict[int, dict[int, int]] = {V4_BITS: {}, V6_BITS: {}}
        self._names: dict[str, int] = {}
        self._first_use: dict[str, Place] = {}
        self._file = ""
        self._file_number = 0
        self._lines = 0

    def read(self, file: FilePath) -> None:
        """Read one file; its problems are added to ``problems``."""
        self._file = f"{DIRECTORY}/{file.name}"
        self._file_number += 1
        try:
            with file.open(encoding="utf-8-sig") as lines:
                self._read_lines(lines)
        except (OSError, UnicodeDecodeError) as error:
            self.problems.append(_unreadable(self._file, error, "a readable file of UTF-8 text"))

    def _read_lines(self, lines: Iterable[str]) -> None:
        for number, line in enumerate(lines, start=1):
            words = line.partition("#")[0].split()
            if not words:
                continue
            self._lines += 1
            if self._lines > MAX_LINES:
                self._report(ResultCode.TOO_LARGE, number, "one more line", f"{MAX_LINES} lines")
                return
            if len(self.problems) >= MAX_PROBLEMS:
                return
            try:
                self._add(words, number)
            except _Malformed:
                continue

    def _report(self, code: ResultCode, line: int, found: str, allowed: str) -> None:
        place = Place(file=self._file, line=line)
        self.problems.append(Problem(code=code, file=str(place), found=found, allowed=allowed))

    def _add(self, words: list[str], line: int) -> None:
        if len(words) != 2:
            found = show(" ".join(words))
            self._report(ResultCode.SYNTAX, line, found, "a prefix and a location")
            raise _Malformed
        try:
            prefix, bits = parse_prefix(words[0])
        except ValueError:
            self._report(ResultCode.OUT_OF_RANGE, line, show(words[0]), PREFIX_ALLOWED)
            raise _Malformed from None
        table = self._tables[bits]
        held = table.get(prefix)
        if held is not None and held >> (_LINE_BITS + _LOCATION_BITS) == self._file_number:
            first = held >> _LOCATION_BITS & ((1 << _LINE_BITS) - 1)
            found = f"{show(words[0])}, also in line {first}"
            self._report(ResultCode.AMBIGUOUS, line, found, "each prefix once per file")
            raise _Malformed
        location = self._location(words[1], line)
        place = self._file_number << _LINE_BITS | line & ((1 << _LINE_BITS) - 1)
        table[prefix] = place << _LOCATION_BITS | location

    def _location(self, name: str, line: int) -> int:
        index = self._names.get(name)
        if index is None:
            index = len(self._names)
            if index >= MAX_LOCATIONS:
                self._report(
                    ResultCode.TOO_LARGE, line, "one more location", f"{MAX_LOCATIONS} locations"
                )
                raise _Malformed
            self._names[name] = index
            self._first_use[name] = Place(file=self._file, line=line)
        return index

    def result(self, files: list[str]) -> BlockFiles:
        """Return the merged blocks."""
        names = list(self._names)
        mask = (1 << _LOCATION_BITS) - 1
        families = []
        for bits, table in self._tables.items():
            prefixes = sorted(table)
            families.append(
                SortedBlocks(
                    bits=bits,
                    prefixes=prefixes,
                    locations=[table[prefix] & mask for prefix in prefixes],
                    names=names,
                )
            )
        return BlockFiles(files=files, families=families, first_use=self._first_use)

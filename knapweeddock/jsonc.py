"""JSON with comments: text to a document, with every doubled key an error."""

import json
import math
import re
from collections.abc import Callable
from typing import NoReturn

import json5

from knapweeddock.changes import Document
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.problems import Problem, raise_problems, show

MAX_FILE_BYTES = 1_000_000
"""Largest file, about the largest document that the platform holds."""

MAX_LISTED_LINES = 5

LOCATION = re.compile(r"^<string>:(?P<line>\d+) (?P<text>.*?)(?: at column (?P<column>\d+))?$")
"""Format of the library's syntax errors."""


class _Hooks:
    """Collects doubled keys and refuses numbers that JSON cannot hold."""

    def __init__(self) -> None:
        self.doubled: list[str] = []

    def pairs(self, pairs: list[tuple[str, object]]) -> Document:
        found: Document = {}
        for key, value in pairs:
            if key in found:
                self.doubled.append(key)
            found[key] = value
        return found

    @staticmethod
    def constant(text: str) -> object:
        raise ValueError(f"{text} is not a number that JSON can hold")

    @staticmethod
    def real(text: str) -> float:
        number = float(text)
        if not math.isfinite(number):
            raise ValueError(f"{text} is too large for a number")
        return number


def parse(data: bytes, *, file: str) -> Document:
    """Parse a file.

    Args:
        data: Content of the file, UTF-8.
        file: Name of the file for messages.

    Returns:
        The document, whose outermost value is an object.

    Raises:
        ExceptionGroup: The problems, each one a ``Problem``.
    """
    if len(data) > MAX_FILE_BYTES:
        _raise(ResultCode.TOO_LARGE, file, f"{len(data)} bytes", f"{MAX_FILE_BYTES} bytes")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        _raise(ResultCode.UNREADABLE, file, str(error), "UTF-8 text")
    value, doubled = _load(text, file)
    if doubled:
        raise_problems([_doubled_problem(key, text, file) for key in dict.fromkeys(doubled)])
    if not isinstance(value, dict):
        _raise(ResultCode.WRONG_TYPE, file, show(value), "an object")
    return value


def _load(text: str, file: str) -> tuple[object, list[str]]:
    """Parse plain JSON with the standard parser, everything else with json5.

    json5 reads about 60 KB/s, which is too slow for large generated files.
    """
    try:
        return _call(json.loads, text)
    except (ValueError, RecursionError):
        return _load_json5(text, file)


def _load_json5(text: str, file: str) -> tuple[object, list[str]]:
    try:
        return _call(json5.loads, text)
    except ValueError as error:
        raise ExceptionGroup("syntax", [_syntax_problem(str(error), file)]) from error
    except RecursionError:
        _raise(ResultCode.SYNTAX, file, "values nested too deeply", "a few dozen levels")


def _call(loads: Callable[..., object], text: str) -> tuple[object, list[str]]:
    hooks = _Hooks()
    value = loads(
        text,
        object_pairs_hook=hooks.pairs,
        parse_constant=hooks.constant,
        parse_float=hooks.real,
    )
    return value, hooks.doubled


def _syntax_problem(message: str, file: str) -> ConfigError:
    location = LOCATION.match(message)
    if location is None:
        place, text = file, message
    else:
        text = location["text"]
        place = f"{file}:{location['line']}"
        if location["column"]:
            place += f":{location['column']}"
    return Problem(
        code=ResultCode.SYNTAX, file=place, found=text, allowed="JSON with comments (JSON5)"
    )


def _doubled_problem(key: str, text: str, file: str) -> ConfigError:
    """Describe a doubled key; the parsers give no position, so its places are searched."""
    token = re.compile(rf"""(?<![\w$])(["']?){re.escape(key)}\1\s*:""")
    places = []
    for number, line in enumerate(text.splitlines(), start=1):
        places += [f"{number}:{match.start() + 1}" for match in token.finditer(line)]
    found = f"the key {show(key)} twice in one object"
    if places:
        found += f" (line:column of this key: {', '.join(places[:MAX_LISTED_LINES])})"
    return Problem(
        code=ResultCode.DUPLICATE_KEY, file=file, found=found, allowed="each key once per object"
    )


def _raise(code: ResultCode, file: str, found: str, allowed: str) -> NoReturn:
    raise_problems([Problem(code=code, file=file, found=found, allowed=allowed)])

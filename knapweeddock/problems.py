"""Problems of a configuration, each with its place, what was found and what is allowed."""

import re
from collections.abc import Sequence
from typing import NoReturn

import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError

PathKey = str | int
Path = tuple[PathKey, ...]

MAX_FOUND_CHARS = 80
"""Longest part of a value that a message repeats."""

PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")


class Problem(ConfigError):
    """One problem of a configuration.

    Attributes:
        file: File that holds the value, or "" when no file does.
        path: Keys that lead to the value in the merged document.
        found: What was found.
        allowed: What is allowed.
    """

    def __init__(
        self, *, code: ResultCode, file: str, found: str, allowed: str, path: Path = ()
    ) -> None:
        place = ": ".join(part for part in (file, format_path(path)) if part)
        super().__init__(
            f"{place}: found {found}; allowed: {allowed} ({int(code)} {code.name})", code=code
        )
        self.file = file
        self.path = path
        self.found = found
        self.allowed = allowed


def format_path(path: Path) -> str:
    """Return ``path`` as text, such as ``sites.gp-a.cap`` or ``client_blocks["10.0.0.0/8"]``."""
    text = ""
    for key in path:
        if isinstance(key, int):
            text += f"[{key}]"
        elif PLAIN_KEY.fullmatch(key):
            text += f".{key}" if text else key
        else:
            text += f"[{show(key)}]"
    return text


def show(value: object) -> str:
    """Return ``value`` as JSON, shortened to ``MAX_FOUND_CHARS``."""
    try:
        text = msgspec.json.encode(value).decode()
    except (TypeError, ValueError, RecursionError):
        text = repr(value)
    if len(text) > MAX_FOUND_CHARS:
        return text[:MAX_FOUND_CHARS] + "..."
    return text


def raise_problems(problems: Sequence[ConfigError]) -> NoReturn:
    """Raise all ``problems`` as one group.

    Raises:
        ExceptionGroup: Always.
    """
    raise ExceptionGroup("the configuration is not acceptable", list(problems))

"""Values as the platform writes them: durations, addresses, versions, tables."""

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.gateway.records import Address

T = TypeVar("T")

UNITS_S = {"ms": 0.001, "s": 1.0}
"""Units of durations in seconds; ``ms`` first, because it ends in ``s`` too."""

MAX_PORT = 65535

ENDPOINT = re.compile(r"(?P<host>\S+):(?P<port>[0-9]{1,5})", re.ASCII)

IDENTIFIER = re.compile(r"[!-~]{1,256}")
"""Visible ASCII characters, in a length that leaves room for other headers."""

MAX_SHOWN_CHARACTERS = 80
"""Characters of a value that error messages show."""

MAX_DURATION_S = 1e9
"""Longest duration in seconds, which can still be added to a time."""

MAX_INTEGER = 2**63 - 1
"""Largest absolute value of a whole number: the messages between gateways cannot hold more."""


class DocumentError(ConfigError):
    """A document of the platform cannot be decoded."""

    code = ResultCode.WRONG_TYPE


@dataclass(frozen=True, kw_only=True, slots=True)
class Undecodable:
    """Stands in place of content that cannot be decoded.

    Attributes:
        reason: Why not.
    """

    reason: str


def shown(value: object) -> str:
    """Return a value as error messages show it: shortened, and only the type of containers.

    The text of a container may be long, or nested too deeply to be written.
    """
    if value is None or isinstance(value, str | bool | int | float):
        return repr(value)[:MAX_SHOWN_CHARACTERS]
    return type(value).__name__


def field(document: Mapping[str, Any], name: str, kind: type[T]) -> T:
    """Return a required field.

    Raises:
        DocumentError: The field is missing, of another type or a number that is too large.
    """
    value = document.get(name)
    fits = isinstance(value, kind) and not (isinstance(value, bool) and kind is not bool)
    if not fits:
        raise DocumentError(f"{name} is {shown(value)}, not {kind.__name__}")
    if kind is int and abs(value) > MAX_INTEGER:
        raise DocumentError(f"{name} is too large a number")
    return value


def optional(document: Mapping[str, Any], name: str, kind: type[T], default: T) -> T:
    """Return a field, or ``default`` when it is missing or null."""
    if document.get(name) is None:
        return default
    return field(document, name, kind)


def number(document: Mapping[str, Any], name: str, default: float) -> float:
    """Return a number from 0 to ``MAX_INTEGER``, or ``default`` when it is missing."""
    value = document.get(name)
    if value is None:
        return default
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # A comparison, unlike a conversion, takes whole numbers of any size; NaN fails it.
    if not is_number or not 0 <= value <= MAX_INTEGER:
        raise DocumentError(f"{name} is no number from 0 to {MAX_INTEGER}")
    return float(value)


def seconds(text: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises:
        DocumentError: The text is no duration, or one that is too long.
    """
    if isinstance(text, str):
        for unit, factor in UNITS_S.items():
            digits = text.removesuffix(unit)
            if digits != text and digits.replace(".", "", 1).isdecimal():
                duration_s = float(digits) * factor
                if duration_s <= MAX_DURATION_S:
                    return duration_s
    raise DocumentError(f"{shown(text)} is no duration")


def duration(document: Mapping[str, Any], name: str, default_s: float) -> float:
    """Return a field that holds a duration, in seconds."""
    value = document.get(name)
    return default_s if value is None else seconds(value)


def endpoint(text: object) -> Address:
    """Return host and port of ``10.0.0.1:80`` or ``store:80``.

    Raises:
        DocumentError: The text is no host with a port.
    """
    found = ENDPOINT.fullmatch(text) if isinstance(text, str) else None
    if found is None or not 0 < int(found["port"]) <= MAX_PORT:
        raise DocumentError(f"{shown(text)} is no address")
    return found["host"], int(found["port"])


def address(text: object) -> Address:
    """Return IP address and port of ``10.0.0.1:80`` or ``[::1]:80``.

    A host name would be looked up when a connection is made, which may block or fail in ways
    that no connection does.

    Raises:
        DocumentError: The text is no IP address with a port.
    """
    host, port = endpoint(text)
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(bare)
    except ValueError as error:
        raise DocumentError(f"{shown(text)} has no IP address") from error
    return bare, port


def address_text(value: Address) -> str:
    """Return an address as ``10.0.0.1:80`` or ``[::1]:80``."""
    host = f"[{value[0]}]" if ":" in value[0] else value[0]
    return f"{host}:{value[1]}"


def identifier(text: str) -> str:
    """Return an identifier that headers of requests can carry.

    Raises:
        DocumentError: It is empty, too long or has other characters than visible ASCII.
    """
    if IDENTIFIER.fullmatch(text) is None:
        raise DocumentError(f"{shown(text)} is no identifier")
    return text


def rows(table: object) -> list[dict[str, Any]]:
    """Return the rows of a table that names its columns once.

    Raises:
        DocumentError: The table or one of its rows is malformed.
    """
    if not isinstance(table, Mapping):
        raise DocumentError("a table is no object")
    columns = field(table, "Columns", list)
    found = []
    for row in field(table, "Rows", list):
        if not isinstance(row, list) or len(row) != len(columns):
            raise DocumentError(f"a row does not have {len(columns)} values")
        pairs = zip(columns, row, strict=True)
        found.append({name: value for name, value in pairs if value is not None})
    return found

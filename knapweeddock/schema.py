"""Checks a document against the data classes of ``model``: fields, types and ranges.

Unlike decoding, which stops at the first error, the walk reports every
problem and returns the parts that are usable, so that the checks between
objects still run on them.
"""

import dataclasses
import math
import re
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from ipaddress import ip_address

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import (
    ClassId,
    FailureDomainId,
    PoolId,
    RegionId,
    ServerId,
    ServiceId,
    SiteId,
    VmId,
)
from knapweeddock.model import (
    BackendServer,
    BlockChunk,
    Config,
    Link,
    LookupPolicy,
    Region,
    RequestClass,
    Service,
    Site,
)
from knapweeddock.problems import Path, Problem, show

NAME_TYPES = (ClassId, FailureDomainId, PoolId, RegionId, ServerId, ServiceId, SiteId, VmId)
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_ALLOWED = "a name of 1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"


class _Invalid(Exception):
    """A value is unusable; its problems have been reported."""


@dataclass(frozen=True, kw_only=True)
class Limit:
    """Range of a number, both ends allowed."""

    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.low:,} to {self.high:,}"


MAX_DELAY_MS = 10_000
MAX_REQUESTS = 1_000_000
MAX_TIME_MS = 600_000
"""Ten minutes: longer than any download that the system is meant for."""

LIMITS: dict[tuple[type, str], Limit] = {
    (Region, "delay_ms"): Limit(low=0, high=MAX_DELAY_MS),
    (Link, "delay_ms"): Limit(low=0, high=MAX_DELAY_MS),
    (Link, "caps"): Limit(low=0, high=MAX_REQUESTS),
    (RequestClass, "priority"): Limit(low=-1000, high=1000),
    (RequestClass, "deadline_ms"): Limit(low=1, high=MAX_TIME_MS),
    (RequestClass, "service_time_ms"): Limit(low=0.01, high=MAX_TIME_MS),
    (BackendServer, "slots"): Limit(low=1, high=1000),
    (Site, "cap"): Limit(low=0, high=MAX_REQUESTS),
    (Site, "shift_cap"): Limit(low=0, high=MAX_REQUESTS),
    (Site, "shares"): Limit(low=0, high=MAX_REQUESTS),
    (Site, "shift_start"): Limit(low=0, high=1),
    (Site, "shift_growth_per_s"): Limit(low=0.001, high=10),
    (BlockChunk, "count"): Limit(low=1, high=MAX_REQUESTS),
    (BlockChunk, "generation"): Limit(low=0, high=MAX_REQUESTS),
    (Config, "retired_chunks"): Limit(low=0, high=2**53),
    (LookupPolicy, "lifetime_ms"): Limit(low=100, high=MAX_TIME_MS),
    (LookupPolicy, "entries"): Limit(low=1, high=16),
}

METHOD = re.compile(r"[A-Z]{1,20}")
HOST = re.compile(r"(?!-)[a-z0-9-]{1,63}(\.[a-z0-9-]{1,63})*")
PATH_PREFIX = re.compile(r"/[!-~]*")
RESERVED_PREFIX = "/knapweed/"
"""Paths that entries answer themselves."""


def is_server_address(text: str) -> bool:
    """Return whether ``text`` is an IP address with a port, IPv6 in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _is_path_prefix(text: str) -> bool:
    if "?" in text or "#" in text or text.startswith(RESERVED_PREFIX):
        return False
    return PATH_PREFIX.fullmatch(text) is not None


@dataclass(frozen=True, kw_only=True)
class Format:
    """Form of a string, or of the strings in a list."""

    matches: Callable[[str], object]
    allowed: str


FORMATS: dict[tuple[type, str], Format] = {
    (RequestClass, "methods"): Format(
        matches=METHOD.fullmatch, allowed="HTTP methods in upper case"
    ),
    (RequestClass, "path_prefix"): Format(
        matches=_is_path_prefix,
        allowed=f"a path that starts with '/', without query, outside {RESERVED_PREFIX}",
    ),
    (Service, "hosts"): Format(
        matches=HOST.fullmatch, allowed="host names in lower case without port"
    ),
    (BackendServer, "address"): Format(
        matches=is_server_address, allowed="an IP address with a port, as 127.0.0.1:8080"
    ),
}

NOT_EMPTY = {
    (Region, "failure_domains"),
    (RequestClass, "methods"),
    (Service, "hosts"),
    (Service, "classes"),
    (Site, "servers"),
}
"""Lists and objects that need at least one item to have any effect."""


@cache
def _hints(kind: type) -> dict[str, object]:
    return typing.get_type_hints(kind)


class Walk:
    """One walk over a document.

    Attributes:
        problems: What was found so far.
    """

    def __init__(self, *, origin: Callable[[Path], str]) -> None:
        self.origin = origin
        self.problems: list[ConfigError] = []

    def report(self, code: ResultCode, path: Path, found: str, allowed: str) -> None:
        """Add a problem."""
        self.problems.append(
            Problem(code=code, file=self.origin(path), path=path, found=found, allowed=allowed)
        )

    def usable(self, document: object, kind: type) -> dict[str, object]:
        """Check ``document`` as ``kind`` and return its usable parts."""
        try:
            return self._record(document, kind, ())
        except _Invalid:
            return {}

    def _value(self, value: object, hint: object, path: Path, rule: tuple[type, str]) -> object:
        if hint in NAME_TYPES:
            return self._name(value, path)
        if isinstance(hint, types.UnionType):
            hint = next(arg for arg in typing.get_args(hint) if arg is not types.NoneType)
        if dataclasses.is_dataclass(hint):
            return self._record(value, hint, path)
        if hint is bool:
            return self._typed(value, bool, "true or false", path)
        if hint is str:
            return self._text(value, path, rule)
        if hint in (int, float):
            return self._number(value, hint, path, rule)
        if typing.get_origin(hint) is list:
            return self._items(value, typing.get_args(hint)[0], path, rule)
        return self._mapping(value, typing.get_args(hint), path, rule)

    def _typed(self, value: object, kind: type, allowed: str, path: Path) -> object:
        if type(value) is not kind:
            self.report(ResultCode.WRONG_TYPE, path, show(value), allowed)
            raise _Invalid
        return value

    def _record(self, value: object, kind: type, path: Path) -> dict[str, object]:
        self._typed(value, dict, "an object", path)
        fields = {field.name: field for field in dataclasses.fields(kind)}
        for key in sorted(value.keys() - fields.keys()):
            self.report(ResultCode.UNKNOWN_FIELD, (*path, key), show(key), ", ".join(fields))
        found: dict[str, object] = {}
        complete = True
        for name, field in fields.items():
            required = (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            )
            if name not in value:
                if required:
                    self.report(ResultCode.MISSING_FIELD, (*path, name), "nothing", "a value")
                    complete = False
                continue
            try:
                hint = _hints(kind)[name]
                found[name] = self._value(value[name], hint, (*path, name), (kind, name))
            except _Invalid:
                complete = complete and not required
        if not complete:
            raise _Invalid
        return found

    def _name(self, value: object, path: Path) -> object:
        self._typed(value, str, NAME_ALLOWED, path)
        if not NAME.fullmatch(value):
            self.report(ResultCode.OUT_OF_RANGE, path, show(value), NAME_ALLOWED)
            raise _Invalid
        return value

    def _text(self, value: object, path: Path, rule: tuple[type, str]) -> object:
        form = FORMATS.get(rule)
        self._typed(value, str, form.allowed if form else "a string", path)
        if form and not form.matches(value):
            self.report(ResultCode.OUT_OF_RANGE, path, show(value), form.allowed)
            raise _Invalid
        return value

    def _number(self, value: object, kind: type, path: Path, rule: tuple[type, str]) -> object:
        limit = LIMITS[rule]
        noun = "a whole number" if kind is int else "a number"
        if type(value) is not int and not (kind is float and type(value) is float):
            self.report(ResultCode.WRONG_TYPE, path, show(value), f"{noun} from {limit}")
            raise _Invalid
        if not limit.low <= value <= limit.high or not math.isfinite(value):
            self.report(ResultCode.OUT_OF_RANGE, path, show(value), f"{noun} from {limit}")
            raise _Invalid
        return value

    def _items(self, value: object, hint: object, path: Path, rule: tuple[type, str]) -> object:
        self._typed(value, list, "a list", path)
        self._check_not_empty(value, path, rule)
        found: dict[object, None] = {}
        for index, item in enumerate(value):
            here = (*path, index)
            try:
                usable = self._value(item, hint, here, rule)
            except _Invalid:
                continue
            if usable in found:
                self.report(ResultCode.AMBIGUOUS, here, f"{show(item)} twice", "each item once")
            found[usable] = None
        return list(found)

    def _mapping(
        self, value: object, hints: tuple[object, ...], path: Path, rule: tuple[type, str]
    ) -> object:
        self._typed(value, dict, "an object", path)
        self._check_not_empty(value, path, rule)
        found = {}
        for key, item in value.items():
            here = (*path, key)
            try:
                if hints[0] in NAME_TYPES:
                    self._name(key, here)
                found[key] = self._value(item, hints[1], here, rule)
            except _Invalid:
                continue
        return found

    def _check_not_empty(self, value: list | dict, path: Path, rule: tuple[type, str]) -> None:
        if not value and rule in NOT_EMPTY:
            self.report(ResultCode.OUT_OF_RANGE, path, "nothing in it", "at least one item")

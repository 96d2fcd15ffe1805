"""What the logs of gateways say about one request, and what decided it.

The lines of a request carry its identifier. What a gateway believed at that
moment is in earlier lines of the same VM: the configuration in force, the state
of its dependency on the store, and the servers that were tried.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import RequestId

STORE_EVENTS = frozenset(
    {
        "store lost",
        "store regained",
        "store returned from an older copy",
        "watch broken",
        "history gone; reading all lists",
        "relay lost",
        "taking changes from a relay",
        "watching the store",
    }
)
CONFIG_EVENTS = frozenset({"configuration in force"})
REACH_EVENTS = frozenset({"reach of servers changed"})
LIFE_EVENTS = frozenset({"gateway started", "serving", "stopping", "settings reloaded"})
SERVER_EVENTS = frozenset(
    {
        "server registered",
        "server phase changed",
        "server restarted",
        "server removed",
        "server is leaving",
        "server asks for a pause",
        "server names a limit",
        "server not back",
        "server back",
        "server counts as cold",
        "server has ended",
    }
)

EVIDENCE_EVENTS = frozenset(
    {"server ended under a request", "request quarantined", "request cleared"}
)

COMMON_FIELDS = frozenset({"event", "timestamp", "vm", "level", "process"})
"""Fields that are not repeated behind each line of a story."""


class UnknownRequest(ConfigError):
    """No line of the logs concerns the request."""

    code = ResultCode.UNREADABLE


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line of a gateway's log.

    Attributes:
        at: Time of the line, as written.
        vm: VM that wrote it.
        event: What happened.
        fields: All other fields.
    """

    at: str
    vm: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the fields as ``name=value``."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestStory:
    """A request and what decided it.

    Attributes:
        request: Identifier of the request.
        vm: Gateway that handled it.
        beliefs: Latest lines of that gateway before it, one per kind.
        servers: Latest line about each server that was tried.
        evidence: Lines of all gateways about servers that ended under the same request, in
            attempts before it.
        steps: Lines of the request itself.
        code: Always ``OK``; a request without lines is raised.
    """

    request: RequestId
    vm: str
    beliefs: list[LogLine] = field(default_factory=list)
    servers: list[LogLine] = field(default_factory=list)
    evidence: list[LogLine] = field(default_factory=list)
    steps: list[LogLine] = field(default_factory=list)
    code: ResultCode = ResultCode.OK


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Read log files; what is no JSON object stands between lines and is passed over.

    Raises:
        ConfigError: A file cannot be read.
    """
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                for text in lines:
                    line = parse_line(text)
                    if line is not None:
                        yield line
        except OSError as error:
            raise ConfigError(f"{path}: {error}", code=ResultCode.UNREADABLE) from error


def parse_line(text: str) -> LogLine | None:
    """Return the line in ``text``, or None when it holds none.

    A collector may have put its own words before the JSON object.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(text[start:].strip(), type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
    if "event" not in found:
        return None
    return LogLine(
        at=str(found.get("timestamp", "")),
        vm=str(found.get("vm", "")),
        event=str(found["event"]),
        fields={name: value for name, value in found.items() if name not in COMMON_FIELDS},
    )


def tell(request: RequestId, lines: Iterable[LogLine]) -> RequestStory:
    """Put together what the logs say about ``request``.

    Args:
        request: Identifier of the request.
        lines: Lines of all gateways, in any order.

    Raises:
        UnknownRequest: No line concerns the request.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    steps = [line for line in ordered if line.fields.get("request") == request]
    if not steps:
        raise UnknownRequest(f"no line of the logs concerns request {request}")
    vm = steps[0].vm
    before = [line for line in ordered if line.vm == vm and line.at <= steps[0].at]
    tried = _servers_of(steps)
    digests = {line.fields["digest"] for line in steps if "digest" in line.fields}
    # A peer may have chosen the servers.
    vms = {line.vm for line in steps}
    around = [line for line in ordered if line.vm in vms and line.event in SERVER_EVENTS]
    return RequestStory(
        request=request,
        vm=vm,
        beliefs=[
            line
            for kind in (LIFE_EVENTS, CONFIG_EVENTS, STORE_EVENTS, REACH_EVENTS)
            if (line := _latest(before, kind)) is not None
        ],
        servers=[line for line in around if line.fields.get("server") in tried],
        evidence=[
            line
            for line in ordered
            if line.event in EVIDENCE_EVENTS and line.fields.get("digest") in digests
        ],
        steps=steps,
    )


def _servers_of(steps: list[LogLine]) -> set[str]:
    tried = {line.fields["server"] for line in steps if "server" in line.fields}
    for line in steps:
        tried.update(line.fields.get("servers") or ())
    return tried


def _latest(lines: list[LogLine], events: frozenset[str]) -> LogLine | None:
    return next((line for line in reversed(lines) if line.event in events), None)

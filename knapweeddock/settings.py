"""Settings of the daemons: one file of JSON with comments per process.

A problem is reported with the file, the path within it, what was found, what
is allowed and a numbered code, so that an operator can correct the line
without reading the source.
"""

import dataclasses
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_type_hints

import json5
import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.ids import FailureDomainId, VmId

MAX_SETTINGS_BYTES = 64 * 1024
"""Larger files are refused before parsing; json5 took 1.4 s for 70 KB in a trial."""

KIB = 1024
MIB = 1024 * KIB

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s/]+:[0-9]{1,5}$")]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]

LogLevel = Literal["debug", "info", "warning", "error"]


class SettingsError(ConfigError):
    """A settings file is not acceptable.

    Attributes:
        file: The file.
        path: Path within the file, ``$`` for the whole document.
        found: What was found there.
        allowed: What is allowed there.
    """

    def __init__(
        self, *, file: Path, path: str, found: str, allowed: str, code: ResultCode
    ) -> None:
        super().__init__(
            f"{file}: {path}: found {found}; allowed: {allowed} (code {int(code)})", code=code
        )
        self.file = file
        self.path = path
        self.found = found
        self.allowed = allowed


@dataclass(frozen=True, kw_only=True)
class TracingSettings:
    """Where spans go.

    Attributes:
        exporter: ``none`` passes incoming trace context on and records
            nothing; ``console`` writes JSON lines to standard output.
        endpoint: URL that takes OTLP over HTTP; used by ``otlp`` only.
        sample_ratio: Part of the traces without a sampled parent to record.
    """

    exporter: Literal["none", "otlp", "console"] = "none"
    endpoint: str = "http://127.0.0.1:4318/v1/traces"
    sample_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


@dataclass(frozen=True, kw_only=True)
class EntryListen:
    """Where an entry listens; port 0 takes a free port.

    Attributes:
        host: Address to bind; the agent publishes it, so it must be one that
            callers and other VMs reach.
        public: Port for callers.
        internal: Port for requests of other entries.
        lending: Port of the lending service.
        metrics: Port of ``/metrics``.
    """

    host: Name
    public: Port = 0
    internal: Port = 0
    lending: Port = 0
    metrics: Port = 0


@dataclass(frozen=True, kw_only=True)
class EntryLimits:
    """Bounds on sizes and waits of an entry.

    Attributes:
        body_limit: Largest request body in bytes.
        header_limit: Largest total of request header names and values in bytes.
        buffer_limit: Largest answer in bytes that is read whole first.
        request_limit: Largest number of requests in the process at a time.
        queue_limit: Largest number of waiting requests per pool.
        key_limit: Largest number of idempotency keys.
        max_key_life_s: Largest distance of a not-after time from now.
        kept_answer_limit: Largest answer in bytes kept for repeated keys.
        body_timeout_s: Longest time that reading a request body may take.
        connect_timeout_s: Longest time to connect to a server or entry.
        spare_idle_s: Longest time that a connection which was opened ahead for a
            non-idempotent request waits for its use; 0 opens none.
        borrow_timeout_s: Longest time to wait for a lender.
        probe_interval_s: Time between two probes of a server.
        probe_timeout_s: Longest time that a probe may take.
        agent_silence_s: The agent's stream is replaced when nothing arrived
            for this time.
        stop_limit_s: Longest time to finish running requests when stopping.
    """

    body_limit: Count = MIB
    header_limit: Count = 16 * KIB
    buffer_limit: Count = MIB
    request_limit: Count = 4096
    queue_limit: Count = 1000
    key_limit: Count = 100_000
    max_key_life_s: Seconds = 120.0
    kept_answer_limit: Count = 64 * KIB
    body_timeout_s: Seconds = 10.0
    connect_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    spare_idle_s: Annotated[float, msgspec.Meta(ge=0, le=5)] = 0.0
    borrow_timeout_s: Seconds = 0.5
    probe_interval_s: Seconds = 2.0
    probe_timeout_s: Seconds = 1.0
    agent_silence_s: Seconds = 3.0
    stop_limit_s: Seconds = 30.0


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of ``knapweed-entry``.

    Attributes:
        vm: The VM that the process runs on.
        failure_domain: Failure domain of the VM.
        listen: Where the process listens.
        agent: ``host:port`` of the local agent.
        limits: Bounds on sizes and waits.
        tracing: Where spans go.
        log_level: Least severe level that is logged.
    """

    vm: Annotated[VmId, msgspec.Meta(min_length=1, max_length=128)]
    failure_domain: Annotated[FailureDomainId, msgspec.Meta(min_length=1, max_length=128)]
    listen: EntryListen
    agent: Address
    limits: EntryLimits = field(default_factory=EntryLimits)
    tracing: TracingSettings = field(default_factory=TracingSettings)
    log_level: LogLevel = "info"


@dataclass(frozen=True, kw_only=True)
class ProcessListen:
    """Where an agent or a look-up process listens; port 0 takes a free port.

    Attributes:
        host: Address to bind and to publish.
        port: Port of the process's service.
        metrics: Port of ``/metrics``.
    """

    host: Name
    port: Port = 0
    metrics: Port = 0


@dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Settings of ``knapweed-agent``.

    Attributes:
        vm: The VM that the process runs on.
        failure_domain: Failure domain of the VM.
        listen: Where the process listens, for local processes and peers.
        platform_url: Base URL of the platform's object API and VM list.
        seeds: ``host:port`` of agents to ask first after a start.
        tracing: Where spans go.
        log_level: Least severe level that is logged.
    """

    vm: Annotated[VmId, msgspec.Meta(min_length=1, max_length=128)]
    failure_domain: Annotated[FailureDomainId, msgspec.Meta(min_length=1, max_length=128)]
    listen: ProcessListen
    platform_url: Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s]+$")]
    seeds: list[Address] = field(default_factory=list)
    tracing: TracingSettings = field(default_factory=TracingSettings)
    log_level: LogLevel = "info"


@dataclass(frozen=True, kw_only=True)
class LookupSettings:
    """Settings of ``knapweed-lookup``.

    Attributes:
        vm: The VM that the process runs on.
        failure_domain: Failure domain of the VM.
        listen: Where the process listens.
        agents: ``host:port`` of the local agent, then of agents of the same
            domain to use when the local one does not answer.
        tracing: Where spans go.
        log_level: Least severe level that is logged.
    """

    vm: Annotated[VmId, msgspec.Meta(min_length=1, max_length=128)]
    failure_domain: Annotated[FailureDomainId, msgspec.Meta(min_length=1, max_length=128)]
    listen: ProcessListen
    agents: Annotated[list[Address], msgspec.Meta(min_length=1)]
    tracing: TracingSettings = field(default_factory=TracingSettings)
    log_level: LogLevel = "info"


SettingsT = TypeVar("SettingsT")


def load_settings(file: Path, kind: type[SettingsT]) -> SettingsT:
    """Read a settings file.

    Args:
        file: Path of the file.
        kind: ``EntrySettings``, ``AgentSettings`` or ``LookupSettings``.

    Raises:
        SettingsError: The file cannot be read or is not acceptable.
    """
    try:
        with file.open("rb") as stream:
            content = stream.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        raise SettingsError(
            file=file,
            path="$",
            found=error.strerror or str(error),
            allowed="a readable file",
            code=ResultCode.UNREADABLE,
        ) from error
    return parse_settings(content, kind, file=file)


def parse_settings(content: bytes, kind: type[SettingsT], *, file: Path) -> SettingsT:
    """Decode the content of a settings file.

    Args:
        content: Bytes of the file.
        kind: Data class of the settings.
        file: Path that error messages name.

    Raises:
        SettingsError: The content is not acceptable.
    """
    if len(content) > MAX_SETTINGS_BYTES:
        raise SettingsError(
            file=file,
            path="$",
            found=f"more than {MAX_SETTINGS_BYTES} bytes",
            allowed=f"at most {MAX_SETTINGS_BYTES} bytes",
            code=ResultCode.TOO_LARGE,
        )
    try:
        parsed = json5.loads(content.decode("utf-8"), object_pairs_hook=_Pairs)
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            file=file,
            path="$",
            found=f"a syntax error ({error})",
            allowed="JSON with comments in UTF-8",
            code=ResultCode.SYNTAX,
        ) from error
    document = _without_doubled_keys(parsed, "$", file)
    _check_fields(document, kind, "$", file)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise _validation_error(str(error), document, file) from error


class _Pairs(list):
    """The members of an object in file order, doubled keys included."""


def _without_doubled_keys(value: Any, path: str, file: Path) -> Any:
    if isinstance(value, _Pairs):
        result: dict[str, Any] = {}
        for key, item in value:
            if key in result:
                raise SettingsError(
                    file=file,
                    path=f"{path}.{key}",
                    found="the key a second time",
                    allowed="each key once per object",
                    code=ResultCode.DUPLICATE_KEY,
                )
            result[key] = _without_doubled_keys(item, f"{path}.{key}", file)
        return result
    if isinstance(value, list):
        return [
            _without_doubled_keys(item, f"{path}[{index}]", file)
            for index, item in enumerate(value)
        ]
    return value


def _check_fields(value: Any, kind: Any, path: str, file: Path) -> None:
    """Refuse unknown fields, which msgspec ignores in data classes."""
    if not dataclasses.is_dataclass(kind) or not isinstance(value, dict):
        return
    hints = get_type_hints(kind)
    for key, item in value.items():
        if key not in hints:
            raise SettingsError(
                file=file,
                path=f"{path}.{key}",
                found="an unknown field",
                allowed=", ".join(sorted(hints)),
                code=ResultCode.UNKNOWN_FIELD,
            )
        _check_fields(item, hints[key], f"{path}.{key}", file)


def _validation_error(message: str, document: Any, file: Path) -> SettingsError:
    """Translate a message of msgspec, ``Expected X, got Y - at `$.path` ``."""
    text, _, location = message.partition(" - at ")
    path = location.strip("`") or "$"
    missing = re.match(r"Object missing required field `(\w+)`", text)
    if missing:
        return SettingsError(
            file=file,
            path=f"{path}.{missing.group(1)}",
            found="nothing",
            allowed="a value; the field is required",
            code=ResultCode.MISSING_FIELD,
        )
    allowed, separator, got = text.removeprefix("Expected ").partition(", got ")
    return SettingsError(
        file=file,
        path=path,
        found=got.strip("`") if separator else _shown(_value_at(document, path)),
        allowed=allowed.replace("`", ""),
        code=ResultCode.WRONG_TYPE if separator else ResultCode.OUT_OF_RANGE,
    )


def _value_at(document: Any, path: str) -> Any:
    value = document
    for name, index in re.findall(r"\.([^.\[]+)|\[(\d+)\]", path):
        value = value[int(index)] if index else value[name]
    return value


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."

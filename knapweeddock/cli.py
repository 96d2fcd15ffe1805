"""The command ``knapweed``: reads arguments, runs one operation, prints its report."""

import asyncio
import getpass
import os
import re
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import aiohttp
import msgspec
import structlog
from cyclopts import App, CycloptsError, Parameter
from cyclopts.validators import Number

from knapweeddock import porcelain
from knapweeddock.base import ChangedByOthers
from knapweeddock.codes import ResultCode, exit_status
from knapweeddock.drains import Targets
from knapweeddock.errors import ConfigError, KnapweedError
from knapweeddock.explain import Request
from knapweeddock.fleetstatus import FleetReport, HttpMetricsSource, fleet_status
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.ids import FailureDomainId, RequestId, ServerId, SiteId, Version, VmId
from knapweeddock.objectstore import ObjectStore
from knapweeddock.platform.settings import load
from knapweeddock.platform.store import PlatformStoreClient, store_http
from knapweeddock.porcelain import Session
from knapweeddock.render import render
from knapweeddock.reports import ErrorReport, Report
from knapweeddock.statusclient import HttpStatusSource

MAX_WAIT_S = 3600

Repeated = Annotated[list[str], Parameter(negative="")]
Wait = Annotated[float | None, Parameter(validator=Number(gte=0, lte=MAX_WAIT_S))]

app = App(
    name="knapweed",
    help="Checks, applies and shows the configuration of a knapweeddock system.",
    help_format="plaintext",
    result_action="return_value",
)


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Output:
    """How results are printed."""

    json: Annotated[bool, Parameter(negative="")] = False
    """Print one JSON object in place of text."""


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Connection(Output):
    """Which system the command works on."""

    platform: Annotated[str, Parameter(env_var="KNAPWEED_PLATFORM")] = ""
    """Base URL of the platform's object API."""

    lookup: Annotated[str, Parameter(env_var="KNAPWEED_LOOKUP")] = ""
    """Base URLs of look-up processes, separated by commas; the first that answers is used."""

    operator: Annotated[str, Parameter(env_var="KNAPWEED_OPERATOR")] = ""
    """Name recorded with a change; the user's login name when absent."""


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Names:
    """What to drain or undrain; each option may be repeated."""

    server: Repeated = field(default_factory=list)
    """Backend server."""

    site: Repeated = field(default_factory=list)
    """Site."""

    vm: Repeated = field(default_factory=list)
    """Entry VM."""

    failure_domain: Repeated = field(default_factory=list)
    """Failure domain."""

    def targets(self) -> Targets:
        """Return the names by kind."""
        return Targets(
            servers=[ServerId(name) for name in self.server],
            sites=[SiteId(name) for name in self.site],
            vms=[VmId(name) for name in self.vm],
            failure_domains=[FailureDomainId(name) for name in self.failure_domain],
        )


DEFAULT_OUTPUT = Output()
DEFAULT_CONNECTION = Connection()
DEFAULT_NAMES = Names()


@app.command
def check(directory: Path, /, *, output: Output = DEFAULT_OUTPUT) -> int:
    """Check a configuration folder without asking the platform.

    Args:
        directory: The configuration folder.
        output: How results are printed.
    """

    async def operation() -> Report:
        return porcelain.check(directory)

    return _run(operation(), output)


@app.command
def apply(
    directory: Path,
    /,
    *,
    base: int | None = None,
    wait: Wait = None,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Make the platform hold the configuration of a folder.

    "accepted" is printed only when the platform holds the change. Drains stay.

    Args:
        directory: The configuration folder.
        base: Version that you last saw; the one that apply or diff last
            showed for this folder when absent.
        wait: Seconds to wait until the change is in force on every serving VM.
        connection: Which system the command works on.
    """
    base_version = None if base is None else Version(base)
    return _run_session(
        connection,
        lambda session: porcelain.apply(session, directory, base_version=base_version, wait_s=wait),
    )


@app.command
def diff(directory: Path, /, *, connection: Connection = DEFAULT_CONNECTION) -> int:
    """Show what apply would change, and make the shown version the base of the folder.

    Args:
        directory: The configuration folder.
        connection: Which system the command works on.
    """
    return _run_session(connection, lambda session: porcelain.diff(session, directory))


@app.command
def status(
    *, gateway_settings: Path | None = None, connection: Connection = DEFAULT_CONNECTION
) -> int:
    """Show the configuration's version, what is drained, and the members or gateways.

    Args:
        gateway_settings: Settings file of a gateway; its store and all registered
            gateways are asked in place of the object API.
        connection: Which system the command works on.
    """
    if gateway_settings is not None:
        return _run(_fleet_status(gateway_settings), connection)
    return _run_session(connection, porcelain.status)


@app.command
def drain(
    *,
    names: Names = DEFAULT_NAMES,
    wait: Wait = None,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Take servers, sites, VMs or failure domains out of service.

    Args:
        names: What to drain.
        wait: Seconds to wait until the change is in force on every serving VM.
        connection: Which system the command works on.
    """
    targets = names.targets()
    return _run_session(connection, lambda session: porcelain.drain(session, targets, wait_s=wait))


@app.command
def undrain(
    *,
    names: Names = DEFAULT_NAMES,
    wait: Wait = None,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Return servers, sites, VMs or failure domains to service.

    Args:
        names: What to return to service.
        wait: Seconds to wait until the change is in force on every serving VM.
        connection: Which system the command works on.
    """
    targets = names.targets()
    return _run_session(
        connection, lambda session: porcelain.undrain(session, targets, wait_s=wait)
    )


@app.command
def explain(
    *,
    client: str = "",
    host: str = "",
    method: str = "GET",
    path: str = "/",
    folder: Path | None = None,
    request: str = "",
    logs: list[Path] | None = None,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Explain where a caller's request would go, or what became of a past one, and why.

    Args:
        client: IP address of the caller.
        host: Host name that the caller uses.
        method: HTTP method.
        path: Path of the request.
        folder: Configuration folder to use in place of the platform's configuration.
        request: Identifier of a past request whose story the logs tell.
        logs: Log files of the gateways.
        connection: Which system the command works on.
    """
    if request:
        return _run(porcelain.tell_story(RequestId(request), logs or []), connection)
    wanted = Request(client=client, host=host, method=method.upper(), path=path)
    if folder is not None:
        return _run(porcelain.explain(None, wanted, directory=folder), connection)
    return _run_session(connection, lambda session: porcelain.explain(session, wanted))


def _run_session(connection: Connection, operation: Callable[[Session], Awaitable[Report]]) -> int:
    async def with_session() -> Report:
        store = _open_store(connection.platform)
        try:
            return await operation(_session(connection, store))
        finally:
            await store.close()

    return _run(with_session(), connection)


async def _fleet_status(path: Path) -> FleetReport:
    settings = load(path)
    store_client = PlatformStoreClient(
        http=store_http(settings.store.address), regions=settings.regions
    )
    try:
        async with aiohttp.ClientSession() as session:
            metrics = HttpMetricsSource(session=session, port=settings.metrics[1])
            return await fleet_status(store_client, metrics)
    finally:
        await store_client.close()


def _open_store(url: str) -> ObjectStore:
    if not re.match(r"https?://.", url):
        raise ConfigError(
            f"the platform's URL is {url!r}: name it by --platform or KNAPWEED_PLATFORM",
            code=ResultCode.MISSING_FIELD,
        )
    return HttpObjectStore(url=url)


def _session(connection: Connection, store: ObjectStore) -> Session:
    urls = [url.strip() for url in connection.lookup.split(",") if url.strip()]
    return Session(
        platform=connection.platform.rstrip("/"),
        store=store,
        operator=connection.operator or _login_name(),
        status=HttpStatusSource(urls=urls) if urls else None,
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"


def _run(operation: Awaitable[Report], output: Output) -> int:
    """Run ``operation``, print its report and return the exit status."""

    async def run() -> Report:
        return await operation

    try:
        report = asyncio.run(run())
    except* KnapweedError as group:
        report = _error_report(group)
    _print(report, output)
    return exit_status(report.code)


def _error_report(group: ExceptionGroup) -> ErrorReport:
    errors = list(_leaves(group))
    first = errors[0]
    return ErrorReport(
        code=first.code,
        name=first.code.name,
        messages=[str(error) for error in errors],
        version=first.version if isinstance(first, ChangedByOthers) else None,
        others=first.changes if isinstance(first, ChangedByOthers) else [],
    )


def _leaves(group: ExceptionGroup) -> Sequence[KnapweedError]:
    found: list[KnapweedError] = []
    for error in group.exceptions:
        if isinstance(error, ExceptionGroup):
            found += _leaves(error)
        else:
            found.append(error)
    return found


def _print(report: Report, output: Output) -> None:
    if output.json:
        content = msgspec.to_builtins(report, enc_hook=str)
        content = {"code": int(report.code), "name": report.code.name} | content
        print(msgspec.json.encode(content).decode())
        return
    stream = sys.stderr if isinstance(report, ErrorReport) else sys.stdout
    for line in render(report):
        print(line, file=stream)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command.

    Args:
        arguments: Command line without the program's name; that of the
            process when None.

    Returns:
        The exit status: the group of the result code, 0 for success.
    """
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    try:
        return app(arguments, exit_on_error=False)
    except CycloptsError:
        # cyclopts has printed the error.
        return exit_status(ResultCode.BAD_REQUEST)


if __name__ == "__main__":
    sys.exit(main())

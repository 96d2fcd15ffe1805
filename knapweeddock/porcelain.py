"""Operations for operators: check, apply, diff, status, drain, undrain, explain.

Every operation returns a typed report or raises; ``cli`` only prints.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from knapweeddock import base as bases
from knapweeddock import changes, requeststory
from knapweeddock.base import Base
from knapweeddock.blockstore import ChunkWriter
from knapweeddock.changes import Document
from knapweeddock.checks import DRAINS, check_folder, config_of
from knapweeddock.clock import Clock, SystemClock
from knapweeddock.codes import ResultCode
from knapweeddock.drains import (
    Targets,
    unserved_pools,
    unused_drains,
    with_drains,
    without_drains_of,
)
from knapweeddock.errors import KnapweedError, PeerUnavailable, StoreUnavailable
from knapweeddock.explain import Explanation, Request, explain_request
from knapweeddock.folder import Folder, read_folder
from knapweeddock.headstore import fetch_document, read_head
from knapweeddock.ids import RequestId, Version
from knapweeddock.model import Config
from knapweeddock.moves import check_moves
from knapweeddock.objectstore import ObjectStore
from knapweeddock.publish import Companion, Current, Published, Publisher
from knapweeddock.reports import (
    ChangeReport,
    CheckReport,
    Counts,
    DiffReport,
    InForce,
    StatusReport,
)
from knapweeddock.requeststory import RequestStory
from knapweeddock.statusclient import MemberStatus, StatusSource, SystemStatus

POLL_INTERVAL_S = 0.25
"""Time between two status reads of a wait; a change spreads within 2 s."""

READ_TRIES = 3
SHOWN_CHANGES = 10


@dataclass(frozen=True, kw_only=True)
class Session:
    """What the operations work with.

    Attributes:
        platform: URL of the platform, which also identifies its versions.
        store: The platform's object API.
        operator: Name of the operator.
        status: Where to read members, None when no look-up process is named.
        clock: Time source of waits and changes.
        sleep: Waits for a number of seconds.
    """

    platform: str
    store: ObjectStore
    operator: str
    status: StatusSource | None = None
    clock: Clock = field(default_factory=SystemClock)
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep

    async def publish(
        self, propose: Callable[[Current], Document], companion: Companion | None = None
    ) -> Published:
        """Publish a change of this operator."""
        publisher = Publisher(
            store=self.store, operator=self.operator, clock=self.clock, sleep=self.sleep
        )
        return await publisher.publish(propose, companion)

    def chunk_writer(self, folder: Folder) -> ChunkWriter:
        """Return the writer of a folder's block tables."""
        return ChunkWriter(
            store=self.store,
            families=folder.blocks.families,
            clock=self.clock,
            sleep=self.sleep,
        )


def check(directory: Path) -> CheckReport:
    """Check a folder without asking the platform.

    Raises:
        ExceptionGroup: All problems of the folder.
    """
    folder = read_folder(directory)
    config = check_folder(folder)
    return CheckReport(
        directory=directory,
        files=[*folder.files, *(f"blocks/{name}" for name in folder.blocks.files)],
        counts=_counts(config, folder),
    )


async def apply(
    session: Session,
    directory: Path,
    *,
    base_version: Version | None = None,
    wait_s: float | None = None,
) -> ChangeReport:
    """Make the platform hold the configuration of ``directory``.

    Args:
        session: Connections and the operator.
        directory: The folder.
        base_version: Version that the operator last saw; read from the
            folder when None.
        wait_s: Time to wait until the change is in force everywhere.

    Raises:
        ExceptionGroup: All problems of the folder; nothing was changed.
        ChangedByOthers: Others changed the configuration since the base.
        StoreError: Nothing was changed, or the outcome is unknown.
    """
    folder = read_folder(directory)
    check_folder(folder)
    if base_version is None:
        base = bases.read_base(directory, platform=session.platform)
    else:
        base = Base(version=base_version, platform=session.platform)

    writer = session.chunk_writer(folder)

    def propose(current: Current) -> Document:
        document = writer.with_chunks(current.document, _with_drains_of(current, folder))
        if changes.diff(current.document, document):
            bases.check_base(base, current)
            check_moves(current.document, folder)
        return document

    published = await session.publish(propose, writer)
    warnings = _remember(session, directory, published.version, published.document)
    return await _report(session, published, wait_s, warnings)


async def diff(session: Session, directory: Path) -> DiffReport:
    """Show what ``apply`` would change, and make the current version the base.

    Raises:
        ExceptionGroup: All problems of the folder.
        StoreError: The platform could not be read.
    """
    folder = read_folder(directory)
    check_folder(folder)
    base = bases.read_base(directory, platform=session.platform)
    current = await read_current(session.store)
    writer = session.chunk_writer(folder)
    document = writer.with_chunks(current.document, _with_drains_of(current, folder))
    warnings = _remember(session, directory, current.head.version, current.document)
    return DiffReport(
        version=current.head.version,
        patch=changes.diff(current.document, document),
        base_version=base.version,
        others=bases.listed_changes(base.version, current.head),
        warnings=warnings,
    )


async def drain(session: Session, targets: Targets, *, wait_s: float | None = None) -> ChangeReport:
    """Take servers, sites, VMs or failure domains out of service.

    Raises:
        ExceptionGroup: A name is not defined; nothing was changed.
        StoreError: Nothing was changed, or the outcome is unknown.
    """
    targets.check_not_empty()
    published = await session.publish(lambda current: with_drains(current.document, targets))
    warnings = await _unknown_vms(session, targets)
    config = config_of(published.document)
    warnings += [f"no site of pool {pool} is left in service" for pool in unserved_pools(config)]
    return await _report(session, published, wait_s, warnings)


async def undrain(
    session: Session, targets: Targets, *, wait_s: float | None = None
) -> ChangeReport:
    """Return servers, sites, VMs or failure domains to service.

    A name that is not drained is no error.

    Raises:
        StoreError: Nothing was changed, or the outcome is unknown.
    """
    targets.check_not_empty()
    published = await session.publish(lambda current: without_drains_of(current.document, targets))
    return await _report(session, published, wait_s, [])


async def status(session: Session) -> StatusReport:
    """Return the state of the configuration and of the members.

    What cannot be read is missing from the report and named in ``errors``.
    """
    code = ResultCode.OK
    errors: list[str] = []
    current: Current | None = None
    members: SystemStatus | None = None
    try:
        current = await read_current(session.store)
    except KnapweedError as error:
        code = error.code
        errors.append(f"platform: {error}")
    try:
        if session.status is not None:
            members = await session.status.fetch()
    except PeerUnavailable as error:
        code = code or error.code
        errors.append(f"members: {error}")
    config = config_of(current.document) if current else Config()
    version = current.head.version if current else None
    return StatusReport(
        code=code,
        version=version,
        changes=current.head.changes[: -SHOWN_CHANGES - 1 : -1] if current else [],
        drains=config.drains,
        unused_drains=unused_drains(config),
        members=members.members if members else None,
        behind=_behind(members, version) if members and version is not None else [],
        errors=errors,
    )


async def tell_story(request: RequestId, logs: Sequence[Path]) -> RequestStory:
    """Return what the gateways' logs say about a past request.

    Raises:
        ConfigError: A log cannot be read, or none concerns the request.
    """
    return requeststory.tell(request, requeststory.read_lines(logs))


async def explain(
    session: Session | None, request: Request, *, directory: Path | None = None
) -> Explanation:
    """Explain where ``request`` would go.

    Args:
        session: Connections, needed without ``directory``.
        request: The request.
        directory: A folder to use in place of the platform's configuration.

    Raises:
        ExceptionGroup: All problems of the folder.
        StoreError: The platform could not be read.
    """
    if directory is not None:
        return explain_request(check_folder(read_folder(directory)), request)
    assert session is not None
    current = await read_current(session.store)
    return explain_request(config_of(current.document), request)


async def read_current(store: ObjectStore) -> Current:
    """Return the head and its document.

    Raises:
        StoreError: The platform could not be read.
    """
    for _ in range(READ_TRIES):
        head = (await read_head(store)).head
        try:
            found = await fetch_document(store, head)
        except StoreUnavailable:
            # The snapshot may have been replaced since the head was read.
            newer = (await read_head(store)).head
            if newer.snapshot == head.snapshot:
                raise
            continue
        return Current(head=head, document=found.document)
    raise StoreUnavailable("the configuration changes too fast to be read")


async def wait_in_force(session: Session, version: Version, wait_s: float) -> InForce:
    """Wait until ``version`` is in force on every serving VM.

    Returns:
        The last state; ``complete`` tells whether the wait was successful.
    """
    if session.status is None:
        return InForce(version=version, error="no look-up process is named")
    end = session.clock.monotonic() + wait_s
    while True:
        try:
            members = await session.status.fetch()
        except PeerUnavailable as error:
            found = InForce(version=version, error=str(error))
        else:
            serving = sum(member.serves for member in members.members)
            found = InForce(version=version, serving=serving, missing=_behind(members, version))
        remaining = end - session.clock.monotonic()
        if found.complete or remaining <= 0:
            return found
        await session.sleep(min(POLL_INTERVAL_S, remaining))


async def _report(
    session: Session, published: Published, wait_s: float | None, warnings: list[str]
) -> ChangeReport:
    code = ResultCode.OK
    in_force = None
    if wait_s is not None:
        in_force = await wait_in_force(session, published.version, wait_s)
        code = ResultCode.OK if in_force.complete else ResultCode.NOT_IN_FORCE
    return ChangeReport(
        code=code,
        version=published.version,
        change_id=published.change_id,
        patch=published.patch,
        in_force=in_force,
        warnings=warnings,
    )


async def _unknown_vms(session: Session, targets: Targets) -> list[str]:
    """Return a warning for each VM that no member has as its name."""
    if not targets.vms or session.status is None:
        return []
    try:
        members = await session.status.fetch()
    except PeerUnavailable as error:
        return [f"the names of VMs were not checked: {error}"]
    known = {member.vm for member in members.members}
    return [f"no member is named {vm}" for vm in targets.vms if vm not in known]


def _with_drains_of(current: Current, folder: Folder) -> Document:
    """Return the folder's document with the drains that the platform holds."""
    document = dict(folder.document)
    if DRAINS in current.document:
        document[DRAINS] = current.document[DRAINS]
    return document


def _remember(session: Session, directory: Path, version: Version, document: Document) -> list[str]:
    """Write the base and return a warning when that fails."""
    found = Base(version=version, digest=bases.digest(document), platform=session.platform)
    try:
        bases.write_base(directory, found)
    except OSError as error:
        return [f"{directory / bases.BASE_FILE} was not written: {error}; use --base {version}"]
    return []


def _behind(members: SystemStatus, version: Version) -> list[MemberStatus]:
    return [
        member
        for member in members.members
        if member.serves and (member.config_version or 0) < version
    ]


def _counts(config: Config, folder: Folder) -> Counts:
    return Counts(
        regions=len(config.regions),
        failure_domains=sum(len(region.failure_domains) for region in config.regions.values()),
        services=len(config.services),
        classes=sum(len(service.classes) for service in config.services.values()),
        sites=len(config.sites),
        servers=sum(len(site.servers) for site in config.sites.values()),
        client_blocks=len(config.client_blocks) + folder.blocks.count,
        document_bytes=len(changes.encode(folder.document)),
    )

"""Results of the operators' operations, as typed data."""

from dataclasses import dataclass, field
from pathlib import Path

from knapweeddock.changes import Change, Document
from knapweeddock.codes import ResultCode
from knapweeddock.explain import Explanation
from knapweeddock.fleetstatus import FleetReport
from knapweeddock.ids import ChangeId, Version
from knapweeddock.model import Drains
from knapweeddock.requeststory import RequestStory
from knapweeddock.statusclient import MemberStatus


@dataclass(frozen=True, kw_only=True)
class Counts:
    """Number of objects in a configuration."""

    regions: int
    failure_domains: int
    services: int
    classes: int
    sites: int
    servers: int
    client_blocks: int
    document_bytes: int


@dataclass(frozen=True, kw_only=True)
class CheckReport:
    """A folder without problems.

    Attributes:
        directory: The folder.
        files: Its files in the order of merging.
        counts: What they define.
        code: Always ``OK``; problems are raised.
    """

    directory: Path
    files: list[str]
    counts: Counts
    code: ResultCode = ResultCode.OK


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Where a change is in force.

    Attributes:
        version: Version that was waited for.
        serving: Number of VMs that serve.
        missing: Serving VMs that do not have the version yet.
        error: Why the members could not be read, or "".
    """

    version: Version
    serving: int = 0
    missing: list[MemberStatus] = field(default_factory=list)
    error: str = ""

    @property
    def complete(self) -> bool:
        """Whether every serving VM has the version."""
        return self.serving > 0 and not self.missing and not self.error


@dataclass(frozen=True, kw_only=True)
class ChangeReport:
    """An accepted change, or no difference.

    Attributes:
        code: ``OK``, or ``NOT_IN_FORCE`` when the wait ended too early.
        version: Version that the platform holds.
        change_id: Id of the change, None when there was no difference.
        patch: What changed, as a JSON merge patch.
        in_force: Result of the wait, None when there was none.
        warnings: What the operator should know.
    """

    code: ResultCode
    version: Version
    change_id: ChangeId | None
    patch: Document
    in_force: InForce | None = None
    warnings: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class DiffReport:
    """Difference between a folder and the platform.

    Attributes:
        version: Version that the platform holds.
        patch: What ``apply`` would change, as a JSON merge patch.
        base_version: Version that the operator had seen before.
        others: Changes since then, None when they are no longer listed.
        warnings: What the operator should know.
        code: Always ``OK``.
    """

    version: Version
    patch: Document
    base_version: Version
    others: list[Change] | None
    warnings: list[str] = field(default_factory=list)
    code: ResultCode = ResultCode.OK


@dataclass(frozen=True, kw_only=True)
class StatusReport:
    """State of the configuration and of the members.

    Attributes:
        code: ``OK``, or why a part is missing.
        version: Version that the platform holds, None when it is unavailable.
        changes: The newest changes, newest first.
        drains: What is drained.
        unused_drains: Drains that name nothing in the configuration.
        members: Members, None when no look-up process answered.
        behind: Serving members without the version.
        errors: What could not be read.
    """

    code: ResultCode
    version: Version | None = None
    changes: list[Change] = field(default_factory=list)
    drains: Drains = field(default_factory=Drains)
    unused_drains: list[str] = field(default_factory=list)
    members: list[MemberStatus] | None = None
    behind: list[MemberStatus] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class ErrorReport:
    """An operation that failed.

    Attributes:
        code: Number of the failure.
        name: Name of the code.
        messages: One line per problem.
        version: Current version, when a change of others is the reason.
        others: Changes of others, oldest first.
    """

    code: ResultCode
    name: str
    messages: list[str]
    version: Version | None = None
    others: list[Change] = field(default_factory=list)


Report = (
    CheckReport
    | ChangeReport
    | DiffReport
    | StatusReport
    | FleetReport
    | Explanation
    | RequestStory
    | ErrorReport
)

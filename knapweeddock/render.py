"""Text of the reports for a terminal."""

from collections.abc import Iterator
from datetime import UTC, datetime

from knapweeddock.changes import Change, Document
from knapweeddock.codes import CODE_INFO, ResultCode
from knapweeddock.explain import DomainStep, Explanation, SiteStep
from knapweeddock.fleetstatus import FleetReport, GatewayStatus
from knapweeddock.problems import Path, format_path, show
from knapweeddock.reports import (
    ChangeReport,
    CheckReport,
    DiffReport,
    ErrorReport,
    InForce,
    Report,
    StatusReport,
)
from knapweeddock.requeststory import RequestStory
from knapweeddock.statusclient import MemberStatus

MAX_PATCH_LINES = 200
"""Longest list of differences in a text; ``--json`` prints all."""


def render(report: Report) -> Iterator[str]:
    """Yield the lines of ``report``."""
    match report:
        case CheckReport():
            yield from _check_lines(report)
        case ChangeReport():
            yield from _change_report_lines(report)
        case DiffReport():
            yield from _diff_lines(report)
        case StatusReport():
            yield from _status_lines(report)
        case FleetReport():
            yield from _fleet_lines(report)
        case Explanation():
            yield from _explanation_lines(report)
        case RequestStory():
            yield from _story_lines(report)
        case ErrorReport():
            yield from _error_lines(report)


def patch_lines(patch: Document, path: Path = ()) -> Iterator[str]:
    """Yield one line per value that a merge patch sets (``+``) or removes (``-``)."""
    for key, value in patch.items():
        here = (*path, key)
        if value is None:
            yield f"- {format_path(here)}"
        elif isinstance(value, dict) and value:
            yield from patch_lines(value, here)
        else:
            yield f"+ {format_path(here)} = {show(value)}"


def _limited(lines: Iterator[str]) -> Iterator[str]:
    for count, line in enumerate(lines):
        if count == MAX_PATCH_LINES:
            yield "  ... (all differences with --json)"
            return
        yield f"  {line}"


def _check_lines(report: CheckReport) -> Iterator[str]:
    counts = report.counts
    yield f"{report.directory}: {len(report.files)} files, no problems"
    yield (
        f"  {counts.regions} regions, {counts.failure_domains} failure domains,"
        f" {counts.services} services, {counts.classes} classes, {counts.sites} sites,"
        f" {counts.servers} servers, {counts.client_blocks} client blocks,"
        f" {counts.document_bytes} bytes"
    )


def _change_report_lines(report: ChangeReport) -> Iterator[str]:
    if report.change_id is None:
        yield f"unchanged: version {report.version} already holds this"
    else:
        yield f"accepted: version {report.version}, change {report.change_id}"
        yield from _limited(patch_lines(report.patch))
    if report.in_force is not None:
        yield from _in_force_lines(report.in_force)
    for warning in report.warnings:
        yield f"warning: {warning}"


def _in_force_lines(in_force: InForce) -> Iterator[str]:
    if in_force.complete:
        yield f"in force: version {in_force.version} on all {in_force.serving} serving VMs"
        return
    yield (
        f"not in force everywhere: version {in_force.version}"
        f" ({int(ResultCode.NOT_IN_FORCE)} {ResultCode.NOT_IN_FORCE.name})"
    )
    if in_force.error:
        yield f"  members unknown: {in_force.error}"
    elif in_force.serving == 0:
        yield "  no VM serves"
    for member in in_force.missing:
        yield f"  missing: {_member(member)}"


def _member(member: MemberStatus) -> str:
    marks = [mark for mark in ("down", "suspected") if getattr(member, mark)]
    version = "unknown" if member.config_version is None else member.config_version
    return (
        f"{member.vm} in {member.failure_domain}, {', '.join([member.state.value, *marks])},"
        f" version {version}, load {member.load:.2f}"
    )


def _diff_lines(report: DiffReport) -> Iterator[str]:
    yield f"the platform holds version {report.version}"
    yield from _others_lines(report.others, report.base_version)
    if report.patch:
        yield "the folder would change:"
        yield from _limited(patch_lines(report.patch))
    else:
        yield "the folder would change nothing"
    for warning in report.warnings:
        yield f"warning: {warning}"


def _others_lines(others: list[Change] | None, base: int) -> Iterator[str]:
    if others is None:
        yield f"the changes since version {base} are no longer listed one by one"
    elif others:
        yield f"changes since version {base}:"
        for change in others:
            yield from _change_lines(change)


def _change_lines(change: Change) -> Iterator[str]:
    at = datetime.fromtimestamp(change.at, UTC).isoformat(timespec="seconds")
    yield f"  version {change.version} by {change.operator} at {at} (change {change.change_id})"
    for line in _limited(patch_lines(change.patch)):
        yield f"  {line}"


def _status_lines(report: StatusReport) -> Iterator[str]:
    for error in report.errors:
        yield f"unavailable: {error}"
    if report.version is not None:
        yield f"configuration version {report.version}"
        for change in report.changes:
            yield next(_change_lines(change))
        for line in patch_lines({"drained": _drained(report)}):
            yield line.removeprefix("+ ").removesuffix(" = true")
        for drain in report.unused_drains:
            yield f"warning: {drain} names nothing in the configuration"
    if report.members is not None:
        yield f"{len(report.members)} members, {len(report.behind)} behind"
        for member in report.members:
            mark = " (behind)" if member in report.behind else ""
            yield f"  {_member(member)}{mark}"


def _drained(report: StatusReport) -> Document:
    drains = report.drains
    parts = {
        "servers": drains.servers,
        "sites": drains.sites,
        "vms": drains.vms,
        "failure_domains": drains.failure_domains,
    }
    return {part: names for part, names in parts.items() if any(names.values())}


def _fleet_lines(report: FleetReport) -> Iterator[str]:
    for error in report.errors:
        yield f"unavailable: {error}"
    if report.version is not None:
        yield f"configuration version {report.version:08x}"
    for domain in report.evacuated:
        yield f"evacuated: {domain}"
    for service in report.services:
        yield (
            f"{service.service} in {service.failure_domain}: {service.ready} servers ready,"
            f" {service.slots} slots, {service.draining} draining"
        )
    yield f"{len(report.gateways)} gateways, {len(report.behind)} behind"
    for gateway in report.gateways:
        mark = " (behind)" if gateway in report.behind else ""
        yield f"  {_gateway(gateway)}{mark}"


def _gateway(status: GatewayStatus) -> str:
    where = f"{status.vm} in {status.failure_domain}"
    if status.error:
        return f"{where}, unavailable: {status.error}"
    age = "unknown" if status.store_age_s is None else f"{status.store_age_s:.1f} s old"
    return f"{where}, version {status.version:08x}, view of the store {age}"


def _explanation_lines(report: Explanation) -> Iterator[str]:
    request = report.request
    yield f"{request.method} {request.host}{request.path} from {request.client}"
    if report.block is None:
        yield "client block: none matches; the look-up process's own failure domain counts"
    else:
        yield f"client block: {report.block} is in {report.place}"
    yield "entries are named from these failure domains, nearest first:"
    for domain in report.domains:
        yield f"  {_domain(domain)}"
    if report.service is None:
        yield "service: no service has this host"
    elif report.request_class is None:
        yield f"service: {report.service}; no request class matches"
    else:
        kind = "idempotent" if report.idempotent else "non-idempotent, runs at most once"
        yield f"service: {report.service}, class: {report.request_class} ({kind})"
        yield f"pool: {report.pool}; its sites, nearest first:"
        for site in report.sites:
            yield f"  {_site(site)}"
    if report.code:
        yield f"refused: {int(report.code)} {report.code.name}: {CODE_INFO[report.code].meaning}"


def _story_lines(story: RequestStory) -> Iterator[str]:
    yield f"request {story.request} at {story.vm}"
    for title, lines in (
        ("what the gateway believed", story.beliefs),
        ("servers that were tried", story.servers),
        ("servers that ended under the same request", story.evidence),
        ("the request", story.steps),
    ):
        if lines:
            yield f"{title}:"
        for line in lines:
            yield f"  {line.at} {line.event}: {line.text()}"


def _delay(delay_ms: float | None) -> str:
    return "delay unknown" if delay_ms is None else f"{delay_ms:g} ms"


def _domain(step: DomainStep) -> str:
    drained = ", drained" if step.drained else ""
    return f"{step.failure_domain} in {step.region}, {_delay(step.delay_ms)}{drained}"


def _site(step: SiteStep) -> str:
    text = (
        f"{step.site} in {step.failure_domain}, {_delay(step.delay_ms)},"
        f" cap {step.cap}, usable {step.usable}"
    )
    if step.delay_ms:
        text += f", shift cap {step.shift_cap}, guaranteed share {step.share}"
    if step.link_cap is not None:
        text += f", link cap {step.link_cap}"
    if step.drains:
        text += f"; drained: {', '.join(step.drains)}"
    return text


def _error_lines(report: ErrorReport) -> Iterator[str]:
    yield f"{int(report.code)} {report.name}: {CODE_INFO[report.code].meaning}"
    for message in report.messages:
        yield f"  {message}"
    if report.others:
        yield "changes of others:"
        for change in report.others:
            yield from _change_lines(change)

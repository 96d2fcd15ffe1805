"""Objects of the platform's store as the project's types."""

from collections.abc import Mapping
from typing import Any

import structlog

from knapweeddock.gateway.records import (
    GatewayEntry,
    KeptEnd,
    KeptSuspect,
    ServerEntry,
    ServerPhase,
)
from knapweeddock.gateway.routes import Route, RoutingConfig, ServicePolicy, WeightedService
from knapweeddock.gateway.store.storeclient import StoreObject, Topic
from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import (
    FailureDomainId,
    Incarnation,
    RegionId,
    RequestDigest,
    RouteId,
    ServerId,
    ServiceId,
    Version,
    VmId,
)
from knapweeddock.platform.values import (
    MAX_INTEGER,
    DocumentError,
    Undecodable,
    address,
    address_text,
    duration,
    field,
    identifier,
    number,
    optional,
    rows,
    shown,
)

log = structlog.get_logger(__name__)

KINDS = {
    Topic.CONFIGURATION: "config",
    Topic.SERVERS: "servers",
    Topic.EVACUATIONS: "evacuations",
    Topic.GATEWAYS: "gateways",
}
"""Kind of the store's objects for each topic; ``gateways`` is the project's own."""

IDEMPOTENT_TYPES = frozenset({"safe", "download"})
BULK_TYPE = "download"

PHASES = {"ready": ServerPhase.READY, "draining": ServerPhase.DRAINING}

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_TARGET_S = 1.0


def decode(
    topic: Topic, name: str, spec: object, regions: Mapping[FailureDomainId, RegionId]
) -> StoreObject:
    """Decode the content of one object.

    Args:
        topic: Topic of its kind.
        name: Name of the object.
        spec: What its writer put into it, or ``Undecodable``.
        regions: Region of each failure domain.

    Raises:
        DocumentError: It cannot be decoded.
    """
    if topic is Topic.EVACUATIONS:
        return FailureDomainId(name)
    if isinstance(spec, Undecodable):
        raise DocumentError(spec.reason)
    if not isinstance(spec, Mapping):
        raise DocumentError(f"{name}: no object")
    match topic:
        case Topic.CONFIGURATION:
            return _config(spec)
        case Topic.SERVERS:
            return _server(name, spec, regions)
        case Topic.GATEWAYS:
            return _gateway(name, spec)


def encode_gateway(entry: GatewayEntry) -> dict[str, Any]:
    """Return the content of a gateway's object."""
    content = {
        "incarnation": entry.incarnation,
        "failure_domain": entry.failure_domain,
        "region": entry.region,
        "front": address_text(entry.front_address),
        "peer": address_text(entry.peer_address),
        "link_mbps": entry.link_mbps,
    }
    if entry.forwarding_address is not None:
        content["forwarding"] = address_text(entry.forwarding_address)
    if entry.suspects:
        content["suspects"] = [_encode_suspect(suspect) for suspect in entry.suspects]
    return content


def _encode_suspect(suspect: KeptSuspect) -> dict[str, Any]:
    return {
        "digest": suspect.digest.hex(),
        "ends": {end.server: end.ended_at_ms for end in suspect.ends},
    }


def _suspects(name: str, spec: Mapping[str, Any]) -> tuple[KeptSuspect, ...]:
    """Return the refused requests that a gateway keeps, without those that cannot be read."""
    found = []
    try:
        for content in optional(spec, "suspects", list, []):
            found.append(_suspect(content))
    except DocumentError as error:
        log.warning("refused requests unreadable", name=name, reason=str(error))
    return tuple(found)


def _suspect(content: object) -> KeptSuspect:
    if not isinstance(content, Mapping):
        raise DocumentError("a suspect is no object")
    ends = field(content, "ends", dict)
    try:
        digest = bytes.fromhex(field(content, "digest", str))
    except ValueError as error:
        raise DocumentError("a digest is no hexadecimal number") from error
    return KeptSuspect(
        digest=RequestDigest(digest),
        ends=tuple(
            KeptEnd(server=ServerId(server), ended_at_ms=field(ends, server, int))
            for server in ends
        ),
    )


def _gateway(name: str, spec: Mapping[str, Any]) -> GatewayEntry:
    return GatewayEntry(
        vm=VmId(name),
        incarnation=Incarnation(field(spec, "incarnation", str)),
        failure_domain=FailureDomainId(field(spec, "failure_domain", str)),
        region=RegionId(field(spec, "region", str)),
        front_address=address(spec.get("front")),
        peer_address=address(spec.get("peer")),
        # Gateways of earlier versions write neither of these.
        forwarding_address=address(spec["forwarding"]) if "forwarding" in spec else None,
        link_mbps=number(spec, "link_mbps", 0.0),
        suspects=_suspects(name, spec),
    )


def _server(
    name: str, spec: Mapping[str, Any], regions: Mapping[FailureDomainId, RegionId]
) -> ServerEntry:
    domain = FailureDomainId(field(spec, "Zone", str))
    if domain not in regions:
        raise DocumentError(f"Zone {shown(domain)} is unknown")
    phase = PHASES.get(field(spec, "State", str))
    if phase is None:
        raise DocumentError(f"State {shown(spec['State'])} is unknown")
    slots = field(spec, "Slots", int)
    if slots < 1:
        raise DocumentError(f"Slots is {slots}")
    return ServerEntry(
        # Requests name the server in a header.
        server=ServerId(identifier(name)),
        service=ServiceId(field(spec, "Service", str)),
        address=address(spec.get("Address")),
        failure_domain=domain,
        region=regions[domain],
        slots=slots,
        phase=phase,
        # How long the server stays slow, counted from when it wrote the entry.
        warmup_left_s=duration(spec, "WarmupLeft", 0.0),
        # Start of the server; the identifier may be the same as before it.
        started_at_ms=optional(spec, "born", int, 0),
    )


def _config(spec: Mapping[str, Any]) -> RoutingConfig:
    services = [_policy(row) for row in rows(spec.get("Services"))]
    return RoutingConfig(
        version=_version(spec),
        routes=tuple(_route(row) for row in rows(spec.get("Routes"))),
        services={policy.service: policy for policy in services},
        limits=_limits(optional(spec, "Limits", dict, {})),
    )


def _version(spec: Mapping[str, Any]) -> Version:
    text = field(spec, "Version", str)
    try:
        version = Version(int(text, 16))
    except ValueError as error:
        raise DocumentError(f"Version {shown(text)} is no hexadecimal number") from error
    if not 0 <= version <= MAX_INTEGER:
        raise DocumentError(f"Version {shown(text)} is negative or too large")
    return version


def _policy(row: Mapping[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        service=ServiceId(field(row, "Name", str)),
        health_path=optional(row, "HealthPath", str, "/"),
        max_connections=optional(row, "MaxConnections", int, 100),
        # How long a server is cold after its start.
        warmup_s=duration(row, "Warmup", 0.0),
        # Requests per second that a cold server tolerates.
        warmup_rate=number(row, "WarmupPerS", 0.0),
    )


def _route(row: Mapping[str, Any]) -> Route:
    kind = field(row, "RouteType", str)
    regions = optional(row, "AllowedRegions", list, [])
    return Route(
        route=RouteId(field(row, "Name", str)),
        host=field(row, "Host", str).lower(),
        path_prefix=field(row, "PathPrefix", str),
        # Types that are not known are treated as not repeatable.
        idempotent=kind in IDEMPOTENT_TYPES,
        bulk=kind == BULK_TYPE,
        # Longest time for which a client is kept waiting.
        timeout_s=duration(row, "Timeout", DEFAULT_TIMEOUT_S) or DEFAULT_TIMEOUT_S,
        # Latency within which a response is of full use.
        target_latency_s=duration(row, "TargetLatency", DEFAULT_TARGET_S) or DEFAULT_TARGET_S,
        priority=int(number(row, "Priority", 0)),
        # Servers to which one attempt of a client may be sent.
        max_attempts=max(1, int(number(row, "MaxAttempts", 1))),
        affinity=optional(row, "Affinity", bool, False),
        regions=frozenset(RegionId(str(region)) for region in regions),
        services=_services(row),
    )


def _services(row: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    parts = row.get("WeightedServices")
    if not parts:
        return (WeightedService(service=ServiceId(field(row, "Service", str)), weight=1.0),)
    if not isinstance(parts, list) or not all(isinstance(part, Mapping) for part in parts):
        raise DocumentError("WeightedServices is no list of objects")
    found = tuple(
        WeightedService(
            service=ServiceId(field(part, "Service", str)), weight=number(part, "Weight", 0.0)
        )
        for part in parts
    )
    kept = tuple(part for part in found if part.weight > 0)
    if not kept:
        raise DocumentError("WeightedServices has no weight")
    return kept


def _limits(limits: Mapping[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=optional(limits, "MaxHeaderBytes", int, default.header_bytes),
        body_bytes=optional(limits, "MaxBodyBytes", int, default.body_bytes),
        header_timeout_s=duration(limits, "HeaderTimeout", default.header_timeout_s),
        idle_timeout_s=duration(limits, "IdleTimeout", default.idle_timeout_s),
    )

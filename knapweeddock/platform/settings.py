"""The settings file that the platform writes for a process."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.settings import GatewayLimits, GatewaySettings, StoreSettings
from knapweeddock.ids import FailureDomainId, RegionId, VmId
from knapweeddock.platform.values import (
    DocumentError,
    address,
    duration,
    endpoint,
    field,
    number,
    optional,
)

log = structlog.get_logger(__name__)

SETTINGS_VARIABLE = "KNAPWEEDDOCK_BOOT"
"""Environment variable with the path of the settings file."""

HEARTBEATS_PER_LEASE = 3
"""Heartbeat intervals after which the store removes the entry of a silent server."""

METRICS_PORT = 9464
"""Port for readers of metrics; ``deploy/system.toml`` names the same."""


def load(path: Path) -> GatewaySettings:
    """Read a settings file.

    Raises:
        ConfigError: The file cannot be read or lacks a field.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}", code=ResultCode.UNREADABLE) from error
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: {error}", code=ResultCode.SYNTAX) from error
    try:
        return decode(document)
    except DocumentError as error:
        raise ConfigError(f"{path}: {error}", code=error.code) from error


def decode(document: Mapping[str, Any]) -> GatewaySettings:
    """Translate the fields of a settings file.

    Raises:
        DocumentError: A field is missing or of another type.
    """
    listen = field(document, "Listen", dict)
    first_port, last_port = _internal_ports(document)
    zones = field(document, "Zones", dict)
    zone = FailureDomainId(field(document, "Zone", str))
    regions = {FailureDomainId(name): RegionId(str(region)) for name, region in zones.items()}
    regions.setdefault(zone, RegionId(field(document, "Region", str)))
    platform = field(document, "Platform", dict)
    return GatewaySettings(
        vm=VmId(field(document, "NodeName", str)),
        failure_domain=zone,
        regions=regions,
        front=address(listen.get("Front")),
        ready=address(listen.get("Ready")),
        lookup=address(listen.get("Directory")),
        metrics=(field(document, "Ip", str), METRICS_PORT),
        peer=(field(document, "Ip", str), first_port),
        forwarding=_forwarding(field(document, "Ip", str), first_port, last_port),
        store=StoreSettings(
            address=endpoint(platform.get("Address")),
            history_retention_s=duration(platform, "History", 20.0),
        ),
        limits=_limits(document),
        link_mbps=number(optional(document, "Limits", dict, {}), "LinkMbps", 0.0),
        first_start=optional(document, "Bootstrap", bool, False),
    )


def _internal_ports(document: Mapping[str, Any]) -> tuple[int, int]:
    """Return the first and the last port that is free for traffic between gateways."""
    ports = field(document, "InternalPorts", list)
    if not ports or not all(isinstance(port, int) for port in ports):
        raise DocumentError(f"InternalPorts is {ports!r}")
    return ports[0], ports[-1]


def _forwarding(ip: str, first_port: int, last_port: int) -> Address | None:
    if first_port == last_port:
        log.warning("no port for forwarded requests", port=first_port)
        return None
    return ip, first_port + 1


def _limits(document: Mapping[str, Any]) -> GatewayLimits:
    bounds = optional(document, "Bounds", dict, {})
    default = GatewayLimits()
    heartbeat_interval_s = duration(
        document, "HeartbeatInterval", default.registration_lease_s / HEARTBEATS_PER_LEASE
    )
    return GatewayLimits(
        retry_ratio=number(bounds, "RetryBudgetRatio", default.retry_ratio),
        retry_allowance=number(bounds, "RetryBudgetSlack", default.retry_allowance),
        retry_window_s=duration(bounds, "BudgetWindow", default.retry_window_s),
        # Factor and addition to the rate that a cold server tolerates.
        warmup_rate_factor=number(bounds, "ColdOver", default.warmup_rate_factor),
        warmup_extra_per_s=number(bounds, "ColdSlack", default.warmup_extra_per_s),
        max_lookup_ttl_s=duration(bounds, "ttl_max", default.max_lookup_ttl_s),
        shutdown_timeout_s=duration(bounds, "Grace", default.shutdown_timeout_s),
        # A machine counts as undisturbed after this time, the store's silence included.
        outage_detection_s=duration(bounds, "StableWindow", default.outage_detection_s),
        max_region_shift=number(bounds, "ShiftMost", default.max_region_shift),
        registration_lease_s=HEARTBEATS_PER_LEASE * heartbeat_interval_s,
    )

"""Messages by which gateways tell each other that they live and what their clients ask for."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from knapweeddock.gateway.placement.spillover import RegionShares
from knapweeddock.ids import Incarnation, RegionId, ServiceId, VmId

HEARTBEAT_INTERVAL_S = 0.7
"""Interval of heartbeats in seconds."""

HEARTBEAT_TIMEOUT_S = 2.4
"""Time in seconds without heartbeats after which a gateway no longer counts as alive
and is no longer returned to clients."""


class GatewayPhase(Enum):
    """Whether a gateway accepts new clients."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A gateway that is alive.

    Attributes:
        vm: Its VM.
        incarnation: Identifier of this start of the gateway.
        phase: Whether it accepts new clients.
        region: Its region.
        reaches_servers: Whether it reaches servers, as far as it knows.
    """

    vm: VmId
    incarnation: Incarnation
    phase: GatewayPhase
    region: RegionId
    reaches_servers: bool = True


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="heartbeat"):
    """State that a gateway reports to the others.

    Attributes:
        member: The sender.
        work: Offered load: average number of slots that its clients' requests keep
            busy, by service.
        objects: Number of objects that its clients' requests concern, by service.
        shares: Fraction of its requests that runs in each region, by service.
    """

    member: Member
    work: dict[ServiceId, float] = {}
    objects: dict[ServiceId, int] = {}
    shares: dict[ServiceId, RegionShares] = {}


class RegionDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the clients of one region ask for.

    Attributes:
        work: Offered load of all gateways of the region, by service.
        objects: Number of objects that the requests concern, by service.
        shares: Mean share of the requests that runs in each region, by service;
            gateways without traffic do not count.
    """

    work: dict[ServiceId, float] = {}
    objects: dict[ServiceId, int] = {}
    shares: dict[ServiceId, RegionShares] = {}


class RegionSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="summary"):
    """State of one region, which its relays report to the other regions.

    Attributes:
        region: The region.
        demand: What its clients ask for.
        members: Some of its gateways.
    """

    region: RegionId
    demand: RegionDemand
    members: list[Member]


def summarize(heartbeats: Iterable[Heartbeat], *, expected: int) -> RegionDemand:
    """Return the demand of a region from the heartbeats of some of its gateways.

    Each gateway sees most of its region's objects, so the largest reported number is the
    best estimate.

    Args:
        heartbeats: Heartbeats of different gateways.
        expected: Number of gateways of the region. Those that are missing are assumed to
            have the mean load of the others.
    """
    heartbeats = list(heartbeats)
    factor = max(1.0, expected / max(1, len(heartbeats)))
    work: dict[ServiceId, float] = {}
    objects: dict[ServiceId, int] = {}
    for heartbeat in heartbeats:
        for service, load in heartbeat.work.items():
            work[service] = work.get(service, 0.0) + load * factor
        for service, count in heartbeat.objects.items():
            objects[service] = max(objects.get(service, 0), count)
    return RegionDemand(
        work={service: round(load, 2) for service, load in work.items()},
        objects=objects,
        shares={service: _mean_shares(service, heartbeats) for service in work},
    )


def _mean_shares(service: ServiceId, heartbeats: list[Heartbeat]) -> RegionShares:
    reported = [
        heartbeat.shares[service]
        for heartbeat in heartbeats
        if service in heartbeat.shares and heartbeat.work.get(service)
    ]
    mean: RegionShares = {}
    for shares in reported:
        for region, share in shares.items():
            mean[region] = mean.get(region, 0.0) + share / len(reported)
    return {region: round(share, 3) for region, share in mean.items()}

"""Entries with which backend servers and gateways are registered in the store."""

from dataclasses import dataclass
from enum import Enum

from knapweeddock.ids import (
    FailureDomainId,
    Incarnation,
    RegionId,
    RequestDigest,
    ServerId,
    ServiceId,
    VmId,
)

Address = tuple[str, int]
"""Host and port."""


class ServerPhase(Enum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself.

    Attributes:
        server: Identifier of the server.
        service: Service that it runs.
        address: Address of its HTTP endpoint.
        failure_domain: Failure domain that it runs in.
        region: Region of that failure domain.
        slots: Number of requests that it runs at the same time.
        phase: Whether it accepts new requests.
        warmup_left_s: Remaining warm-up time in seconds when the entry was written;
            the server is slow until it is over.
        started_at_ms: Wall-clock time of its start in ms, 0 when unknown; another
            value under the same identifier means that it has restarted.
    """

    server: ServerId
    service: ServiceId
    address: Address
    failure_domain: FailureDomainId
    region: RegionId
    slots: int
    phase: ServerPhase = ServerPhase.READY
    warmup_left_s: float = 0.0
    started_at_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptEnd:
    """A server that ended while it ran a request.

    Attributes:
        server: The server.
        ended_at_ms: Wall-clock time in ms; clocks of VMs may differ.
    """

    server: ServerId
    ended_at_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptSuspect:
    """A refused request, as a gateway keeps it in its registration.

    Attributes:
        digest: Digest of the request.
        ends: Servers that ended under it.
    """

    digest: RequestDigest
    ends: tuple[KeptEnd, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayEntry:
    """A gateway as it registered itself.

    Attributes:
        vm: VM that it runs on.
        incarnation: Identifier of this start of the process.
        failure_domain: Failure domain that it runs in.
        region: Region of that failure domain.
        front_address: Address for connections of clients.
        peer_address: Address for heartbeats (UDP) and relay subscribers (TCP).
        forwarding_address: Address for requests that other gateways forward; None if it takes
            none.
        link_mbps: Bandwidth of its VM's network link in Mbit/s; 0 if it is not known.
        suspects: Requests that all gateways refuse, kept here for those that start later or
            reach the store only.
    """

    vm: VmId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    region: RegionId
    front_address: Address
    peer_address: Address
    forwarding_address: Address | None = None
    link_mbps: float = 0.0
    suspects: tuple[KeptSuspect, ...] = ()

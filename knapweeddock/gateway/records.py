"""What the store says about backend servers and gateways."""

from dataclasses import dataclass
from enum import Enum

from knapweeddock.ids import FailureDomainId, Incarnation, RegionId, ServerId, ServiceId, VmId

Address = tuple[str, int]
"""Host and port."""


class ServerPhase(Enum):
    """Whether a server takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself.

    Attributes:
        server: Identifier of the server.
        service: Service that it runs.
        address: Its HTTP endpoint.
        failure_domain: Where it runs.
        region: Region of that failure domain.
        slots: Requests that it runs at a time.
        phase: Whether it takes new requests.
        warmup_left_s: Seconds for which it stays slow, as of the entry's writing.
        started_at_ms: Wall time of its start in ms, 0 when unknown; another
            value under the same identifier is another start.
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
class GatewayEntry:
    """A gateway as it registered itself.

    Attributes:
        vm: VM that it runs on.
        incarnation: Identifier of this start of the process.
        failure_domain: Where it runs.
        region: Region of that failure domain.
        front_address: Where clients connect.
        peer_address: Where it receives heartbeats and subscribers.
    """

    vm: VmId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    region: RegionId
    front_address: Address
    peer_address: Address

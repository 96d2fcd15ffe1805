"""Settings of a gateway process."""

from dataclasses import dataclass, field

from knapweeddock.gateway.records import Address
from knapweeddock.ids import FailureDomainId, RegionId, VmId


@dataclass(frozen=True, kw_only=True)
class GatewayBounds:
    """Bounds that operators set on the whole deployment.

    Attributes:
        retry_ratio: Retries per request, summed over all gateways.
        retry_slack: Further retries per ``retry_window_s``, summed over all gateways.
        retry_window_s: Window of the retry budget, in seconds.
        warmup_excess: Factor on a cold server's rate up to which it may be loaded.
        warmup_slack: Requests per second beyond that.
        lookup_lifetime_s: Longest time for which callers use a look-up answer.
        stop_limit_s: Time between a stop signal and the kill that follows it.
        store_silence_s: Time within which a silent store must be noticed.
        region_shift: Largest part of a region's requests that may change the
            region in which they run within two seconds.
        server_lapse_s: Time after an outage of the store in which registrations
            of servers that lapsed meanwhile come back.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    warmup_excess: float = 1.0
    warmup_slack: float = 0.0
    lookup_lifetime_s: float = 5.0
    stop_limit_s: float = 10.0
    store_silence_s: float = 3.0
    region_shift: float = 0.15
    server_lapse_s: float = 2.0


@dataclass(frozen=True, kw_only=True)
class StoreLimits:
    """Where the store is and what it bears.

    Attributes:
        address: Its HTTP endpoint.
        history_s: Time in seconds for which it keeps changes for watches.
    """

    address: Address
    history_s: float = 20.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        vm: Name of the VM.
        failure_domain: Where it runs.
        regions: Region of each failure domain.
        front: Address for clients' requests.
        ready: Address for readiness checks.
        lookup: Address for look-ups.
        metrics: Address for readers of metrics.
        peer: Address for heartbeats of other gateways.
        store: The platform's store.
        bounds: Bounds on the deployment.
    """

    vm: VmId
    failure_domain: FailureDomainId
    regions: dict[FailureDomainId, RegionId]
    front: Address
    ready: Address
    lookup: Address
    metrics: Address
    peer: Address
    store: StoreLimits
    bounds: GatewayBounds = field(default_factory=GatewayBounds)

    @property
    def region(self) -> RegionId:
        """Region of the VM."""
        return self.regions[self.failure_domain]

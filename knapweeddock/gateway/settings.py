"""Settings of a gateway process."""

from dataclasses import dataclass, field

from knapweeddock.gateway.records import Address
from knapweeddock.ids import FailureDomainId, RegionId, VmId


@dataclass(frozen=True, kw_only=True)
class GatewayLimits:
    """Limits and timings that operators set for the whole deployment.

    Attributes:
        retry_ratio: Retries allowed per request, summed over all gateways.
        retry_allowance: Further retries allowed per ``retry_window_s``, summed over all
            gateways.
        retry_window_s: Window of the retry budget, in seconds.
        warmup_rate_factor: Multiple of a service's warm-up rate at which a cold server
            may get requests from all gateways together.
        warmup_extra_per_s: Requests per second that a cold server may get beyond that.
        max_lookup_ttl_s: Longest time in seconds for which callers cache a look-up
            response.
        shutdown_timeout_s: Time in seconds between the signal to stop and the kill that
            follows it.
        outage_detection_s: Time in seconds within which the gateway must notice that
            the store does not respond.
        max_region_shift: Largest fraction of a region's requests that may move to
            another region within two seconds.
        reregistration_s: Time in seconds after an outage of the store in which servers
            renew registrations that expired during the outage.
        registration_lease_s: Time in seconds after which the store removes the
            registration of a server that does not renew it.
    """

    retry_ratio: float = 0.1
    retry_allowance: float = 10.0
    retry_window_s: float = 10.0
    warmup_rate_factor: float = 1.0
    warmup_extra_per_s: float = 0.0
    max_lookup_ttl_s: float = 5.0
    shutdown_timeout_s: float = 10.0
    outage_detection_s: float = 3.0
    max_region_shift: float = 0.15
    reregistration_s: float = 2.0
    registration_lease_s: float = 4.5

    @property
    def return_hold_s(self) -> float:
        """Time in seconds after which an older copy of the store has been brought up to date.

        By then, servers that live have renewed their registrations, and those of the others
        have expired.
        """
        return self.reregistration_s + self.registration_lease_s


@dataclass(frozen=True, kw_only=True)
class StoreSettings:
    """Settings of the platform's store.

    Attributes:
        address: Address of the store's HTTP API.
        history_retention_s: Time in seconds for which the store keeps changes for watches.
    """

    address: Address
    history_retention_s: float = 20.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        vm: Name of the VM.
        failure_domain: Failure domain of the VM.
        regions: Region of each failure domain.
        front: Address that listens for clients' requests.
        ready: Address that listens for readiness checks.
        lookup: Address that listens for look-ups.
        metrics: Address that listens for scrapes of the metrics.
        peer: Address that listens for other gateways: heartbeats over UDP, and
            subscriptions to the store's changes over TCP.
        forwarding: Address that listens for requests which other gateways forward; None if
            there is no port for it.
        store: Settings of the platform's store.
        limits: Limits of the deployment.
        link_mbps: Bandwidth of the VM's network link in Mbit/s; 0 if it is not known.
        first_start: Whether the whole deployment starts for the first time.
    """

    vm: VmId
    failure_domain: FailureDomainId
    regions: dict[FailureDomainId, RegionId]
    front: Address
    ready: Address
    lookup: Address
    metrics: Address
    peer: Address
    store: StoreSettings
    forwarding: Address | None = None
    limits: GatewayLimits = field(default_factory=GatewayLimits)
    link_mbps: float = 0.0
    first_start: bool = False

    @property
    def region(self) -> RegionId:
        """Region of the VM."""
        return self.regions[self.failure_domain]

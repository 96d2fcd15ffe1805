"""The state of a deployment of gateways, as the store and the gateways' metrics show it."""

import asyncio
import re
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import aiohttp

from knapweeddock.codes import ResultCode
from knapweeddock.errors import PeerUnavailable, StoreError
from knapweeddock.gateway.records import GatewayEntry, ServerEntry, ServerPhase
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.storeclient import StoreClient, StoreObject, Topic
from knapweeddock.ids import FailureDomainId, ServiceId, Version, VmId
from knapweeddock.metrics import METRICS_PATH

TIMEOUT_S = 2.0
MAX_METRICS_BYTES = 4_000_000

MAX_CONCURRENT_READS = 64
"""Gateways whose metrics are read at the same time."""

VERSION_METRIC = "knapweed_config_version"
STORE_AGE_METRIC = "knapweed_store_age_seconds"


@dataclass(frozen=True, kw_only=True)
class GatewayStatus:
    """A registered gateway.

    Attributes:
        vm: VM that it runs on.
        failure_domain: Where it runs.
        version: Configuration in force on it, None when it does not answer.
        store_age_s: Seconds since its view of the store was known to be complete.
        error: Why its metrics could not be read.
    """

    vm: VmId
    failure_domain: FailureDomainId
    version: Version | None = None
    store_age_s: float | None = None
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class ServiceStatus:
    """The registered servers of a service in one failure domain.

    Attributes:
        service: The service.
        failure_domain: Where the servers run.
        ready: Servers that take new requests.
        draining: Servers that are leaving.
        slots: Slots of the ready servers.
    """

    service: ServiceId
    failure_domain: FailureDomainId
    ready: int
    draining: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class FleetReport:
    """State of the configuration, the servers and the gateways.

    Attributes:
        code: ``OK``, or why a part is missing.
        version: Version that the store holds, None when it is unavailable.
        services: Servers by service and failure domain.
        evacuated: Failure domains that are evacuated.
        gateways: Registered gateways.
        behind: Gateways that answer with an older version.
        errors: What could not be read.
    """

    code: ResultCode
    version: Version | None = None
    services: list[ServiceStatus] = field(default_factory=list)
    evacuated: list[FailureDomainId] = field(default_factory=list)
    gateways: list[GatewayStatus] = field(default_factory=list)
    behind: list[GatewayStatus] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


class MetricsSource(ABC):
    """Where the metrics of gateways are read."""

    @abstractmethod
    async def read(self, entry: GatewayEntry) -> str:
        """Return the metrics of a gateway in the text format.

        Raises:
            PeerUnavailable: It does not answer.
        """


class HttpMetricsSource(MetricsSource):
    """Reads the metrics addresses, which have the same port on every VM."""

    def __init__(self, *, session: aiohttp.ClientSession, port: int) -> None:
        self.session = session
        self.port = port

    async def read(self, entry: GatewayEntry) -> str:
        """Return the metrics of a gateway."""
        url = f"http://{entry.front_address[0]}:{self.port}{METRICS_PATH}"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    raise PeerUnavailable(f"{url}: status {response.status}")
                content = await response.content.read(MAX_METRICS_BYTES)
                while not response.content.at_eof() and len(content) < MAX_METRICS_BYTES:
                    content += await response.content.read(MAX_METRICS_BYTES)
                return content.decode(errors="replace")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnavailable(f"{url}: {str(error) or 'no answer in time'}") from error


async def fleet_status(store_client: StoreClient, metrics: MetricsSource) -> FleetReport:
    """Return the state of a deployment; what cannot be read is named in ``errors``."""
    found: dict[Topic, Mapping[str, StoreObject]] = {}
    errors: list[str] = []
    code = ResultCode.OK
    for topic in Topic:
        try:
            found[topic] = (await store_client.list_objects(topic)).items
        except StoreError as error:
            code = code or error.code
            errors.append(f"{topic.value}: {error}")
    gateways = await _gateway_statuses(found.get(Topic.GATEWAYS, {}).values(), metrics)
    version = newest_version(found.get(Topic.CONFIGURATION, {}).values())
    return FleetReport(
        code=code,
        version=version,
        services=service_statuses(found.get(Topic.SERVERS, {}).values()),
        evacuated=sorted(found.get(Topic.EVACUATIONS, {}).values()),
        gateways=gateways,
        behind=gateways_behind(gateways, version),
        errors=errors,
    )


def newest_version(configurations: Iterable[RoutingConfig]) -> Version | None:
    """Return the version of the configuration in the store, None without one."""
    return max((config.version for config in configurations), default=None)


def gateways_behind(
    gateways: Iterable[GatewayStatus], version: Version | None
) -> list[GatewayStatus]:
    """Return the gateways that answer with an older version than ``version``."""
    if version is None:
        return []
    return [each for each in gateways if each.version is not None and each.version < version]


def service_statuses(servers: Iterable[ServerEntry]) -> list[ServiceStatus]:
    """Count servers by service and failure domain."""
    groups: dict[tuple[ServiceId, FailureDomainId], list[ServerEntry]] = defaultdict(list)
    for entry in servers:
        groups[entry.service, entry.failure_domain].append(entry)
    statuses = []
    for (service, domain), entries in sorted(groups.items()):
        ready = [entry for entry in entries if entry.phase is ServerPhase.READY]
        statuses.append(
            ServiceStatus(
                service=service,
                failure_domain=domain,
                ready=len(ready),
                draining=len(entries) - len(ready),
                slots=sum(entry.slots for entry in ready),
            )
        )
    return statuses


async def _gateway_statuses(
    entries: Iterable[GatewayEntry], metrics: MetricsSource
) -> list[GatewayStatus]:
    limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read(entry: GatewayEntry) -> GatewayStatus:
        async with limit:
            return await _gateway_status(entry, metrics)

    found = await asyncio.gather(*(read(entry) for entry in entries))
    return sorted(found, key=lambda status: (status.failure_domain, status.vm))


async def _gateway_status(entry: GatewayEntry, metrics: MetricsSource) -> GatewayStatus:
    try:
        text = await metrics.read(entry)
    except PeerUnavailable as error:
        return GatewayStatus(vm=entry.vm, failure_domain=entry.failure_domain, error=str(error))
    version = gauge(text, VERSION_METRIC)
    return GatewayStatus(
        vm=entry.vm,
        failure_domain=entry.failure_domain,
        version=None if version is None else Version(int(version)),
        store_age_s=gauge(text, STORE_AGE_METRIC),
        error="" if version is not None else f"no {VERSION_METRIC} in its metrics",
    )


def gauge(text: str, name: str) -> float | None:
    """Return the first value of a gauge in Prometheus' text format, or None."""
    match = re.search(rf"^{re.escape(name)}(?:{{[^}}]*}})? (\S+)$", text, re.MULTILINE)
    if match is None:
        return None
    try:
        return float(match[1])
    except ValueError:
        return None

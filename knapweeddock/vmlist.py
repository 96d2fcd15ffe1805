"""The platform's list of VMs, which lags behind reality."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import msgspec

from knapweeddock.errors import StoreUnavailable
from knapweeddock.ids import FailureDomainId
from knapweeddock.platformhttp import (
    DEFAULT_CONNECT_TIMEOUT_S,
    DEFAULT_TOTAL_TIMEOUT_S,
    PlatformHttp,
    endpoint_of,
)


class VmKind(Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    SERVER = "server"


class VmState(Enum):
    """Whether the platform is about to take a VM away."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ListedVm:
    """One VM of the list.

    Attributes:
        id: VM id of an entry VM, server id of a backend server.
        kind: What runs on the VM.
        state: Whether the VM is leaving.
        failure_domain: Failure domain of the VM.
        address: Address of the VM.
    """

    id: str
    kind: VmKind
    state: VmState
    failure_domain: FailureDomainId
    address: str


@dataclass(frozen=True, kw_only=True)
class VmListResponse:
    """Body of ``GET /v1/vms``."""

    vms: list[ListedVm]


class VmList(ABC):
    """Access to the platform's list of VMs."""

    @abstractmethod
    async def fetch(self) -> list[ListedVm]:
        """Return all VMs that the platform lists.

        Raises:
            StoreUnavailable: The list could not be read.
            RateLimited: The call was over the rate limit.
        """

    async def close(self) -> None:  # noqa: B027 - only some lists hold connections
        """Release connections."""


class MemoryVmList(VmList):
    """A list in memory for tests.

    Attributes:
        vms: What ``fetch`` returns.
        down: Whether ``fetch`` fails.
    """

    def __init__(self, *, vms: list[ListedVm] | None = None) -> None:
        self.vms = list(vms or [])
        self.down = False

    async def fetch(self) -> list[ListedVm]:
        """Return the VMs."""
        if self.down:
            raise StoreUnavailable("the VM list is down")
        return list(self.vms)


class HttpVmList(VmList):
    """The list over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
    ) -> None:
        self.http = PlatformHttp(
            endpoint=endpoint_of(url),
            connect_timeout_s=connect_timeout_s,
            total_timeout_s=total_timeout_s,
        )

    async def fetch(self) -> list[ListedVm]:
        """Return all VMs that the platform lists."""
        response = await self.http.read("/v1/vms")
        if response.status != 200:
            raise StoreUnavailable(f"GET /v1/vms: the platform answered {response.status}")
        try:
            return msgspec.json.decode(response.body, type=VmListResponse).vms
        except msgspec.MsgspecError as error:
            raise StoreUnavailable(f"GET /v1/vms: malformed answer: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

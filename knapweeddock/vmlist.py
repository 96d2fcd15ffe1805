"""Access to the platform's VM list, which lags behind the actual VMs."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import msgspec

from knapweeddock.errors import StoreUnavailable
from knapweeddock.ids import FailureDomainId
from knapweeddock.platformhttp import (
    DEFAULT_CONNECT_TIMEOUT_S,
    DEFAULT_TOTAL_TIMEOUT_S,
    PlatformHttpClient,
    parse_endpoint,
)


class VmKind(Enum):
    """Role of a VM: entry or backend server."""

    ENTRY = "entry"
    SERVER = "server"


class VmState(Enum):
    """Whether the platform is about to remove a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ListedVm:
    """A VM of the VM list.

    Attributes:
        id: VM id of an entry VM, server id of a backend server.
        kind: Role of the VM.
        state: Whether the platform is about to remove the VM.
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
    """Source of the VM list."""

    @abstractmethod
    async def fetch(self) -> list[ListedVm]:
        """Return all VMs that the platform lists.

        Raises:
            StoreUnavailable: The list could not be read.
            RateLimited: The platform's rate limit was exceeded.
        """

    async def close(self) -> None:  # noqa: B027 - not every source has connections
        """Close all connections."""


class InMemoryVmList(VmList):
    """A VM list in memory, for tests.

    Attributes:
        vms: The VMs that ``fetch`` returns.
        down: Whether ``fetch`` raises ``StoreUnavailable``.
    """

    def __init__(self, *, vms: list[ListedVm] | None = None) -> None:
        self.vms = list(vms or [])
        self.down = False

    async def fetch(self) -> list[ListedVm]:
        """Return ``vms``."""
        if self.down:
            raise StoreUnavailable("the VM list is down")
        return list(self.vms)


class HttpVmList(VmList):
    """The VM list of the platform, read over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
    ) -> None:
        self.http = PlatformHttpClient(
            endpoint=parse_endpoint(url),
            connect_timeout_s=connect_timeout_s,
            total_timeout_s=total_timeout_s,
        )

    async def fetch(self) -> list[ListedVm]:
        """Return all VMs that the platform lists."""
        response = await self.http.read("/v1/vms")
        if response.status != 200:
            raise StoreUnavailable(f"GET /v1/vms: the platform returned {response.status}")
        try:
            return msgspec.json.decode(response.body, type=VmListResponse).vms
        except msgspec.MsgspecError as error:
            raise StoreUnavailable(f"GET /v1/vms: malformed response: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

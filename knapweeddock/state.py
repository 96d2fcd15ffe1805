"""State of the system as known to a process: configuration, members and leaving servers."""

from dataclasses import dataclass, field
from enum import Enum

from knapweeddock.ids import FailureDomainId, Incarnation, ServerId, SiteId, Version, ViewId, VmId
from knapweeddock.model import Config

NO_VERSION = Version(0)
"""Configuration version of a process that has no configuration yet."""


class MemberState(Enum):
    """State of the entry process of a VM."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True)
class Member:
    """The entry process of a VM, as published by the VM's agent.

    Attributes:
        vm: The VM.
        failure_domain: Failure domain of the VM.
        incarnation: Random id of the entry process that changes at every start.
        state: State of the entry process.
        public_address: ``host:port`` for callers.
        internal_address: ``host:port`` for requests from other entries.
        lending_address: ``host:port`` of the lending service.
        lookup_address: ``host:port`` of the VM's look-up daemon.
        agent_address: ``host:port`` of the VM's agent.
        settled_views: The newest view of each local site in which the entry is
            settled: it uses no slot in a way that the view does not allow.
        load: Fraction of the entry's slots that is in use, from 0 to 1.
        config_version: Version of the configuration in force in the entry.
        suspected: Whether heartbeats are overdue or the VM list reports the VM as leaving.
        down: Whether there is evidence that this incarnation has terminated.
    """

    vm: VmId
    failure_domain: FailureDomainId
    incarnation: Incarnation
    state: MemberState
    public_address: str
    internal_address: str
    lending_address: str
    lookup_address: str = ""
    agent_address: str = ""
    settled_views: dict[SiteId, ViewId] = field(default_factory=dict)
    load: float = 0.0
    config_version: Version = NO_VERSION
    suspected: bool = False
    down: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to this entry."""
        return self.state is MemberState.SERVING and not self.down


@dataclass(frozen=True, kw_only=True)
class NodeState:
    """A consistent snapshot of the state that an agent sends to local processes.

    Attributes:
        config_version: Version of ``config``.
        config: The configuration.
        members: Entries by VM, including those that are down.
        leaving_servers: Backend servers that the VM list reports as leaving.
    """

    config_version: Version
    config: Config
    members: dict[VmId, Member] = field(default_factory=dict)
    leaving_servers: frozenset[ServerId] = frozenset()

"""What a gateway reads from and writes into the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from knapweeddock.gateway.records import GatewayEntry, ServerEntry
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.ids import FailureDomainId, Revision, VmId

Item = RoutingConfig | ServerEntry | GatewayEntry | FailureDomainId
"""A decoded object of the store."""


class Topic(Enum):
    """Groups of objects that change independently of each other."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    EVACUATIONS = "evacuations"
    GATEWAYS = "gateways"


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """All objects of a topic.

    Attributes:
        items: Objects by name; those that cannot be decoded are left out.
        revision: Revision of the store from which changes follow.
    """

    items: dict[str, Item]
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One changed object.

    Attributes:
        name: Name of the object.
        item: The object; None when it was removed or cannot be decoded.
    """

    name: str
    item: Item | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """What changed since a revision.

    Attributes:
        changes: Changed objects, oldest first; empty when the wait ended.
        revision: Revision from which further changes follow.
    """

    changes: list[Change]
    revision: Revision


class Catalog(ABC):
    """Access to the store.

    Every method raises ``StoreUnavailable`` when there was no answer and
    ``RateLimited`` when the call was over the store's rate.
    """

    @abstractmethod
    async def snapshot(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``."""

    @abstractmethod
    async def changes(self, topic: Topic, revision: Revision, wait_s: float) -> Changes:
        """Wait for changes of ``topic`` after ``revision``.

        Raises:
            HistoryGone: The store no longer knows them.
        """

    @abstractmethod
    async def ping(self) -> None:
        """Find out whether the store answers."""

    @abstractmethod
    async def register(self, entry: GatewayEntry) -> None:
        """Write the entry of this gateway.

        Raises:
            OutcomeUnknown: The answer was lost; the entry may be written.
        """

    @abstractmethod
    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway.

        Raises:
            OutcomeUnknown: The answer was lost; the entry may be removed.
        """

    async def close(self) -> None:  # noqa: B027 - only some catalogs hold connections
        """Release connections."""

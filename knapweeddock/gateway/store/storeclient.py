"""Interface to the platform's store."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import structlog

from knapweeddock.gateway.records import GatewayEntry, ServerEntry
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.storeposition import UNKNOWN_ERA, EraTracker, StorePosition
from knapweeddock.ids import Era, FailureDomainId, VmId

log = structlog.get_logger(__name__)

StoreObject = RoutingConfig | ServerEntry | GatewayEntry | FailureDomainId
"""A decoded object of the store."""


class Topic(Enum):
    """Kinds of objects, each of which is listed and watched separately."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    EVACUATIONS = "evacuations"
    GATEWAYS = "gateways"


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """All objects of a topic.

    Attributes:
        items: Objects by name; those that cannot be decoded are left out.
        position: Position of the store from which the next watch starts.
    """

    items: dict[str, StoreObject]
    position: StorePosition


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One changed object.

    Attributes:
        name: Name of the object.
        item: The object; None when it was removed or cannot be decoded.
    """

    name: str
    item: StoreObject | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeBatch:
    """Result of a watch: the changes since a revision.

    Attributes:
        changes: Changed objects, oldest first; empty when the watch timed out.
        position: Position of the store from which the next watch starts.
    """

    changes: list[Change]
    position: StorePosition


class StoreClient(ABC):
    """Access to the store.

    Every method that calls the store raises ``StoreUnavailable`` when it did not respond
    and ``RateLimited`` when the call exceeded its rate limit. A response of an earlier
    era than the known one counts as missing.

    Attributes:
        calls: Number of calls, refused ones included.
        era_tracker: Era of the store, from all responses, refusals included.
        era_listeners: Functions that are called with each new era but the first.
    """

    calls: int = 0

    def __init__(self) -> None:
        self.era_tracker = EraTracker()
        self.era_listeners: list[Callable[[Era], None]] = []

    @property
    def era(self) -> Era:
        """Latest era of the store, ``UNKNOWN_ERA`` if it has not stated one."""
        return self.era_tracker.era

    def record_era(self, stated: Era) -> None:
        """Record the era that a response states, and notify the listeners of a new one."""
        before = self.era
        if not self.era_tracker.observe(stated) or before == UNKNOWN_ERA:
            return
        log.warning("store returned from an older copy", era=stated, before=before)
        for listener in self.era_listeners:
            listener(stated)

    @abstractmethod
    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``."""

    @abstractmethod
    async def watch(
        self,
        topic: Topic,
        position: StorePosition,
        wait_s: float,
        *,
        answer_timeout_s: float | None = None,
    ) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``position``.

        Args:
            topic: The topic.
            position: Position up to which it is known.
            wait_s: Time in seconds after which the store responds without a change.
            answer_timeout_s: Time in seconds after ``wait_s`` within which the response must
                arrive; None for that of all calls.

        Raises:
            HistoryGone: The store no longer keeps the changes since ``position``.
            EraChanged: The store is in another era than ``position``.
        """

    @abstractmethod
    async def ping(self, timeout_s: float) -> None:
        """Check that the store responds within ``timeout_s`` seconds."""

    @abstractmethod
    async def register(self, entry: GatewayEntry, *, is_new: bool = False) -> None:
        """Write the entry of this gateway.

        Args:
            entry: The entry.
            is_new: Whether it probably does not exist yet, which saves a call.

        Raises:
            OutcomeUnknown: The response was lost; the entry may have been written.
        """

    @abstractmethod
    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway.

        Raises:
            OutcomeUnknown: The response was lost; the entry may have been removed.
        """

    async def close(self) -> None:  # noqa: B027 - only some clients hold connections
        """Release connections."""

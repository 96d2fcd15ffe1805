"""Interface to the platform's store, with an in-memory implementation for tests."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from knapweeddock.errors import HistoryGone, StoreUnavailable
from knapweeddock.gateway.records import GatewayEntry, ServerEntry
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.ids import FailureDomainId, Revision, VmId

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
        revision: Revision of the store from which the next watch starts.
    """

    items: dict[str, StoreObject]
    revision: Revision


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
        revision: Revision of the store from which the next watch starts.
    """

    changes: list[Change]
    revision: Revision


class StoreClient(ABC):
    """Access to the store.

    Every method that calls the store raises ``StoreUnavailable`` when it did not respond
    and ``RateLimited`` when the call exceeded its rate limit.

    Attributes:
        calls: Number of calls, refused ones included.
    """

    calls: int = 0

    @abstractmethod
    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``."""

    @abstractmethod
    async def watch(self, topic: Topic, revision: Revision, wait_s: float) -> ChangeBatch:
        """Wait up to ``wait_s`` seconds for changes of ``topic`` after ``revision``.

        Raises:
            HistoryGone: The store no longer keeps the changes since ``revision``.
        """

    @abstractmethod
    async def ping(self, timeout_s: float) -> None:
        """Check that the store responds within ``timeout_s`` seconds."""

    @abstractmethod
    async def register(self, entry: GatewayEntry) -> None:
        """Write the entry of this gateway.

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


class InMemoryStore(StoreClient):
    """A store in memory that can simulate faults.

    Attributes:
        down: Whether every call fails.
        watches_stalled: Whether watches report no changes.
        calls: Number of calls, failed ones included.
        objects: All objects by topic and name.
    """

    def __init__(self) -> None:
        self.down = False
        self.watches_stalled = False
        self.calls = 0
        self.objects: dict[Topic, dict[str, StoreObject]] = {topic: {} for topic in Topic}
        self._history: list[tuple[int, Topic, Change]] = []
        self._oldest_revision = 0
        self._revision = 1
        self._watch_breaks = 0
        self._changed = asyncio.Event()

    def put(self, topic: Topic, name: str, item: StoreObject) -> None:
        """Write an object."""
        self.objects[topic][name] = item
        self._record(topic, Change(name=name, item=item))

    def remove(self, topic: Topic, name: str) -> None:
        """Remove an object."""
        self.objects[topic].pop(name, None)
        self._record(topic, Change(name=name, item=None))

    def forget_history(self) -> None:
        """Drop all changes, so that watches from older revisions fail."""
        self._history.clear()
        self._oldest_revision = self._revision

    def break_watches(self) -> None:
        """Fail all watches that are waiting."""
        self._watch_breaks += 1
        self._notify()

    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``."""
        self._begin_call()
        return Snapshot(items=dict(self.objects[topic]), revision=Revision(self._revision))

    async def watch(self, topic: Topic, revision: Revision, wait_s: float) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``revision``."""
        self._begin_call()
        breaks = self._watch_breaks
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.watches_stalled or not self._changes_since(topic, revision):
                    await self._changed.wait()
                    if self.down or self._watch_breaks != breaks:
                        raise StoreUnavailable("the watch was interrupted")
        # Checked last, so that a waiting watch does not notice the loss of the history.
        if revision < self._oldest_revision:
            raise HistoryGone(f"history before revision {self._oldest_revision} is gone")
        return ChangeBatch(
            changes=self._changes_since(topic, revision), revision=Revision(self._revision)
        )

    async def ping(self, timeout_s: float) -> None:
        """Check that the store responds."""
        self._begin_call()

    async def register(self, entry: GatewayEntry) -> None:
        """Write the entry of a gateway."""
        self._begin_call()
        self.put(Topic.GATEWAYS, entry.vm, entry)

    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway."""
        self._begin_call()
        self.remove(Topic.GATEWAYS, vm)

    def _changes_since(self, topic: Topic, revision: Revision) -> list[Change]:
        return [
            change
            for changed_at, changed_topic, change in self._history
            if changed_at > revision and changed_topic is topic
        ]

    def _record(self, topic: Topic, change: Change) -> None:
        self._revision += 1
        self._history.append((self._revision, topic, change))
        self._notify()

    def _begin_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailable("the store is down")

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

"""A store in memory that can simulate the faults of the platform's store."""

import asyncio
import contextlib
from dataclasses import dataclass

from knapweeddock.errors import EraChanged, HistoryGone, StoreUnavailable
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.gateway.store.storeclient import (
    Change,
    ChangeBatch,
    Snapshot,
    StoreClient,
    StoreObject,
    Topic,
)
from knapweeddock.gateway.store.storeposition import StorePosition
from knapweeddock.ids import Era, Revision, VmId

FIRST_ERA = Era(1)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """A copy of the contents of a store.

    Attributes:
        objects: All objects by topic and name.
        history: Changes with their revisions, oldest first.
        revision: Revision of the contents.
    """

    objects: dict[Topic, dict[str, StoreObject]]
    history: list[tuple[int, Topic, Change]]
    revision: int


class StoreContents:
    """Objects, revisions and history of a store, which several clients share.

    Attributes:
        objects: All objects by topic and name.
        era: Number of the era, which each return from a copy raises by one.
        revision: Revision of the contents.
        oldest_revision: Oldest revision from which changes are kept.
        watch_breaks: Number of times that all waiting watches were interrupted.
    """

    def __init__(self) -> None:
        self.objects: dict[Topic, dict[str, StoreObject]] = {topic: {} for topic in Topic}
        self.era = FIRST_ERA
        self.revision = 1
        self.oldest_revision = 0
        self.watch_breaks = 0
        self._history: list[tuple[int, Topic, Change]] = []
        self._changed = asyncio.Event()

    @property
    def position(self) -> StorePosition:
        """Era and revision of the contents."""
        return StorePosition(era=self.era, revision=Revision(self.revision))

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
        self.oldest_revision = self.revision

    def break_watches(self) -> None:
        """Interrupt all watches that are waiting."""
        self.watch_breaks += 1
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(
            objects={topic: dict(items) for topic, items in self.objects.items()},
            history=list(self._history),
            revision=self.revision,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Replace the contents with an older copy, and begin a new era."""
        self.objects = {topic: dict(items) for topic, items in copy.objects.items()}
        self._history = list(copy.history)
        self.revision = copy.revision
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.era = Era(self.era + 1)
        self.break_watches()

    def changes_since(self, topic: Topic, revision: int) -> list[Change]:
        """Return the changes of ``topic`` after ``revision``, oldest first."""
        return [
            change
            for changed_at, changed_topic, change in self._history
            if changed_at > revision and changed_topic is topic
        ]

    def has_changes_since(self, revision: int) -> bool:
        """Whether the changes after ``revision`` are still known."""
        return self.oldest_revision <= revision <= self.revision

    async def wait_for_change(self) -> None:
        """Wait until an object changes or the watches are interrupted."""
        await self._changed.wait()

    def _record(self, topic: Topic, change: Change) -> None:
        self.revision += 1
        self._history.append((self.revision, topic, change))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class InMemoryStore(StoreClient):
    """A client of a store in memory.

    Attributes:
        contents: Contents of the store, which may be shared with other clients.
        down: Whether every call of this client fails.
        watches_stalled: Whether this client's watches report no changes.
        topics_losing_answers: Topics whose watches get no response.
        calls: Number of calls, failed ones included.
    """

    def __init__(self, *, contents: StoreContents | None = None) -> None:
        super().__init__()
        self.contents = contents or StoreContents()
        self.down = False
        self.watches_stalled = False
        self.topics_losing_answers: set[Topic] = set()
        self.calls = 0

    @property
    def objects(self) -> dict[Topic, dict[str, StoreObject]]:
        """All objects by topic and name."""
        return self.contents.objects

    def put(self, topic: Topic, name: str, item: StoreObject) -> None:
        """Write an object."""
        self.contents.put(topic, name, item)

    def remove(self, topic: Topic, name: str) -> None:
        """Remove an object."""
        self.contents.remove(topic, name)

    def forget_history(self) -> None:
        """Drop all changes, so that watches from older revisions fail."""
        self.contents.forget_history()

    def break_watches(self) -> None:
        """Interrupt all watches that are waiting."""
        self.contents.break_watches()

    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``."""
        self._begin_call()
        return Snapshot(items=dict(self.objects[topic]), position=self.contents.position)

    async def watch(
        self,
        topic: Topic,
        position: StorePosition,
        wait_s: float,
        *,
        answer_timeout_s: float | None = None,
    ) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``position``."""
        self._begin_call()
        if topic in self.topics_losing_answers:
            await asyncio.sleep(wait_s + (answer_timeout_s or 0.0))
            raise StoreUnavailable("the answer was lost")
        breaks = self.contents.watch_breaks
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._must_wait(topic, position):
                    await self.contents.wait_for_change()
                    if self.down or self.contents.watch_breaks != breaks:
                        raise StoreUnavailable("the watch was interrupted")
        self.record_era(self.contents.era)
        if position.era != self.contents.era:
            raise EraChanged(f"the store is in era {self.contents.era}")
        # Checked last, so that a waiting watch does not notice the loss of the history.
        if not self.contents.has_changes_since(position.revision):
            raise HistoryGone(f"history since revision {position.revision} is gone")
        return ChangeBatch(
            changes=self.contents.changes_since(topic, position.revision),
            position=self.contents.position,
        )

    async def ping(self, timeout_s: float) -> None:
        """Check that the store responds."""
        self._begin_call()

    async def register(self, entry: GatewayEntry, *, is_new: bool = False) -> None:
        """Write the entry of a gateway."""
        self._begin_call()
        self.put(Topic.GATEWAYS, entry.vm, entry)

    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway."""
        self._begin_call()
        self.remove(Topic.GATEWAYS, vm)

    def _must_wait(self, topic: Topic, position: StorePosition) -> bool:
        if self.watches_stalled:
            return True
        if position.revision > self.contents.revision:
            return False
        return not self.contents.changes_since(topic, position.revision)

    def _begin_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailable("the store is down")
        self.record_era(self.contents.era)

"""Local copy of the store's objects, which notifies its listeners of each change."""

from collections.abc import Callable

import msgspec

from knapweeddock.gateway.storeclient import Change, ChangeBatch, Snapshot, StoreObject, Topic
from knapweeddock.ids import Revision


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """Changed objects of one topic.

    Relays send it; subscribers decode it as an ``EncodedUpdate`` first.

    Attributes:
        topic: The topic.
        whole: Whether this is a full update: ``items`` are all objects of the topic,
            and objects that are not among them were removed.
        items: Objects by name; None for one that was removed or cannot be decoded.
        revision: Revision of the store up to which changes are included; the next
            watch starts from it.
        grace_s: Time in seconds for which servers that the store no longer lists
            are kept.
    """

    topic: Topic
    whole: bool
    items: dict[str, StoreObject | None]
    revision: Revision
    grace_s: float = 0.0


Listener = Callable[[Update], None]


class StoreCache:
    """The objects of all topics.

    Attributes:
        items: Objects by topic and name.
        revisions: Revision up to which each topic is known; a topic that must be
            listed first or again has none.
        listeners: Functions that are called with each applied update, except for a
            partial one without objects and a full one that repeats the objects of a
            topic with a known revision.
    """

    def __init__(self) -> None:
        self.items: dict[Topic, dict[str, StoreObject]] = {topic: {} for topic in Topic}
        self.revisions: dict[Topic, Revision] = {}
        self.listeners: list[Listener] = []

    @property
    def is_complete(self) -> bool:
        """Whether every topic has been listed and none has to be listed again."""
        return len(self.revisions) == len(Topic)

    def apply_snapshot(self, topic: Topic, snapshot: Snapshot, *, grace_s: float) -> None:
        """Replace the objects of ``topic`` with a complete list."""
        self.apply_update(
            Update(
                topic=topic,
                whole=True,
                items=dict(snapshot.items),
                revision=snapshot.revision,
                grace_s=grace_s,
            )
        )

    def apply_changes(self, topic: Topic, changes: ChangeBatch, *, grace_s: float) -> None:
        """Apply changes that follow the known revision of ``topic``."""
        self.apply_update(
            Update(
                topic=topic,
                whole=False,
                items={change.name: change.item for change in changes.changes},
                revision=changes.revision,
                grace_s=grace_s,
            )
        )

    def apply_update(self, update: Update) -> None:
        """Apply an update and notify the listeners.

        Updates from another gateway may be older than the cache and are then ignored:
        a partial update must have a later revision than the known one, a full one may
        repeat it.
        """
        known_revision = self.revisions.get(update.topic)
        if known_revision is not None and update.revision < known_revision + (not update.whole):
            return
        self.revisions[update.topic] = update.revision
        if update.whole and known_revision is not None and update.items == self.items[update.topic]:
            return
        if update.whole:
            self.items[update.topic].clear()
        for name, item in update.items.items():
            if item is None:
                self.items[update.topic].pop(name, None)
            else:
                self.items[update.topic][name] = item
        if update.whole or update.items:
            for listener in self.listeners:
                listener(update)

    def full_update(self, topic: Topic, *, grace_s: float) -> Update:
        """Return all objects of ``topic`` as a full update."""
        return Update(
            topic=topic,
            whole=True,
            items=dict(self.items[topic]),
            revision=self.revisions[topic],
            grace_s=grace_s,
        )


def to_changes(update: Update) -> list[Change]:
    """Return the objects of ``update`` as single changes."""
    return [Change(name=name, item=item) for name, item in update.items.items()]

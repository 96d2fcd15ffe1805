"""Copy of the store's objects in a gateway; each change goes to all that use it."""

from collections.abc import Callable

import msgspec

from knapweeddock.gateway.catalog import Change, Changes, Item, Snapshot, Topic
from knapweeddock.ids import Revision


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """Changed objects of one topic.

    Attributes:
        topic: The topic.
        whole: Whether ``items`` are all objects, so that others are gone.
        items: Objects by name; None for one that was removed or is unreadable.
        revision: Revision of the store from which further changes follow.
        grace_s: Time in seconds for which missing servers are kept.
    """

    topic: Topic
    whole: bool
    items: dict[str, Item | None]
    revision: Revision
    grace_s: float = 0.0


Listener = Callable[[Update], None]


class Mirror:
    """The objects of all topics.

    Attributes:
        items: Objects by topic and name.
        revisions: Revision of each topic that was read.
        listeners: What is called with each update.
    """

    def __init__(self) -> None:
        self.items: dict[Topic, dict[str, Item]] = {topic: {} for topic in Topic}
        self.revisions: dict[Topic, Revision] = {}
        self.listeners: list[Listener] = []

    @property
    def is_complete(self) -> bool:
        """Whether every topic was read once."""
        return len(self.revisions) == len(Topic)

    def apply_snapshot(self, topic: Topic, snapshot: Snapshot, *, grace_s: float) -> None:
        """Take a complete list."""
        self.apply_update(
            Update(
                topic=topic,
                whole=True,
                items=dict(snapshot.items),
                revision=snapshot.revision,
                grace_s=grace_s,
            )
        )

    def apply_changes(self, topic: Topic, changes: Changes, *, grace_s: float) -> None:
        """Take changes since the revision of ``topic``."""
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
        """Take an update and pass it on.

        What another gateway sends may be older than what is known already.
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
        """Return all objects of ``topic`` as one update."""
        return Update(
            topic=topic,
            whole=True,
            items=dict(self.items[topic]),
            revision=self.revisions[topic],
            grace_s=grace_s,
        )


def changes_of(update: Update) -> list[Change]:
    """Return the changed objects of ``update``."""
    return [Change(name=name, item=item) for name, item in update.items.items()]

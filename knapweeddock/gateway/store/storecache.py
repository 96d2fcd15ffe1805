"""Local copy of the store's objects, which notifies its listeners of each change."""

from collections.abc import Callable, Mapping

import msgspec
import structlog

from knapweeddock.gateway.store.storeclient import Change, ChangeBatch, Snapshot, StoreObject, Topic
from knapweeddock.gateway.store.storeposition import StorePosition

log = structlog.get_logger(__name__)


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="update"):
    """Changed objects of one topic.

    Relays send it; subscribers decode it as an ``EncodedUpdate`` first.

    Attributes:
        topic: The topic.
        whole: Whether this is a full update: ``items`` are all objects of the topic,
            and objects that are not among them were removed.
        items: Objects by name; None for one that was removed or cannot be decoded.
        position: Position of the store up to which changes are included; the next
            watch starts from it.
        grace_s: Time in seconds for which servers that the store no longer lists
            are kept.
    """

    topic: Topic
    whole: bool
    items: dict[str, StoreObject | None]
    position: StorePosition
    grace_s: float = 0.0


Listener = Callable[[Update], None]


class StoreCache:
    """The objects of all topics.

    Attributes:
        items: Objects by topic and name.
        positions: Position up to which each topic is known; a topic that was never
            listed has none.
        changed_at: Position of the last known change of each topic; it may be too late, but
            not too early.
        unlisted: Topics that have to be listed, for the first time or again.
        listeners: Functions that are called with each applied update, except for a
            partial one without objects and a full one that repeats the objects of a
            topic within its era.
    """

    def __init__(self) -> None:
        self.items: dict[Topic, dict[str, StoreObject]] = {topic: {} for topic in Topic}
        self.positions: dict[Topic, StorePosition] = {}
        self.changed_at: dict[Topic, StorePosition] = {}
        self.unlisted = set(Topic)
        self.listeners: list[Listener] = []

    @property
    def is_complete(self) -> bool:
        """Whether every topic has been listed and none has to be listed again."""
        return not self.unlisted

    def is_listed(self, topic: Topic) -> bool:
        """Whether changes of ``topic`` can be watched from its known position."""
        return topic not in self.unlisted

    def invalidate(self, topic: Topic) -> None:
        """Require that ``topic`` is listed again before it is watched."""
        self.unlisted.add(topic)

    def apply_snapshot(self, topic: Topic, snapshot: Snapshot, *, grace_s: float) -> None:
        """Replace the objects of ``topic`` with a complete list that the store has returned."""
        known = self.positions.get(topic)
        if known is not None and known.era == snapshot.position.era and snapshot.position < known:
            # Older than a list from the store can be. Changes after it could not be watched
            # from the known position, so the list is taken as it is.
            log.error(
                "store went back without a new era",
                topic=topic.value,
                revision=snapshot.position.revision,
                known_revision=known.revision,
            )
            del self.positions[topic]
        self.apply_update(
            Update(
                topic=topic,
                whole=True,
                items=dict(snapshot.items),
                position=snapshot.position,
                grace_s=grace_s,
            )
        )

    def apply_changes(self, topic: Topic, changes: ChangeBatch, *, grace_s: float) -> None:
        """Apply changes that follow the known position of ``topic``."""
        self.apply_update(
            Update(
                topic=topic,
                whole=False,
                items={change.name: change.item for change in changes.changes},
                position=changes.position,
                grace_s=grace_s,
            )
        )

    def apply_update(self, update: Update) -> None:
        """Apply an update and notify the listeners.

        Updates from another gateway may be older than the cache, or belong to another era
        of the store. A partial update has to follow the known position within its era; a
        full one may repeat the position or begin a new era. Others are ignored.
        """
        if update.whole:
            self._apply_full(update)
        else:
            self._apply_partial(update)

    def _apply_full(self, update: Update) -> None:
        topic = update.topic
        known = self.positions.get(topic)
        if known is not None and update.position < known:
            if update.position.era == known.era:
                # The objects are known up to a later position, so there is nothing to list.
                self.unlisted.discard(topic)
            return
        self.unlisted.discard(topic)
        self.positions[topic] = update.position
        items = _with_latest_config(update, self.items[topic])
        begins_era = known is None or known.era != update.position.era
        if not begins_era and items == self.items[topic]:
            return
        self.changed_at[topic] = update.position
        self.items[topic].clear()
        self._store(topic, items)
        self._notify(msgspec.structs.replace(update, items=items))

    def _apply_partial(self, update: Update) -> None:
        topic = update.topic
        known = self.positions.get(topic)
        if known is None or not update.position.can_follow(known) or topic in self.unlisted:
            return
        self.positions[topic] = update.position
        items = _with_latest_config(update, self.items[topic])
        self._store(topic, items)
        if items:
            self.changed_at[topic] = update.position
            self._notify(msgspec.structs.replace(update, items=items))

    def _store(self, topic: Topic, items: Mapping[str, StoreObject | None]) -> None:
        for name, item in items.items():
            if item is None:
                self.items[topic].pop(name, None)
            else:
                self.items[topic][name] = item

    def _notify(self, update: Update) -> None:
        """Call the listeners; one that fails does not keep the others from the update.

        The position has moved on already, so nobody would read these changes again.
        """
        for listener in self.listeners:
            try:
                listener(update)
            except Exception:
                name = getattr(listener, "__qualname__", repr(listener))
                log.exception("listener of the store's changes failed", listener=name)

    def known_positions(self) -> dict[Topic, StorePosition]:
        """Return the positions of the topics that need not be listed."""
        return {
            topic: position for topic, position in self.positions.items() if self.is_listed(topic)
        }

    def has_changed_since(self, topic: Topic, position: StorePosition | None) -> bool:
        """Whether a gateway that knows ``topic`` up to ``position`` may lack a change.

        Args:
            topic: A topic that has been listed.
            position: Position in any era; None for a gateway that knows nothing.
        """
        if position is None or position.era != self.positions[topic].era:
            return True
        return position < self.changed_at[topic]

    def full_update(self, topic: Topic, *, grace_s: float) -> Update:
        """Return all objects of ``topic`` as a full update."""
        return Update(
            topic=topic,
            whole=True,
            items=dict(self.items[topic]),
            position=self.positions[topic],
            grace_s=grace_s,
        )


def _with_latest_config(
    update: Update, known: Mapping[str, StoreObject]
) -> dict[str, StoreObject | None]:
    """Return the objects of ``update``, with known configurations in place of older ones.

    A store that came back from an older copy lists a configuration that is no longer in
    force until the operator has written the latest one again.
    """
    items = dict(update.items)
    if update.topic is not Topic.CONFIGURATION:
        return items
    for name, config in known.items():
        listed = items.get(name)
        if listed is None and (update.whole or name in items):
            log.warning("configuration missing or unreadable; keeping the last one")
            items[name] = config
        elif listed is not None and listed.version < config.version:
            log.warning(
                "older configuration ignored", version=listed.version, in_force=config.version
            )
            items[name] = config
    return items


def to_changes(update: Update) -> list[Change]:
    """Return the objects of ``update`` as single changes."""
    return [Change(name=name, item=item) for name, item in update.items.items()]

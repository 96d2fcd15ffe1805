"""Decides what still holds after the store came back from an older copy.

The copy lacks what was written since, and lists what has changed since as it was: a
server as ready that is draining or gone, an evacuation as absent, a gateway under an
earlier incarnation. Servers, gateways and operators write their objects again, but until
then an object of the copy is older than what a gateway already knew. Such known objects
hold until the store has another one, or for ``hold_s`` seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from knapweeddock.gateway.records import ServerEntry, ServerPhase
from knapweeddock.gateway.store.storeclient import Change, StoreObject, Topic
from knapweeddock.ids import ServerId

DEPARTED_MEMORY_S = 120.0
"""Time in seconds for which a server that is gone is remembered; copies of the store are
some seconds old."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DepartedServer:
    """A server that is no longer registered.

    Attributes:
        started_at_ms: Wall-clock time of its start in ms, 0 when unknown.
        is_leaving: Whether it announced in a response that it leaves.
        cold_until: Monotonic time until which it counted as cold.
        departed_at: Monotonic time at which it was removed.
    """

    started_at_ms: int
    is_leaving: bool
    cold_until: float
    departed_at: float


class DepartedServers:
    """Remembers the servers that are gone, by identifier."""

    def __init__(self) -> None:
        self._departed: dict[ServerId, DepartedServer] = {}

    def record(
        self, entry: ServerEntry, now: float, *, is_leaving: bool, cold_until: float
    ) -> None:
        """Record that a server is no longer registered."""
        self._drop_old(now)
        self._departed.pop(entry.server, None)
        self._departed[entry.server] = DepartedServer(
            started_at_ms=entry.started_at_ms,
            is_leaving=is_leaving,
            cold_until=cold_until,
            departed_at=now,
        )

    def find(self, entry: ServerEntry, now: float) -> DepartedServer | None:
        """Return the record of the process that ``entry`` describes, if it is gone.

        A process that started later under the same identifier is not gone.
        """
        departed = self._departed.get(entry.server)
        if departed is None or now - departed.departed_at > DEPARTED_MEMORY_S:
            return None
        return departed if entry.started_at_ms <= departed.started_at_ms else None

    def _drop_old(self, now: float) -> None:
        for server_id, departed in list(self._departed.items()):
            if now - departed.departed_at <= DEPARTED_MEMORY_S:
                break
            del self._departed[server_id]


def find_outdated_servers(
    known: Mapping[str, ServerEntry],
    listed: Mapping[str, ServerEntry],
    departed: DepartedServers,
    now: float,
) -> dict[str, ServerEntry | None]:
    """Return the servers that the copy lists as they were before.

    Servers that it lacks are not among them: they have a grace period in any case.

    Args:
        known: Registered servers as they were known before the return.
        listed: Servers of the copy.
        departed: Servers that are gone.
        now: Monotonic time in seconds.

    Returns:
        What holds in place of the copy's entry; None for a server that is gone.
    """
    outdated: dict[str, ServerEntry | None] = {}
    for name, entry in listed.items():
        before = known.get(name)
        if before is None:
            if departed.find(entry, now) is not None:
                outdated[name] = None
        elif _is_outdated(entry, before):
            outdated[name] = before
    return outdated


def _is_outdated(listed: ServerEntry, known: ServerEntry) -> bool:
    if listed.started_at_ms != known.started_at_ms:
        return listed.started_at_ms < known.started_at_ms
    return known.phase is ServerPhase.DRAINING and listed.phase is ServerPhase.READY


def find_changed_objects(
    known: Mapping[str, StoreObject], listed: Mapping[str, StoreObject]
) -> dict[str, StoreObject | None]:
    """Return the known objects that the copy lacks or lists with another content."""
    return {name: item for name, item in known.items() if listed.get(name) != item}


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """An object that holds although the store lists another one, or none.

    Attributes:
        item: The object; None for one that is gone.
        listed: What the store lists; None if it lists nothing.
        until: Monotonic time at which ``listed`` comes into force unless the store has
            another object by then.
    """

    item: StoreObject | None
    listed: StoreObject | None
    until: float


class ReturnHolds:
    """The known objects that outlive a return of the store, by topic and name."""

    def __init__(self) -> None:
        self._holds: dict[Topic, dict[str, Hold]] = {topic: {} for topic in Topic}

    def begin(
        self,
        topic: Topic,
        held: Mapping[str, StoreObject | None],
        listed: Mapping[str, StoreObject],
        until: float,
    ) -> None:
        """Hold objects of ``topic`` after the first list of a new era.

        Args:
            topic: Topic of the objects.
            held: What holds by name; None for an object that is gone.
            listed: All objects that the store lists.
            until: Monotonic time at which the hold ends.
        """
        self._holds[topic] = {
            name: Hold(item=item, listed=listed.get(name), until=until)
            for name, item in held.items()
        }

    def confirm_list(self, topic: Topic, listed: Mapping[str, StoreObject]) -> None:
        """End the holds whose objects have changed in a later list of the same era."""
        for name, hold in list(self._holds[topic].items()):
            if listed.get(name) != hold.listed:
                del self._holds[topic][name]

    def confirm_changes(self, topic: Topic, names: Iterable[str]) -> None:
        """End the holds of objects that the store has reported as changed."""
        for name in names:
            self._holds[topic].pop(name, None)

    def overlay(self, topic: Topic, listed: Mapping[str, StoreObject]) -> dict[str, StoreObject]:
        """Return the listed objects, with those that hold in their place."""
        effective = dict(listed)
        for name, hold in self._holds[topic].items():
            effective.pop(name, None)
            if hold.item is not None:
                effective[name] = hold.item
        return effective

    def end_expired(self, now: float) -> list[tuple[Topic, Change]]:
        """End the holds whose time is over, and return what then comes into force."""
        ended = []
        for topic, holds in self._holds.items():
            for name, hold in list(holds.items()):
                if hold.until <= now:
                    del holds[name]
                    ended.append((topic, Change(name=name, item=hold.listed)))
        return ended

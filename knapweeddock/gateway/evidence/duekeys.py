"""What has to be sent to other gateways, and in which directions."""

from collections.abc import Hashable, Iterable
from enum import Enum
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Direction(Enum):
    """Which gateways are told.

    Attributes:
        TO_RELAY: The relay of this gateway or, without one, the other gateways of its region.
        TO_SUBSCRIBERS: The subscribers of this gateway.
        TO_OTHER_REGIONS: Some gateways of each other region.
    """

    TO_RELAY = "to relay"
    TO_SUBSCRIBERS = "to subscribers"
    TO_OTHER_REGIONS = "to other regions"


class Source(Enum):
    """Where something has been learned.

    Attributes:
        OWN: This gateway has observed it.
        RELAY: From the relay of this gateway.
        SUBSCRIBER: From a subscriber of this gateway.
        NEAR_PEER: From a gateway of this region that has no relay and reaches all others.
        SPREADING_PEER: From a gateway of this region that has no relay and reaches only some.
        OTHER_REGION: From a gateway of another region.
    """

    OWN = "own"
    RELAY = "relay"
    SUBSCRIBER = "subscriber"
    NEAR_PEER = "near peer"
    SPREADING_PEER = "spreading peer"
    OTHER_REGION = "other region"


FORWARDED_TO = {
    Source.OWN: frozenset(Direction),
    Source.RELAY: frozenset({Direction.TO_SUBSCRIBERS}),
    Source.SUBSCRIBER: frozenset(Direction),
    Source.NEAR_PEER: frozenset({Direction.TO_SUBSCRIBERS}),
    Source.SPREADING_PEER: frozenset({Direction.TO_RELAY, Direction.TO_SUBSCRIBERS}),
    Source.OTHER_REGION: frozenset({Direction.TO_RELAY, Direction.TO_SUBSCRIBERS}),
}
"""Directions in which each gateway passes on what is new to it. Nothing goes back to where it
came from, and what is known is not passed on again."""

SENDS = {
    Direction.TO_RELAY: 1,
    Direction.TO_SUBSCRIBERS: 1,
    Direction.TO_OTHER_REGIONS: 3,
}
"""How often each item is sent; datagrams between regions are lost now and then."""


class DueKeys(Generic[Key]):
    """Keys of the items that are due, by direction."""

    def __init__(self) -> None:
        self._due: dict[Direction, dict[Key, int]] = {direction: {} for direction in Direction}

    def add(self, key: Key, directions: Iterable[Direction]) -> None:
        """Make an item due in some directions."""
        for direction in directions:
            self._due[direction][key] = SENDS[direction]

    def take(self, direction: Direction, limit: int) -> list[Key]:
        """Return up to ``limit`` keys that are due; the others follow the next time."""
        due = self._due[direction]
        keys = list(due)[:limit]
        for key in keys:
            remaining = due.pop(key) - 1
            if remaining > 0:
                due[key] = remaining
        return keys

    def drop(self, direction: Direction) -> None:
        """Forget what is due in a direction in which nobody is to be told."""
        self._due[direction].clear()

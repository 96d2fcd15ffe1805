"""Position of a state of the store: its era, and the revision within that era.

After an outage the store may come back from a copy that is some seconds old. What it
has acknowledged since that copy is then gone and its revisions are given out again, so a
revision identifies a state only together with the era. The store counts its eras.
"""

from dataclasses import dataclass

from knapweeddock.ids import Era, Revision

UNKNOWN_ERA = Era(0)
"""Era of a store that has not stated one yet, or never does."""

MAX_ERA_STEP = 1
"""Largest increase of the era that a single response proves. The store counts by one;
a larger step is a gateway that missed an era or a corrupted header."""


@dataclass(frozen=True, order=True, kw_only=True, slots=True)
class StorePosition:
    """A state of the store; later states compare as greater.

    Attributes:
        era: Number that the store raises each time it comes back from an older copy.
        revision: Revision of the store within the era.
    """

    era: Era = UNKNOWN_ERA
    revision: Revision

    def can_follow(self, known: "StorePosition") -> bool:
        """Whether changes up to this position may be applied to a state at ``known``."""
        return self.era == known.era and self.revision > known.revision


class EraTracker:
    """Tracks the store's era from the eras that its responses state.

    Responses can be late, so an era below the known one is an old response. An era that
    is more than ``MAX_ERA_STEP`` ahead counts once two responses in a row have stated it.

    Attributes:
        era: Latest era; ``UNKNOWN_ERA`` before the first response that states one.
    """

    def __init__(self) -> None:
        self.era = UNKNOWN_ERA
        self._unproven_era: Era | None = None

    def observe(self, stated: Era) -> bool:
        """Record the era that a response states, and return whether it began a new one."""
        if stated <= self.era:
            self._unproven_era = None
            return False
        is_proven = (
            self.era == UNKNOWN_ERA
            or stated - self.era <= MAX_ERA_STEP
            or stated == self._unproven_era
        )
        if not is_proven:
            self._unproven_era = stated
            return False
        self.era = stated
        self._unproven_era = None
        return True

"""Evidence that gateways share as soon as one of them has it.

Notices travel with the messages between a relay and its subscribers, and as datagrams between
gateways that have no relay, such as all of them while the store is away, and between regions.
"""

import msgspec

from knapweeddock.gateway.coldreports import ColdBoard, ColdReport
from knapweeddock.gateway.duekeys import Direction, Source
from knapweeddock.ids import RegionId


class Notices(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway tells another.

    Attributes:
        cold: Servers that are cold or may be.
    """

    cold: list[ColdReport] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not self.cold


class NoticeDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="notices"):
    """Notices to a gateway that is not told by its relay.

    Attributes:
        region: Region of the sender.
        notices: The notices.
    """

    region: RegionId
    notices: Notices


class NoticeBoard:
    """All evidence that is shared.

    Attributes:
        cold: Servers that are cold or may be.
    """

    def __init__(self, *, cold: ColdBoard) -> None:
        self.cold = cold

    def take(self, direction: Direction, now: float) -> Notices:
        """Return the notices that are due in a direction."""
        return Notices(cold=self.cold.take(direction, now))

    def current(self, now: float) -> Notices:
        """Return all that holds now, for a gateway that knows nothing yet."""
        return Notices(cold=self.cold.current(now))

    def merge(self, notices: Notices, now: float, source: Source) -> None:
        """Apply the notices of another gateway."""
        self.cold.merge(notices.cold, now, source)

    def drop(self, direction: Direction) -> None:
        """Forget what is due in a direction in which nobody is to be told."""
        self.cold.drop(direction)

    def forget_past(self, now: float) -> None:
        """Forget what no longer holds."""
        self.cold.forget_past(now)

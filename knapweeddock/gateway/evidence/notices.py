"""Evidence that gateways share as soon as one of them has it.

Notices travel with the messages between a relay and its subscribers, and as datagrams between
gateways that have no relay, such as all of them while the store is away, and between regions.
"""

import time
from collections.abc import Iterable

import msgspec

from knapweeddock.gateway.evidence.coldreports import ColdBoard, ColdReport
from knapweeddock.gateway.evidence.duekeys import Direction, Source
from knapweeddock.gateway.evidence.suspectboard import SuspectBoard, SuspectReport
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.records import GatewayEntry, KeptSuspect
from knapweeddock.ids import RegionId, VmId


class Notices(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway tells another.

    Attributes:
        cold: Servers that are cold or may be.
        suspects: Requests under which servers have ended.
    """

    cold: list[ColdReport] = []
    suspects: list[SuspectReport] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not self.cold and not self.suspects


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
        suspects: Requests under which servers have ended.
    """

    def __init__(self, *, cold: ColdBoard, suspects: SuspectBoard) -> None:
        self.cold = cold
        self.suspects = suspects

    def take(self, direction: Direction, now: float) -> Notices:
        """Return the notices that are due in a direction."""
        return Notices(
            cold=self.cold.take(direction, now), suspects=self.suspects.take(direction, now)
        )

    def current(self, now: float) -> Notices:
        """Return all that holds now, for a gateway that knows nothing yet."""
        return Notices(cold=self.cold.current(now), suspects=self.suspects.current(now))

    def merge(self, notices: Notices, now: float, source: Source) -> None:
        """Apply the notices of another gateway."""
        self.cold.merge(notices.cold, now, source)
        self.suspects.merge(notices.suspects, now, source)

    def drop(self, direction: Direction) -> None:
        """Forget what is due in a direction in which nobody is to be told."""
        self.cold.drop(direction)
        self.suspects.drop(direction)

    def kept_suspects(self, now: float) -> tuple[KeptSuspect, ...]:
        """Return the refused requests that this gateway keeps in its registration."""
        return self.suspects.kept(now, _wall_clock_ms())

    def restore_suspects(
        self, entries: Iterable[GatewayEntry], now: float, *, own_vm: VmId
    ) -> None:
        """Learn of the refused requests that gateways keep in their registrations."""
        for entry in entries:
            if entry.suspects:
                is_own = entry.vm == own_vm
                self.suspects.restore(entry.suspects, now, _wall_clock_ms(), is_own=is_own)

    def update(self, now: float) -> None:
        """Decide what follows from the evidence, and forget what no longer holds."""
        self.cold.forget_past(now)
        self.suspects.update(now)


def make_notice_board(fleet: Fleet) -> NoticeBoard:
    """Return a board on which nothing is known, for the servers of ``fleet``."""
    suspects = SuspectBoard()
    cold = ColdBoard(fleet=fleet, on_end=suspects.record_server_end)
    return NoticeBoard(cold=cold, suspects=suspects)


def _wall_clock_ms() -> int:
    return round(time.time() * 1000)

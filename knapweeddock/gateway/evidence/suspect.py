"""A request under which servers have ended, and whether it is the cause.

Load pattern: requests that crash the servers that run them, and failure domains that lose power
with all the requests in flight there. Both lose requests with their servers.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from knapweeddock.ids import ServerId

QUARANTINE_ENDS = 3
"""Number of servers that must have ended under a request before it is refused."""

SAME_END_S = 1.0
"""Time in seconds within which two reports mean the same end of a server; it takes longer to
start again."""

GROUP_WINDOW_S = 1.5
"""Time in seconds before and after an end in which ends of other servers are compared with it.
A failure domain that loses power is found out within that time."""

ORDER_MARGIN_S = 0.1
"""Time in seconds by which a run must begin after an end that another gateway has reported; the
time that a report is on its way is not known."""

MAX_ENDS = 16
"""Largest number of ends that are remembered of a request, the first three among them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEnd:
    """The end of a server.

    Attributes:
        server: The server.
        at: Monotonic time in seconds.
        ran_s: Time in seconds for which the request had been there.
        reporter: Number that tells apart the gateways that sent it there; 0 if unknown.
    """

    server: ServerId
    at: float
    ran_s: float = 0.0
    reporter: int = 0

    def is_same(self, other: "ServerEnd") -> bool:
        """Whether both are the same end."""
        return self.server == other.server and abs(self.at - other.at) <= SAME_END_S

    def follows(self, earlier: "ServerEnd") -> bool:
        """Whether the request was sent to this server after ``earlier``."""
        margin_s = 0.0 if self.reporter == earlier.reporter else ORDER_MARGIN_S
        return self.at - self.ran_s >= earlier.at + margin_s


@dataclass(kw_only=True, slots=True)
class Suspect:
    """A request under which servers have ended.

    Attributes:
        ends: These ends, the earliest first.
        cleared_at: Monotonic time at which it last ran to a response.
        running: Number of its runs at this gateway.
        is_quarantined: Whether it is refused, but for trials.
        is_settled: Whether that no longer changes before it is cleared.
        was_quarantined: Whether it has ever been refused.
    """

    ends: list[ServerEnd] = field(default_factory=list)
    cleared_at: float = float("-inf")
    running: int = 0
    is_quarantined: bool = False
    is_settled: bool = False
    was_quarantined: bool = False

    def add(self, end: ServerEnd) -> bool:
        """Add an end, and return whether it is new.

        Of too many ends the first three and the latest are kept, so that gateways which learn
        them in another order keep the same ones.
        """
        if end.at <= self.cleared_at or any(end.is_same(known) for known in self.ends):
            return False
        self.ends = sorted([*self.ends, end], key=lambda each: each.at)
        if len(self.ends) > MAX_ENDS:
            del self.ends[QUARANTINE_ENDS]
        return end in self.ends

    def clear(self, at: float) -> bool:
        """Forget the ends before a run to a response, and return whether this is news."""
        if at <= self.cleared_at:
            return False
        had_ends = bool(self.ends)
        self.cleared_at = at
        self.ends = [end for end in self.ends if end.at > at]
        if len(self.ends) < QUARANTINE_ENDS:
            self.is_quarantined = self.is_settled = False
        return had_ends


def explains_its_ends(suspect: Suspect, others: Iterable[ServerEnd]) -> bool:
    """Whether enough servers ended under a request and not by a common cause.

    Of servers that end together, each loses what it runs, and an often repeated request runs
    on all of them. So ends count one after the other, each under a run that began after the
    one before, and not while more other servers end.

    Args:
        suspect: What is known of the request.
        others: Ends of servers that ran neither this request nor another one with many ends.
    """
    if len(suspect.ends) < QUARANTINE_ENDS:
        return False
    own = suspect.ends
    others = list(others)
    alone = [end for end in own if len(_servers_near(end, others)) <= len(_servers_near(end, own))]
    return len(_one_after_the_other(alone)) >= QUARANTINE_ENDS


def _one_after_the_other(ends: Iterable[ServerEnd]) -> list[ServerEnd]:
    chain: list[ServerEnd] = []
    for end in ends:
        if not chain or end.follows(chain[-1]):
            chain.append(end)
    return chain


def _servers_near(end: ServerEnd, ends: Iterable[ServerEnd]) -> set[ServerId]:
    return {other.server for other in ends if abs(other.at - end.at) <= GROUP_WINDOW_S}

"""What gateways tell each other of servers that are cold or may have started again.

Load pattern: servers end and are back some seconds later, cold, under the same identifier,
while the store is away. A gateway that sent nothing to one of them meanwhile has noticed
nothing and goes on with its usual share, or with more, since the server has no queue.

Whoever cannot reach a server says so, and all gateways then presume that it is cold when it is
back: what they send together stays within the limit of a cold server. The first one that gets
a health check answered tells how long it stays cold, or that it is warm. The latest word
counts. A gateway to which the server has just responded does not believe that it has ended:
the other one may be cut off from it. If the response came after the report, it says so to all.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from knapweeddock.gateway.evidence.duekeys import FORWARDED_TO, Direction, DueKeys, Source
from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.ids import ServerId

PRESUMED_COLD_S = 6.0
"""Time in seconds for which a server that could not be reached is presumed to be cold. It is
longer than the pause between two probes, each of which prolongs it."""

RENEWAL_S = 3.0
"""Time in seconds by which a report must prolong what is known to be passed on."""

MAX_AGE_S = 1.5
"""Age in seconds above which a report is dropped, such as one from before a cut has healed."""

CONTRADICTION_S = 0.5
"""Time in seconds before a report within which a response of the server contradicts it: no
process starts again as fast as that."""

ON_THE_WAY_S = 0.1
"""Time in seconds after a report within which a response may have been sent before it."""

DISPUTED_S = 10.0
"""Time in seconds for which a gateway says nothing of a server that it could not reach while
another one got a response: its own path to the server may be cut."""

MAX_REPORTS = 40
"""Largest number of reports in one message, so that it fits into a datagram."""


class ColdReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How long a server is cold.

    Attributes:
        server: The server.
        cold_ms: Time in ms for which it stays cold; 0 if it is warm.
        presumed: Whether it could not be reached; else a health check has told.
        age_ms: Time in ms since this was observed.
    """

    server: ServerId
    cold_ms: int
    presumed: bool
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Word:
    cold_until: float
    presumed: bool
    said_at: float


class ColdBoard:
    """The latest word on each server that is or was presumed to be cold.

    Attributes:
        fleet: Backend servers.
        on_end: Called with each server that could no longer be reached, and when.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        on_end: Callable[[ServerId, float], None] = lambda server, at: None,
    ) -> None:
        self.fleet = fleet
        self.on_end = on_end
        fleet.on_turned_cold = self.record_turned_cold
        self._words: dict[ServerId, _Word] = {}
        self._disputed_until: dict[ServerId, float] = {}
        self._due: DueKeys[ServerId] = DueKeys()

    def record_unreachable(self, state: ServerState, now: float) -> None:
        """Record that this gateway could not reach a server."""
        if now < self._disputed_until.get(state.entry.server, float("-inf")):
            return
        until = now + PRESUMED_COLD_S
        known = self._words.get(state.entry.server)
        state.presumed_cold_until = max(state.presumed_cold_until, until)
        self._note_end(state.entry.server, known, now)
        if known is None or known.cold_until < until - RENEWAL_S:
            self._say(state, _Word(cold_until=until, presumed=True, said_at=now))

    def record_warmup(self, state: ServerState, warmup_left_s: float, now: float) -> None:
        """Record what a health check has told.

        Args:
            state: The server.
            warmup_left_s: Time in seconds for which it stays cold; 0 if it is warm.
            now: Monotonic time in seconds.
        """
        known = self._words.get(state.entry.server)
        state.presumed_cold_until = 0.0
        if warmup_left_s > 0 or (known is not None and known.cold_until > now):
            self._say(state, _Word(cold_until=now + warmup_left_s, presumed=False, said_at=now))

    def record_turned_cold(self, state: ServerState, until: float, now: float) -> None:
        """Record that the store tells of a server that has turned cold under traffic.

        After an outage of the store the gateways reach it again one after the other.
        """
        known = self._words.get(state.entry.server)
        if known is None or known.cold_until < until - RENEWAL_S / 2:
            self._say(state, _Word(cold_until=until, presumed=False, said_at=now))

    def merge(self, reports: Iterable[ColdReport], now: float, source: Source) -> None:
        """Apply the reports of other gateways that are later than the known ones."""
        for report in reports:
            state = self.fleet.servers.get(report.server)
            if state is None or not 0 <= report.age_ms <= MAX_AGE_S * 1000:
                continue
            said_at = now - report.age_ms / 1000
            known = self._words.get(report.server)
            if known is not None and known.said_at >= said_at:
                continue
            word = _Word(
                cold_until=said_at + report.cold_ms / 1000,
                presumed=report.presumed,
                said_at=said_at,
            )
            if word.presumed and _is_contradicted(state, word):
                self._say(state, _Word(cold_until=now, presumed=False, said_at=now))
                continue
            if word.presumed:
                self._note_end(report.server, known, said_at)
            elif word.cold_until <= said_at and state.health.needs_probe:
                self._disputed_until[report.server] = now + DISPUTED_S
            self._words[report.server] = word
            self._due.add(report.server, FORWARDED_TO[source])
            _apply(state, word, now)

    def take(self, direction: Direction, now: float) -> list[ColdReport]:
        """Return the reports that are due in a direction."""
        words = [
            (server, self._words.get(server)) for server in self._due.take(direction, MAX_REPORTS)
        ]
        return [
            _report(server, word, now)
            for server, word in words
            if word is not None and now - word.said_at <= MAX_AGE_S
        ]

    def current(self, now: float) -> list[ColdReport]:
        """Return reports on the servers that are cold now, as if observed now."""
        cold = [
            (server, self._words[server])
            for server in self._words
            if self._words[server].cold_until > now
        ]
        return [
            ColdReport(
                server=server,
                cold_ms=round((word.cold_until - now) * 1000),
                presumed=word.presumed,
                age_ms=0,
            )
            for server, word in cold
        ]

    def drop(self, direction: Direction) -> None:
        """Forget what is due in a direction in which nobody is to be told."""
        self._due.drop(direction)

    def forget_past(self, now: float) -> None:
        """Forget the servers that are gone or no longer cold."""
        for server, word in list(self._words.items()):
            if server not in self.fleet.servers or now - word.cold_until > MAX_AGE_S:
                del self._words[server]
        for server, until in list(self._disputed_until.items()):
            if until <= now:
                del self._disputed_until[server]

    def _note_end(self, server: ServerId, known: _Word | None, at: float) -> None:
        """Tell the end of a server that was not known to be away."""
        if known is None or not known.presumed or known.cold_until <= at:
            self.on_end(server, at)

    def _say(self, state: ServerState, word: _Word) -> None:
        self._words[state.entry.server] = word
        self._due.add(state.entry.server, FORWARDED_TO[Source.OWN])


def _is_contradicted(state: ServerState, word: _Word) -> bool:
    """Whether the server has responded so soon after a report that it has not restarted."""
    after_s = state.health.responded_at - word.said_at
    return ON_THE_WAY_S < after_s <= CONTRADICTION_S


def _apply(state: ServerState, word: _Word, now: float) -> None:
    if word.cold_until <= now:
        state.end_presumption(now)
    elif not word.presumed:
        state.become_cold(word.cold_until, now)
    elif state.health.responded_at < word.said_at - CONTRADICTION_S:
        state.presume_cold(word.cold_until, now)


def _report(server: ServerId, word: _Word, now: float) -> ColdReport:
    return ColdReport(
        server=server,
        cold_ms=max(0, round((word.cold_until - word.said_at) * 1000)),
        presumed=word.presumed,
        age_ms=max(0, round((now - word.said_at) * 1000)),
    )

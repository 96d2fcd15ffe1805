"""Whether this gateway reaches backend servers, and what its failures say of the servers.

Load pattern: a gateway loses its links to all servers, while clients, the store and the other
gateways reach it. Every connection that it opens fails, as if all servers had ended. If it
said so, the others would take servers for cold that work.

A failure to connect is evidence of the server only if this gateway reaches others of the same
service. Evidence is therefore withheld until a connection made afterwards shows that. If none
can be made to some servers of different failure domains, the gateway reaches none. A request
that a peer got served then tells that the fault is its own, and the evidence is dropped; without
such a sign it counts after ``WITHHELD_S``.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import structlog

from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.gateway.records import ServerPhase
from knapweeddock.ids import ServerId, ServiceId

log = structlog.get_logger(__name__)

CHECKED_SERVERS = 4
"""Number of servers to which a check connects."""

RECENT_SERVERS = 2
"""Number of these that are chosen because they have responded last: of many servers that have
ended they are the likeliest to live."""

CHECK_INTERVAL_S = 0.3
"""Pause in seconds between two checks while no server is reached."""

GOOD_CHECKS = 2
"""Number of checks in a row that must reach half of the servers before a cut counts as over."""

SILENCE_S = 0.75
"""Time in seconds without a response, beside requests that wait as long, after which it is
checked whether open connections have gone silent."""

WITHHELD_S = 0.75
"""Time in seconds for which evidence is withheld while no server is reached. Servers that have
ended take longer to come back."""

PROBE_SPREAD_S = 0.5
"""Time in seconds over which the probes of servers are spread when a cut is over."""

PEER_EVIDENCE_S = 1.0
"""Time in seconds for which a request that a peer got served is a sign that servers work."""


class ReachState(Enum):
    """Whether this gateway reaches the servers of a service.

    Attributes:
        REACHING: It reaches some, as far as is known.
        NONE_REACHED: It reaches none, whoever is at fault.
        CUT_OFF: It reaches none, and another gateway does.
    """

    REACHING = "reaching"
    NONE_REACHED = "none reached"
    CUT_OFF = "cut off"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Withheld:
    at: float
    apply: Callable[[], None]


class Reach:
    """What this gateway's connections tell about itself and about the servers of a service.

    Attributes:
        service: The service.
        fleet: Backend servers.
        state: Whether it reaches servers.
        rng: Source of randomness.
        on_change: Called when the state has changed.
    """

    def __init__(
        self,
        *,
        service: ServiceId,
        fleet: Fleet,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self.service = service
        self.fleet = fleet
        self.rng = rng
        self.on_change = on_change
        self.state = ReachState.REACHING
        self._is_check_requested = False
        self._connected_at = float("-inf")
        self._failed_at = float("-inf")
        self._heard_at = float("-inf")
        self._peer_served_at = float("-inf")
        self._next_check_at = float("-inf")
        self._none_since = float("-inf")
        self._good_checks = 0
        self._failed: dict[ServerId, float] = {}
        self._withheld: list[_Withheld] = []

    @property
    def reaches_servers(self) -> bool:
        """Whether this gateway reaches servers, as far as is known."""
        return self.state is ReachState.REACHING

    # Facts

    def record_connected(self, now: float) -> None:
        """Record that a connection to a server was opened."""
        self._connected_at = now
        if self.state is ReachState.NONE_REACHED:
            self._change(ReachState.REACHING)
        if self.state is ReachState.REACHING:
            self._release(now)

    def record_failed(self, server: ServerId, now: float) -> None:
        """Record that no connection to a server could be opened."""
        self._failed_at = now
        self._failed.setdefault(server, now)

    def record_heard(self, now: float) -> None:
        """Record that a server has responded, on whatever connection."""
        self._heard_at = now

    def record_served_by_peer(self, now: float) -> None:
        """Record that a server has responded to a request that a peer sent to it."""
        self._peer_served_at = now
        if self.state is ReachState.NONE_REACHED:
            self._become_cut_off()

    def withhold(self, apply: Callable[[], None], now: float) -> None:
        """Keep evidence of a server until it is known whether this gateway is at fault.

        Args:
            apply: Gives the evidence out.
            now: Monotonic time in seconds.
        """
        if self.state is not ReachState.CUT_OFF:
            self._withheld.append(_Withheld(at=now, apply=apply))

    # Checks

    def is_check_due(self, now: float) -> bool:
        """Whether it is to be checked now whether servers are reached."""
        if now < self._next_check_at:
            return False
        if self.state is not ReachState.REACHING:
            return True
        has_failed = self._failed_at > self._connected_at or bool(self._withheld)
        return self._is_check_requested or has_failed or self._is_silent(now)

    def request_check(self) -> None:
        """Make a check due, since another service is out of reach."""
        self._is_check_requested = True

    def choose_servers(self, now: float) -> list[ServerState]:
        """Return the servers to which a check connects, and note that it begins."""
        self._next_check_at = now + CHECK_INTERVAL_S
        self._is_check_requested = False
        ready = [
            state
            for state in self._servers()
            if state.entry.phase is ServerPhase.READY and not state.is_leaving
        ]
        recent = sorted(ready, key=lambda state: state.health.responded_at)[-RECENT_SERVERS:]
        others = self.rng.sample(ready, len(ready))
        # The first server of each failure domain comes before the second one of any.
        seen: dict[str, int] = {}
        ranked = []
        for state in others:
            rank = seen[state.entry.failure_domain] = seen.get(state.entry.failure_domain, 0) + 1
            ranked.append((rank, state))
        ranked.sort(key=lambda pair: pair[0])
        chosen = [*recent, *(state for _, state in ranked if state not in recent)]
        return chosen[:CHECKED_SERVERS]

    def record_check(self, *, reached: int, checked: int, now: float) -> None:
        """Record to how many servers a check has connected.

        Args:
            reached: Number of servers that were reached.
            checked: Number of servers of the check.
            now: Monotonic time in seconds.
        """
        match self.state:
            case ReachState.REACHING if checked and not reached:
                self._none_since = now
                self._change(ReachState.NONE_REACHED)
                if now - self._peer_served_at < PEER_EVIDENCE_S:
                    self._become_cut_off()
            case ReachState.CUT_OFF:
                is_good = checked and 2 * reached >= checked
                self._good_checks = self._good_checks + 1 if is_good else 0
                if self._good_checks >= GOOD_CHECKS:
                    self._end_cut(now)
            case _ if reached:
                self.record_connected(now)

    def update(self, now: float) -> None:
        """Give out evidence that was withheld for long enough."""
        if self.state is ReachState.NONE_REACHED and now - self._none_since >= WITHHELD_S:
            self._release(now)
        if self.state is ReachState.REACHING:
            # Without a ready server there is no check that could give the evidence out.
            self._release(now - 2 * WITHHELD_S)
            self._failed = {
                server: at for server, at in self._failed.items() if now - at < WITHHELD_S
            }

    def _is_silent(self, now: float) -> bool:
        if now - max(self._heard_at, self._connected_at) < SILENCE_S:
            return False
        return any(
            state.load.pending and now - state.load.pending[0].sent_at >= SILENCE_S
            for state in self._servers()
        )

    def _servers(self) -> list[ServerState]:
        return [
            state for state in self.fleet.servers.values() if state.entry.service == self.service
        ]

    def _become_cut_off(self) -> None:
        self._withheld.clear()
        self._good_checks = 0
        self._change(ReachState.CUT_OFF)

    def _end_cut(self, now: float) -> None:
        """Probe the servers that failed during the cut; some may have started again, cold."""
        for server in self._failed:
            state = self.fleet.servers.get(server)
            if state is not None:
                state.health.probe_soon(now + self.rng.random() * PROBE_SPREAD_S)
        self._failed.clear()
        self._connected_at = now
        self._change(ReachState.REACHING)

    def _release(self, now: float) -> None:
        """Give out the evidence from before ``now``."""
        due = [each for each in self._withheld if each.at < now]
        self._withheld = [each for each in self._withheld if each.at >= now]
        for each in due:
            each.apply()

    def _change(self, state: ReachState) -> None:
        log.warning(
            "reach of servers changed",
            service=self.service,
            before=self.state.value,
            now=state.value,
        )
        self.state = state
        self.on_change()

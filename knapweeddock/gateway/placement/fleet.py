"""The backend servers that the store lists, and which of them may get requests."""

from collections.abc import Callable, Iterable, Mapping

import structlog

from knapweeddock.gateway.evidence.passivehealth import PassiveHealth
from knapweeddock.gateway.limits.dividedlimit import ARRIVAL_RESERVE, COLD_WINDOW_S
from knapweeddock.gateway.limits.serverlimit import ServerLimit
from knapweeddock.gateway.limits.serverpause import RESUME_S, ServerPause
from knapweeddock.gateway.placement.serverload import ServerLoad
from knapweeddock.gateway.records import ServerEntry, ServerPhase
from knapweeddock.gateway.store.storereturn import DepartedServers
from knapweeddock.ids import FailureDomainId, RegionId, ServerId, ServiceId

log = structlog.get_logger(__name__)


class ServerState:
    """A backend server and what this gateway knows of it.

    Attributes:
        entry: Registration of the server in the store.
        load: Estimated number of requests at the server.
        health: Passive health: reachability, failure rate and latency ratio.
        cold_until: Monotonic time until which the server counts as cold.
        presumed_cold_until: Monotonic time until which the server counts as cold because it
            could not be reached and may have started again.
        resumes_at: Monotonic time before which nothing is sent to the server, since it turned
            out to be cold while gateways sent it their usual share.
        expires_at: Monotonic time at which the server is removed unless it registers
            again; None while it is registered.
        limit: Request rate that it has named as its limit.
        is_leaving: Whether it announced in a response that it leaves; this holds until the
            process ends.
        pause: Time for which it has asked this gateway to send nothing.
    """

    __slots__ = (
        "cold_until",
        "entry",
        "expires_at",
        "health",
        "is_leaving",
        "limit",
        "load",
        "pause",
        "presumed_cold_until",
        "resumes_at",
    )

    def __init__(self, *, entry: ServerEntry) -> None:
        self.entry = entry
        self.load = ServerLoad(slots=entry.slots)
        self.health = PassiveHealth()
        self.cold_until = 0.0
        self.presumed_cold_until = 0.0
        self.resumes_at = 0.0
        self.expires_at: float | None = None
        self.limit = ServerLimit()
        self.is_leaving = False
        self.pause = ServerPause()

    def is_cold(self, now: float) -> bool:
        """Whether the server is warming up and its request rate is limited."""
        return now < max(self.cold_until, self.presumed_cold_until)

    def gets_usual_share(self, now: float) -> bool:
        """Whether requests are sent to the server as to any other."""
        is_in_use = self.entry.phase is ServerPhase.READY and not self.is_leaving
        return is_in_use and self.accepts_requests(now) and not self.is_cold(now)

    def become_cold(self, until: float, now: float) -> None:
        """Record that the server turns out to be cold until ``until``.

        If this gateway took it for warm, others do so as well or have just learned of it, and
        have used up the limit of this second. A late word on the end of the warm-up changes
        nothing of that.
        """
        self._stop_usual_share(until, now, presumed=False)
        self.cold_until = max(self.cold_until, until)

    def presume_cold(self, until: float, now: float) -> None:
        """Count the server as cold, since another gateway could not reach it."""
        self._stop_usual_share(until, now, presumed=True)
        self.presumed_cold_until = max(self.presumed_cold_until, until)

    def end_presumption(self, now: float) -> None:
        """Record that the server has not started again, or is warm."""
        self.presumed_cold_until = 0.0
        if not self.is_cold(now):
            self.resumes_at = 0.0

    def _stop_usual_share(self, until: float, now: float, *, presumed: bool) -> None:
        wait_s = COLD_WINDOW_S * ARRIVAL_RESERVE
        if self.gets_usual_share(now) and until - now > wait_s:
            self.resumes_at = now + wait_s
            log.info(
                "server counts as cold",
                server=self.entry.server,
                cold_s=round(until - now, 3),
                presumed=presumed,
            )

    def begin_pause(self, pause_s: float, now: float) -> None:
        """Send nothing to the server for ``pause_s`` seconds, then increase the rate slowly."""
        if not self.pause.is_active(now):
            log.info("server asks for a pause", server=self.entry.server, pause_s=pause_s)
        self.pause.begin(pause_s, now)
        self.cold_until = max(self.cold_until, self.pause.until + RESUME_S)

    def observe_limit(self, per_s: float | None, known_at: float) -> None:
        """Record the limit that a response names, or that it names none.

        Args:
            per_s: Requests per second from all gateways together; None for no limit.
            known_at: Monotonic time of the response.
        """
        if self.limit.observe(per_s, known_at):
            log.info("server names a limit", server=self.entry.server, limit_per_s=per_s)

    def accepts_requests(self, now: float) -> bool:
        """Whether requests may be sent, apart from limits on their rate."""
        if self.expires_at is not None and now >= self.expires_at:
            return False
        return self.health.is_usable() and not self.pause.is_active(now) and now >= self.resumes_at


GroupKey = tuple[ServiceId, RegionId]
"""Service and region that a group of servers belongs to."""


class Fleet:
    """All registered backend servers, grouped by service and region.

    Attributes:
        servers: Servers by identifier, including draining, evacuated and expiring ones.
        evacuated_domains: Failure domains whose servers get no requests.
        warmup_s: Time in seconds for which a server is cold after its start, by service.
        revision: Number that increases when the groups of servers may have changed.
        is_loaded: Whether the list of servers was read from the store at least once.
        departed: Servers that are no longer registered.
        on_turned_cold: Called with the state of a server of which the store tells that it has
            turned cold or started again while it got its usual share, and with the monotonic
            times until which it is cold and now.
    """

    def __init__(self) -> None:
        self.servers: dict[ServerId, ServerState] = {}
        self.evacuated_domains: frozenset[FailureDomainId] = frozenset()
        self.warmup_s: Mapping[ServiceId, float] = {}
        self.revision = 0
        self.is_loaded = False
        self.departed = DepartedServers()
        self.on_turned_cold: Callable[[ServerState, float, float], None] = _ignore_turned_cold
        self._groups: dict[GroupKey, tuple[ServerState, ...]] = {}
        self._regions: dict[ServiceId, tuple[RegionId, ...]] = {}

    # Changes

    def replace_all(self, entries: Iterable[ServerEntry], now: float, *, grace_s: float) -> None:
        """Apply a complete list of servers.

        Args:
            entries: All registered servers.
            now: Monotonic time.
            grace_s: Time in seconds for which servers missing from the list are
                kept; their registrations may have expired during an outage of the
                store.
        """
        registered_ids = set()
        for entry in entries:
            registered_ids.add(entry.server)
            self._upsert(entry, now)
        for server_id in [
            server_id for server_id in self.servers if server_id not in registered_ids
        ]:
            self.deregister(server_id, now, grace_s=grace_s)
        self.is_loaded = True
        self._rebuild_groups()

    def upsert(self, entry: ServerEntry, now: float) -> None:
        """Add a server or apply its changed entry."""
        self._upsert(entry, now)
        self._rebuild_groups()

    def deregister(self, server_id: ServerId, now: float, *, grace_s: float) -> None:
        """Handle that a server is no longer registered: remove it after its grace period.

        Args:
            server_id: Identifier of the server.
            now: Monotonic time.
            grace_s: Time in seconds after which ``remove_expired`` removes the server unless
                it registers again; at 0 it is removed at once. A grace period that has begun
                is neither prolonged nor shortened: another relay may not know of it.
        """
        state = self.servers.get(server_id)
        if state is None:
            return
        if state.expires_at is not None and now < state.expires_at:
            return
        if grace_s > 0 and state.expires_at is None:
            state.expires_at = now + grace_s
            return
        del self.servers[server_id]
        self.departed.record(
            state.entry, now, is_leaving=state.is_leaving, cold_until=state.cold_until
        )
        log.info("server removed", server=server_id, service=state.entry.service)
        self._rebuild_groups()

    def record_leaving(self, state: ServerState) -> None:
        """Record that a server announced in a response that it leaves.

        It gets no new requests until another process has registered under its identifier.

        Args:
            state: State of the server when the request was sent to it; a process that has
                replaced it since has a state of its own and is not affected.
        """
        if state.is_leaving:
            return
        state.is_leaving = True
        log.info("server is leaving", server=state.entry.server, service=state.entry.service)
        self._rebuild_groups()

    def remove_expired(self, now: float) -> None:
        """Remove the servers that did not register again within their grace period."""
        expired_ids = [
            server_id
            for server_id, state in self.servers.items()
            if state.expires_at is not None and state.expires_at <= now
        ]
        for server_id in expired_ids:
            self.deregister(server_id, now, grace_s=0.0)

    def set_evacuated_domains(self, domains: frozenset[FailureDomainId], now: float) -> None:
        """Set the failure domains whose servers get no requests.

        Servers of a domain that is no longer evacuated are treated as cold for the
        warm-up time of their service: without traffic they may have become cold.

        Args:
            domains: All evacuated failure domains.
            now: Monotonic time.
        """
        restored = self.evacuated_domains - domains
        if domains == self.evacuated_domains:
            return
        for state in self.servers.values():
            if state.entry.failure_domain in restored:
                warmup_s = self.warmup_s.get(state.entry.service, 0.0)
                state.cold_until = max(state.cold_until, now + warmup_s)
        log.info("evacuations changed", domains=sorted(domains), returned=sorted(restored))
        self.evacuated_domains = domains
        self._rebuild_groups()

    def _upsert(self, entry: ServerEntry, now: float) -> None:
        state = self.servers.get(entry.server)
        if state is None:
            state = self._registered_state(entry, now)
        elif _is_restart(state.entry, entry):
            state = self._restarted_state(state, entry, now)
        else:
            if state.entry.phase is not entry.phase:
                log.info("server phase changed", server=entry.server, phase=entry.phase.value)
            if entry.warmup_left_s > 0:
                self._turn_cold(state, now + entry.warmup_left_s, now)
        self.servers[entry.server] = state
        state.entry = entry
        state.expires_at = None
        state.load.slots = entry.slots

    def _registered_state(self, entry: ServerEntry, now: float) -> ServerState:
        """Return the state of a server that was not registered."""
        log.info("server registered", server=entry.server, service=entry.service)
        state = ServerState(entry=entry)
        cold_s = entry.warmup_left_s
        departed = self.departed.find(entry, now)
        if departed is not None:
            state.is_leaving = departed.is_leaving
            state.cold_until = departed.cold_until
        elif self.is_loaded:
            # It has started since this gateway began to watch.
            cold_s = cold_s or self.warmup_s.get(entry.service, 0.0)
        state.cold_until = max(state.cold_until, now + cold_s)
        return state

    def _restarted_state(self, old: ServerState, entry: ServerEntry, now: float) -> ServerState:
        """Return the state of a server whose process has restarted under its identifier."""
        log.info("server restarted", server=entry.server, service=entry.service)
        state = ServerState(entry=entry)
        # The entry may not contain the warm-up time of the new process yet.
        cold_s = entry.warmup_left_s or self.warmup_s.get(entry.service, 0.0)
        if cold_s > 0 and old.gets_usual_share(now):
            self._turn_cold(state, now + cold_s, now)
        elif cold_s > 0:
            state.cold_until = now + cold_s
        return state

    def _turn_cold(self, state: ServerState, until: float, now: float) -> None:
        if state.gets_usual_share(now):
            self.on_turned_cold(state, until, now)
        state.become_cold(until, now)

    def _rebuild_groups(self) -> None:
        groups: dict[GroupKey, list[ServerState]] = {}
        regions: dict[ServiceId, set[RegionId]] = {}
        for server_id in sorted(self.servers):
            state = self.servers[server_id]
            entry = state.entry
            if (
                entry.phase is ServerPhase.DRAINING
                or state.is_leaving
                or entry.failure_domain in self.evacuated_domains
            ):
                continue
            groups.setdefault((entry.service, entry.region), []).append(state)
            regions.setdefault(entry.service, set()).add(entry.region)
        self._groups = {group: tuple(states) for group, states in groups.items()}
        self._regions = {service: tuple(sorted(names)) for service, names in regions.items()}
        self.revision += 1

    # Queries

    def group(self, service: ServiceId, region: RegionId) -> tuple[ServerState, ...]:
        """Return the servers of ``service`` in ``region`` that may get requests.

        Draining and leaving servers and those of evacuated failure domains are left out;
        unreachable ones are included.
        """
        return self._groups.get((service, region), ())

    def regions(self, service: ServiceId) -> tuple[RegionId, ...]:
        """Return the regions in which ``service`` has servers that may get requests."""
        return self._regions.get(service, ())

    def services(self) -> list[ServiceId]:
        """Return the services that have servers that may get requests."""
        return list(self._regions)

    def remaining_grace_s(self, now: float) -> float:
        """Return the longest remaining time in seconds for which an unregistered server is kept."""
        ends = [state.expires_at for state in self.servers.values() if state.expires_at is not None]
        return max(0.0, max(ends, default=now) - now)

    def counts(self, now: float) -> dict[str, int]:
        """Return the number of servers by state; a server may be in several."""
        states = self.servers.values()
        return {
            "listed": len(states),
            "cold": sum(state.is_cold(now) for state in states),
            "unreachable": sum(not state.health.is_usable() for state in states),
            "lapsing": sum(state.expires_at is not None for state in states),
        }

    def reachable_slots(self, service: ServiceId, region: RegionId) -> int:
        """Return the number of slots of the reachable servers of a group."""
        group = self.group(service, region)
        return sum(state.entry.slots for state in group if state.health.is_usable())


def _ignore_turned_cold(state: ServerState, until: float, now: float) -> None:
    """Tell nobody."""


def _is_restart(old: ServerEntry, new: ServerEntry) -> bool:
    """Whether a new entry of a known server shows that its process was restarted."""
    moved = old.address != new.address or old.service != new.service
    return moved or (new.started_at_ms != 0 and old.started_at_ms != new.started_at_ms)

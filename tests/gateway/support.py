"""Builders of gateway objects for tests."""

import random

from knapweeddock.gateway.evidence.notices import make_notice_board
from knapweeddock.gateway.evidence.serverreports import ReportBoard
from knapweeddock.gateway.limits.dividedlimit import COLD_USED_FRACTION
from knapweeddock.gateway.limits.quotamembers import QuotaMembers
from knapweeddock.gateway.limits.serverquotas import ServerQuotas
from knapweeddock.gateway.membership.heartbeats import GatewayPhase, Heartbeat, Member
from knapweeddock.gateway.membership.regionfeed import RegionFeed
from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.selection import SelectionRequest
from knapweeddock.gateway.placement.serverload import PendingRequest
from knapweeddock.gateway.placement.serverselection import ServerSelector
from knapweeddock.gateway.placement.shiftlimit import ShiftLimit
from knapweeddock.gateway.records import GatewayEntry, ServerEntry, ServerPhase
from knapweeddock.gateway.routes import Route, WeightedService
from knapweeddock.gateway.service import MAINTENANCE_INTERVAL_S
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.store.storecache import Update
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storeposition import StorePosition

SERVICE = "ledger"
REGION = "north"

COLD_RATE_PER_S = 10.25
"""Requests per second that a cold server may get from all gateways together."""


def at(revision: int, *, era: int = 1) -> StorePosition:
    return StorePosition(era=era, revision=revision)


def make_route(**changes) -> Route:
    values = {
        "route": "r",
        "host": "h",
        "path_prefix": "/",
        "idempotent": True,
        "target_latency_s": 0.4,
        "timeout_s": 2.0,
        "priority": 2,
        "max_attempts": 2,
        "affinity": True,
        "services": (WeightedService(service=SERVICE, weight=1.0),),
    }
    return Route(**{**values, **changes})


def make_server(name: str, **changes) -> ServerEntry:
    values = {
        "server": name,
        "service": SERVICE,
        "address": ("10.0.0.1", 80),
        "failure_domain": "north-a",
        "region": REGION,
        "slots": 3,
        "phase": ServerPhase.READY,
    }
    return ServerEntry(**{**values, **changes})


def make_gateway(vm: str, **changes) -> GatewayEntry:
    values = {
        "vm": vm,
        "incarnation": f"{vm}-1",
        "failure_domain": "north-a",
        "region": REGION,
        "front_address": ("10.0.0.2", 81),
        "peer_address": ("10.0.0.2", 82),
    }
    return GatewayEntry(**{**values, **changes})


def make_member(vm: str, **changes) -> Member:
    values = {
        "vm": vm,
        "incarnation": f"{vm}-1",
        "phase": GatewayPhase.SERVING,
        "region": REGION,
    }
    return Member(**{**values, **changes})


def make_heartbeat(vm: str, *, region: str = REGION, **changes) -> Heartbeat:
    values = {
        "member": make_member(vm, region=region),
        "work": {SERVICE: 1.5},
        "objects": {SERVICE: 40},
        "shares": {},
    }
    return Heartbeat(**{**values, **changes})


def make_feed(vm: str, *, region: str = REGION, **changes) -> RegionFeed:
    values = {
        "report_board": ReportBoard(fleet=Fleet()),
        "notice_board": make_notice_board(Fleet()),
        "own_heartbeat": lambda: make_heartbeat(vm, region=region),
        "region_sizes": lambda: {region: 1},
    }
    return RegionFeed(vm=vm, region=region, **{**values, **changes})


def make_fleet(*entries: ServerEntry) -> Fleet:
    fleet = Fleet()
    fleet.replace_all(entries, 0.0, grace_s=0.0)
    return fleet


def make_quota_members(
    vm: str, *others_by_region: list[str], since: float = -100.0
) -> QuotaMembers:
    """Return members as the gateway ``vm`` knows them, of which the first region is ``REGION``."""
    members = QuotaMembers(vm=vm)
    regions = [REGION, "south"]
    registered = {
        other: make_gateway(other, region=region)
        for region, others in zip(regions, others_by_region, strict=False)
        for other in others
    }
    members.update(registered, [], since)
    return members


def make_quotas(*, cold_quota: int = 1) -> ServerQuotas:
    """Return the quotas of the only gateway of the region."""
    return ServerQuotas(
        vm="vm",
        members=make_quota_members("vm", ["vm"]),
        cold_rate_per_s=lambda _: (cold_quota + 0.1) / COLD_USED_FRACTION,
    )


def make_selector(fleet: Fleet, *, cold_quota: int = 1) -> ServerSelector:
    return ServerSelector(
        fleet=fleet,
        processing_times=ProcessingTimes(),
        failure_domain="north-a",
        region=REGION,
        quotas=make_quotas(cold_quota=cold_quota),
        shift_limit=ShiftLimit(max_shift=0.15),
        shares_by_service={},
        rng=random.Random(1),
    )


def make_selection_request(key: str = "17", **changes) -> SelectionRequest:
    values = {"route": make_route(), "service": SERVICE, "key": key, "remaining_s": 2.0}
    return SelectionRequest(**{**values, **changes})


def server_state(fleet: Fleet, name: str) -> ServerState:
    return fleet.servers[name]


def add_pending_requests(state: ServerState, count: int) -> None:
    """Add pending requests of this gateway, sent at time 0, to a server."""
    state.load.pending += [PendingRequest(sent_at=0.0, expected_s=1.0) for _ in range(count)]


class LimitedGateway:
    """What one gateway of a region may send to servers whose rate is limited.

    Attributes:
        vm: Its VM.
        now: Its monotonic time in seconds.
        state: What it knows from the store.
        members: The gateways among which it divides limits.
        quotas: Its quotas.
    """

    def __init__(
        self, vm: str, registered: list[str], *entries: ServerEntry, now: float = 0.0
    ) -> None:
        self.vm = vm
        self.now = now
        self.state = RoutingState(fleet=Fleet(), clock=lambda: self.now)
        self.state.fleet.warmup_s = {SERVICE: 3.0}
        self.state.fleet.replace_all(entries, self.now, grace_s=0.0)
        self.members = QuotaMembers(vm=vm)
        self._next_update_at = now
        self.quotas = ServerQuotas(
            vm=vm,
            members=self.members,
            cold_rate_per_s=lambda _: COLD_RATE_PER_S,
        )
        self.list_gateways(registered, revision=1)

    def list_gateways(self, registered: list[str], *, revision: int) -> None:
        """Apply a full list of the registered gateways."""
        items = {vm: make_gateway(vm) for vm in registered}
        self.state.apply(
            Update(topic=Topic.GATEWAYS, whole=True, items=items, position=at(revision))
        )
        self.members.update(self.state.gateways, [], self.now)

    def advance(self, now: float) -> None:
        """Let the time pass, as the gateway's maintenance does."""
        self.now = now
        self.state.maintain()
        if now >= self._next_update_at:
            self._next_update_at = now + MAINTENANCE_INTERVAL_S
            self.members.update(self.state.gateways, [], now)

    def send(self, server: str) -> bool:
        """Send a request to ``server`` if the quotas allow it, and return whether they do."""
        state = self.state.fleet.servers.get(server)
        if state is None or not state.accepts_requests(self.now):
            return False
        if not self.quotas.allow(state, self.now):
            return False
        self.quotas.record_sent(state, self.now)
        return True

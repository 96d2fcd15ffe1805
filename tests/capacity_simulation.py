"""Simulation for the capacity state machine: sites, entries, member records and limits."""

import random
from collections import defaultdict
from dataclasses import dataclass

from knapweeddock.model import BackendServer, Config, Link, Region, Site
from knapweeddock.slotcapacity import SlotCapacity
from knapweeddock.slottypes import BorrowedSlot, ServerHealth, ServerReport, Slot
from knapweeddock.state import Member, MemberState, NodeState

DOMAINS = {"v1": "a1", "v2": "a1", "v3": "a1", "v4": "a2", "v5": "b1", "v6": "b1"}
REGIONS = {"A": Region(failure_domains=["a1", "a2"]), "B": Region(failure_domains=["b1"])}
REGION_OF = {"a1": "A", "a2": "A", "b1": "B"}
SERVERS = {"sa1": ["m1", "m2", "m3"], "sa2": ["m4", "m5"], "sb1": ["m6", "m7", "m8"]}
SITE_DOMAIN = {"sa1": "a1", "sa2": "a2", "sb1": "b1"}
REGION_A_SITE_CAP = 4
"""Cap of the sites of region A, which stays constant. Link caps are divided in proportion
to site caps, and sites in two domains would apply a new division at different times, so
that a link cap could be exceeded for a while."""

SERVER_NOTICE_S = 1.0
"""Time after which servers have noticed that an entry was killed and ended its requests."""


def initial_config() -> Config:
    sites = {
        name: Site(
            pool="p",
            failure_domain=SITE_DOMAIN[name],
            servers={server: BackendServer(address=server, slots=2) for server in servers},
            cap=6 if name == "sb1" else REGION_A_SITE_CAP,
            shift_cap=3,
            shift_start=1.0,
        )
        for name, servers in SERVERS.items()
    }
    links = {"A->B": Link(caps={"p": 2}), "B->A": Link(caps={"p": 3})}
    return Config(regions=REGIONS, links=links, sites=sites)


@dataclass
class CountedUse:
    """One slot in use, or requested under a grant, as the oracle counts it."""

    owner: str
    site: str
    origin_domain: str
    version: int
    slot: Slot | None = None
    borrowed_slot: BorrowedSlot | None = None
    borrower: str | None = None
    ends_at: float | None = None


class SimulatedEntry:
    """One entry process with its own clock, which may know old records and configurations."""

    def __init__(self, vm, incarnation, clock_rate, time):
        self.vm = vm
        self.domain = DOMAINS[vm]
        self.incarnation = incarnation
        self.clock_rate = clock_rate
        self.state = MemberState.JOINING
        self.paused = False
        self.known_versions = {}
        self.config = 0
        self.capacity = SlotCapacity(
            vm=vm,
            incarnation=incarnation,
            failure_domain=self.domain,
            internal_address=vm,
            now=self.now(time),
            rng=random.Random(0),
        )

    def now(self, time):
        return 500.0 + time * self.clock_rate


def configured_limit(config: Config, kind: str, name) -> int:
    """Return how many concurrent requests a configuration allows for a limit."""
    match kind:
        case "site":
            site = config.sites[name]
            return min(site.cap, sum(server.slots for server in site.servers.values()))
        case "server":
            servers = {n: s for site in config.sites.values() for n, s in site.servers.items()}
            return servers[name].slots if name in servers else 0
        case "slot":
            return 1
        case "shift":
            return config.sites[name].shift_cap
        case _:
            return config.links[name].caps["p"]


def make_member(vm, domain, incarnation="i1", state=MemberState.SERVING, **more):
    return Member(
        vm=vm,
        failure_domain=domain,
        incarnation=incarnation,
        state=state,
        public_address=vm,
        internal_address=vm,
        lending_address=vm,
        **more,
    )


class Simulation:
    """Simulated agents, servers and network, with the oracle that checks all limits."""

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.incarnation_count = 0
        self.configs = [initial_config()]
        self.records = defaultdict(list)
        self.entries = {}
        self.uses = []
        self.grant_versions = {}
        self.borrow_requests = []
        self.grant_replies = []
        self.clock_rates = {}

    def create(self, vm):
        self.incarnation_count += 1
        entry = SimulatedEntry(vm, f"i{self.incarnation_count}", self.clock_rates[vm], self.time)
        entry.config = len(self.configs) - 1
        self.entries[vm] = entry
        self.publish(entry)

    def publish(self, entry):
        member = make_member(
            entry.vm,
            entry.domain,
            incarnation=entry.incarnation,
            state=entry.state,
            settled_views=entry.capacity.settled_reports(),
        )
        self.records[entry.vm].append(member)
        entry.known_versions[entry.vm] = len(self.records[entry.vm]) - 1

    def deliver(self, entry):
        members = {vm: self.records[vm][version] for vm, version in entry.known_versions.items()}
        state = NodeState(
            config_version=entry.config, config=self.configs[entry.config], members=members
        )
        now = entry.now(self.time)
        entry.capacity.update(state, now)
        for site in state.config.sites.values():
            for server in site.servers:
                if server not in entry.capacity.health.records:
                    continue
                report = ServerReport(
                    server=server, health=ServerHealth.OK, in_flight=None, measured_at=now
                )
                entry.capacity.observe(report, now)

    def running(self, vm):
        entry = self.entries.get(vm)
        return entry if entry is not None and not entry.paused else None

    def domain_entries(self, domain):
        return [e for e in self.entries.values() if e.domain == domain]

    def highest_limit(self, uses, of):
        """Return the highest limit of the configurations under which the uses began."""
        return max(of(self.configs[use.version]) for use in uses)

    def check_limits(self):
        groups = defaultdict(list)
        for use in self.uses:
            home = SITE_DOMAIN[use.site]
            groups["site", use.site].append(use)
            if use.slot is not None:
                groups["server", use.slot.server].append(use)
                groups["slot", (use.slot.server, use.slot.index)].append(use)
            if use.origin_domain != home:
                groups["shift", use.site].append(use)
            if REGION_OF[use.origin_domain] != REGION_OF[home]:
                link = f"{REGION_OF[use.origin_domain]}->{REGION_OF[home]}"
                groups["link", link].append(use)
        for (kind, name), uses in groups.items():
            limit = self.highest_limit(
                uses, lambda config, k=kind, n=name: configured_limit(config, k, n)
            )
            assert len(uses) <= limit, f"{kind} {name}: {len(uses)} in use, limit {limit}: {uses}"

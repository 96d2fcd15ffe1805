"""Times of the capacity decisions, one JSON line per measure.

Run as ``python -m bench.micro_capacity``. Each figure is the median over the
repetitions of the time per call, in microseconds.
"""

import gc
import json
import random
import statistics
import time
from collections.abc import Callable

from knapweeddock.ids import SiteId
from knapweeddock.model import BackendServer, Config, Region, Site
from knapweeddock.slotcapacity import SlotCapacity
from knapweeddock.slots import RankLimits, ViewMember, make_view, ranked_slots
from knapweeddock.slotselection import select_slot
from knapweeddock.slottypes import ServerHealth, ServerReport, SlotOutcome
from knapweeddock.state import Member, MemberState, NodeState

SITE = SiteId("site-0-0")
DOMAIN = "domain-0"
VMS_PER_DOMAIN = 59
DOMAINS_MAX = 93
SITES_PER_DOMAIN = 2
SERVERS_PER_SITE = 35


def measure(name: str, call: Callable[[], object], *, repetitions: int, inner: int = 1) -> None:
    """Print the median time per call.

    Args:
        name: Name of the measure.
        call: What is measured.
        repetitions: Number of timed runs.
        inner: Calls in each run.
    """
    call()
    gc.collect()
    times = []
    for _ in range(repetitions):
        begin = time.perf_counter()
        for _ in range(inner):
            call()
        times.append((time.perf_counter() - begin) / inner * 1e6)
    line = {
        "measure": name,
        "median_us": round(statistics.median(times), 2),
        "min_us": round(min(times), 2),
        "max_us": round(max(times), 2),
        "repetitions": repetitions,
        "inner": inner,
    }
    print(json.dumps(line), flush=True)


def make_site(domain: str, prefix: str, servers: int) -> Site:
    """Return a site with ``servers`` backend servers of three slots."""
    return Site(
        pool="pool-0",
        failure_domain=domain,
        servers={
            f"{prefix}-server-{number:03}": BackendServer(address=f"{prefix}-{number:03}:80")
            for number in range(servers)
        },
    )


def make_member(number: int, domain: str) -> Member:
    """Return a serving member."""
    vm = f"vm-{number:05}"
    return Member(
        vm=vm,
        failure_domain=domain,
        incarnation=f"incarnation-{number:05}",
        state=MemberState.SERVING,
        public_address=f"{vm}:80",
        internal_address=f"{vm}:81",
        lending_address=f"{vm}:82",
    )


def make_state(members: int, *, version: int = 1) -> NodeState:
    """Return the state of a fleet of ``members`` entries."""
    domains = min(DOMAINS_MAX, max(1, members // VMS_PER_DOMAIN))
    regions = {
        f"region-{number}": Region(
            failure_domains=[f"domain-{d}" for d in (2 * number, 2 * number + 1) if d < domains]
        )
        for number in range((domains + 1) // 2)
    }
    sites = {}
    for domain in range(domains):
        for number in range(SITES_PER_DOMAIN):
            name = f"site-{domain}-{number}"
            sites[name] = make_site(f"domain-{domain}", name, SERVERS_PER_SITE)
    found = [make_member(number, f"domain-{number % domains}") for number in range(members)]
    return NodeState(
        config_version=version,
        config=Config(regions=regions, sites=sites),
        members={member.vm: member for member in found},
    )


def make_capacity(state: NodeState) -> SlotCapacity:
    """Return a capacity that has taken ``state`` and found all servers ready."""
    capacity = SlotCapacity(
        vm="vm-00000",
        incarnation="incarnation-00000",
        failure_domain=DOMAIN,
        internal_address="vm-00000:81",
        now=0.0,
        rng=random.Random(1),
        takeover_delay_s=0.0,
    )
    capacity.update(state, 0.1)
    for server in list(capacity.health.records):
        report = ServerReport(server=server, health=ServerHealth.OK, in_flight=1, measured_at=0.1)
        capacity.observe(report, 0.1)
    return capacity


def measure_choice() -> None:
    """Measure the choice of a server by a single VM with 35 servers."""
    capacity = make_capacity(make_state(1))
    free = capacity.slot_table.free[SITE]
    records = capacity.health.records
    in_flight = {server: 1 for server in list(free)[::3]}
    choice = lambda: select_slot(free, records, in_flight, 0.2)  # noqa: E731
    measure("choice_35_servers", choice, repetitions=200, inner=200)

    def acquire_and_release() -> None:
        slot = capacity.acquire("pool-0", 0.2)
        capacity.release(slot, SlotOutcome.ANSWERED, 0.2)

    measure("acquire_and_release_35_servers", acquire_and_release, repetitions=200, inner=100)


def measure_assignment() -> None:
    """Measure the division of a site's slots over its VMs."""
    for servers in (35, 200):
        slots = ranked_slots(SITE, make_site(DOMAIN, "site", servers))
        limits = RankLimits(shift_cap=len(slots), by_region={})
        for vms in (2, 12, 59):
            refs = [ViewMember(f"vm-{n:05}", f"incarnation-{n:05}", True) for n in range(vms)]
            call = lambda s=slots, r=refs, n=limits: make_view(s, r, n)  # noqa: E731
            measure(f"assign_{servers}_servers_{vms}_vms", call, repetitions=15)


def measure_update() -> None:
    """Measure ``update`` by the size of the fleet, with and without changes."""
    for members in (12, 100, 1000, 5500):
        state = make_state(members)
        capacity = make_capacity(state)
        same = lambda c=capacity, s=state: c.update(s, 0.3)  # noqa: E731
        measure(f"update_unchanged_{members}_members", same, repetitions=50)
        versions = iter(range(2, 1000))

        def changed(c: SlotCapacity = capacity, s: NodeState = state) -> None:
            newer = NodeState(
                config_version=next(versions),  # noqa: B023
                config=s.config,
                members=s.members,
            )
            c.update(newer, 0.3)

        measure(f"update_new_config_{members}_members", changed, repetitions=50)


def main() -> None:
    """Run all measures."""
    measure_choice()
    measure_assignment()
    measure_update()


if __name__ == "__main__":
    main()

"""Runs in which something fails under load."""

import time
from collections.abc import Callable

from bench.run import RunPlan, TimedAction
from bench.worker import Phase
from standins.deployment import Deployment

LEVEL = 0.8
WARM_S = 4.0
BEFORE_S = 6.0
FAULT_S = 12.0
AFTER_S = 8.0
FAULT_AT_S = WARM_S + BEFORE_S
REPAIR_AT_S = FAULT_AT_S + FAULT_S
COLD_S = 6.0
COLD_FACTOR = 2.0
"""Servers that take over a region's traffic are this much slower for a time."""


async def kill_entry(deployment: Deployment, notes: dict[str, object]) -> None:
    """Kill all processes of one entry VM; the VM list names it as leaving 2 s later."""
    vm = list(deployment.vms.values())[1]
    for process in vm.processes:
        process.kill()
    notes["killed"] = vm.vm
    notes["fault_at"] = time.time()


async def lose_region(deployment: Deployment, notes: dict[str, object]) -> None:
    """End everything in the first region; the servers elsewhere have cold caches."""
    region = next(iter(deployment.document["regions"].values()))
    domains = set(region["failure_domains"])
    for vm in deployment.vms.values():
        if vm.failure_domain in domains:
            for process in vm.processes:
                process.kill()
    for domain in domains:
        deployment.end_servers(domain)
    notes["killed"] = sorted(domains)
    notes["fault_at"] = time.time()
    for place in deployment.servers:
        if place.failure_domain not in domains:
            await deployment.set_server_faults(place.server, cold_s=COLD_S, cold_factor=COLD_FACTOR)


async def stop_reports(deployment: Deployment, notes: dict[str, object]) -> None:
    """Let no health or load report be answered any more."""
    notes["fault_at"] = time.time()
    for place in deployment.servers:
        await deployment.set_server_faults(place.server, silent_reports=True)


async def resume_reports(deployment: Deployment, notes: dict[str, object]) -> None:
    """Answer reports again."""
    for place in deployment.servers:
        await deployment.set_server_faults(place.server)


async def stop_platform(deployment: Deployment, notes: dict[str, object]) -> None:
    """Take the platform down."""
    notes["fault_at"] = time.time()
    await deployment.set_platform_faults(down=True)


async def resume_platform(deployment: Deployment, notes: dict[str, object]) -> None:
    """Bring the platform back."""
    await deployment.set_platform_faults()


FAULTS: dict[str, list[tuple[float, Callable]]] = {
    "entry-killed": [(FAULT_AT_S, kill_entry)],
    "region-lost": [(FAULT_AT_S, lose_region)],
    "reports-stopped": [(FAULT_AT_S, stop_reports), (REPAIR_AT_S, resume_reports)],
    "platform-down": [(FAULT_AT_S, stop_platform), (REPAIR_AT_S, resume_platform)],
}


def fault_plan(example: str, name: str, **options: object) -> RunPlan:
    """Return a run at 80 % load: before, during and after the fault."""
    parts = [("warm", WARM_S), ("before", BEFORE_S), ("fault", FAULT_S), ("after", AFTER_S)]
    phases = []
    start = 0.0
    for part, duration in parts:
        phases.append(Phase(name=part, level=LEVEL, start_at=start, duration_s=duration))
        start += duration
    return RunPlan(name=name, example=example, phases=phases, **options)


def fault_actions(fault: str) -> list[TimedAction]:
    """Return what happens in a run with ``fault``."""
    return [TimedAction(at_s=at_s, act=act) for at_s, act in FAULTS[fault]]

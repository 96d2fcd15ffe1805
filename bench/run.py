"""One measured run: a deployment, load processes, timed actions, and what came of it."""

import asyncio
import json
import shutil
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from bench.machine import CpuTimes, cores_used, sample
from bench.mix import ServiceTimes, group_of
from bench.worker import Phase, PhaseResult, WorkerSpec
from demo.scenario import knapweed
from knapweeddock.folder import read_folder
from standins.deployment import Deployment
from standins.processes import ManagedProcess, all_stopped

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CALLER_DELAY_S = {"karoo-vaal": 0.008, "registry": 0.003}
LEAD_S = 1.5
"""Time that a load process needs to start before its first phase."""

WORKER_TIMEOUT_S = 110.0
LATE_MS = 20.0
BUSY_FRACTION = 0.85
"""A load process that is busier or later than this limits the load."""


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """What one run does.

    Attributes:
        name: Name of the run.
        example: Name of the example.
        phases: Phases; their start is relative to the start of the load.
        times: Service times.
        entry_module: Module that is run as the entry process.
        workers: Number of load processes.
        callers: Callers of each load process.
        seed: Seed of the load.
    """

    name: str
    example: str
    phases: list[Phase]
    times: ServiceTimes = field(default_factory=ServiceTimes)
    entry_module: str = "knapweeddock.entry"
    workers: int = 4
    callers: int = 100
    seed: int = 1


@dataclass(kw_only=True)
class RunResult:
    """What came of one run.

    Attributes:
        plan: The plan with the phases at their wall times.
        deployment: The deployment; its processes are gone.
        phases: Results of all load processes.
        logs: Logs of the backend servers.
        ended_at: Wall time at which the logs were read.
        cores: Cores in use by phase and role.
        notes: Values that the actions noted.
    """

    plan: RunPlan
    deployment: Deployment
    phases: list[PhaseResult]
    logs: list[dict]
    ended_at: float
    cores: dict[str, dict[str, float]]
    notes: dict[str, object]

    @property
    def limits(self) -> list[str]:
        """Return in words where the load processes limited the load."""
        return [
            f"{found.phase}: load process {found.cpu_fraction:.2f} of a core busy, "
            f"starts late by {found.lateness_p99_ms:.0f} ms (p99), "
            f"{found.not_started} not started"
            for found in self.phases
            if found.lateness_p99_ms > LATE_MS
            or found.cpu_fraction > BUSY_FRACTION
            or found.not_started
        ]


Action = Callable[[Deployment, dict[str, object]], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class TimedAction:
    """Something that is done to the deployment while the load runs.

    Attributes:
        at_s: Time since the start of the load.
        act: What is done; it may note values in the dictionary.
    """

    at_s: float
    act: Action


def prepare(plan: RunPlan, root: Path) -> Deployment:
    """Copy an example's folder, set its service times and describe its processes."""
    config = root / "config"
    shutil.copytree(EXAMPLES / plan.example, config)
    document = read_folder(config).document
    services = {
        name: {
            "classes": {
                kind: {
                    "service_time_ms": plan.times.bulk_ms
                    if group_of(entry) == "bulk"
                    else plan.times.account_ms
                }
                for kind, entry in service["classes"].items()
            }
        }
        for name, service in document["services"].items()
    }
    override = config / "zz-bench-service-times.json"
    override.write_text(json.dumps({"services": services}, indent=1))
    deployment = Deployment(
        root=root,
        config=config,
        document=read_folder(config).document,
        service_ms=plan.times.account_ms,
        with_delays=True,
        entry_module=plan.entry_module,
    )
    deployment.prepare()
    return deployment


@asynccontextmanager
async def running(deployment: Deployment) -> AsyncIterator[None]:
    """Start all processes and the configuration; kill them at the end."""
    with all_stopped(deployment.processes):
        for process in [deployment.platform, *deployment.backends]:
            process.start()
        await deployment.wait_standins()
        await deployment.publish_vm_list()
        for vm in deployment.vms.values():
            for process in vm.processes:
                process.start()
        result = await knapweed(deployment, "apply", str(deployment.config), quiet=True)
        if result.status != 0:
            raise RuntimeError(f"the configuration was not accepted: {result.output}")
        await deployment.wait_ready()
        yield


def make_workers(plan: RunPlan, deployment: Deployment, started_at: float) -> list[ManagedProcess]:
    """Write the load processes' files and describe the processes."""
    phases = [replace(phase, start_at=started_at + phase.start_at) for phase in plan.phases]
    found = []
    for number in range(plan.workers):
        spec = WorkerSpec(
            document=deployment.document,
            lookups=[vm.lookup_url for vm in deployment.vms.values()],
            phases=phases,
            times=plan.times,
            part=1 / plan.workers,
            callers=plan.callers,
            delay_s=CALLER_DELAY_S[plan.example],
            seed=plan.seed * 1000 + number,
        )
        path = deployment.root / f"load-{number}.json"
        path.write_bytes(msgspec.json.encode(spec))
        result = deployment.root / f"load-{number}-result.json"
        arguments = ["-m", "bench.worker", str(path), str(result)]
        found.append(deployment.process(f"load-{number}", arguments))
    return found


def process_ids(deployment: Deployment, workers: list[ManagedProcess]) -> dict[str, list[int]]:
    """Return the process ids of a run by role."""
    vms = deployment.vms.values()
    roles = {
        "entries": [vm.entry for vm in vms],
        "agents": [vm.agent for vm in vms],
        "lookups": [vm.lookup for vm in vms],
        "servers": deployment.backends,
        "platform": [deployment.platform],
        "load": workers,
    }
    return {
        role: [process.child.pid for process in processes if process.child]
        for role, processes in roles.items()
    }


async def watch_cores(
    plan: RunPlan, started_at: float, ids: dict[str, list[int]]
) -> dict[str, dict[str, float]]:
    """Return the cores in use in each phase."""
    found = {}
    for phase in plan.phases:
        await asyncio.sleep(max(0.0, started_at + phase.start_at - time.time()))
        before: CpuTimes = sample(ids)
        await asyncio.sleep(max(0.0, phase.duration_s))
        found[phase.name] = cores_used(before, sample(ids))
    return found


async def act_in_time(
    deployment: Deployment, started_at: float, actions: list[TimedAction]
) -> dict[str, object]:
    """Carry the actions out at their times; return what they noted."""
    notes: dict[str, object] = {}

    async def wait_and_act(action: TimedAction) -> None:
        await asyncio.sleep(max(0.0, started_at + action.at_s - time.time()))
        await action.act(deployment, notes)

    await asyncio.gather(*(wait_and_act(action) for action in actions))
    return notes


async def carry_out(plan: RunPlan, root: Path, actions: list[TimedAction]) -> RunResult:
    """Carry a run out."""
    deployment = prepare(plan, root)
    async with running(deployment):
        started_at = time.time() + LEAD_S
        workers = make_workers(plan, deployment, started_at)
        with all_stopped(workers):
            for worker in workers:
                worker.start()
            ids = process_ids(deployment, workers)
            cores, notes = await asyncio.gather(
                watch_cores(plan, started_at, ids), act_in_time(deployment, started_at, actions)
            )
            for worker in workers:
                status = await asyncio.to_thread(worker.wait, WORKER_TIMEOUT_S)
                if status != 0:
                    raise RuntimeError(f"{worker.name} ended with status {status}; see its log")
        logs = await deployment.server_logs()
    phases: list[PhaseResult] = []
    for number in range(plan.workers):
        content = (root / f"load-{number}-result.json").read_bytes()
        phases += msgspec.json.decode(content, type=list[PhaseResult])
    notes["started_at"] = started_at
    return RunResult(
        plan=plan,
        deployment=deployment,
        phases=phases,
        logs=logs,
        ended_at=time.time(),
        cores=cores,
        notes=notes,
    )

"""One load process: ``python -m bench.worker SPEC RESULT``.

Several of them share a load, so that one event loop does not limit it. Each
process reports how late its calls started and how busy it was; a record made
with late calls or busy processes says so.
"""

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from bench.load import LoadRun, addresses_of, make_callers
from bench.mix import ServiceTimes, endless_calls, loaded_shapes
from standins.caller import CallResult, caller_session

LATENESS_PERCENTILE = 99.0
US = 1e6


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A part of a run with one rate.

    Attributes:
        name: Name for the report.
        level: Load as a multiple of the capacity of all usable slots.
        start_at: Wall time of the start.
        duration_s: Time during which calls start.
    """

    name: str
    level: float
    start_at: float
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class WorkerSpec:
    """What one load process does.

    Attributes:
        document: Configuration of the deployment.
        lookups: Base URLs of the look-up processes.
        phases: Phases in order.
        times: Service times.
        part: Part of the whole load.
        callers: Number of callers of this process.
        delay_s: One-way delay between callers and entries.
        seed: Seed of all randomness.
    """

    document: dict
    lookups: list[str]
    phases: list[Phase]
    times: ServiceTimes
    part: float
    callers: int
    delay_s: float
    seed: int


@dataclass(kw_only=True)
class PhaseResult:
    """What one load process saw in one phase.

    Attributes:
        phase: Name of the phase.
        results: Calls that ended.
        not_started: Calls that were due while too many were in flight.
        lateness_p99_ms: 99th percentile of the start's lateness.
        cpu_fraction: Part of a core that the process used while calls started.
    """

    phase: str
    results: list[CallResult] = field(default_factory=list)
    not_started: int = 0
    lateness_p99_ms: float = 0.0
    cpu_fraction: float = 0.0


async def run_phase(spec: WorkerSpec, phase: Phase, callers: list, seed: str) -> PhaseResult:
    """Run one phase, from its start until its last call has ended."""
    rng = random.Random(seed)
    shapes = loaded_shapes(spec.document, spec.times, phase.level)
    rate = sum(shape.weight for shape in shapes) * spec.part
    load = LoadRun(callers=callers, calls=endless_calls(shapes, rng), rng=rng)
    await asyncio.sleep(max(0.0, phase.start_at - time.time()))
    cpu, started = time.process_time(), time.monotonic()
    task = asyncio.create_task(load.run(rate, phase.duration_s))
    await asyncio.sleep(phase.duration_s)
    used = (time.process_time() - cpu) / (time.monotonic() - started)
    await task
    lateness = HdrHistogram(1, int(60 * US), 3)
    for late_s in load.lateness_s:
        lateness.record_value(max(1, int(late_s * US)))
    return PhaseResult(
        phase=phase.name,
        results=load.results,
        not_started=load.not_started,
        lateness_p99_ms=lateness.get_value_at_percentile(LATENESS_PERCENTILE) / 1000,
        cpu_fraction=used,
    )


async def run(spec: WorkerSpec) -> list[PhaseResult]:
    """Run all phases; a phase whose calls end late does not delay the next one."""
    async with caller_session(limit=0) as session:
        callers = make_callers(
            session=session,
            lookups=spec.lookups,
            service=next(iter(spec.document["services"])),
            addresses=addresses_of(spec.document, spec.callers, random.Random(spec.seed)),
            delay_s=spec.delay_s,
            seed=spec.seed,
        )
        phases = [
            run_phase(spec, phase, callers, f"{spec.seed}/{phase.name}") for phase in spec.phases
        ]
        return await asyncio.gather(*phases)


def main() -> None:
    """Run the load that a file describes and write its results."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerSpec)
    found = asyncio.run(run(spec))
    Path(sys.argv[2]).write_bytes(msgspec.json.encode(found))


if __name__ == "__main__":
    main()

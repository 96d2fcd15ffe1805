"""Carries a plan of faults out on a deployment and gathers what was seen."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from knapweeddock.gateway.service import MAINTENANCE_INTERVAL_S
from soak.callers import Caller, Request, read_reply
from soak.deployment import Deployment, GatewayHost, running_deployment
from soak.faults import LATEST_GENERATION, DrainServer, PlannedFault, Size, draw_round
from soak.injection import apply_fault
from soak.observations import Observations
from soak.promises import BrokenPromise, broken_promises
from soak.stalls import note_logged_stalls, watch_own_stalls

RECOVERY_LIMIT_S = 30.0
"""Time in seconds after the last fault within which every gateway must serve."""

WARM_S = 5.0
"""Time in seconds for which servers that started last are still cold, with a reserve."""

CALM_S = 6.0
"""Length of the calm span at the end of a round, in seconds."""

PROBE_S = 0.1
TRACEBACK = "Traceback (most recent call last)"


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakPlan:
    """What a run does.

    Attributes:
        seed: Seed of everything that is drawn.
        rounds: Rounds of faults, each followed by a calm span.
        faults: Faults in a round.
        round_s: Time within which the faults of a round begin, in seconds.
        callers: Number of callers.
        size: Parts of the deployment.
        generation: Generation of the kinds of faults.
    """

    seed: int
    rounds: int = 1
    faults: int = 12
    round_s: float = 12.0
    callers: int = 12
    size: Size = field(default_factory=Size)
    generation: int = LATEST_GENERATION


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """What came of a run.

    Attributes:
        plan: What was done.
        drawn: The faults of all rounds.
        seen: What callers and servers saw.
        broken: Findings.
    """

    plan: SoakPlan
    drawn: list[PlannedFault]
    seen: Observations
    broken: list[BrokenPromise]


async def soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run a plan; settings and logs of the processes go to ``folder``."""
    rng = random.Random(plan.seed)
    seen = Observations()
    drawn: list[PlannedFault] = []
    async with running_deployment(folder, size=plan.size, seen=seen) as deployment:
        await _recovered(deployment)
        async with _calling(plan, deployment):
            for _ in range(plan.rounds):
                planned = draw_round(
                    rng,
                    size=plan.size,
                    faults=plan.faults,
                    length_s=plan.round_s,
                    generation=plan.generation,
                )
                drawn += planned
                await _disturb(deployment, planned)
                await _calm(deployment)
        seen.sends = sum(host.sends for host in deployment.servers)
        await asyncio.gather(*(gateway.stop(0.0) for gateway in deployment.gateways))
    seen.process_faults += _tracebacks(folder)
    note_logged_stalls(seen, folder, MAINTENANCE_INTERVAL_S)
    return SoakResult(plan=plan, drawn=drawn, seen=seen, broken=broken_promises(seen))


@contextlib.asynccontextmanager
async def _calling(plan: SoakPlan, deployment: Deployment) -> AsyncIterator[None]:
    """Let callers send within the block."""
    fronts = {gateway.name: gateway.front.address for gateway in deployment.gateways}
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(watch_own_stalls(deployment.seen))]
        tasks += [
            group.create_task(
                Caller(
                    name=f"c{number}",
                    rng=random.Random(f"{plan.seed}/{number}"),
                    fronts=fronts,
                    seen=deployment.seen,
                    bodies=deployment.bodies,
                ).run()
            )
            for number in range(plan.callers)
        ]
        yield
        for task in tasks:
            task.cancel()


async def _disturb(deployment: Deployment, planned: list[PlannedFault]) -> None:
    """Begin the faults at their times and wait for the end of all."""
    async with asyncio.TaskGroup() as group:
        began_at = time.monotonic()
        for each in planned:
            await asyncio.sleep(began_at + each.at_s - time.monotonic())
            group.create_task(apply_fault(deployment, each.fault))


async def _calm(deployment: Deployment) -> None:
    """Wait for the recovery, then change what is planned while everything is served."""
    await _recovered(deployment)
    await asyncio.sleep(WARM_S)
    began_at = time.monotonic()
    deployment.publish_routes()
    await apply_fault(deployment, DrainServer(server=0, for_s=CALM_S))
    deployment.seen.calm_spans.append((began_at, time.monotonic()))


async def _recovered(deployment: Deployment) -> None:
    """Wait until every gateway serves; note those that do not in time."""
    seen = deployment.seen
    await asyncio.gather(*(_serves(gateway, seen) for gateway in deployment.gateways))


async def _serves(gateway: GatewayHost, seen: Observations) -> None:
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            await _answer_of(gateway.front.target, f"probe-{gateway.name}")
    except TimeoutError:
        text = f"{gateway.name} does not serve {RECOVERY_LIMIT_S:g} s after the last fault"
        seen.process_faults.append(text)


async def _answer_of(front: tuple[str, int], request_id: str) -> None:
    """Repeat a request until it succeeds."""
    while True:
        if await _answers(front, request_id):
            return
        await asyncio.sleep(PROBE_S)


async def _answers(front: tuple[str, int], request_id: str) -> bool:
    request = Request(request_id=request_id, target="/read/probe", idempotent=True)
    try:
        reader, writer = await asyncio.open_connection(*front)
    except OSError:
        return False
    try:
        writer.write(request.encode(0))
        return (await read_reply(reader)).status == 200
    finally:
        writer.transport.abort()


def _tracebacks(folder: Path) -> list[str]:
    return [
        f"{path.name} has a traceback"
        for path in sorted(folder.glob("*.log"))
        if TRACEBACK in path.read_text(errors="replace")
    ]


def outcome_counts(seen: Observations) -> Counter[str]:
    """Return the number of calls by outcome and status."""
    return Counter(f"{call.outcome.value} {call.status or ''}".strip() for call in seen.calls)

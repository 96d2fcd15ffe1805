"""Runs the demonstration: ``python -m demo [--example karoo-vaal|registry]``."""

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from bench.load import LoadRun, addresses_of, make_callers
from bench.mix import call_shapes, endless_calls
from bench.summary import BrokenPromises, by_class, compare_with_logs
from demo.scenario import Findings, knapweed, run_steps, say
from knapweeddock.folder import read_folder
from standins.caller import CallOutcome, caller_session
from standins.deployment import Deployment
from standins.processes import all_stopped

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CALLERS = 60
SERVICE_MS = 60.0
RATE_PER_S = 120.0
LOAD_S = 34.0
CALLER_DELAY_S = {"karoo-vaal": 0.008, "registry": 0.003}
SEED = 20


def prepare(example: str, root: Path) -> Deployment:
    """Copy an example's folder and describe its processes."""
    config = root / "config"
    shutil.copytree(EXAMPLES / example, config)
    document = read_folder(config).document
    deployment = Deployment(root=root, config=config, document=document, service_ms=SERVICE_MS)
    deployment.prepare()
    return deployment


async def start(deployment: Deployment) -> None:
    """Start the platform and servers, apply the configuration, start the VMs."""
    for process in [deployment.platform, *deployment.backends]:
        process.start()
    await deployment.wait_standins()
    await deployment.publish_vm_list()
    for vm in deployment.vms.values():
        for process in vm.processes:
            process.start()
    result = await knapweed(deployment, "apply", str(deployment.config))
    if result.status != 0:
        raise RuntimeError("the example's configuration was not accepted")
    started = time.monotonic()
    await deployment.wait_ready()
    say(f"{len(deployment.vms)} entry VMs serve after {time.monotonic() - started:.1f} s")


async def demonstrate(example: str, root: Path) -> int:
    """Run the whole demonstration; return the exit status."""
    deployment = prepare(example, root)
    findings = Findings()
    with all_stopped(deployment.processes):
        await start(deployment)
        async with caller_session() as session:
            load = make_load(deployment, session, CALLER_DELAY_S[example])
            task = asyncio.create_task(load.run(RATE_PER_S, LOAD_S))
            await run_steps(deployment, findings)
            await task
        broken = compare_with_logs(load.results, await deployment.server_logs())
    return summarize(load, broken, findings)


def make_load(deployment: Deployment, session, delay_s: float) -> LoadRun:
    """Return the load of callers from all client blocks."""
    shapes = call_shapes(deployment.document)
    rng = random.Random(SEED)
    callers = make_callers(
        session=session,
        lookups=[vm.lookup_url for vm in deployment.vms.values()],
        service=shapes[0].service,
        addresses=addresses_of(deployment.document, CALLERS, rng),
        delay_s=delay_s,
        seed=SEED,
    )
    return LoadRun(callers=callers, calls=endless_calls(shapes, rng), rng=rng)


def summarize(load: LoadRun, broken: BrokenPromises, findings: Findings) -> int:
    """Print the closing summary; return 0 when every promise held."""
    say("")
    say(f"{'class':<16}{'answered':>9}{'not run':>9}{'unknown':>9}{'p50 ms':>9}{'p99 ms':>9}")
    cut = 0
    for kind, summary in sorted(by_class(load.results).items()):
        record = summary.record()
        counts = summary.outcomes
        unknown = counts[CallOutcome.UNKNOWN]
        cut += unknown + counts[CallOutcome.NO_ENTRY]
        say(
            f"{kind:<16}{counts[CallOutcome.COMPLETE]:>9}{counts[CallOutcome.NOT_RUN]:>9}"
            f"{unknown:>9}{record['p50_ms']:>9.1f}{record['p99_ms']:>9.1f}"
        )
    lookups = sum(caller.lookup_count for caller in load.callers)
    say(f"look-ups answered: {lookups}; calls without a known outcome: {cut}")
    say(
        f"doubled: {len(broken.doubled)}; false 'not run': {len(broken.false_not_run)}; "
        f"lost: {len(broken.lost)}; wrong or partial answers: {broken.wrong}; "
        f"servers over their slots: {len(broken.overrun)}; "
        f"sheds by servers: {broken.refused_at_servers}"
    )
    say(
        f"in force everywhere: {findings.in_force_s:.2f} s; last new work after drain: "
        f"{findings.drain_s:.2f} s; planned stop: {findings.stop_s:.1f} s"
    )
    for text in findings.broken:
        say(f"BROKEN: {text}")
    return 1 if broken.count or findings.broken else 0


@contextmanager
def working_folder(keep: Path | None) -> Iterator[Path]:
    """Yield the folder for settings and logs; remove it at the end unless it is named."""
    if keep is not None:
        keep.mkdir(parents=True)
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="knapweeddock-") as folder:
        yield Path(folder)


def main() -> int:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", choices=sorted(CALLER_DELAY_S), default="karoo-vaal")
    parser.add_argument("--keep", type=Path, metavar="FOLDER", help="keep settings and logs here")
    arguments = parser.parse_args()
    started = time.monotonic()
    with working_folder(arguments.keep) as folder:
        status = asyncio.run(demonstrate(arguments.example, folder))
    say(f"ended after {time.monotonic() - started:.0f} s with status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())

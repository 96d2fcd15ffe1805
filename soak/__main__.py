"""Runs the soak: ``python -m soak --seed N [--minutes M]`` or ``--recorded``."""

import argparse
import asyncio
import signal
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass
from pathlib import Path

from soak.faults import LATEST_GENERATION, Size
from soak.run import SoakPlan, SoakResult, outcome_counts, soak

RECORDED = Path(__file__).with_name("recorded.toml")
"""Seeds that have failed once."""

MOST_FINDINGS = 20
"""Findings that are printed for one seed."""


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--seed", type=int, help="the first seed")
    chosen.add_argument("--recorded", action="store_true", help="the seeds that failed once")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds that follow")
    parser.add_argument("--minutes", type=float, help="go on with further seeds for that long")
    parser.add_argument("--rounds", type=int, default=1, help="rounds of faults for each seed")
    parser.add_argument("--faults", type=int, default=12, help="faults in a round")
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--logs", type=Path, help="folder for logs; a temporary one if not given")
    return parser.parse_args(arguments)


@dataclass(frozen=True, kw_only=True)
class Seed:
    """A seed, and the generation of the kinds of faults that it draws from."""

    number: int
    generation: int = LATEST_GENERATION


def seeds_of(options: argparse.Namespace) -> Iterator[Seed]:
    """Yield the seeds to run, until the time is over if one is given."""
    if options.recorded:
        yield from recorded_seeds()
        return
    if options.minutes is None:
        for number in range(options.seed, options.seed + options.seeds):
            yield Seed(number=number)
        return
    deadline = time.monotonic() + options.minutes * 60
    number = options.seed
    while time.monotonic() < deadline:
        yield Seed(number=number)
        number += 1


def recorded_seeds() -> list[Seed]:
    """Return the seeds that have failed once."""
    document = tomllib.loads(RECORDED.read_text())
    return [
        Seed(number=entry["number"], generation=entry["generation"]) for entry in document["seed"]
    ]


def report(result: SoakResult, folder: Path) -> None:
    """Print what a seed did and found."""
    kinds = Counter(type(planned.fault).__name__ for planned in result.drawn)
    outcomes = outcome_counts(result.seen)
    print(f"seed {result.plan.seed}: {len(result.seen.calls)} calls, {result.seen.sends} sends")
    print("  faults: " + ", ".join(f"{name} {count}" for name, count in sorted(kinds.items())))
    print("  calls: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items())))
    print(f"  stalls of processes: {result.seen.stalls}")
    for finding in result.broken[:MOST_FINDINGS]:
        print(f"  BROKEN {finding.promise}: {finding.detail}")
    if len(result.broken) > MOST_FINDINGS:
        print(f"  and {len(result.broken) - MOST_FINDINGS} more")
    if result.broken:
        print(f"  logs: {folder}")


async def stopped_by_signal(run: Coroutine[None, None, SoakResult]) -> SoakResult:
    """Run the soak; SIGTERM cancels it, so that its processes end with it."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> int:
    """Run all seeds; return 1 if a promise was broken."""
    options = parse_arguments()
    parent = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    ran = 0
    for seed in seeds_of(options):
        folder = parent / f"seed-{seed.number}"
        folder.mkdir(parents=True, exist_ok=True)
        plan = SoakPlan(
            seed=seed.number,
            generation=seed.generation,
            rounds=options.rounds,
            faults=options.faults,
            callers=options.callers,
            size=Size(gateways=options.gateways, servers=options.servers),
        )
        result = asyncio.run(stopped_by_signal(soak(plan, folder)))
        report(result, folder)
        ran += 1
        if result.broken:
            failed.append(seed.number)
    print(f"{ran} seeds ran, {len(failed)} with broken promises: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

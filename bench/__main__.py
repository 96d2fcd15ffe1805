"""Runs the experiments: ``python -m bench [levels] [--example karoo-vaal|registry]``.

Each run writes ``bench/results/<name>.json`` and a report beside it.
"""

import argparse
import asyncio
import json
import shlex
import sys
import tempfile
from pathlib import Path

from bench.levels import level_actions, level_plan
from bench.record import make_record
from bench.report import write_report
from bench.run import CALLER_DELAY_S, RunPlan, TimedAction, carry_out

RESULTS = Path(__file__).resolve().parent / "results"


def command_line() -> str:
    """Return the command with which this run can be repeated."""
    return shlex.join(["python", "-m", "bench", *sys.argv[1:]])


def measure(plan: RunPlan, actions: list[TimedAction], keep: Path | None = None) -> dict:
    """Carry a run out and write its record and report."""
    RESULTS.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="knapweeddock-bench-") as folder:
        root = keep or Path(folder)
        root.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(carry_out(plan, root, actions))
    record = make_record(result, command_line())
    (RESULTS / f"{plan.name}.json").write_text(json.dumps(record, indent=1) + "\n")
    report = write_report(record, RESULTS)
    print(report.read_text())
    return record


def main() -> int:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", nargs="?", default="levels", choices=["levels"])
    parser.add_argument("--example", choices=sorted(CALLER_DELAY_S), default="karoo-vaal")
    parser.add_argument("--name", help="name of the record")
    parser.add_argument("--keep", type=Path, metavar="FOLDER", help="keep settings and logs here")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    name = arguments.name or f"{arguments.experiment}-{arguments.example}"
    plan = level_plan(arguments.example, name, seed=arguments.seed)
    record = measure(plan, level_actions(), arguments.keep)
    broken = record["broken"]
    promises = sum(count for kind, count in broken.items() if kind != "shed_by_servers")
    return 1 if promises or record["over_cap"] else 0


if __name__ == "__main__":
    sys.exit(main())

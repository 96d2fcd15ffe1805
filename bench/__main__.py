"""Runs the experiments: ``python -m bench EXPERIMENT ...``.

Each run writes ``bench/results/<name>.json`` and a report beside it.
"""

import argparse
import asyncio
import json
import os
import shlex
import sys
import tempfile
from pathlib import Path

from bench.added import measure_added
from bench.compare import ENTRIES, compare_plan, comparison
from bench.faults import FAULTS, fault_actions, fault_plan
from bench.levels import level_actions, level_plan
from bench.record import make_record
from bench.report import write_report
from bench.run import CALLER_DELAY_S, RunPlan, TimedAction, carry_out

HERE = Path(__file__).resolve().parent
RESULTS = HERE / "results"
RECORDS = HERE / "records"


def command_line() -> str:
    """Return the command with which this run can be repeated."""
    return shlex.join(["python", "-m", "bench", *sys.argv[1:]])


def measure(plan: RunPlan, actions: list[TimedAction], arguments: argparse.Namespace) -> dict:
    """Carry a run out and write its record and report."""
    RESULTS.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="knapweeddock-bench-") as folder:
        root = arguments.keep / plan.name if arguments.keep else Path(folder)
        root.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(carry_out(plan, root, actions))
    record = make_record(result, command_line())
    write_record(record, arguments)
    print(write_report(record, RESULTS).read_text(), flush=True)
    return record


def write_record(record: dict, arguments: argparse.Namespace) -> None:
    """Write a record to the results, and to the committed records when asked."""
    content = json.dumps(record, indent=1) + "\n"
    (RESULTS / f"{record['name']}.json").write_text(content)
    if arguments.commit:
        RECORDS.mkdir(exist_ok=True)
        (RECORDS / f"{record['name']}.json").write_text(content)


def run_levels(arguments: argparse.Namespace) -> list[dict]:
    """Run all load levels."""
    name = arguments.name or f"levels-{arguments.example}"
    entry = ENTRIES[arguments.entry]
    plan = level_plan(arguments.example, name, seed=arguments.seed, entry_module=entry)
    return [measure(plan, level_actions(), arguments)]


def run_faults(arguments: argparse.Namespace) -> list[dict]:
    """Run one fault, or all of them."""
    found = []
    for fault in [arguments.fault] if arguments.fault else FAULTS:
        name = f"{arguments.name or fault}-{arguments.example}-{arguments.entry}"
        plan = fault_plan(
            arguments.example, name, seed=arguments.seed, entry_module=ENTRIES[arguments.entry]
        )
        found.append(measure(plan, fault_actions(fault), arguments))
    return found


def run_compare(arguments: argparse.Namespace) -> list[dict]:
    """Run the product and the baseline once each."""
    records = {}
    for entry, module in ENTRIES.items():
        name = f"compare-{arguments.example}-{entry}-{arguments.seed}"
        plan = compare_plan(arguments.example, name, seed=arguments.seed, entry_module=module)
        records[entry] = [measure(plan, [], arguments)]
    print(comparison(records))
    return records["knapweeddock"]


def run_variant(arguments: argparse.Namespace) -> list[dict]:
    """Run the load of ``compare`` once, for a variant of the code; ``--name`` names it."""
    name = f"{arguments.name or arguments.entry}-{arguments.seed}"
    entry = ENTRIES[arguments.entry]
    plan = compare_plan(arguments.example, name, seed=arguments.seed, entry_module=entry)
    return [measure(plan, [], arguments)]


def run_summary(arguments: argparse.Namespace) -> list[dict]:
    """Compare records that exist: files of each entry or each variant, by name prefix."""
    groups = arguments.groups or [f"compare-{arguments.example}-{entry}" for entry in ENTRIES]
    records = {
        group: [json.loads(path.read_text()) for path in sorted(RESULTS.glob(f"{group}-*.json"))]
        for group in groups
    }
    print(comparison(records))
    return []


def run_added(arguments: argparse.Namespace) -> list[dict]:
    """Measure the latency that the proxy adds."""
    RESULTS.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="knapweeddock-bench-") as folder:
        record = asyncio.run(measure_added(arguments.example, Path(folder)))
    record |= {"command": command_line(), "load_average": list(os.getloadavg())}
    write_record(record, arguments)
    print(json.dumps(record, indent=1))
    return []


EXPERIMENTS = {
    "added": run_added,
    "levels": run_levels,
    "faults": run_faults,
    "compare": run_compare,
    "variant": run_variant,
    "summary": run_summary,
}


def main() -> int:
    """Read the arguments and run; the status is 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", nargs="?", default="levels", choices=list(EXPERIMENTS))
    parser.add_argument("--example", choices=sorted(CALLER_DELAY_S), default="karoo-vaal")
    parser.add_argument("--entry", choices=list(ENTRIES), default="knapweeddock")
    parser.add_argument("--fault", choices=list(FAULTS))
    parser.add_argument("--groups", nargs="*", help="prefixes of the records to compare")
    parser.add_argument("--name", help="name of the record")
    parser.add_argument("--keep", type=Path, metavar="FOLDER", help="keep settings and logs here")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--commit", action="store_true", help="write to bench/records as well")
    arguments = parser.parse_args()
    records = EXPERIMENTS[arguments.experiment](arguments)
    status = 0
    for record in records:
        promises = sum(n for kind, n in record["broken"].items() if kind != "shed_by_servers")
        if promises or record["over_cap"]:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())

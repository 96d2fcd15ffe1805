"""The product and the baseline under the same load, one after the other."""

from statistics import mean

from bench.report import table
from bench.run import RunPlan
from bench.worker import Phase

WARM_S = 4.0
LEVEL_S = 8.0
GAP_S = 3.0
LEVELS = (0.8, 1.2, 2.0)
ENTRIES = {"knapweeddock": "knapweeddock.entry", "baseline": "bench.baseline"}


def compare_plan(example: str, name: str, **options: object) -> RunPlan:
    """Return a run below, above and far above the capacity."""
    phases = [Phase(name="warm", level=0.5, start_at=0.0, duration_s=WARM_S)]
    start = WARM_S
    for level in LEVELS:
        phases.append(Phase(name=f"{level:g}", level=level, start_at=start, duration_s=LEVEL_S))
        start += LEVEL_S + GAP_S
    return RunPlan(name=name, example=example, phases=phases, **options)


def measures(record: dict, phase: str) -> dict[str, float]:
    """Return what is compared in one phase of one run."""
    found = record["phases"][phase]
    everything = found["classes"]["all"]
    outcomes = everything["outcomes"]
    total = sum(outcomes.values())
    broken = record["broken"]
    return {
        "goodput/s": found["goodput_per_s"],
        "complete %": 100 * outcomes.get("complete", 0) / total,
        "unknown": outcomes.get("unknown", 0),
        "p50 ms": everything["p50_ms"],
        "p99 ms": everything["p99_ms"],
        "sends per call": found["sends_per_call"],
        "cores of entries": found["cores"].get("entries", 0.0),
        "cancelled at servers % (run)": 100
        * record["server_runs_cancelled"]
        / max(1, record["server_runs"]),
        "cores of others": found["cores"].get("others", 0.0),
        "shed by servers (run)": broken["shed_by_servers"],
        "doubled (run)": broken["doubled"],
        "caps exceeded (run)": len(record["over_cap"]),
    }


def comparison(records: dict[str, list[dict]]) -> str:
    """Return a table of means with the smallest and largest value.

    Args:
        records: Records by the name of what was measured.
    """
    first = next(iter(records.values()))[0]
    parts = []
    for phase in first["phases"]:
        found = {
            name: [measures(record, phase) for record in runs] for name, runs in records.items()
        }
        rows = []
        for measure in next(iter(found.values()))[0]:
            row = [measure]
            for runs in found.values():
                values = [run[measure] for run in runs]
                row.append(f"{mean(values):.4g} ({min(values):.4g} to {max(values):.4g})")
            rows.append(row)
        parts.append(f"Phase {phase}:\n\n{table(['measure', *found], rows)}")
    return "\n\n".join(parts) + "\n"

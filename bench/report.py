"""Readable form of a record: Markdown with plots."""

from collections.abc import Iterable
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

COLORS = {
    "complete": "tab:green",
    "not-run": "tab:orange",
    "unknown": "tab:red",
    "wrong": "black",
    "no-entry": "tab:purple",
}
PHASE_HEAD = (
    "phase",
    "level",
    "offered/s",
    "goodput/s",
    "sends per call",
    "cores: entries",
    "cores: machine",
    "cores: others",
    "late starts, p99 ms",
)
LATENCY_HEAD = (
    "phase",
    "class",
    "complete",
    "not run",
    "unknown",
    "wrong or no entry",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
)
PERCENTILES = ("p50_ms", "p99_ms", "p99.9_ms")


def table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    head = list(head)
    lines = [f"| {' | '.join(head)} |", f"|{'---|' * len(head)}"]
    lines += [f"| {' | '.join(str(cell) for cell in row)} |" for row in rows]
    return "\n".join(lines)


def latency_rows(record: dict) -> list[list[object]]:
    """Return a row for each phase and class."""
    rows = []
    for name, phase in record["phases"].items():
        for kind, found in phase["classes"].items():
            outcomes = found["outcomes"]
            rows.append(
                [
                    name,
                    kind,
                    outcomes.get("complete", 0),
                    outcomes.get("not-run", 0),
                    outcomes.get("unknown", 0),
                    outcomes.get("wrong", 0) + outcomes.get("no-entry", 0),
                    *(f"{found[percentile]:.1f}" for percentile in PERCENTILES),
                ]
            )
    return rows


def phase_rows(record: dict) -> list[list[object]]:
    """Return a row for each phase."""
    rows = []
    for name, phase in record["phases"].items():
        cores = phase["cores"]
        rows.append(
            [
                name,
                phase["level"],
                phase["offered_per_s"],
                phase["goodput_per_s"],
                phase["sends_per_call"],
                cores.get("entries", "-"),
                cores.get("machine", "-"),
                cores.get("others", "-"),
                phase["load_lateness_p99_ms"],
            ]
        )
    return rows


def highest_uses(record: dict) -> list[list[object]]:
    """Return the use that came nearest to its cap, of each kind."""
    rows = []
    for kind in ("site", "shift", "link"):
        found = [use for use in record["uses"] if use["kind"] == kind and use["cap"]]
        if not found:
            continue
        top = max(found, key=lambda use: use["peak"] / use["cap"])
        over = sum(use["peak"] > use["cap"] for use in found)
        rows.append([kind, top["what"], top["peak"], top["cap"], f"{over} of {len(found)}"])
    return rows


def markdown(record: dict, plots: list[str]) -> str:
    """Return the report of one run."""
    notes = {key: value for key, value in record["notes"].items() if key != "started_at"}
    parts = [
        f"# {record['name']} ({record['example']}, {record['at']})",
        f"Command: `{record['command']}`. Service time: {record['service_ms']} ms, spread evenly "
        f"by half around the mean; load average at the end: {record['load_average']}.",
        table(
            PHASE_HEAD,
            phase_rows(record),
        ),
        table(
            LATENCY_HEAD,
            latency_rows(record),
        ),
        "Highest use against caps, from the servers' logs:",
        table(["kind", "nearest to its cap", "peak", "cap", "over the cap"], highest_uses(record)),
        f"Broken promises: {record['broken']}. Over a cap: {record['over_cap'] or 'none'}.",
        f"Drain: {record['drain']}. Notes: {notes}.",
        "Limits of the load processes: " + ("; ".join(record["load_limits"]) or "none") + ".",
    ]
    parts += [f"![{plot}]({plot})" for plot in plots]
    return "\n\n".join(parts) + "\n"


def plot_outcomes(record: dict, path: Path) -> None:
    """Plot the number of calls per second by outcome."""
    figure, axes = pyplot.subplots(figsize=(9, 3.2))
    for outcome, counts in record["per_second"].items():
        axes.plot(counts, label=outcome, color=COLORS.get(outcome))
    axes.set_xlabel("time of the intended start, s")
    axes.set_ylabel("calls per second")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def plot_latency(record: dict, path: Path) -> None:
    """Plot the latency of each class over the phases."""
    figure, axes = pyplot.subplots(figsize=(9, 3.2))
    phases = record["phases"]
    kinds = sorted({kind for phase in phases.values() for kind in phase["classes"]})
    for kind in kinds:
        for percentile, style in (("p50_ms", "-"), ("p99_ms", "--")):
            values = [phase["classes"].get(kind, {}).get(percentile) for phase in phases.values()]
            axes.plot(list(phases), values, style, marker="o", label=f"{kind} {percentile[:-3]}")
    axes.set_ylabel("latency, ms")
    axes.legend(fontsize="x-small", ncol=3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def write_report(record: dict, folder: Path) -> Path:
    """Write the Markdown report and its plots; return the path of the report."""
    name = record["name"]
    plot_outcomes(record, folder / f"{name}-outcomes.png")
    plot_latency(record, folder / f"{name}-latency.png")
    path = folder / f"{name}.md"
    path.write_text(markdown(record, [f"{name}-outcomes.png", f"{name}-latency.png"]))
    return path

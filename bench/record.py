"""The record of a run as JSON, made of what callers and servers saw."""

import os
import platform
import time
from collections import Counter, defaultdict
from collections.abc import Iterable

from bench.operations import drain_times
from bench.run import RunResult
from bench.summary import ClassSummary, by_class, compare_with_logs
from bench.usage import site_runs, use_records, uses
from bench.worker import Phase
from knapweeddock.model import decode_config
from standins.caller import CallOutcome, CallResult

ALL = "all"
REFUSALS_KEPT = 8


def results_of(result: RunResult, phase: str) -> list[CallResult]:
    """Return the calls of one phase."""
    return [call for part in result.phases if part.phase == phase for call in part.results]


def class_records(results: list[CallResult]) -> dict[str, dict]:
    """Return latency and outcomes of each class and of all calls."""
    found = by_class(results)
    total = ClassSummary()
    for call in results:
        total.add(call)
    return {kind: found[kind].record() for kind in sorted(found)} | {ALL: total.record()}


def codes_of(results: Iterable[CallResult]) -> dict[str, int]:
    """Return the result codes of the calls that did not end complete."""
    codes = Counter(str(call.code) for call in results if call.outcome is not CallOutcome.COMPLETE)
    return dict(codes.most_common(REFUSALS_KEPT))


def per_second(results: Iterable[CallResult], started_at: float) -> dict[str, list[int]]:
    """Return the number of calls by second of their start and outcome."""
    counts: dict[str, Counter] = defaultdict(Counter)
    for call in results:
        counts[call.outcome.value][int(call.started_at - started_at)] += 1
    last = max((second for found in counts.values() for second in found), default=-1)
    return {
        outcome: [found[second] for second in range(last + 1)] for outcome, found in counts.items()
    }


def phase_record(result: RunResult, phase: Phase) -> dict:
    """Return the record of one phase."""
    results = results_of(result, phase.name)
    complete = [call for call in results if call.outcome is CallOutcome.COMPLETE]
    parts = [part for part in result.phases if part.phase == phase.name]
    return {
        "level": phase.level,
        "duration_s": phase.duration_s,
        "offered_per_s": round(len(results) / phase.duration_s, 1),
        "goodput_per_s": round(len(complete) / phase.duration_s, 1),
        "sends_per_call": round(sum(call.sends for call in results) / max(1, len(results)), 3),
        "classes": class_records(results),
        "codes": codes_of(results),
        "cores": result.cores.get(phase.name, {}),
        "load_lateness_p99_ms": round(max(part.lateness_p99_ms for part in parts), 2),
        "load_cpu_fraction": round(max(part.cpu_fraction for part in parts), 2),
    }


def make_record(result: RunResult, command: str) -> dict:
    """Return the whole record of a run."""
    config = decode_config(result.deployment.document)
    everything = [call for part in result.phases for call in part.results]
    broken = compare_with_logs(everything, result.logs)
    found_uses = uses(config, site_runs(result.deployment, result.logs, result.ended_at))
    return {
        "name": result.plan.name,
        "example": result.plan.example,
        "command": command,
        "entry_module": result.plan.entry_module,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "cpus": os.cpu_count(),
        "load_average": [round(value, 1) for value in os.getloadavg()],
        "service_ms": {"account": result.plan.times.account_ms, "bulk": result.plan.times.bulk_ms},
        "seed": result.plan.seed,
        "phases": {phase.name: phase_record(result, phase) for phase in result.plan.phases},
        "per_second": per_second(everything, float(result.notes["started_at"])),
        "broken": {
            "doubled": len(broken.doubled),
            "false_not_run": len(broken.false_not_run),
            "lost": len(broken.lost),
            "wrong": broken.wrong,
            "servers_overrun": len(broken.overrun),
            "shed_by_servers": broken.refused_at_servers,
        },
        "server_runs": sum(len(log["runs"]) for log in result.logs),
        "server_runs_cancelled": sum(log["cancelled"] for log in result.logs),
        "uses": use_records(found_uses),
        "over_cap": [f"{use.kind} {use.what}" for use in found_uses if use.is_over],
        "drain": drain_times(result.notes, result.logs),
        "notes": result.notes,
        "load_limits": result.limits,
    }

"""How busy the machine and the processes of a run were, from ``/proc``."""

import os
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, kw_only=True)
class CpuTimes:
    """CPU seconds at one moment.

    Attributes:
        at: Monotonic time.
        busy_s: Of the whole machine.
        roles: Of the run's processes, by role.
    """

    at: float
    busy_s: float
    roles: Mapping[str, float]


def process_cpu_s(pid: int) -> float:
    """Return the CPU seconds of a process, 0 when it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def machine_busy_s() -> float:
    """Return the CPU seconds that the machine did not spend idle."""
    first = Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    values = [int(value) for value in first]
    idle = values[3] + values[4]
    return (sum(values) - idle) / TICKS_PER_S


def sample(processes: Mapping[str, list[int]]) -> CpuTimes:
    """Take the CPU times now.

    Args:
        processes: Process ids by role.
    """
    roles: dict[str, float] = defaultdict(float)
    for role, pids in processes.items():
        roles[role] = sum(process_cpu_s(pid) for pid in pids)
    return CpuTimes(at=time.monotonic(), busy_s=machine_busy_s(), roles=dict(roles))


def cores_used(before: CpuTimes, after: CpuTimes) -> dict[str, float]:
    """Return the cores in use between two samples, by role and by others."""
    elapsed = after.at - before.at
    used = {
        role: round(max(0.0, seconds - before.roles.get(role, 0.0)) / elapsed, 2)
        for role, seconds in after.roles.items()
    }
    total = (after.busy_s - before.busy_s) / elapsed
    return used | {"machine": round(total, 2), "others": round(total - sum(used.values()), 2)}

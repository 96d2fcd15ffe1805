"""Times at which processes did not run because the machine gave them no processor time."""

import asyncio
import json
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from knapweeddock.stalls import Stall, watch_from_now
from soak.observations import SOAK, Cause, Disturbance, Observations

INTERVAL_S = 0.1

OWN_PART = 0.5
"""Part of a stall from which on its processor time makes it the process's own fault."""

STALL_EVENT = "process stalled"


async def watch_own_stalls(seen: Observations) -> None:
    """Note the stalls of this process until cancelled."""
    watch = watch_from_now(INTERVAL_S)
    while True:
        await asyncio.sleep(INTERVAL_S)
        stall = watch.observe(time.monotonic(), time.process_time())
        if stall is not None:
            note_stall(seen, SOAK, stall, time.monotonic(), INTERVAL_S)


def note_stall(
    seen: Observations, subject: str, stall: Stall, ended_at: float, interval_s: float
) -> None:
    """Note a stall: as a disturbance, or as a fault if the process was busy meanwhile."""
    if subject != SOAK and stall.processor_s > OWN_PART * stall.stall_s:
        text = f"{subject} blocked itself for {stall.stall_s:.1f} s"
        seen.process_faults.append(text)
        return
    seen.stalls += 1
    seen.disturbances.append(
        Disturbance(
            subject=subject,
            cause=Cause.FAULT,
            began_at=ended_at - stall.stall_s - interval_s,
            ended_at=ended_at,
        )
    )


def note_logged_stalls(seen: Observations, folder: Path, interval_s: float) -> None:
    """Note the stalls that the logs of gateways report."""
    monotonic_ahead_s = time.monotonic() - time.time()
    for path in sorted(folder.glob("*.log")):
        for ended_at, stall in _logged_stalls(path):
            note_stall(seen, path.stem, stall, ended_at + monotonic_ahead_s, interval_s)


def _logged_stalls(path: Path) -> Iterator[tuple[float, Stall]]:
    for line in path.read_text(errors="replace").splitlines():
        if STALL_EVENT not in line:
            continue
        fields = json.loads(line)
        ended_at = datetime.fromisoformat(fields["timestamp"]).timestamp()
        yield ended_at, Stall(stall_s=fields["stall_s"], processor_s=fields["processor_s"])

"""Notices that the process did not run for a time.

A VM that is frozen or short of processor time, and work that blocks the event
loop, both make timers late. The processor time that was used meanwhile tells
them apart.
"""

import asyncio
import time
from dataclasses import dataclass

import structlog

log = structlog.get_logger(__name__)

STALL_S = 0.4
"""Delay of a timer in seconds from which on it counts as a stall; answers have
deadlines of a second and more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """Time for which timers did not run.

    Attributes:
        stall_s: Delay of the timer in seconds.
        processor_s: Processor time in seconds that the process used since the
            timer was set; close to ``stall_s`` when its own work blocked it.
    """

    stall_s: float
    processor_s: float


class StallWatch:
    """Compares the time between regular calls with their interval.

    Attributes:
        interval_s: Intended time between two calls in seconds.
        stalled_s: Sum of all stalls in seconds.
    """

    def __init__(self, *, interval_s: float, now: float, processor_s: float) -> None:
        self.interval_s = interval_s
        self.stalled_s = 0.0
        self._last = now
        self._processor_s = processor_s

    def observe(self, now: float, processor_s: float) -> Stall | None:
        """Take a regular call; return the stall before it, if there was one.

        Args:
            now: Monotonic time in seconds.
            processor_s: Processor time of the process in seconds.
        """
        late_s = now - self._last - self.interval_s
        used_s = processor_s - self._processor_s
        self._last = now
        self._processor_s = processor_s
        if late_s < STALL_S:
            return None
        self.stalled_s += late_s
        return Stall(stall_s=late_s, processor_s=used_s)

    def check(self) -> None:
        """Take a regular call now, and log the stall before it, if there was one."""
        stall = self.observe(time.monotonic(), time.process_time())
        if stall is not None:
            log.warning(
                "process stalled",
                stall_s=round(stall.stall_s, 3),
                processor_s=round(stall.processor_s, 3),
            )


def watch_from_now(interval_s: float) -> StallWatch:
    """Return a watch whose first regular call is due in ``interval_s`` seconds."""
    return StallWatch(interval_s=interval_s, now=time.monotonic(), processor_s=time.process_time())


async def log_stalls(interval_s: float) -> None:
    """Log the stalls of this process until cancelled."""
    watch = watch_from_now(interval_s)
    while True:
        await asyncio.sleep(interval_s)
        watch.check()

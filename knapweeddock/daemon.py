"""Runs a service as a process until a signal or a crash ends it."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog
from mode import Service

from knapweeddock.stalls import log_stalls

EXIT_CRASHED = 1

STALL_CHECK_S = 0.25
"""Interval in seconds at which a process checks whether its timers are late."""

ServiceT = TypeVar("ServiceT", bound=Service)

log = structlog.get_logger(__name__)


def run_daemon(
    build: Callable[[], ServiceT], *, drain: Callable[[ServiceT], Awaitable[None]] | None = None
) -> int:
    """Run a service and return the exit status of the process.

    Args:
        build: Makes the service; called inside the event loop.
        drain: What to wait for between a signal and the stop of the service.
    """
    return asyncio.run(_run(build, drain))


async def _run(
    build: Callable[[], ServiceT], drain: Callable[[ServiceT], Awaitable[None]] | None
) -> int:
    service = build()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await service.start()
    stalls = asyncio.create_task(log_stalls(STALL_CHECK_S))
    waits = [
        asyncio.create_task(stop.wait()),
        asyncio.create_task(service.wait_until_stopped()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    if drain is not None and stop.is_set():
        await drain(service)
    await service.stop()
    for task in (*waits, stalls):
        task.cancel()
    await asyncio.gather(*waits, stalls, return_exceptions=True)
    reason = service.crash_reason
    if reason is not None:
        log.error("the process ends after an error", error=repr(reason))
        return EXIT_CRASHED
    return 0

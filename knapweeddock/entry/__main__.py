"""Command line of ``knapweed-entry``."""

import asyncio
import signal
import sys
from pathlib import Path

import cyclopts
import structlog

from knapweeddock.codes import exit_status
from knapweeddock.entry.service import EntryService
from knapweeddock.errors import KnapweedError
from knapweeddock.logs import configure_logs
from knapweeddock.settings import EntrySettings, load_settings

log = structlog.get_logger(__name__)

FAILURE_STATUS = 1
"""Exit status of a process that crashed or that its peers marked down."""

app = cyclopts.App(name="knapweed-entry", help="Proxy callers' requests, for one VM.")


@app.default
def entry(*, settings: Path) -> int:
    """Run the entry daemon until SIGTERM or SIGINT.

    Args:
        settings: Settings file, JSON with comments.
    """
    return run_with_settings(settings, EntryService)


def run_with_settings(settings: Path, service_type: type[EntryService]) -> int:
    """Run an entry service with a settings file.

    Args:
        settings: Settings file, JSON with comments.
        service_type: Class of the service to run.

    Returns:
        Exit status of the process.
    """
    try:
        loaded = load_settings(settings, EntrySettings)
    except KnapweedError as error:
        print(error, file=sys.stderr)
        return exit_status(error.code)
    configure_logs(level=loaded.log_level, process="knapweed-entry", vm=loaded.vm)
    return asyncio.run(run(service_type(settings=loaded)))


async def run(service: EntryService) -> int:
    """Run the daemon until a signal, a crash or a down record; return the exit status."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        await service.start()
    except OSError as error:
        log.error("cannot listen", error=str(error))
        return FAILURE_STATUS
    wait_tasks = {
        "stop": loop.create_task(stop_requested.wait()),
        "marked down": loop.create_task(service.marked_down.wait()),
        "crash": loop.create_task(service.wait_until_stopped()),
    }
    await asyncio.wait(wait_tasks.values(), return_when=asyncio.FIRST_COMPLETED)
    reasons = [name for name, task in wait_tasks.items() if task.done()]
    for task in wait_tasks.values():
        task.cancel()
    # Retrieves the exception of a crash, which would be lost otherwise. The crash is logged below.
    await asyncio.gather(*wait_tasks.values(), return_exceptions=True)
    log.info("stopping", reasons=reasons)
    status = 0
    if service.crashed:
        log.error("a component of the process crashed", error=repr(service.crash_reason))
        status = FAILURE_STATUS
    elif service.marked_down.is_set():
        await service.finish_requests()
        status = FAILURE_STATUS
    else:
        await service.drain()
    await service.stop()
    return status


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(app())


if __name__ == "__main__":
    main()

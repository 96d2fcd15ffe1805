"""Runs the gateway on the platform."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

import structlog

from knapweeddock.codes import exit_status
from knapweeddock.errors import KnapweedError
from knapweeddock.gateway.service import Gateway
from knapweeddock.gateway.settings import GatewaySettings
from knapweeddock.logs import DroppingStream, configure_logs
from knapweeddock.platform.settings import SETTINGS_VARIABLE, load
from knapweeddock.platform.store import PlatformStoreClient, store_http
from knapweeddock.platform.wire import PlatformWire

log = structlog.get_logger(__name__)

SETTINGS_CHECK_S = 1.0
"""Interval in seconds at which the settings file is compared with what was read."""


async def run(path: Path, settings: GatewaySettings) -> None:
    """Run the gateway until a signal."""
    gateway = Gateway(
        settings=settings,
        store_client=PlatformStoreClient(
            http=store_http(settings.store.address), regions=settings.regions
        ),
        wire=PlatformWire(),
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    reloading = asyncio.create_task(_reload(path, gateway, changed))
    gc.freeze()
    try:
        await gateway.run(stop)
    finally:
        reloading.cancel()


async def _reload(path: Path, gateway: Gateway, changed: asyncio.Event) -> None:
    """Take changes of the settings file, announced by a signal or not."""
    read = _content(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await changed.wait()
            log.info("reload requested")
        except TimeoutError:
            if _content(path) == read:
                continue
        changed.clear()
        read = _content(path)
        try:
            settings = load(path)
        except KnapweedError as error:
            log.error("settings unreadable; the last ones stay in force", reason=str(error))
            continue
        gateway.apply_settings(settings)


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        log.warning("settings file cannot be read", reason=str(error))
        return b""


def main() -> int:
    """Run the process and return its exit status."""
    configure_logs(stream=DroppingStream(descriptor=sys.stdout.fileno()), process="gateway")
    try:
        path = Path(os.environ[SETTINGS_VARIABLE])
        settings = load(path)
    except KeyError:
        log.error("environment variable is not set", variable=SETTINGS_VARIABLE)
        return 1
    except KnapweedError as error:
        log.error("settings unreadable", reason=str(error), code=int(error.code))
        return exit_status(error.code)
    structlog.contextvars.bind_contextvars(vm=settings.vm)
    asyncio.run(run(path, settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the parts of a process beside each other."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import structlog

log = structlog.get_logger(__name__)

RESTART_DELAY_S = 0.5
"""Pause in seconds before a part is started again that ended with an unexpected error."""


@contextlib.asynccontextmanager
async def background(*parts: Callable[[], Awaitable[None]]) -> AsyncIterator[None]:
    """Run coroutine functions beside the block.

    One that raises an unexpected error is logged and started again: the others serve on.
    """
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(_keep_running(part)) for part in parts]
        yield
        for task in tasks:
            task.cancel()


async def _keep_running(part: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await part()
        except Exception:
            name = getattr(part, "__qualname__", repr(part))
            log.exception("background task failed", task=name)
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return

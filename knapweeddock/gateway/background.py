"""Runs the parts of a process beside each other."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable


@contextlib.asynccontextmanager
async def background(*coroutine_functions: Callable[[], object]) -> AsyncIterator[None]:
    """Run coroutine functions beside the block; an error in one cancels the block."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run()) for run in coroutine_functions]
        yield
        for task in tasks:
            task.cancel()

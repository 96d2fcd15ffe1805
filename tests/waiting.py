"""Waits for something that another task or process does."""

import asyncio
from collections.abc import Callable

LIMIT_S = 60.0
"""Bound on hanging in seconds; a process took 9 s to start on a machine whose
processors were stuck for seconds."""

POLL_S = 0.005


async def until(condition: Callable[[], object]) -> None:
    """Wait until ``condition`` holds; the test fails if it never does."""
    async with asyncio.timeout(LIMIT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_S)

"""Tasks of a gateway that go on after an unexpected error."""

import asyncio

from knapweeddock.gateway import background as background_module
from knapweeddock.gateway.background import background
from tests.waiting import until


async def test_task_that_raises_is_started_again_and_the_others_go_on(monkeypatch):
    # One unexpected error in a periodic task must not end the process.
    monkeypatch.setattr(background_module, "RESTART_DELAY_S", 0.01)
    starts = []
    steps = []

    async def fail_twice() -> None:
        starts.append(None)
        if len(starts) <= 2:
            raise ZeroDivisionError
        await asyncio.Event().wait()

    async def step() -> None:
        while True:
            steps.append(None)
            await asyncio.sleep(0.01)

    async with background(fail_twice, step):
        await until(lambda: len(starts) == 3)
        before = len(steps)
        await until(lambda: len(steps) > before + 2)

import asyncio
import time

import pytest
from structlog.testing import capture_logs

from knapweeddock.stalls import STALL_S, StallWatch, log_stalls


def watch() -> StallWatch:
    return StallWatch(interval_s=0.25, now=100.0, processor_s=5.0)


def test_calls_in_time_are_no_stall():
    stalls = watch()
    assert stalls.observe(100.25, 5.01) is None
    assert stalls.observe(100.5 + STALL_S / 2, 5.02) is None
    assert stalls.stalled_s == 0.0


def test_frozen_process_used_no_processor_time():
    """A frozen VM must not look like work that blocks the event loop."""
    stall = watch().observe(103.25, 5.01)
    assert (stall.stall_s, stall.processor_s) == pytest.approx((3.0, 0.01))


def test_blocking_work_shows_in_the_processor_time():
    stalls = watch()
    stalls.observe(100.25, 5.0)
    stall = stalls.observe(102.5, 7.1)
    assert (stall.stall_s, stall.processor_s) == pytest.approx((2.0, 2.1))


def test_stalls_are_added_up_and_do_not_last():
    stalls = watch()
    stalls.observe(102.25, 5.0)
    assert stalls.observe(102.5, 5.0) is None
    stalls.observe(103.75, 5.0)
    assert stalls.stalled_s == pytest.approx(3.0)


async def test_stall_of_the_loop_is_logged():
    with capture_logs() as logs:
        watching = asyncio.create_task(log_stalls(0.01))
        await asyncio.sleep(0.02)
        time.sleep(STALL_S + 0.1)  # noqa: ASYNC251 - blocks the loop on purpose
        await asyncio.sleep(0.02)
        watching.cancel()
    stalls = [entry for entry in logs if entry["event"] == "process stalled"]
    assert len(stalls) == 1
    assert stalls[0]["processor_s"] < stalls[0]["stall_s"]

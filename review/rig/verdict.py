"""Runs a case and turns its result into the exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.deployment import CannotRun
from rig.record import Record, writing_record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

LIMIT_S = 115.0
"""Time in seconds after which a case is given up."""

Case = Callable[[Record, bool], Awaitable[str]]
"""Runs a case with or without the disruption; returns how the rule was broken, or ""."""


def run(folder: Path, case: Case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case cannot run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with writing_record(folder / "record.txt") as record:
        record.say(f"disruption: {'yes' if trouble else 'no'}")
        sys.exit(asyncio.run(_run(record, case, trouble)))


async def _run(record: Record, case: Case, trouble: bool) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await case(record, trouble)
    except CannotRun as error:
        record.say(f"cannot run: {error}")
        return CANNOT_RUN
    except Exception:
        # A fault of the test says nothing of the rule.
        record.say(f"cannot run: {traceback.format_exc()}")
        return CANNOT_RUN
    record.say(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD

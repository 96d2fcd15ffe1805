"""Measured operations: a change that comes into force, and a drain."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp

from bench.run import TimedAction
from demo.scenario import knapweed
from standins.deployment import Deployment, get_json

POLL_S = 0.02
IN_FORCE_LIMIT_S = 15.0
HEAD_PATH = "/v1/objects/config/head"


async def head_tag(session: aiohttp.ClientSession, deployment: Deployment) -> str:
    """Return the entity tag of the platform object that holds the configuration."""
    async with session.get(deployment.platform_url + HEAD_PATH) as reply:
        return reply.headers.get("ETag", "")


async def entry_version(session: aiohttp.ClientSession, url: str) -> int:
    """Return the version of the configuration that an entry has in force."""
    try:
        return (await get_json(session, f"{url}/knapweed/v1/ready"))["config_version"]
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def until(check: Callable[[], Awaitable[bool]]) -> float | None:
    """Poll until a check holds; return the wall time, None when that takes too long."""
    end = time.monotonic() + IN_FORCE_LIMIT_S
    while time.monotonic() < end:
        if await check():
            return time.time()
        await asyncio.sleep(POLL_S)
    return None


async def measure_change(
    deployment: Deployment, notes: dict[str, object], name: str, *arguments: str
) -> float | None:
    """Run a command that changes the configuration.

    Notes the time from the change of the platform object until each entry
    answers with the new version.

    Returns:
        Wall time at which the change was accepted.
    """
    async with aiohttp.ClientSession() as session:
        entries = [vm.entry_url for vm in deployment.vms.values() if vm.entry.running]
        old_tag = await head_tag(session, deployment)
        old = {url: await entry_version(session, url) for url in entries}

        async def accepted() -> bool:
            return await head_tag(session, deployment) != old_tag

        async def in_force(url: str) -> bool:
            return await entry_version(session, url) > old[url]

        waits = [
            until(accepted),
            knapweed(deployment, *arguments, quiet=True),
            *(until(lambda url=url: in_force(url)) for url in entries),
        ]
        accepted_at, result, *times = await asyncio.gather(*waits)
    if accepted_at is None or result.status != 0:
        notes[f"{name}_failed"] = result.output[-300:]
        return None
    known = [moment for moment in times if moment is not None]
    notes[f"{name}_in_force_s"] = [round(moment - accepted_at, 3) for moment in sorted(known)]
    notes[f"{name}_not_in_force"] = len(times) - len(known)
    return accepted_at


async def change_lookups(deployment: Deployment, notes: dict[str, object]) -> None:
    """Change the lifetime of look-up answers."""
    extra = deployment.config / "yy-bench-lookups.json"
    extra.write_text('{"lookup": {"lifetime_ms": 4000}}\n')
    started = time.monotonic()
    command = ("apply", str(deployment.config), "--wait", f"{IN_FORCE_LIMIT_S:g}")
    await measure_change(deployment, notes, "change", *command)
    notes["change_command_s"] = round(time.monotonic() - started, 2)


async def drain_server(deployment: Deployment, notes: dict[str, object]) -> None:
    """Drain the first backend server and note which one and when."""
    server = deployment.servers[0].server
    accepted_at = await measure_change(deployment, notes, "drain", "drain", "--server", server)
    notes["drained_server"] = server
    notes["drain_accepted_at"] = accepted_at


async def undrain_server(deployment: Deployment, notes: dict[str, object]) -> None:
    """Take the drain back."""
    server = deployment.servers[0].server
    notes["undrained_at"] = await measure_change(
        deployment, notes, "undrain", "undrain", "--server", server
    )


def drain_times(notes: dict[str, object], logs: list[dict]) -> dict[str, float | None]:
    """Return the times from the accepted drain to the last new work and to empty."""
    accepted_at = notes.get("drain_accepted_at")
    if accepted_at is None:
        return {"last_new_work_s": None, "empty_s": None}
    until_at = notes.get("undrained_at") or float("inf")
    log = next(log for log in logs if log["server"] == notes["drained_server"])
    runs = [run for run in log["runs"] if run["started_at"] < until_at]
    late = [run for run in runs if run["finished_at"] >= accepted_at]
    last = max((run["started_at"] for run in late), default=accepted_at)
    empty = max((run["finished_at"] for run in late), default=accepted_at)
    return {
        "last_new_work_s": round(max(0.0, last - accepted_at), 3),
        "empty_s": round(max(0.0, empty - accepted_at), 3),
    }


def usual_operations(first_at_s: float) -> list[TimedAction]:
    """Return a change, a drain and its end, spread over 12 seconds."""
    return [
        TimedAction(at_s=first_at_s, act=change_lookups),
        TimedAction(at_s=first_at_s + 4.0, act=drain_server),
        TimedAction(at_s=first_at_s + 10.0, act=undrain_server),
    ]

import asyncio
import random
import signal
import time

from pytest_bdd import parsers, scenarios, then, when

from standins.caller import Call, Caller, CallOutcome, caller_session
from tests.processes.world import HANG_LIMIT_S, HOST

scenarios("../features/planned_stop.feature")

CLIENT_NEAREST_TO_NORTH_A = "127.1.0.1"


async def long_booking(world, vm, seconds):
    """Send one booking to the entry that is named for ``vm``."""
    lookups = [place.lookup_url for place in world.deployment.vms.values()]
    async with caller_session() as session:
        caller = Caller(
            session=session,
            lookups=lookups,
            service="shop",
            address=CLIENT_NEAREST_TO_NORTH_A,
            rng=random.Random(1),
        )
        entries = await caller.entries()
        caller.cache.entries = [entry for entry in entries if entry.vm == vm]
        path = f"/bookings?service_ms={seconds * 1000:.0f}"
        call = Call(
            kind="long", host=HOST, method="POST", path=path, idempotent=False, deadline_s=10
        )
        return await caller.run(call)


@when(parsers.parse("a booking that takes {seconds:g} s is begun at {vm}"))
def _(world, vm, seconds):
    since = time.time()
    coroutine = long_booking(world, vm, seconds)
    world.long_booking = asyncio.run_coroutine_threadsafe(coroutine, world.loop)
    world.do(has_begun(world, f"service_ms={seconds * 1000:.0f}", since))


async def has_begun(world, query, since):
    async with asyncio.timeout(HANG_LIMIT_S):
        while True:
            logs = (await world.server_logs()).values()
            recent = [run for log in logs for run in log["runs"] if run["started_at"] >= since]
            if any(run["path"].endswith(query) for run in recent):
                return
            await asyncio.sleep(0.05)


@when(parsers.parse("{which} of {vm} get SIGTERM"))
def _(world, which, vm):
    place = world.deployment.vms[vm]
    for process in place.processes if which == "all processes" else [place.entry]:
        process.send(signal.SIGTERM)


@when(parsers.parse("the entry process of {vm} has ended with status {status:d}"))
def _(world, vm, status):
    assert world.deployment.vms[vm].entry.wait() == status


@then("the long booking was completed")
def _(world):
    result = world.long_booking.result()
    assert (result.outcome, result.sends) == (CallOutcome.COMPLETE, 1)


@then("no booking was refused")
def _(world):
    assert [key for result in world.results for key in result.not_run_keys] == []

import asyncio
import json
import shutil

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from demo.scenario import knapweed
from tests.processes.world import HANG_LIMIT_S

scenarios("../features/platform_failures.feature")

ACCEPTED = 0
CONFLICT_STATUS = 3


async def read_head(world):
    url = f"{world.deployment.platform_url}/v1/objects/config/head"
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        return await reply.json(content_type=None)


@pytest.fixture
def scene(world):
    """The head before the scenario and the results of the operators' commands."""
    return {"head": world.do(read_head(world)), "results": {}}


async def apply(world, scene, name, entries):
    """Apply a folder of the operator's own that has seen the newest version."""
    folder = world.deployment.root / f"{name}-{scene['head']['version']}"
    shutil.copytree(world.deployment.config, folder)
    await knapweed(world.deployment, "diff", str(folder))
    content = {"lookup": {"entries": entries, "lifetime_ms": 1000}}
    (folder / "90-lookup.json").write_text(json.dumps(content))
    yield
    scene["results"][name] = await knapweed(world.deployment, "apply", str(folder))


async def run_all(steps):
    """Let all operators look first, then write at the same moment."""
    for step in steps:
        await anext(step)
    await asyncio.gather(*(anext(step, None) for step in steps))


async def versions(world):
    """Return the version of each look-up process and of the entry on its VM."""
    found = {}
    for vm in world.deployment.vms:
        status = await world.deployment.status(vm) or {"config_version": 0, "members": []}
        own = [m["config_version"] for m in status["members"] if m["vm"] == vm]
        found[vm] = (status["config_version"], *own)
    return found


async def same_version(world, at_least):
    """Wait until look-up and entry of each VM have one version, not below ``at_least``."""
    async with asyncio.timeout(HANG_LIMIT_S):
        while True:
            found = {version for pair in (await versions(world)).values() for version in pair}
            if len(found) == 1 and min(found) >= at_least:
                return
            await asyncio.sleep(0.1)


@given("the platform loses the answer to the next write")
def _(world, scene):
    world.do(world.deployment.set_platform_faults(lose_answers=1))


@given("the platform's watches are silent")
def _(world, scene):
    world.do(world.deployment.set_platform_faults(silent_watches=True))


@when("the platform stops answering")
def _(world, scene):
    scene["versions"] = world.do(versions(world))
    world.do(world.deployment.set_platform_faults(refuse=True))


@when(parsers.parse("the entry VM {vm} is added"))
def _(world, vm):
    world.add_vm(vm)


@when(parsers.parse("{name} applies {entries:d} entries per look-up"))
def _(world, scene, name, entries):
    world.do(run_all([apply(world, scene, name, entries)]))


@when("ann applies 2 entries per look-up while bob applies 1")
def _(world, scene):
    world.do(run_all([apply(world, scene, "ann", 2), apply(world, scene, "bob", 1)]))


@when("all VMs serve the same version")
@then("all VMs serve the same version")
def _(world, scene):
    is_changed = bool(scene["results"])
    at_least = world.do(read_head(world))["version"] if is_changed else 1
    world.do(same_version(world, at_least))
    world.do(world.deployment.wait_ready(HANG_LIMIT_S))


@then(parsers.parse("{vm} took part in the work"))
def _(world, vm):
    logs = world.do(world.server_logs()).values()
    assert any(run["entry"] == vm for log in logs for run in log["runs"])


@then("no VM has a lower version than before")
def _(world, scene):
    after = world.do(versions(world))
    assert {vm: at for vm, at in scene["versions"].items() if after[vm] < at} == {}


@then(parsers.parse("{name}'s change was accepted"))
def _(scene, name):
    result = scene["results"][name]
    assert (result.status, "accepted" in result.output) == (ACCEPTED, True), result.output


@then(parsers.parse("{count:d} change was added"))
def _(world, scene, count):
    head = world.do(read_head(world))
    new = set(head["recent_ids"]) - set(scene["head"]["recent_ids"])
    assert (head["version"] - scene["head"]["version"], len(new)) == (count, count)


@then("one change was accepted and the other got code 309")
def _(scene):
    by_status = {result.status: result.output for result in scene["results"].values()}
    assert set(by_status) == {ACCEPTED, CONFLICT_STATUS}
    assert "309" in by_status[CONFLICT_STATUS]


@then("the configuration is that of the accepted change")
def _(world, scene):
    [winner] = [name for name, result in scene["results"].items() if result.status == ACCEPTED]
    patch = world.do(read_head(world))["changes"][-1]["patch"]
    assert patch["lookup"]["entries"] == {"ann": 2, "bob": 1}[winner]

"""The deployment of a test file and the steps that the features share."""

import signal
import time

import pytest
from pytest_bdd import given, parsers, then, when

from demo.scenario import knapweed
from tests.processes.world import DOMAINS, NOT_CUT, running_world


@pytest.fixture(scope="module")
def deployment_of_file(tmp_path_factory):
    with running_world(tmp_path_factory.mktemp("deployment")) as world:
        yield world


@pytest.fixture
def world(deployment_of_file):
    """The deployment without faults; the load has ended when the scenario has."""
    deployment_of_file.reset()
    deployment_of_file.do(deployment_of_file.restore())
    sizes = {process.log: log_size(process.log) for process in deployment_of_file.processes}
    yield deployment_of_file
    deployment_of_file.do(deployment_of_file.end_load())
    print_stalls(sizes)


def log_size(path):
    return path.stat().st_size if path.exists() else 0


def print_stalls(sizes):
    """Show with a failure which processes got no processor time meanwhile."""
    for path, size in sizes.items():
        if not path.exists():
            continue
        with path.open("rb") as log:
            log.seek(size)
            stalled = [line for line in log if b"process stalled" in line]
        for line in stalled:
            print(path.name, line.decode().strip())


def pass_time(seconds):
    time.sleep(seconds)


@given(parsers.parse("callers of {where} send {rate:d} requests per second"))
def _(world, where, rate):
    domains = DOMAINS if where == "all failure domains" else (where,)
    world.do(world.start_load(rate, domains))


@given(parsers.parse("callers of {where} look up machines {rate:d} times per second"))
def _(world, where, rate):
    world.do(world.start_load(rate, DOMAINS if "all" in where else (where,), bookings=0.0))


@when(parsers.re(r"(?P<seconds>[0-9.]+) s pass(es)?"), converters={"seconds": float})
def _(seconds):
    pass_time(seconds)


@when("the load ends")
def _(world):
    world.do(world.end_load())


@when(parsers.parse("the entry VM {vm} is killed"))
def _(world, vm):
    world.signs.failure_at = time.time()
    for process in world.deployment.vms[vm].processes:
        process.kill()


@when(parsers.parse("the {role} process of {vm} is killed"))
def _(world, role, vm):
    world.signs.failure_at = time.time()
    getattr(world.deployment.vms[vm], role).kill()


@when(parsers.parse("the entry process of {vm} is paused for {seconds:g} s"))
def _(world, vm, seconds):
    entry = world.deployment.vms[vm].entry
    entry.send(signal.SIGSTOP)
    pass_time(seconds)
    world.signs.failure_at = time.time()
    entry.send(signal.SIGCONT)


@then("every answer agrees with the servers' logs")
def _(world):
    broken = world.broken_promises()
    assert broken.count == 0, broken


@then("no server was offered more requests than it has slots")
def _(world):
    assert world.shed_during_load() == {}


@then("every call was completed")
def _(world):
    assert world.not_complete() == {}


@then(parsers.parse("every call that started {seconds:g} s after the failure was completed"))
def _(world, seconds):
    assert world.not_complete(world.signs.failure_at + seconds) == {}


@then("no call was cut")
def _(world):
    cut = {key: n for key, n in world.outcomes().items() if key[1] not in NOT_CUT}
    assert cut == {}
    assert sum(result.broken_sends for result in world.results) == 0


def run_command(world, *arguments):
    world.command = world.do(knapweed(world.deployment, *arguments))
    return world.command

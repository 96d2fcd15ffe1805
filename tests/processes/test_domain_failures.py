import signal
import time

from pytest_bdd import parsers, scenarios, then, when

from tests.processes.world import DOMAINS, LINK_CAP, SHIFT_CAP

scenarios("../features/domain_failures.feature")


@when("the platform and the VMs of the other failure domains are paused")
def _(world):
    world.signs.failure_at = time.time()
    others = world.vms_of(*(domain for domain in DOMAINS if domain != "north-a"))
    for process in [world.deployment.platform, *(p for vm in others for p in vm.processes)]:
        process.send(signal.SIGSTOP)


@when(parsers.parse("the region of {domain} is lost"))
def _(world, domain):
    """Kill the VMs; the servers are paused, since their logs are needed later."""
    for vm in world.vms_of(domain):
        for process in vm.processes:
            process.kill()
    servers_of(world, domain).send(signal.SIGSTOP)


@when(parsers.parse("the servers of {domain} answer again"))
def _(world, domain):
    servers_of(world, domain).send(signal.SIGCONT)


def servers_of(world, domain):
    return world.deployment.backends[DOMAINS.index(domain)]


def peak(runs):
    """Return the largest number of runs at a time."""
    changes = [(run["started_at"], 1) for run in runs]
    changes += [(run["finished_at"], -1) for run in runs if run["finished_at"]]
    running = highest = 0
    for _, change in sorted(changes):
        running += change
        highest = max(highest, running)
    return highest


@then("other domains used each site, within its shift cap and the link caps")
def _(world):
    logs = world.do(world.server_logs())
    places = {place.server: place for place in world.deployment.servers}
    used = {}
    for site, domain in {(place.site, place.failure_domain) for place in places.values()}:
        runs = [
            run for name, log in logs.items() for run in log["runs"] if places[name].site == site
        ]
        remote = [run for run in runs if run["entry"] and not run["entry"].startswith(domain)]
        region = domain.partition("-")[0]
        abroad = [run for run in remote if not run["entry"].startswith(region)]
        used[site] = peak(remote)
        assert used[site] <= SHIFT_CAP
        assert peak(abroad) <= LINK_CAP
    print("remote use by site:", used)
    assert any(used.values()), "no request was shifted, so the caps were not tried"

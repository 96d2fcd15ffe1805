import time

from pytest_bdd import parsers, scenarios, then, when

from demo.scenario import knapweed

scenarios("../features/leaving_servers.feature")

HOLD_S = 3.0
REPORTS = {
    "silent": {"silent_reports": True},
    "stale, all busy": {"stale_load": 3, "health": "ok"},
}


async def drain(world, server):
    world.drained.add(server)
    result = await knapweed(world.deployment, "drain", "--server", server)
    assert result.status == 0, result.output


SIGNS = {
    "the operator's drain": drain,
    "its health answer": lambda world, server: world.deployment.set_server_faults(
        server, health="draining"
    ),
    "a header of its answers": lambda world, server: world.deployment.set_server_faults(
        server, draining=True, health="ok"
    ),
    "the platform's VM list": lambda world, server: world.deployment.publish_vm_list(
        frozenset({server})
    ),
}


@when(parsers.parse("server {server} leaves by {sign}"))
def _(world, server, sign):
    world.signs.cancelled = world.do(world.server_logs())[server]["cancelled"]
    world.do(SIGNS[sign](world, server))
    world.signs.leaving_at = time.time()


@when(parsers.parse("the reports of all servers are {reports}"))
def _(world, reports):
    for place in world.deployment.servers:
        world.do(world.deployment.set_server_faults(place.server, **REPORTS[reports]))


@then(parsers.parse("no start at {server} is later than 3 s after the sign"))
def _(world, server):
    starts = [run["started_at"] for run in world.do(world.server_logs())[server]["runs"]]
    assert starts, "the server never got work"
    assert [
        at - world.signs.leaving_at for at in starts if at > world.signs.leaving_at + HOLD_S
    ] == []


@then(parsers.parse("none of the requests of {server} was cut"))
def _(world, server):
    assert world.do(world.server_logs())[server]["cancelled"] == world.signs.cancelled

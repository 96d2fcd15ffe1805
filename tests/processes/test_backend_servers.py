from pytest_bdd import parsers, scenarios, then, when

from standins.caller import CallOutcome

scenarios("../features/backend_servers.feature")

FAULTS = {
    "answers 0.5 s late": {"late_s": 0.5},
    "cuts its answers in two": {"truncate": True},
    "closes after reading": {"close_after_read": True},
    "reads and goes silent": {"accept_only": True},
    "runs and goes silent": {"silent": True},
    "sheds everything": {"shed": True},
}
FIRST_OF_SITE = "-1"


def faulty_servers(world):
    names = [place.server for place in world.deployment.servers]
    return [name for name in names if name.endswith(FIRST_OF_SITE)]


@when(parsers.parse("one server of each site {misbehaves}"))
def _(world, misbehaves):
    for server in faulty_servers(world):
        world.do(world.deployment.set_server_faults(server, **FAULTS[misbehaves]))


@when("all open connections to the servers go silent")
def _(world):
    for place in world.deployment.servers:
        fault = {"silence_open_connections": True}
        world.do(world.deployment.set_server_faults(place.server, **fault))


@when("the servers are well again")
def _(world):
    for server in faulty_servers(world):
        world.do(world.deployment.set_server_faults(server))


@then("no server was offered more requests than it has slots, sheds by order aside")
def _(world):
    assert set(world.shed_during_load()) <= set(faulty_servers(world))


@then(parsers.parse("every call ended as {allowed}"))
def _(world, allowed):
    kinds = {ending.strip() for ending in allowed.replace(" or ", ",").split(",")}
    assert {ending(result) for result in world.results} <= kinds


def ending(result):
    """Name how a call ended; an idempotent one may stay without an answer in its time."""
    if result.call.idempotent and result.code == -1 and result.outcome is CallOutcome.NOT_RUN:
        return "no answer"
    return result.outcome.value


@then("at least 9 of 10 calls were completed")
def _(world):
    complete = sum(result.outcome is CallOutcome.COMPLETE for result in world.results)
    assert complete >= 0.9 * len(world.results), world.outcomes()


@then("every booking was completed")
def _(world):
    assert {key for key in world.not_complete() if key[0] == "bookings"} == set()

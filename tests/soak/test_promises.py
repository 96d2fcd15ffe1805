"""Each check of the soak must find the failure that it is for, and nothing else."""

import pytest

from soak import promises
from soak.observations import (
    SOAK,
    Call,
    Cause,
    ColdStart,
    Disturbance,
    Execution,
    Leave,
    NamedLimit,
    Observations,
    Outcome,
    PauseRequest,
    PlannedStop,
)

START = 100.0


def call(request_id="a", **changes) -> Call:
    values = {
        "request_id": request_id,
        "gateway": "front-0",
        "idempotent": False,
        "sent_at": START,
        "ended_at": START + 1,
        "outcome": Outcome.ANSWERED,
        "status": 200,
        "received_bytes": 100,
    }
    return Call(**{**values, **changes})


def run(request_id="a", **changes) -> Execution:
    values = {
        "request_id": request_id,
        "server": "i-0",
        "service": "ledger",
        "domain": "north-a",
        "at": START,
        "intact": True,
    }
    return Execution(**{**values, **changes})


def disturbance(subject="front-0", cause=Cause.FAULT, start=START, end=START + 1) -> Disturbance:
    return Disturbance(subject=subject, cause=cause, began_at=start, ended_at=end)


def seen(calls=(), runs=(), disturbances=(), **others) -> Observations:
    return Observations(
        calls=list(calls), executions=list(runs), disturbances=list(disturbances), **others
    )


def names(observations: Observations) -> list[str]:
    return [finding.promise for finding in promises.broken_promises(observations)]


CLOSED = {"outcome": Outcome.CLOSED, "status": 0, "received_bytes": 0}
UNANSWERED = {"outcome": Outcome.UNANSWERED, "status": 0, "received_bytes": 0}
LONG_STOP = PlannedStop(gateway="front-0", asked_at=START, ended_at=START + 6)
EARLIER = disturbance(SOAK, start=START - 2, end=START - 1)
LONG_AGO = disturbance(SOAK, start=START - 6, end=START - 5)
STOPPING = disturbance(cause=Cause.PLANNED_STOP)


@pytest.mark.parametrize(
    ("observations", "promise"),
    [
        (
            seen([call()], [run(), run(server="i-1")]),
            "non_idempotent_requests_run_at_most_once",
        ),
        (seen([call(status=503)], [run()]), "requests_reported_as_not_run_did_not_run"),
        (seen([call(foreign=True)], [run()]), "answers_belong_to_their_requests"),
        (seen([call()]), "answers_belong_to_their_requests"),
        (seen([call()], [run(intact=False)]), "bodies_arrive_whole"),
        (seen([call(status=404)]), "statuses_are_explicable"),
        (seen([call(**UNANSWERED)]), "every_request_is_answered"),
        (
            seen([call(**UNANSWERED)], disturbances=[disturbance("front-1")]),
            "every_request_is_answered",
        ),
        (seen([call(**CLOSED)]), "connections_are_not_closed_on_requests"),
        (
            seen([call(**CLOSED)], [run()], [STOPPING]),
            "connections_are_not_closed_on_requests",
        ),
        (
            seen([call(**CLOSED)], [run()], [disturbance("i-0")]),
            "connections_are_not_closed_on_requests",
        ),
        (
            seen(runs=[run(at=START + 4)], leaves=[Leave(server="i-0", began_at=START)]),
            "leaving_servers_get_no_requests",
        ),
        (
            seen(runs=[run(at=START + 4)], leaves=[Leave(domain="north-a", began_at=START)]),
            "leaving_servers_get_no_requests",
        ),
        (seen([call()], [run()], sends=64), "retries_stay_within_their_budget"),
        (
            seen([call(status=502)], calm_spans=[(START, START + 1)]),
            "calm_deployments_serve_everything",
        ),
        (
            seen([call(status=502)], [], [LONG_AGO], calm_spans=[(START, START + 1)]),
            "calm_deployments_serve_everything",
        ),
        (seen(process_faults=["front-0 ended"]), "processes_do_nothing_unasked"),
        (seen(planned_stops=[LONG_STOP]), "planned_stops_end_in_time"),
    ],
)
def test_broken_promise_is_found(observations, promise):
    assert names(observations) == [promise]


@pytest.mark.parametrize(
    "observations",
    [
        seen([call()], [run()], sends=1),
        seen([call(idempotent=True)], [run(), run(server="i-1")], sends=2),
        seen([call(status=503)]),
        seen([call(status=502)], [run()]),
        seen([call(**UNANSWERED)], disturbances=[disturbance()]),
        seen([call(**CLOSED)], [run()], [disturbance()]),
        seen([call(**CLOSED)], disturbances=[STOPPING]),
        seen([call(**{**CLOSED, "received_bytes": 9})], [run()], [disturbance("i-0")]),
        seen(runs=[run(at=START + 2)], leaves=[Leave(server="i-0", began_at=START)]),
        seen(runs=[run(at=START + 4)], leaves=[Leave(server="i-1", began_at=START)]),
        seen(
            runs=[run(at=START + 9)],
            leaves=[Leave(server="i-0", began_at=START)],
            disturbances=[disturbance("store", start=START, end=START + 7)],
        ),
        seen([call(status=502)], calm_spans=[(START + 1, START + 2)]),
        seen([call(status=502)], [], [disturbance()], calm_spans=[(START, START + 1)]),
        seen([call(status=502)], [], [disturbance(SOAK)], calm_spans=[(START, START + 1)]),
        seen([call(status=502)], [], [EARLIER], calm_spans=[(START, START + 1)]),
        seen(planned_stops=[LONG_STOP], disturbances=[disturbance()]),
        seen(planned_stops=[LONG_STOP], disturbances=[disturbance(SOAK)]),
    ],
)
def test_what_is_allowed_is_no_finding(observations):
    assert names(observations) == []


def test_every_check_has_a_name_that_says_its_promise():
    assert len({check.__name__ for check in promises.CHECKS}) == len(promises.CHECKS)


def test_request_after_an_announcement_to_leave_is_found():
    calls = [call("a"), call("b", sent_at=START + 5, ended_at=START + 6)]
    runs = [run("a", leaving=True), run("b", leaving=True, at=START + 5)]
    broken = "servers_that_announced_to_leave_get_no_requests"
    assert names(seen(calls, runs)) == [broken]
    restarted = disturbance(start=START + 2, end=START + 3)
    assert names(seen(calls, runs, [restarted])) == []
    next_process = [runs[0], run("b", start=2, at=START + 5)]
    assert names(seen(calls, next_process)) == []


def test_requests_within_a_pause_are_found():
    calls = [call(name, status=503) for name in "abcd"]
    times = {"a": START, "b": START + 0.6, "c": START + 0.7, "d": START + 0.8}
    pauses = [
        PauseRequest(request_id=name, server="i-0", start=1, at=at, for_s=1.0)
        for name, at in times.items()
    ]
    assert names(seen(calls, pauses=pauses)) == ["pauses_are_respected"]
    assert names(seen(calls, pauses=pauses[:3])) == []
    others = [*calls[:3], call("d", status=503, gateway="front-1")]
    assert names(seen(others, pauses=pauses)) == []


def test_requests_beyond_a_limit_are_found():
    limit = NamedLimit(server="i-0", start=1, per_s=1.0, began_at=START, ended_at=START + 20)
    times = [START, *(START + 10 + 0.1 * index for index in range(12))]
    calls = [
        call(f"q{index}", sent_at=at, ended_at=at + 0.05, idempotent=True)
        for index, at in enumerate(times)
    ]
    runs = [run(f"q{index}", at=at) for index, at in enumerate(times)]
    broken = ["limits_that_servers_name_are_kept"]
    assert names(seen(calls, runs, limits=[limit])) == broken
    assert names(seen(calls[:-1], runs[:-1], limits=[limit])) == []
    restarted = disturbance(start=START + 2, end=START + 3)
    assert names(seen(calls, runs, [restarted], limits=[limit])) == []
    not_told = [calls[0], call("q1", sent_at=START + 10, gateway="front-1"), *calls[2:]]
    assert names(seen(not_told, runs, limits=[limit])) == []


def test_flood_of_a_cold_server_is_found():
    arrived_at = [START + 0.09 * index for index in range(11)]
    start = ColdStart(server="i-0", arrived_at=arrived_at, began_at=START, ended_at=START + 3)
    assert names(seen(cold_starts=[start])) == ["cold_servers_are_not_flooded"]
    held_back = disturbance("i-0", start=START, end=START + 0.1)
    assert names(seen(disturbances=[held_back], cold_starts=[start])) == []
    del arrived_at[5]
    assert names(seen(cold_starts=[start])) == []

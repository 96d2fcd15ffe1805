"""What must hold whatever goes wrong, checked on the observations of a run."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from soak.observations import SOAK, Call, Cause, NamedLimit, Observations, Outcome

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that promise that the request has not run and never will."""

OWN_STATUSES = NOT_RUN_STATUSES | {HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT}
"""Statuses that gateways answer by themselves under faults."""

SERVER_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR})

SETTLED_S = 3.0
"""Time without disturbance after which promises with a time bound hold, as
``StableWindow`` in the settings."""

LEAVE_BOUND_S = 3.0
"""Time within which a leaving server or failure domain gets no new requests."""

PAUSE_SLACK_S = 0.5
"""Time in seconds after the begin of a pause in which requests may still arrive."""

PAUSE_ARRIVALS = 2
"""Requests that may arrive from one gateway in the rest of the pause."""

TOLD_SLACK_S = 0.5
"""Time in seconds after the response with a limit from which a gateway must keep it."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""Bound on the requests to a server that names a limit, in any ``LIMIT_WINDOW_S`` seconds: so
many times its limit, and some more."""

GRACE_S = 2.0
"""Time in seconds that the settings give to a planned stop."""

STOP_MARGIN_S = 3.0
"""Time in seconds beyond it that a busy machine may add."""

COLD_WINDOW_S = 1.0
COLD_LIMIT = 3.5 * 1.5 + 5
"""Bound on the requests to a cold server in any ``COLD_WINDOW_S`` seconds, as in the settings
and the configuration."""

RETRY_RATIO = 0.2
RETRY_SLACK = 62
RETRY_WINDOW_S = 10.0
"""Bound on repeated sends over all gateways, as in the settings."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokenPromise:
    """One finding.

    Attributes:
        promise: Name of the check.
        detail: What was seen.
    """

    promise: str
    detail: str


def broken_promises(seen: Observations) -> list[BrokenPromise]:
    """Return all findings of a run."""
    return [
        BrokenPromise(promise=check.__name__, detail=detail)
        for check in CHECKS
        for detail in check(seen)
    ]


def non_idempotent_requests_run_at_most_once(seen: Observations) -> Iterator[str]:
    """A request that must not be repeated has at most one execution."""
    runs = Counter(execution.request_id for execution in seen.executions)
    for call in seen.calls:
        if not call.idempotent and runs[call.request_id] > 1:
            yield f"{call.request_id} ran {runs[call.request_id]} times"


def requests_reported_as_not_run_did_not_run(seen: Observations) -> Iterator[str]:
    """An answer that says "not run" is true, also after it was sent."""
    ran = {execution.request_id: execution for execution in seen.executions}
    for call in seen.calls:
        if call.status in NOT_RUN_STATUSES and call.request_id in ran:
            server = ran[call.request_id].server
            yield f"{call.request_id} was answered {call.status} but ran on {server}"


def answers_belong_to_their_requests(seen: Observations) -> Iterator[str]:
    """A success is the whole answer of a server that ran this very request."""
    ran = {execution.request_id for execution in seen.executions}
    for call in seen.calls:
        if call.status != HTTPStatus.OK:
            continue
        if call.foreign:
            yield f"{call.request_id} got a spoilt answer or that of another request"
        elif call.request_id not in ran:
            yield f"{call.request_id} was answered 200 but did not run"


def bodies_arrive_whole(seen: Observations) -> Iterator[str]:
    """No server runs a request with a part of its body or with another one."""
    for execution in seen.executions:
        if not execution.intact:
            yield f"{execution.request_id} ran on {execution.server} with another body"


def statuses_are_explicable(seen: Observations) -> Iterator[str]:
    """Valid requests are never answered as if the caller were wrong."""
    for call in seen.calls:
        if call.outcome is Outcome.ANSWERED and call.status not in OWN_STATUSES | SERVER_STATUSES:
            yield f"{call.request_id} was answered {call.status}"


def every_request_is_answered(seen: Observations) -> Iterator[str]:
    """A gateway that runs and is reached answers each request in time."""
    for call in seen.calls:
        if call.outcome is Outcome.UNANSWERED and not _gateway_failed(seen, call):
            yield f"{call.request_id} at {call.gateway}: no answer"


def connections_are_not_closed_on_requests(seen: Observations) -> Iterator[str]:
    """A connection ends without an answer only for a reason that callers can know.

    In a planned stop a request that crosses the closing of its connection may
    stay unanswered if it did not run. An answer whose server breaks off midway
    cannot be completed.
    """
    ran = {execution.request_id for execution in seen.executions}
    for call in seen.calls:
        if call.outcome is not Outcome.CLOSED or _gateway_failed(seen, call):
            continue
        stopping = seen.disturbance_of(
            {call.gateway}, call.sent_at, call.ended_at, Cause.PLANNED_STOP
        )
        broken_off = call.received_bytes and seen.disturbance_of(None, call.sent_at, call.ended_at)
        if not broken_off and not (stopping and call.request_id not in ran):
            state = "ran" if call.request_id in ran else "did not run"
            yield f"{call.request_id} at {call.gateway}: connection closed, request {state}"


def leaving_servers_get_no_requests(seen: Observations) -> Iterator[str]:
    """Gateways in touch with the store stop sending to what is leaving."""
    for leave in seen.leaves:
        for execution in seen.executions:
            if not leave.covers(execution):
                continue
            if not leave.began_at + LEAVE_BOUND_S < execution.at < leave.ended_at:
                continue
            if not seen.disturbance_of(None, execution.at - SETTLED_S, execution.at):
                left = execution.at - leave.began_at
                yield f"{execution.request_id} ran on {execution.server} {left:.1f} s after"


def servers_that_announced_to_leave_get_no_requests(seen: Observations) -> Iterator[str]:
    """A gateway that passed on a response with the announcement sends no later requests.

    It may have forgotten the announcement after a restart or a pause.
    """
    calls = {call.request_id: call for call in seen.calls}
    told_at: dict[tuple[str, str, int], float] = {}
    for execution in seen.executions:
        call = calls.get(execution.request_id)
        if call is not None and execution.leaving and call.status in SERVER_STATUSES:
            key = (call.gateway, execution.server, execution.start)
            told_at[key] = min(call.ended_at, told_at.get(key, call.ended_at))
    for execution in seen.executions:
        call = calls.get(execution.request_id)
        if call is None:
            continue
        at = told_at.get((call.gateway, execution.server, execution.start))
        if at is None or call.sent_at <= at + LEAVE_BOUND_S:
            continue
        if not seen.disturbance_of({call.gateway, SOAK}, at, execution.at):
            yield f"{call.request_id} ran on {execution.server} after its announcement"


def pauses_are_respected(seen: Observations) -> Iterator[str]:
    """Until the end of a pause that a server asks for, a gateway sends it nothing."""
    calls = {call.request_id: call for call in seen.calls}
    arrivals = [
        (call.gateway, arrival.server, arrival.start, arrival.at)
        for arrival in [*seen.pauses, *seen.executions]
        if (call := calls.get(arrival.request_id)) is not None
    ]
    for pause in seen.pauses:
        call = calls.get(pause.request_id)
        if call is None:
            continue
        begin, end = pause.at + PAUSE_SLACK_S, pause.at + pause.for_s
        late = [
            at
            for gateway, server, start, at in arrivals
            if (gateway, server, start) == (call.gateway, pause.server, pause.start)
            and begin < at < end
        ]
        if len(late) > PAUSE_ARRIVALS and not seen.disturbance_of(
            {call.gateway, SOAK}, pause.at, end
        ):
            yield f"{pause.server} got {len(late)} requests from {call.gateway} in its pause"


def limits_that_servers_name_are_kept(seen: Observations) -> Iterator[str]:
    """A server gets little more than its limit from all gateways that it has told.

    A gateway may have forgotten the limit after a restart or a pause.
    """
    for limit in seen.limits:
        arrived_at = list(_arrivals_of_told_gateways(seen, limit))
        most = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for begin in arrived_at:
            count = sum(begin <= at < begin + LIMIT_WINDOW_S for at in arrived_at)
            if count > most:
                yield f"{limit.server} got {count} requests at a limit of {limit.per_s}"
                break


def _arrivals_of_told_gateways(seen: Observations, limit: NamedLimit) -> Iterator[float]:
    calls = {call.request_id: call for call in seen.calls}
    told_at: dict[str, float] = {}
    for execution in sorted(seen.executions, key=lambda execution: execution.at):
        call = calls.get(execution.request_id)
        if call is None or not limit.covers(execution):
            continue
        told = told_at.get(call.gateway)
        if call.status in SERVER_STATUSES:
            told_at[call.gateway] = min(call.ended_at, told or call.ended_at)
        if told is None or execution.at < max(told + TOLD_SLACK_S, limit.began_at + SETTLED_S):
            continue
        if not seen.disturbance_of({call.gateway, SOAK}, limit.began_at, execution.at):
            yield execution.at


def cold_servers_are_not_flooded(seen: Observations) -> Iterator[str]:
    """A server that has just started gets no more than it can take from all gateways together.

    What a link or a stall of the soak holds back arrives at once afterwards.
    """
    for start in seen.cold_starts:
        arrived_at = [at for at in start.arrived_at if start.began_at <= at <= start.ended_at]
        for begin in arrived_at:
            end = begin + COLD_WINDOW_S
            count = sum(begin <= at < end for at in arrived_at)
            subjects = {start.server, SOAK}
            if count > COLD_LIMIT and not seen.disturbance_of(subjects, begin, end):
                yield f"{start.server} got {count} requests in a second while cold"
                break


def retries_stay_within_their_budget(seen: Observations) -> Iterator[str]:
    """Repeated sends of all gateways together are bounded."""
    if not seen.calls:
        return
    first = min(call.sent_at for call in seen.calls)
    last = max(call.ended_at for call in seen.calls)
    windows = (last - first) // RETRY_WINDOW_S + 1
    most = len(seen.calls) * (1 + RETRY_RATIO) + RETRY_SLACK * windows
    if seen.sends > most:
        yield f"{seen.sends} sends for {len(seen.calls)} requests"


def calm_deployments_serve_everything(seen: Observations) -> Iterator[str]:
    """Some time after the last fault every request succeeds again.

    A stall leaves queues and long waits behind, like every other fault.
    """
    for start, end in seen.calm_spans:
        for call in seen.calls:
            if not start <= call.sent_at <= end or call.outcome is Outcome.ABANDONED:
                continue
            subjects = {call.gateway, SOAK}
            began_at = call.sent_at - SETTLED_S
            if call.status == HTTPStatus.OK:
                continue
            if not seen.disturbance_of(subjects, began_at, call.ended_at, Cause.FAULT):
                yield f"{call.request_id} at {call.gateway}: {call.outcome.value} {call.status}"


def planned_stops_end_in_time(seen: Observations) -> Iterator[str]:
    """A process that runs ends within the time for a stop."""
    for stop in seen.planned_stops:
        took_s = stop.ended_at - stop.asked_at
        subjects = {stop.gateway, SOAK}
        failed = seen.disturbance_of(subjects, stop.asked_at, stop.ended_at, Cause.FAULT)
        if took_s > GRACE_S + STOP_MARGIN_S and not failed:
            yield f"{stop.gateway} took {took_s:.1f} s"


def processes_do_nothing_unasked(seen: Observations) -> Iterator[str]:
    """Processes neither end by themselves nor fail at what they are asked for."""
    yield from seen.process_faults


CHECKS: tuple[Callable[[Observations], Iterator[str]], ...] = (
    non_idempotent_requests_run_at_most_once,
    requests_reported_as_not_run_did_not_run,
    answers_belong_to_their_requests,
    bodies_arrive_whole,
    statuses_are_explicable,
    every_request_is_answered,
    connections_are_not_closed_on_requests,
    leaving_servers_get_no_requests,
    servers_that_announced_to_leave_get_no_requests,
    pauses_are_respected,
    limits_that_servers_name_are_kept,
    cold_servers_are_not_flooded,
    retries_stay_within_their_budget,
    calm_deployments_serve_everything,
    planned_stops_end_in_time,
    processes_do_nothing_unasked,
)


def _gateway_failed(seen: Observations, call: Call) -> bool:
    """Whether the gateway, or the soak with its servers, could not do its work."""
    return seen.disturbance_of({call.gateway, SOAK}, call.sent_at, call.ended_at, Cause.FAULT)

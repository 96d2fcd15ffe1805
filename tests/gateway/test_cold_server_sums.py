"""What all gateways of a region together send to a cold server.

Guards against cold servers that are flooded although each gateway keeps its own part of the
limit: the parts of all gateways have to add up to the limit whatever each of them knows.
"""

import pytest

from knapweeddock.gateway.limits.retrybudget import RetryBudgetLimits, RetryBudgetShare
from tests.gateway.support import COLD_RATE_PER_S, LimitedGateway, make_server

STEP_S = 0.02

SETTLED_S = 20.0
"""Time in seconds at which everything that was known at the start has been known for long."""


def make_region(size: int, *, cold_until: float = 100.0) -> list[LimitedGateway]:
    vms = [f"vm-{index}" for index in range(size)]
    gateways = [LimitedGateway(vm, vms, make_server("s", started_at_ms=1)) for vm in vms]
    for gateway in gateways:
        gateway.state.fleet.servers["s"].cold_until = cold_until
        gateway.advance(SETTLED_S)
    return gateways


def most_in_a_second(sent_at: list[float]) -> int:
    return max((sum(start <= at < start + 1.0 for at in sent_at) for start in sent_at), default=0)


def send_all_that_is_allowed(
    gateways: list[LimitedGateway], *, until: float, server: str = "s"
) -> list[float]:
    """Let every gateway send whenever it may, and return the times at which one did."""
    sent_at = []
    for step in range(round((until - gateways[0].now) / STEP_S)):
        for gateway in gateways:
            gateway.advance(gateway.now + STEP_S if step else gateway.now)
            if gateway.send(server):
                sent_at.append(gateway.now)
    return sent_at


@pytest.mark.parametrize("size", [3, 4, 6, 64, 195])
@pytest.mark.parametrize("kept", [0.25, 0.5, 0.75])
def test_gateways_that_lost_their_registration_and_the_others(size, kept):
    # A store that returns from an older copy lacks some gateways, which go on meanwhile.
    gateways = make_region(size)
    still_listed = [gateway.vm for gateway in gateways[: max(1, round(kept * size))]]
    for gateway in gateways:
        if gateway.vm in still_listed:
            gateway.list_gateways(still_listed, revision=2)
    sent_at = send_all_that_is_allowed(gateways, until=SETTLED_S + 3.0)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 64, 195])
def test_gateways_that_have_just_joined_and_the_others(size):
    # The others divide the limit without the new gateways until they hear of them.
    gateways = make_region(size)
    known = [gateway.vm for gateway in gateways]
    joined = [
        LimitedGateway(f"new-{index}", [*known, f"new-{index}"], make_server("s"), now=SETTLED_S)
        for index in range(size)
    ]
    for gateway in joined:
        gateway.state.fleet.servers["s"].cold_until = 100.0
    sent_at = send_all_that_is_allowed([*gateways, *joined], until=SETTLED_S + 2.0)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 64, 195])
def test_gateways_that_start_again_while_registrations_are_missing(size):
    # Each of them sees the registrations that have been written again so far.
    gateways = make_region(size)
    vms = [gateway.vm for gateway in gateways]
    restarted = [
        LimitedGateway(vm, vms[: index + 1], make_server("s"), now=SETTLED_S)
        for index, vm in enumerate(vms)
    ]
    for gateway in restarted:
        gateway.state.fleet.servers["s"].cold_until = 100.0
    sent_at = send_all_that_is_allowed(restarted, until=SETTLED_S + 1.0)
    for gateway in restarted:
        gateway.list_gateways(vms, revision=2)
    sent_at += send_all_that_is_allowed(restarted, until=SETTLED_S + 12.0)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 64, 195])
def test_server_whose_restart_is_registered_after_it_was_found_to_be_back(size):
    # The entry of the new process arrives when the gateways have used their parts already.
    gateways = make_region(size)
    sent_at = send_all_that_is_allowed(gateways, until=SETTLED_S + 0.3)
    for gateway in gateways:
        gateway.state.fleet.upsert(
            make_server("s", started_at_ms=2, warmup_left_s=3.0), gateway.now
        )
    sent_at += send_all_that_is_allowed(gateways, until=SETTLED_S + 2.0)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 64, 195])
def test_server_whose_entry_is_removed_and_written_again(size):
    # Such as one that another writer made unreadable for a moment.
    gateways = make_region(size)
    sent_at = send_all_that_is_allowed(gateways, until=SETTLED_S + 0.3)
    for gateway in gateways:
        gateway.state.fleet.deregister("s", gateway.now, grace_s=0.0)
        gateway.state.fleet.upsert(make_server("s", started_at_ms=1), gateway.now + STEP_S)
    sent_at += send_all_that_is_allowed(gateways, until=SETTLED_S + 2.0)
    assert 0 < most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 64, 195])
def test_server_that_was_cold_before_the_gateways_knew(size):
    # Each gateway has sent it its usual share of 9 requests, and learns then that it is cold.
    gateways = make_region(size, cold_until=0.0)
    sent_at = []
    for index in range(9):
        gateways[index % size].advance(SETTLED_S + index / 100)
        assert gateways[index % size].send("s")
        sent_at.append(gateways[index % size].now)
    for gateway in gateways:
        gateway.advance(SETTLED_S + 0.1)
        gateway.state.fleet.servers["s"].become_cold(100.0, gateway.now)
    sent_at += send_all_that_is_allowed(gateways, until=SETTLED_S + 0.9)
    assert most_in_a_second(sent_at) <= COLD_RATE_PER_S


@pytest.mark.parametrize("size", [3, 4, 6, 64, 195])
def test_fixed_part_of_the_retry_budget_under_different_lists(size):
    gateways = make_region(size)
    for gateway in gateways[: size // 2]:
        gateway.list_gateways([gateway.vm], revision=2)
    limits = RetryBudgetLimits(ratio=0.2, allowance=62.0, window_s=10.0)
    retries = sum(
        RetryBudgetShare(limits=limits).remaining(gateway.members.count(), gateway.now)
        for gateway in gateways
    )
    assert retries <= limits.allowance

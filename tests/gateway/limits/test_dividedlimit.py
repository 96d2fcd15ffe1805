import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.limits.dividedlimit import (
    COLD_WINDOW_S,
    NAMED_WINDOW_S,
    SentRequest,
    SentRequests,
    cold_limit,
    gateway_quota,
    named_limit,
)

GATEWAYS = st.integers(1, 200).map(lambda count: [f"vm-{index}" for index in range(count)])


@given(gateways=GATEWAYS, limit_per_s=st.floats(1.0, 50.0), server=st.text(min_size=1))
def test_parts_of_all_gateways_add_up_to_less_than_the_bound(gateways, limit_per_s, server):
    # The servers of a failure domain come back cold, and every gateway uses its whole quota.
    limit = cold_limit(limit_per_s)
    quotas = [gateway_quota(limit, server, vm, gateways) for vm in gateways]
    assert sum(quotas) <= limit_per_s * COLD_WINDOW_S
    assert max(quotas) - min(quotas) <= 1


@given(gateways=GATEWAYS, limit_per_s=st.floats(0.01, 50.0), server=st.text(min_size=1))
def test_parts_of_a_limit_that_a_server_names_add_up_to_it(gateways, limit_per_s, server):
    # A limit of less than one request per window must not be rounded to nothing.
    limit = named_limit(limit_per_s)
    quotas = [gateway_quota(limit, server, vm, gateways) for vm in gateways]
    assert 1 <= sum(quotas) == limit.requests
    assert sum(quotas) / limit.window_s <= limit_per_s
    assert limit.window_s > NAMED_WINDOW_S


def test_server_that_takes_nothing_gets_nothing():
    assert gateway_quota(named_limit(0.0), "s", "vm-1", ["vm-1"]) == 0


def test_gateway_that_is_not_registered_sends_nothing():
    assert gateway_quota(cold_limit(10.0), "s", "vm-9", ["vm-1"]) == 0


def test_no_window_exceeds_the_quota():
    sent = SentRequests()
    taken = []
    for now in (index * 0.05 for index in range(200)):
        if sent.allows(2, 1.1, now):
            sent.record(SentRequest(sent_at=now), 1.1)
            taken.append(now)
    for start in taken:
        assert sum(start <= at < start + 1.0 for at in taken) <= 2
    assert len(taken) >= 2 * 10 / 1.1 - 2


@pytest.mark.parametrize("size", [6, 64, 195])
@pytest.mark.parametrize("limit_per_s", [0.7, 2.1, 10.0])
def test_server_in_need_gets_no_more_than_it_names_from_any_number_of_gateways(size, limit_per_s):
    """A server in need names a limit while all gateways want it for ten times as many requests.

    Its requests are counted over any four seconds, as the server counts them.
    """
    rng = random.Random(size)
    gateways = [f"vm-{index}" for index in range(size)]
    limit = named_limit(limit_per_s)
    quotas = {vm: gateway_quota(limit, "s", vm, gateways) for vm in gateways}
    sent = {vm: SentRequests() for vm in gateways}
    arrived_at = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(10 * limit_per_s)
        vm = rng.choice(gateways)
        if sent[vm].allows(quotas[vm], limit.window_s, now):
            sent[vm].record(SentRequest(sent_at=now), limit.window_s)
            arrived_at.append(now + 0.03 * rng.random())
    arrived_at.sort()
    for start in arrived_at:
        assert sum(start <= at < start + 4.0 for at in arrived_at) <= limit_per_s * 4.0 + 1
    assert arrived_at


def test_request_counts_from_when_it_was_sent_on_its_connection():
    # A connection that took long to open would let two quotas arrive within one second.
    sent = SentRequests()
    request = SentRequest(sent_at=0.0)
    sent.record(request, 1.1)
    request.sent_at = 0.25
    assert not sent.allows(1, 1.1, 1.2)
    assert sent.allows(1, 1.1, 1.36)

from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.slowstart import WINDOW_S, gateway_quota, try_acquire


@given(count=st.integers(1, 40), limit_per_s=st.floats(1.0, 50.0), server=st.text(min_size=1))
def test_parts_of_all_gateways_add_up_to_less_than_the_bound(count, limit_per_s, server):
    # The servers of a failure domain come back cold, and every gateway uses its whole quota.
    gateways = [f"vm-{index}" for index in range(count)]
    quotas = [gateway_quota(server, vm, gateways, limit_per_s) for vm in gateways]
    assert sum(quotas) <= limit_per_s
    assert max(quotas) - min(quotas) <= 1


def test_gateway_that_is_not_registered_sends_nothing():
    assert gateway_quota("s", "vm-9", ["vm-1"], 10.0) == 0


def test_no_window_exceeds_the_quota():
    sent: deque[float] = deque()
    taken = [now for now in (index * 0.05 for index in range(200)) if try_acquire(sent, 2, now)]
    for start in taken:
        assert sum(start <= at < start + 1.0 for at in taken) <= 2
    assert len(taken) >= 2 * 10 / WINDOW_S - 2


def test_dry_run_counts_nothing():
    sent: deque[float] = deque()
    assert try_acquire(sent, 1, 0.0, dry_run=True)
    assert try_acquire(sent, 1, 0.0)
    assert not try_acquire(sent, 1, 0.1)

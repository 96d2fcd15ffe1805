from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.coldstart import WINDOW_S, part_of, take


@given(count=st.integers(1, 40), bound=st.floats(1.0, 50.0), server=st.text(min_size=1))
def test_parts_of_all_gateways_add_up_to_less_than_the_bound(count, bound, server):
    # A zone's servers come back cold and every gateway sends what it may.
    gateways = [f"vm-{index}" for index in range(count)]
    parts = [part_of(server, vm, gateways, bound) for vm in gateways]
    assert sum(parts) <= bound
    assert max(parts) - min(parts) <= 1


def test_gateway_that_is_not_registered_sends_nothing():
    assert part_of("s", "vm-9", ["vm-1"], 10.0) == 0


def test_no_window_has_more_than_the_part():
    sent: deque[float] = deque()
    taken = [now for now in (index * 0.05 for index in range(200)) if take(sent, 2, now)]
    for start in taken:
        assert sum(start <= at < start + 1.0 for at in taken) <= 2
    assert len(taken) >= 2 * 10 / WINDOW_S - 2


def test_question_alone_counts_nothing():
    sent: deque[float] = deque()
    assert take(sent, 1, 0.0, dry=True)
    assert take(sent, 1, 0.0)
    assert not take(sent, 1, 0.1)

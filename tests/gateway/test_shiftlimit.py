from knapweeddock.gateway.shiftlimit import WINDOW_S, ShiftLimit

BOUND = 0.15


def test_burst_moves_a_bounded_part_per_window():
    # The own region is full: every request would rather go elsewhere.
    limit = ShiftLimit(bound=BOUND)
    shares = []
    for window in range(5):
        remote = 0
        for index in range(100):
            now = window * WINDOW_S + index * WINDOW_S / 100
            goes = limit.allows("s", now)
            limit.record("s", remote=goes, now=now)
            remote += goes
        shares.append(remote / 100)
    assert shares[0] > 0
    for before, after in zip([0.0, *shares], shares, strict=False):
        assert after - before <= BOUND


def test_services_are_counted_apart():
    limit = ShiftLimit(bound=BOUND)
    for _ in range(100):
        limit.record("a", remote=True, now=0.0)
    assert not limit.allows("a", 0.1)
    for _ in range(20):
        limit.record("b", remote=False, now=0.0)
    assert limit.allows("b", 0.1)

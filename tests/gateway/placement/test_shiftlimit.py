from knapweeddock.gateway.placement.shiftlimit import WINDOW_S, ShiftLimit

MAX_SHIFT = 0.15


def test_burst_moves_a_bounded_part_per_window():
    # The own region is full, so every request would respond earlier in another one.
    limit = ShiftLimit(max_shift=MAX_SHIFT)
    remote_shares = []
    for window in range(5):
        remote = 0
        for index in range(100):
            now = window * WINDOW_S + index * WINDOW_S / 100
            is_remote = limit.allows("s", now)
            limit.record("s", remote=is_remote, now=now)
            remote += is_remote
        remote_shares.append(remote / 100)
    assert remote_shares[0] > 0
    for before, after in zip([0.0, *remote_shares], remote_shares, strict=False):
        assert after - before <= MAX_SHIFT


def test_services_are_counted_apart():
    limit = ShiftLimit(max_shift=MAX_SHIFT)
    for _ in range(100):
        limit.record("a", remote=True, now=0.0)
    assert not limit.allows("a", 0.1)
    for _ in range(20):
        limit.record("b", remote=False, now=0.0)
    assert limit.allows("b", 0.1)

from knapweeddock.gateway.limits.serverlimit import LIMIT_MEMORY_S, ServerLimit

NOW = 100.0


def test_latest_word_counts():
    # Reports of other gateways arrive late and in any order.
    limit = ServerLimit()
    assert limit.observe(2.5, NOW)
    assert not limit.observe(None, NOW - 0.1)
    assert not limit.observe(2.5, NOW + 0.1)
    assert limit.active_per_s(NOW + 0.2) == 2.5
    assert limit.observe(None, NOW + 0.3)
    assert limit.active_per_s(NOW + 0.4) is None


def test_limit_of_a_server_that_is_not_heard_again_ends():
    # A gateway without a quota gets no response that could tell it that the limit is over.
    limit = ServerLimit()
    limit.observe(2.5, NOW)
    assert limit.active_per_s(NOW + LIMIT_MEMORY_S - 1) == 2.5
    assert limit.active_per_s(NOW + LIMIT_MEMORY_S) is None


def test_limit_of_zero_is_a_limit():
    limit = ServerLimit()
    limit.observe(0.0, NOW)
    assert limit.active_per_s(NOW) == 0.0

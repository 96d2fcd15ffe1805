from knapweeddock.gateway.limits.serverquotas import MEMORY_S, ServerQuotas
from tests.gateway.support import (
    make_fleet,
    make_quota_members,
    make_quotas,
    make_server,
    server_state,
)

NOW = 100.0


def count_sent(quotas: ServerQuotas, server, *, seconds: float, tries_per_s: int = 20) -> int:
    sent = 0
    for index in range(int(seconds * tries_per_s)):
        now = NOW + index / tries_per_s
        if quotas.allow(server, now):
            quotas.record_sent(server, now)
            sent += 1
    return sent


def test_server_without_a_limit_gets_all():
    server = server_state(make_fleet(make_server("a")), "a")
    assert count_sent(make_quotas(), server, seconds=4.0) == 80


def test_limit_that_a_server_names_holds_beside_that_of_a_cold_server():
    server = server_state(make_fleet(make_server("a")), "a")
    server.cold_until = NOW + 60.0
    server.observe_limit(0.5, NOW - 1)
    assert count_sent(make_quotas(cold_quota=3), server, seconds=4.0) == 2


def test_gateways_of_other_regions_send_nothing_to_a_limited_server():
    # The gateways of its region have the whole limit among them.
    server = server_state(make_fleet(make_server("a")), "a")
    server.observe_limit(50.0, NOW - 1)
    members = make_quota_members("far", ["near"], ["far"])
    quotas = ServerQuotas(vm="far", members=members, cold_rate_per_s=lambda _: 9.0)
    assert count_sent(quotas, server, seconds=1.0) == 0


def test_requests_sent_before_the_limit_was_named_do_not_count():
    server = server_state(make_fleet(make_server("a")), "a")
    quotas = make_quotas()
    assert count_sent(quotas, server, seconds=1.0) == 20
    server.observe_limit(0.5, NOW + 1.0)
    assert quotas.allow(server, NOW + 1.0)


def test_requests_are_forgotten_when_nothing_is_sent_any_more():
    fleet = make_fleet(make_server("a"), make_server("b"))
    quotas = make_quotas()
    for name in ("a", "b"):
        server_state(fleet, name).cold_until = NOW + 1000
        quotas.record_sent(server_state(fleet, name), NOW if name == "a" else NOW + MEMORY_S)
    quotas.forget_idle(NOW + MEMORY_S + 1)
    assert not quotas.allow(server_state(fleet, "b"), NOW + MEMORY_S)
    assert quotas.allow(server_state(fleet, "a"), NOW)

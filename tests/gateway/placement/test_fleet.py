from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.records import ServerPhase
from tests.gateway.support import (
    REGION,
    SERVICE,
    add_pending_requests,
    make_fleet,
    make_server,
    server_state,
)


def group_members(fleet) -> list[str]:
    return [state.entry.server for state in fleet.group(SERVICE, REGION)]


def test_draining_and_evacuated_servers_get_nothing():
    fleet = make_fleet(
        make_server("a"), make_server("b"), make_server("c", failure_domain="north-b")
    )
    fleet.upsert(make_server("a", phase=ServerPhase.DRAINING), 1.0)
    fleet.set_evacuated_domains(frozenset({"north-b"}), 1.0)
    assert group_members(fleet) == ["b"]


def test_servers_of_a_restored_domain_count_as_cold():
    # Without traffic during the evacuation they may have become cold unnoticed.
    fleet = make_fleet(make_server("a"))
    fleet.warmup_s = {SERVICE: 3.0}
    fleet.set_evacuated_domains(frozenset({"north-a"}), 1.0)
    fleet.set_evacuated_domains(frozenset(), 2.0)
    assert server_state(fleet, "a").is_cold(4.9)
    assert not server_state(fleet, "a").is_cold(5.1)


def test_missing_server_is_removed_after_the_grace_period():
    # Registrations expire during an outage of the store and are renewed after it.
    fleet = make_fleet(make_server("a"), make_server("b"))
    fleet.replace_all([make_server("a")], 10.0, grace_s=2.0)
    assert group_members(fleet) == ["a", "b"]
    fleet.remove_expired(11.9)
    assert group_members(fleet) == ["a", "b"]
    fleet.remove_expired(12.1)
    assert group_members(fleet) == ["a"]


def test_renewed_registration_ends_the_grace_period():
    fleet = make_fleet(make_server("a"))
    fleet.deregister("a", 10.0, grace_s=2.0)
    fleet.upsert(make_server("a"), 11.0)
    fleet.remove_expired(20.0)
    assert group_members(fleet) == ["a"]


def test_relay_that_knows_no_grace_period_does_not_shorten_one():
    # A gateway that changes its relay after the store's return would drop servers that are
    # about to register again.
    fleet = make_fleet(make_server("a"))
    fleet.deregister("a", 10.0, grace_s=2.0)
    fleet.replace_all([], 10.5, grace_s=0.0)
    fleet.remove_expired(11.9)
    assert list(fleet.servers) == ["a"]
    assert fleet.remaining_grace_s(11.5) == 0.5
    fleet.remove_expired(12.0)
    assert fleet.servers == {}
    assert fleet.remaining_grace_s(12.0) == 0.0


def test_repeated_removal_does_not_prolong_the_grace_period():
    fleet = make_fleet(make_server("a"))
    fleet.deregister("a", 10.0, grace_s=2.0)
    fleet.deregister("a", 11.9, grace_s=2.0)
    fleet.remove_expired(12.1)
    assert group_members(fleet) == []


def test_restarted_server_is_cold_and_its_state_is_reset():
    fleet = make_fleet(make_server("a", started_at_ms=1))
    fleet.warmup_s = {SERVICE: 3.0}
    server_state(fleet, "a").health.record_unreachable(0.0)
    fleet.upsert(make_server("a", started_at_ms=2), 1.0)
    assert server_state(fleet, "a").is_cold(3.9)
    assert server_state(fleet, "a").health.is_usable()


def test_entry_without_change_keeps_what_was_learned():
    fleet = make_fleet(make_server("a", started_at_ms=1))
    add_pending_requests(server_state(fleet, "a"), 2)
    fleet.upsert(make_server("a", started_at_ms=1), 1.0)
    assert server_state(fleet, "a").load.own_requests == 2


def test_unreachable_servers_have_no_slots():
    fleet = make_fleet(make_server("a"), make_server("b"))
    server_state(fleet, "a").health.record_unreachable(0.0)
    # Each server has 3 slots.
    assert fleet.reachable_slots(SERVICE, REGION) == 3


def test_new_server_whose_entry_tells_no_warmup_is_cold():
    # The field may be missing, or the entry may have been written before it was known.
    fleet = make_fleet(make_server("first"))
    fleet.warmup_s = {SERVICE: 3.0}
    fleet.upsert(make_server("new"), 10.0)
    fleet.replace_all([make_server("first"), make_server("newer")], 20.0, grace_s=0.0)
    assert server_state(fleet, "newer").is_cold(22.9)
    assert not server_state(fleet, "first").is_cold(20.0)


def test_server_that_registers_again_after_an_outage_is_not_cold():
    fleet = make_fleet(make_server("a", started_at_ms=1))
    fleet.warmup_s = {SERVICE: 3.0}
    fleet.deregister("a", 10.0, grace_s=0.0)
    fleet.upsert(make_server("a", started_at_ms=1), 15.0)
    assert not server_state(fleet, "a").is_cold(15.0)
    fleet.deregister("a", 20.0, grace_s=0.0)
    fleet.upsert(make_server("a", started_at_ms=2), 25.0)
    assert server_state(fleet, "a").is_cold(27.9)


def test_servers_of_the_first_list_are_taken_for_what_their_entries_tell():
    # A gateway that starts knows nothing of what came before.
    fleet = Fleet()
    fleet.warmup_s = {SERVICE: 3.0}
    fleet.replace_all([make_server("a"), make_server("b", warmup_left_s=1.0)], 0.0, grace_s=0.0)
    assert not server_state(fleet, "a").is_cold(0.0)
    assert server_state(fleet, "b").is_cold(0.9)


def test_server_that_turns_cold_gets_nothing_for_a_moment():
    # Gateways that learn of it later have sent it their usual share in this second.
    fleet = make_fleet(make_server("a"))
    fleet.upsert(make_server("a", warmup_left_s=3.0), 10.0)
    assert not server_state(fleet, "a").accepts_requests(11.0)
    assert server_state(fleet, "a").accepts_requests(11.2)
    fleet.upsert(make_server("a", warmup_left_s=2.0), 11.2)
    assert server_state(fleet, "a").accepts_requests(11.2)


def test_new_server_and_one_that_was_unreachable_begin_at_once():
    fleet = make_fleet(make_server("a", started_at_ms=1))
    server_state(fleet, "a").health.record_unreachable(9.0)
    fleet.upsert(make_server("a", started_at_ms=2, warmup_left_s=3.0), 10.0)
    fleet.upsert(make_server("b", warmup_left_s=3.0), 10.0)
    for name in ("a", "b"):
        assert server_state(fleet, name).accepts_requests(10.0)
        assert server_state(fleet, name).is_cold(12.9)


def test_server_gets_nothing_after_its_grace_period_whenever_it_is_removed():
    # Expired servers are removed at intervals; a request in between would reach one that has
    # left long ago.
    fleet = make_fleet(make_server("a"))
    fleet.deregister("a", 100.0, grace_s=2.0)
    state = server_state(fleet, "a")
    assert state.accepts_requests(101.9)
    assert not state.accepts_requests(102.0)

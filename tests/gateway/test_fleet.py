from knapweeddock.gateway.records import ServerPhase
from tests.gateway.support import REGION, SERVICE, fleet_of, occupy, server, state_of


def group_members(fleet) -> list[str]:
    return [state.entry.server for state in fleet.group(SERVICE, REGION)]


def test_draining_and_evacuated_servers_get_nothing():
    fleet = fleet_of(server("a"), server("b"), server("c", failure_domain="north-b"))
    fleet.upsert(server("a", phase=ServerPhase.DRAINING), 1.0)
    fleet.set_evacuated_domains(frozenset({"north-b"}), 1.0)
    assert group_members(fleet) == ["b"]


def test_servers_of_a_returned_domain_count_as_cold():
    # Without traffic during the evacuation they may have become cold.
    fleet = fleet_of(server("a"))
    fleet.warmup_s = {SERVICE: 3.0}
    fleet.set_evacuated_domains(frozenset({"north-a"}), 1.0)
    fleet.set_evacuated_domains(frozenset(), 2.0)
    assert state_of(fleet, "a").is_cold(4.9)
    assert not state_of(fleet, "a").is_cold(5.1)


def test_missing_server_is_kept_for_the_grace_and_then_dropped():
    # Registrations expire during an outage of the store and are renewed after it.
    fleet = fleet_of(server("a"), server("b"))
    fleet.replace_all([server("a")], 10.0, grace_s=2.0)
    assert group_members(fleet) == ["a", "b"]
    fleet.expire(11.9)
    assert group_members(fleet) == ["a", "b"]
    fleet.expire(12.1)
    assert group_members(fleet) == ["a"]


def test_registration_that_comes_back_ends_the_grace():
    fleet = fleet_of(server("a"))
    fleet.remove("a", 10.0, grace_s=2.0)
    fleet.upsert(server("a"), 11.0)
    fleet.expire(20.0)
    assert group_members(fleet) == ["a"]


def test_repeated_removal_does_not_prolong_the_grace():
    fleet = fleet_of(server("a"))
    fleet.remove("a", 10.0, grace_s=2.0)
    fleet.remove("a", 11.9, grace_s=2.0)
    fleet.expire(12.1)
    assert group_members(fleet) == []


def test_new_start_under_the_same_identifier_is_cold_and_forgets_its_past():
    fleet = fleet_of(server("a", started_at_ms=1))
    fleet.warmup_s = {SERVICE: 3.0}
    state_of(fleet, "a").standing.unreachable(0.0)
    fleet.upsert(server("a", started_at_ms=2), 1.0)
    assert state_of(fleet, "a").is_cold(3.9)
    assert state_of(fleet, "a").standing.is_usable()


def test_entry_without_change_keeps_what_was_learned():
    fleet = fleet_of(server("a", started_at_ms=1))
    occupy(state_of(fleet, "a"), 2)
    fleet.upsert(server("a", started_at_ms=1), 1.0)
    assert state_of(fleet, "a").load.own == 2


def test_unreachable_servers_have_no_slots():
    fleet = fleet_of(server("a"), server("b"))
    state_of(fleet, "a").standing.unreachable(0.0)
    assert fleet.slots(SERVICE, REGION) == 3

from knapweeddock.gateway.limits.quotamembers import ABSENCE_HOLD_S, SETTLE_S, QuotaMembers
from tests.gateway.support import REGION, make_gateway, make_member

NOW = 100.0


def registered(*vms: str, **changes):
    return {vm: make_gateway(vm, **changes) for vm in vms}


def test_gateway_that_is_no_longer_registered_still_counts():
    # It may live and go on with its part, for instance if the store lost its registration.
    members = QuotaMembers(vm="a")
    members.update(registered("a", "b"), [], NOW)
    members.update(registered("a"), [], NOW + ABSENCE_HOLD_S)
    assert members.in_region(REGION) == ["a", "b"]
    members.update(registered("a"), [], NOW + ABSENCE_HOLD_S + 1)
    assert members.in_region(REGION) == ["a"]


def test_gateway_that_is_heard_counts_without_a_registration():
    members = QuotaMembers(vm="a")
    members.update(registered("a"), [make_member("b")], NOW)
    assert members.in_region(REGION) == ["a", "b"]


def test_gateway_whose_entry_names_another_region_counts_in_both():
    members = QuotaMembers(vm="a")
    members.update(registered("a", "b"), [], NOW)
    members.update({**registered("a"), **registered("b", region="south")}, [], NOW + 1)
    assert members.in_region(REGION) == ["a", "b"]
    assert members.in_region("south") == ["b"]


def test_new_gateway_has_no_part_until_the_others_know_it():
    members = QuotaMembers(vm="a")
    assert not members.has_part(NOW)
    members.update(registered("b"), [], NOW)
    assert not members.has_part(NOW + 2 * SETTLE_S)
    members.update(registered("a", "b"), [], NOW + 2 * SETTLE_S)
    assert not members.has_part(NOW + 2 * SETTLE_S)
    assert members.has_part(NOW + 3 * SETTLE_S)


def test_gateway_keeps_its_part_when_its_registration_is_lost():
    members = QuotaMembers(vm="a")
    members.update(registered("a", "b"), [], NOW)
    members.update(registered("b"), [], NOW + SETTLE_S)
    members.update(registered("a", "b"), [], NOW + SETTLE_S + 1)
    assert members.has_part(NOW + SETTLE_S + 1)


def test_revision_changes_with_the_members_only():
    members = QuotaMembers(vm="a")
    members.update(registered("a"), [], NOW)
    revision = members.revision
    members.update(registered("a"), [make_member("a")], NOW + 1)
    assert members.revision == revision
    members.update(registered("a", "b"), [], NOW + 2)
    assert members.revision > revision


def test_number_of_gateways_is_at_least_one():
    # It divides the retry budget and the idle connections before any list was read.
    assert QuotaMembers(vm="a").count() == 1

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.errors import PatchMismatch
from knapweeddock.gateway.routes import RoutingConfig, ServicePolicy
from knapweeddock.gateway.store.configpatch import apply_patch, make_patch
from tests.gateway.support import SERVICE, make_route

ROUTES = st.lists(
    st.builds(
        lambda name, timeout_s: make_route(route=name, host=name, timeout_s=timeout_s),
        st.sampled_from("abcdef"),
        st.sampled_from([1.0, 2.0]),
    ),
    max_size=6,
).map(tuple)


def make_config(version: int, routes=()) -> RoutingConfig:
    services = {SERVICE: ServicePolicy(service=SERVICE, warmup_s=float(version))}
    return RoutingConfig(version=version, routes=tuple(routes), services=services)


@given(old=ROUTES, new=ROUTES)
def test_patch_gives_exactly_the_new_version_or_there_is_none(old, new):
    first, second = make_config(3, old), make_config(5, new)
    patch = make_patch(first, second)
    if patch is not None:
        assert apply_patch(first, patch) == second


@given(old=ROUTES, new=ROUTES)
def test_routes_added_at_the_end_and_changed_in_place_need_no_full_copy(old, new):
    unique = {route.route: route for route in old}
    updated = {**unique, **{route.route: route for route in new}}
    first = make_config(3, unique.values())
    patch = make_patch(first, make_config(5, updated.values()))
    assert patch is not None
    assert {route.route for route in patch.changed} <= {route.route for route in new}
    assert patch.removed == []


def test_patch_holds_only_what_differs():
    routes = [make_route(route=f"r{number}", host=f"h{number}") for number in range(100)]
    changed = [dataclasses.replace(routes[0], timeout_s=9.0), *routes[2:]]
    patch = make_patch(make_config(3, routes), make_config(4, changed))
    assert patch.changed == changed[:1]
    assert patch.removed == ["r1"]


def test_patch_is_refused_for_another_version():
    # A gateway that has taken a later version from another relay must not go back.
    patch = make_patch(make_config(3), make_config(5))
    with pytest.raises(PatchMismatch):
        apply_patch(make_config(4), patch)

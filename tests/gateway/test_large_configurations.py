"""Large configurations on narrow links, between a relay and its subscribers."""

import dataclasses
import random

from knapweeddock.errors import PatchMismatch
from knapweeddock.gateway.routes import Route, RoutingConfig, ServicePolicy
from knapweeddock.gateway.store.storeclient import Change, ChangeBatch, Snapshot, Topic
from tests.gateway.membership.test_relay import CONFIG, running_relay, running_subscriber
from tests.gateway.slowlink import slow_link
from tests.gateway.support import SERVICE, at, make_route
from tests.waiting import until

ROUTE_COUNT = 2000

NARROW_LINK_BYTES_PER_S = 10e6 / 8
CONFIG_BOUND_S = 2.0
"""Time within which a change must be in force everywhere."""

REGION_SIZE = 65
"""Gateways of a region of a deployment of 195 VMs."""

LIMIT_BYTES = NARROW_LINK_BYTES_PER_S * CONFIG_BOUND_S / REGION_SIZE
"""What a narrow relay can send to each gateway of its region within the bound."""


def large_config(*, version: int) -> RoutingConfig:
    return RoutingConfig(
        version=version,
        routes=tuple(large_route(number) for number in range(ROUTE_COUNT)),
        services={SERVICE: ServicePolicy(service=SERVICE, warmup_s=3.0)},
    )


def large_route(number: int) -> Route:
    names = random.Random(number)
    host, path, route = (f"{names.getrandbits(32):08x}" for _ in range(3))
    return make_route(route=f"r-{route}", host=f"{host}.example", path_prefix=f"/{path}/")


def with_other_timeout(config: RoutingConfig, *, version: int) -> RoutingConfig:
    first, *others = config.routes
    return dataclasses.replace(
        config, version=version, routes=(dataclasses.replace(first, timeout_s=9.0), *others)
    )


def config_change(config: RoutingConfig, revision: int) -> ChangeBatch:
    return ChangeBatch(changes=[Change(name="main", item=config)], position=at(revision))


async def test_subscriber_stays_with_a_relay_while_a_large_message_arrives(monkeypatch):
    # A message that takes longer than the relay may be silent is not silence. A subscriber
    # that leaves in the middle starts the same transfer anew at the next relay.
    async with running_relay(monkeypatch) as (relay, address):
        config = large_config(version=8)
        relay.store_cache.apply_changes(Topic.CONFIGURATION, config_change(config, 11), grace_s=0.0)
        async with (
            slow_link(address, bytes_per_s=40_000.0) as link,
            running_subscriber(link.address) as (store_cache, task),
        ):
            await until(lambda: store_cache.is_complete or task.done())
            assert store_cache.items[Topic.CONFIGURATION] == {"main": config}


async def test_list_that_the_relay_reads_again_is_not_sent_as_the_whole_configuration(monkeypatch):
    # After a gap in the store's history the relay lists the configuration instead of watching.
    async with running_relay(monkeypatch) as (relay, address):
        config = large_config(version=8)
        relay.store_cache.apply_changes(Topic.CONFIGURATION, config_change(config, 11), grace_s=0.0)
        async with (
            slow_link(address, bytes_per_s=1e9) as link,
            running_subscriber(link.address) as (store_cache, _),
        ):
            await until(lambda: store_cache.is_complete)
            before = link.passed_bytes
            changed = with_other_timeout(config, version=9)
            listed = Snapshot(items={"main": changed}, position=at(12))
            relay.store_cache.apply_snapshot(Topic.CONFIGURATION, listed, grace_s=0.0)
            await until(lambda: store_cache.items[Topic.CONFIGURATION]["main"].version == 9)
            assert store_cache.positions[Topic.CONFIGURATION] == at(12)
            assert link.passed_bytes - before < LIMIT_BYTES


async def test_subscriber_of_another_version_takes_the_whole_configuration(monkeypatch):
    # A patch applies to one version; a subscriber that knows another one must not stay behind.
    async with (
        running_relay(monkeypatch) as (relay, address),
        running_subscriber(address) as (store_cache, task),
    ):
        older = dataclasses.replace(CONFIG, version=CONFIG.version - 1)
        store_cache.items[Topic.CONFIGURATION]["main"] = older
        changed = with_other_timeout(CONFIG, version=9)
        relay.store_cache.apply_changes(
            Topic.CONFIGURATION, config_change(changed, 12), grace_s=0.0
        )
        await until(task.done)
        assert isinstance(task.exception(), PatchMismatch)
        assert store_cache.items[Topic.CONFIGURATION] == {"main": older}


async def test_change_of_one_route_is_not_sent_as_the_whole_configuration(monkeypatch):
    # A relay sends each change to every subscriber, so the whole configuration of thousands
    # of routes takes longer on a narrow link than a change may take to be in force.
    async with running_relay(monkeypatch) as (relay, address):
        config = large_config(version=8)
        relay.store_cache.apply_changes(Topic.CONFIGURATION, config_change(config, 11), grace_s=0.0)
        async with (
            slow_link(address, bytes_per_s=1e9) as link,
            running_subscriber(link.address) as (store_cache, _),
        ):
            await until(lambda: store_cache.is_complete)
            before = link.passed_bytes
            changed = with_other_timeout(config, version=9)
            relay.store_cache.apply_changes(
                Topic.CONFIGURATION, config_change(changed, 12), grace_s=0.0
            )
            await until(lambda: store_cache.items[Topic.CONFIGURATION]["main"].version == 9)
            assert store_cache.items[Topic.CONFIGURATION] == {"main": changed}
            assert link.passed_bytes - before < LIMIT_BYTES

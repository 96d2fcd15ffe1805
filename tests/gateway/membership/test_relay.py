import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.membership import relay as relay_module
from knapweeddock.gateway.membership.regionfeed import Pulse
from knapweeddock.gateway.membership.relay import RelayServer, subscribe
from knapweeddock.gateway.membership.relaytree import MAX_RELAY_DEPTH
from knapweeddock.gateway.routes import RoutingConfig, ServicePolicy
from knapweeddock.gateway.store.storecache import StoreCache
from knapweeddock.gateway.store.storeclient import Change, ChangeBatch, Snapshot, Topic
from tests.gateway.support import SERVICE, at, make_feed, make_gateway, make_route, make_server
from tests.waiting import until

CONFIG = RoutingConfig(
    version=7,
    routes=(make_route(regions=frozenset({"north"})),),
    services={SERVICE: ServicePolicy(service=SERVICE, warmup_s=3.0)},
)


def populated_cache() -> StoreCache:
    store_cache = StoreCache()
    contents = {
        Topic.CONFIGURATION: {"main": CONFIG},
        Topic.SERVERS: {"a": make_server("a")},
        Topic.EVACUATIONS: {"north-b": "north-b"},
        Topic.GATEWAYS: {"vm": make_gateway("vm")},
    }
    for topic, items in contents.items():
        store_cache.apply_snapshot(topic, Snapshot(items=items, position=at(10)), grace_s=0.0)
    return store_cache


@contextlib.asynccontextmanager
async def running_relay(monkeypatch) -> AsyncIterator[tuple[RelayServer, tuple[str, int]]]:
    monkeypatch.setattr(relay_module, "PULSE_INTERVAL_S", 0.02)
    monkeypatch.setattr(relay_module, "RELAY_TIMEOUT_S", 0.2)
    relay = RelayServer(
        store_cache=populated_cache(),
        feed=make_feed("relay"),
        is_source_reachable=lambda: relay.store_connected,
        depth=lambda: relay.stated_depth,
        server_removal_grace_s=lambda: relay.grace,
    )
    relay.grace = 0.0
    relay.store_connected = True
    relay.stated_depth = 0
    listener = await asyncio.start_server(relay.serve_subscriber, "127.0.0.1", 0)
    pulses = asyncio.create_task(relay.run())
    try:
        yield relay, listener.sockets[0].getsockname()[:2]
    finally:
        pulses.cancel()
        relay.close()
        listener.close()


@contextlib.asynccontextmanager
async def running_subscriber(address) -> AsyncIterator[tuple[StoreCache, asyncio.Task[None]]]:
    store_cache = StoreCache()
    pulses: list[Pulse] = []
    task = asyncio.create_task(
        subscribe(store_cache, make_feed("two"), address, on_pulse=pulses.append)
    )
    try:
        await until(lambda: pulses or task.done())
        yield store_cache, task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_subscriber_gets_everything_and_then_the_changes(monkeypatch):
    async with (
        running_relay(monkeypatch) as (relay, address),
        running_subscriber(address) as (store_cache, _),
    ):
        assert store_cache.items == relay.store_cache.items
        removal = ChangeBatch(changes=[Change(name="a", item=None)], position=at(11))
        relay.store_cache.apply_changes(Topic.SERVERS, removal, grace_s=0.0)
        await until(lambda: not store_cache.items[Topic.SERVERS])


async def test_subscriber_is_told_that_the_relay_has_lost_the_store(monkeypatch):
    async with running_relay(monkeypatch) as (relay, address):
        # Before it tells, the relay sends nothing for three quarters of the usual timeout here.
        monkeypatch.setattr(relay_module, "RELAY_TIMEOUT_S", 60.0)
        store_cache = StoreCache()
        pulses: list[Pulse] = []
        task = asyncio.create_task(
            subscribe(store_cache, make_feed("two"), address, on_pulse=pulses.append)
        )
        await until(lambda: pulses and pulses[-1].connected)
        relay.store_connected = False
        await until(lambda: not pulses[-1].connected)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert store_cache.is_complete


async def test_relay_that_looks_for_another_relay_keeps_its_subscribers_for_longer(monkeypatch):
    # All relays lose the root together. Their subscribers would only watch the store by the
    # dozen until one of the relays has taken its place.
    monkeypatch.setattr(relay_module, "SOURCE_LOSS_DELAY_S", 0.0)
    monkeypatch.setattr(relay_module, "RELAY_CHANGE_DELAY_S", 60.0)
    async with running_relay(monkeypatch) as (relay, address):
        relay.stated_depth = 1
        store_cache = StoreCache()
        pulses: list[Pulse] = []
        task = asyncio.create_task(
            subscribe(store_cache, make_feed("two"), address, on_pulse=pulses.append)
        )
        await until(lambda: pulses)
        relay.store_connected = False
        await asyncio.sleep(0.1)
        relay.store_connected = True
        await until(lambda: len(pulses) > 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert all(pulse.connected for pulse in pulses)


async def test_subscriber_leaves_a_silent_relay(monkeypatch):
    # The connections of a relay process that hangs stay open; only its pulses are missing.
    async with (
        running_relay(monkeypatch) as (relay, address),
        running_subscriber(address) as (_, task),
    ):
        monkeypatch.setattr(relay_module, "PULSE_INTERVAL_S", 60.0)
        with pytest.raises(PeerUnavailable):
            await task
        assert relay.accepting


async def test_relay_that_has_stopped_accepting_refuses_subscribers(monkeypatch):
    async with running_relay(monkeypatch) as (relay, address):
        relay.close()
        with pytest.raises(PeerUnavailable):
            await subscribe(StoreCache(), make_feed("two"), address, on_pulse=lambda _: None)


async def test_subscribers_are_sent_away_when_the_relay_stops(monkeypatch):
    async with (
        running_relay(monkeypatch) as (relay, address),
        running_subscriber(address) as (_, task),
    ):
        assert relay.subscriber_count == 1
        relay.close()
        with pytest.raises(PeerUnavailable):
            await task


async def test_subscriber_keeps_servers_that_lapsed_during_an_outage(monkeypatch):
    # The subscription starts right after the store's recovery, when the servers have not
    # registered again and the list still lacks them.
    async with running_relay(monkeypatch) as (relay, address):
        relay.grace = 1.5
        grace_periods: list[float] = []
        store_cache = StoreCache()
        store_cache.listeners.append(lambda update: grace_periods.append(update.grace_s))
        task = asyncio.create_task(
            subscribe(store_cache, make_feed("two"), address, on_pulse=lambda _: None)
        )
        await until(lambda: store_cache.is_complete)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert grace_periods == [1.5] * len(Topic)


async def test_subscriber_that_knows_the_state_is_not_sent_it_again(monkeypatch):
    # When a relay is lost, all its subscribers come to the others in the same moment.
    async with running_relay(monkeypatch) as (relay, address):
        async with running_subscriber(address) as (store_cache, _):
            await until(lambda: store_cache.is_complete)
        updates = []
        store_cache.apply_update = updates.append
        changes = ChangeBatch(changes=[Change(name="b", item=make_server("b"))], position=at(12))
        relay.store_cache.apply_changes(Topic.SERVERS, changes, grace_s=0.0)
        pulses: list[Pulse] = []
        task = asyncio.create_task(
            subscribe(store_cache, make_feed("two"), address, on_pulse=pulses.append)
        )
        await until(lambda: pulses)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert [update.topic for update in updates] == [Topic.SERVERS]
        assert updates[0].whole


async def test_subscriber_that_has_to_list_a_topic_is_sent_it_again(monkeypatch):
    async with running_relay(monkeypatch) as (_, address):
        async with running_subscriber(address) as (store_cache, _):
            await until(lambda: store_cache.is_complete)
        store_cache.invalidate(Topic.SERVERS)
        async with running_subscriber(address) as (other, _):
            await until(lambda: other.is_complete)
        task = asyncio.create_task(
            subscribe(store_cache, make_feed("two"), address, on_pulse=lambda _: None)
        )
        await until(lambda: store_cache.is_complete)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert store_cache.is_listed(Topic.SERVERS)


async def test_gateway_that_is_far_from_the_store_accepts_no_subscriber(monkeypatch):
    # Two relays that take their changes from each other confirm them for ever.
    async with running_relay(monkeypatch) as (relay, address):
        relay.stated_depth = MAX_RELAY_DEPTH + 1
        with pytest.raises(PeerUnavailable):
            await subscribe(StoreCache(), make_feed("two"), address, on_pulse=lambda _: None)

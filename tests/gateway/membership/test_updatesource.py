import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

from knapweeddock.gateway.membership import relay as relay_module
from knapweeddock.gateway.membership import relaytree, updatesource
from knapweeddock.gateway.membership.relay import RelayServer, listen_for_subscribers
from knapweeddock.gateway.membership.relaytree import MIN_RELAYS, RelayTree, relay_order
from knapweeddock.gateway.membership.updatesource import UpdateSource
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store import storewatcher
from knapweeddock.gateway.store.inmemorystore import InMemoryStore
from knapweeddock.gateway.store.storecache import StoreCache
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storewatcher import StoreWatcher
from tests.gateway.support import make_feed, make_gateway
from tests.platform.world import free_port
from tests.waiting import until

NAMES = [f"vm-{index}" for index in range(5)]


def relays_of(names: list[str]) -> list[str]:
    return RelayTree(order=relay_order("north", dict.fromkeys(names, 0.0))).relays


def test_all_gateways_of_a_region_name_the_same_relays():
    assert relays_of(NAMES) == relays_of(list(reversed(NAMES)))
    assert len(relays_of(NAMES)) == MIN_RELAYS


async def test_small_regions_watch_by_themselves(monkeypatch):
    async with running_region(monkeypatch, names=NAMES[:2], expected_watchers=2) as region:
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert len(region.watching_vms()) == 2


def test_next_gateway_follows_when_a_relay_is_gone():
    first, second = relays_of(NAMES)
    rest = [name for name in NAMES if name != first]
    assert relays_of(rest)[0] == second


class Member:
    """A gateway that shares the store client of its region with the others."""

    def __init__(self, vm: str, region: "Region") -> None:
        self.vm = vm
        self.address = ("127.0.0.1", free_port())
        self.store_cache = StoreCache()
        self.store_watcher = StoreWatcher(
            store_client=region.store_client,
            store_cache=self.store_cache,
            outage_detection_s=0.2,
            reregistration_s=0.0,
            history_retention_s=20.0,
            rng=random.Random(1),
        )
        feed = make_feed(vm)
        self.entry = make_gateway(vm, peer_address=self.address)
        self.relay = RelayServer(
            store_cache=self.store_cache,
            feed=feed,
            is_source_reachable=lambda: self.update_source.source_reachable,
            depth=lambda: self.update_source.depth,
            server_removal_grace_s=self.store_watcher.server_removal_grace_s,
        )
        self.update_source = UpdateSource(
            own_entry=self.entry,
            store_cache=self.store_cache,
            store_watcher=self.store_watcher,
            relay=self.relay,
            feed=feed,
            heard_gateways=lambda: [],
            registered_gateways=lambda: {
                name: member.entry for name, member in region.members.items()
            },
            live_gateways=lambda: sorted(region.members),
            address_of=lambda vm: region.members[vm].address if vm in region.members else None,
            rng=random.Random(1),
        )
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        async with listen_for_subscribers(self.relay, self.address), asyncio.TaskGroup() as group:
            group.create_task(self.update_source.run())
            group.create_task(self.relay.run())

    def version(self) -> int:
        config = self.store_cache.items[Topic.CONFIGURATION].get("main")
        return config.version if config else 0


class Region:
    """Gateways by name, which share a store client; one that is stopped is removed."""

    def __init__(self) -> None:
        self.store_client = InMemoryStore()
        self.members: dict[str, Member] = {}
        self.set_version(1)

    def set_version(self, version: int) -> None:
        self.store_client.put(Topic.CONFIGURATION, "main", RoutingConfig(version=version))

    def watching_vms(self) -> list[str]:
        return [vm for vm, member in self.members.items() if member.update_source.watches_store]

    def all_topics_watched(self) -> bool:
        """Whether every gateway that watches the store has a watch on each topic."""
        watchers = [self.members[vm].store_watcher for vm in self.watching_vms()]
        return all(len(store_watcher._watch_tasks) == len(Topic) for store_watcher in watchers)

    async def stop(self, vm: str) -> None:
        member = self.members.pop(vm)
        member.task.cancel()
        await asyncio.gather(member.task, return_exceptions=True)


@contextlib.asynccontextmanager
async def running_region(monkeypatch, names=NAMES, expected_watchers=1) -> AsyncIterator[Region]:
    monkeypatch.setattr(storewatcher, "BATCH_PAUSE_S", dict.fromkeys(Topic, 0.0))
    monkeypatch.setattr(updatesource, "STARTUP_WAIT_S", 0.05)
    monkeypatch.setattr(updatesource, "STEP_DOWN_CHECK_INTERVAL_S", 0.2)
    region = Region()
    for vm in names:
        region.members[vm] = Member(vm, region)
    try:
        await until(
            lambda: len(region.watching_vms()) == expected_watchers and region.all_topics_watched()
        )
        # Tasks that have just been created start in the next iteration of the event loop.
        await asyncio.sleep(0.01)
        yield region
    finally:
        for vm in list(region.members):
            await region.stop(vm)


def all_at_version(region: Region, version: int) -> bool:
    return all(member.version() == version for member in region.members.values())


async def test_change_reaches_those_that_do_not_watch(monkeypatch):
    async with running_region(monkeypatch) as region:
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert region.watching_vms() == relays_of(NAMES)[:1]


async def test_loss_of_both_relays_is_made_up_for(monkeypatch):
    async with running_region(monkeypatch) as region:
        for vm in relays_of(NAMES):
            await region.stop(vm)
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert len(region.members) == len(NAMES) - MIN_RELAYS


async def test_second_relay_takes_over_without_a_watch_by_everybody(monkeypatch):
    # The loss of the first relay must not make every gateway of the region call the store.
    async with running_region(monkeypatch) as region:
        first, second = relays_of(NAMES)
        await region.stop(first)
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert region.watching_vms() == [second]


async def test_relays_that_lose_the_store_do_not_cut_off_the_others(monkeypatch):
    # The store may refuse single VMs; the other gateways must then reach it themselves.
    async with running_region(monkeypatch) as region:
        for vm in relays_of(NAMES):
            region.members[vm].store_watcher.store_client = InMemoryStore()
            region.members[vm].store_watcher.store_client.down = True
        region.store_client.break_watches()
        region.set_version(2)
        others = [vm for vm in NAMES if vm not in relays_of(NAMES)]
        await until(lambda: all(region.members[vm].version() == 2 for vm in others))
        assert set(others) & set(region.watching_vms())


async def test_gateway_that_starts_while_the_store_is_away_learns_from_the_others(monkeypatch):
    async with running_region(monkeypatch) as region:
        region.store_client.down = True
        region.store_client.break_watches()
        region.members["late"] = Member("late", region)
        await until(lambda: region.members["late"].version() == 1)
        assert region.store_client.down


def test_silence_is_noticed_through_all_relays_in_time():
    # If the store stops responding to all relays, the other gateways can still reach it and
    # must have left them within two thirds of the time for detecting the outage. This
    # holds for the minimum ping timeout, which applies if the store responded fast before.
    outage_detection_s = 3.0
    ping_interval_s = storewatcher.PING_INTERVAL_FRACTION * outage_detection_s
    ping_timeout_s = storewatcher.MIN_PING_TIMEOUT_FRACTION * outage_detection_s
    notice_s = relay_module.SOURCE_LOSS_DELAY_S + relay_module.PULSE_INTERVAL_S
    # The root finds out; the next one takes its place and sends no pulse before it has; the
    # other relays then watch the store themselves, and their subscribers wait no longer for it
    # than for any gateway that has begun to watch.
    root_s = ping_interval_s + ping_timeout_s + notice_s
    next_root_s = relay_module.SOURCE_LOSS_DELAY_S
    relay_s = notice_s
    assert root_s + next_root_s + relay_s <= outage_detection_s * 2 / 3


LARGE_REGION = [f"vm-{index}" for index in range(13)]


@contextlib.asynccontextmanager
async def running_large_region(monkeypatch) -> AsyncIterator[Region]:
    """Run a region in which a root and three relays have three subscribers each."""
    monkeypatch.setattr(relaytree, "RELAY_FAN_OUT", 3)
    monkeypatch.setattr(updatesource, "RETURN_INTERVAL_S", 0.3)
    async with running_region(monkeypatch, names=LARGE_REGION) as region:
        await until(lambda: all(depth_of(region, vm) <= 2 for vm in LARGE_REGION))
        await until(lambda: all_at_version(region, 1))
        yield region


def depth_of(region: Region, vm: str) -> int:
    return region.members[vm].update_source.depth


def is_in_its_place(region: Region, vm: str) -> bool:
    tree = RelayTree(order=relay_order("north", dict.fromkeys(region.members, 0.0)))
    expected = 0 if vm == tree.order[0] else 1 if tree.is_relay(vm) else 2
    return depth_of(region, vm) == expected


def all_in_place(region: Region) -> bool:
    return all(is_in_its_place(region, vm) for vm in region.members)


async def test_large_region_has_relays_between_the_root_and_the_others(monkeypatch):
    async with running_large_region(monkeypatch) as region:
        await until(lambda: all_in_place(region))
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert region.watching_vms() == relays_of(LARGE_REGION)[:1]


async def test_loss_of_the_root_does_not_make_all_watch_the_store(monkeypatch):
    async with running_large_region(monkeypatch) as region:
        await until(lambda: all_in_place(region))
        root, second, *_ = relays_of(LARGE_REGION)
        started: list[str] = []
        for vm, member in region.members.items():
            watch = member.update_source._watch_store
            member.update_source._watch_store = lambda vm=vm, watch=watch: (
                started.append(vm) or watch()
            )
        await region.stop(root)
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        await until(lambda: all_in_place(region))
        assert region.watching_vms() == [second]
        assert set(started) <= set(relays_of(LARGE_REGION))


async def test_gateways_return_to_their_relays_when_these_have_restarted(monkeypatch):
    # Otherwise a rolling restart would leave all of them with the relay that restarted first.
    async with running_large_region(monkeypatch) as region:
        await until(lambda: all_in_place(region))
        for vm in relays_of(LARGE_REGION):
            await region.stop(vm)
            await until(lambda: all_at_version(region, 1))
            region.members[vm] = Member(vm, region)
        await until(lambda: all_in_place(region))
        await until(lambda: region.watching_vms() == relays_of(LARGE_REGION)[:1])
        region.set_version(2)
        await until(lambda: all_at_version(region, 2))
        assert all_in_place(region)


async def test_relay_that_has_begun_to_watch_does_not_confirm_its_cache(monkeypatch):
    async with running_region(monkeypatch) as region:
        first = region.members[relays_of(NAMES)[0]]
        await until(lambda: first.update_source.source_reachable)
        first.update_source.watching_since = time.monotonic() + 60.0
        assert not first.update_source.source_reachable

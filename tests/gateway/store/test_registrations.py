import asyncio
import random

import pytest

from knapweeddock.gateway.store import registrations
from knapweeddock.gateway.store.inmemorystore import InMemoryStore
from knapweeddock.gateway.store.registrations import GATEWAY_EXPIRY_S, ExpiryTracker, Registrations
from knapweeddock.gateway.store.storeclient import Topic
from tests.gateway.support import make_gateway

START = 1000.0


def test_gateway_that_stays_silent_is_gone():
    tracker = ExpiryTracker()
    assert tracker.update(START, ["a", "b"], ["a"]) == []
    assert tracker.update(START + GATEWAY_EXPIRY_S - 1, ["a", "b"], ["a"]) == []
    assert tracker.update(START + GATEWAY_EXPIRY_S, ["a", "b"], ["a"]) == ["b"]


def test_any_heartbeat_starts_the_time_anew():
    # A gateway that is restarted from time to time must keep its registration.
    tracker = ExpiryTracker()
    tracker.update(START, ["b"], [])
    tracker.update(START + GATEWAY_EXPIRY_S - 1, ["b"], ["b"])
    assert tracker.update(START + GATEWAY_EXPIRY_S + 1, ["b"], []) == []


def test_other_sign_of_life_starts_the_time_anew():
    tracker = ExpiryTracker()
    tracker.update(START, ["b"], [])
    tracker.mark_alive("b")
    assert tracker.update(START + GATEWAY_EXPIRY_S, ["b"], []) == []


def test_registration_that_returns_is_new():
    tracker = ExpiryTracker()
    tracker.update(START, ["b"], [])
    tracker.update(START + 10, [], [])
    assert tracker.update(START + GATEWAY_EXPIRY_S, ["b"], []) == []


class Case:
    """The registrations as gateway ``a`` maintains them in an in-memory store."""

    def __init__(self) -> None:
        self.store_client = InMemoryStore()
        self.alive = ["a"]
        self.watching = True
        self.registrations = Registrations(
            own_entry=make_gateway("a"),
            store_client=self.store_client,
            gateways=self.registered_gateways,
            live_gateways=lambda: self.alive,
            watches_store=lambda: self.watching,
            rng=random.Random(1),
        )

    def registered_gateways(self):
        return dict(self.store_client.objects[Topic.GATEWAYS])

    def put(self, name: str, **changes) -> None:
        self.store_client.put(Topic.GATEWAYS, name, make_gateway(name, **changes))

    async def check_until_expiry(self) -> None:
        await self.registrations.check(START)
        await self.registrations.check(START + GATEWAY_EXPIRY_S)


@pytest.fixture
def case():
    case = Case()
    case.put("a")
    return case


async def test_registration_of_a_vm_that_is_gone_is_removed(case, unused_tcp_port):
    # Registrations of replaced VMs would divide the retry budget into ever smaller shares.
    case.put("b", peer_address=("127.0.0.1", unused_tcp_port))
    await case.check_until_expiry()
    assert sorted(case.registered_gateways()) == ["a"]


async def test_gateway_that_still_accepts_connections_stays(case):
    # Lost heartbeats alone do not prove that a gateway is gone.
    server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
    async with server:
        case.put("b", peer_address=server.sockets[0].getsockname())
        await case.check_until_expiry()
        assert sorted(case.registered_gateways()) == ["a", "b"]


async def test_other_regions_are_left_to_their_own_gateways(case, unused_tcp_port):
    case.put("b", region="far", peer_address=("127.0.0.1", unused_tcp_port))
    await case.check_until_expiry()
    assert sorted(case.registered_gateways()) == ["a", "b"]


async def test_gateway_that_does_not_watch_the_store_changes_nothing(case, unused_tcp_port):
    case.watching = False
    case.put("b", peer_address=("127.0.0.1", unused_tcp_port))
    await case.check_until_expiry()
    assert sorted(case.registered_gateways()) == ["a", "b"]


async def test_own_registration_that_is_missing_is_written_again(case):
    # An unregistered gateway gets no heartbeats and no share of the retry budget.
    case.store_client.remove(Topic.GATEWAYS, "a")
    await case.registrations.check(START)
    assert sorted(case.registered_gateways()) == ["a"]


async def test_removal_that_fails_is_tried_again(case, unused_tcp_port):
    case.put("b", peer_address=("127.0.0.1", unused_tcp_port))
    await case.registrations.check(START)
    case.store_client.down = True
    await case.registrations.check(START + GATEWAY_EXPIRY_S)
    case.store_client.down = False
    await case.registrations.check(START + GATEWAY_EXPIRY_S + 1)
    assert sorted(case.registered_gateways()) == ["a"]


async def test_registration_is_repeated_until_the_store_takes_it(monkeypatch):
    monkeypatch.setattr(registrations, "REGISTER_RETRY_S", 0.01)
    case = Case()
    case.store_client.down = True
    registering = asyncio.create_task(case.registrations.register())
    await asyncio.sleep(0.05)
    assert not registering.done()
    case.store_client.down = False
    await registering
    assert sorted(case.registered_gateways()) == ["a"]

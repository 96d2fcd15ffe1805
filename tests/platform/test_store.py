import asyncio
import contextlib

import pytest

from knapweeddock.errors import (
    EraChanged,
    HistoryGone,
    OutcomeUnknown,
    RateLimited,
    StoreError,
    StoreUnavailable,
)
from knapweeddock.gateway.settings import GatewayLimits
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.gateway.store.storeposition import StorePosition
from knapweeddock.gateway.store.storewatcher import MAX_PING_BACKOFF_S
from knapweeddock.platform.store import CONNECT_TIMEOUT_S, PlatformStoreClient, store_http
from standins import documents
from standins.metastore import PAGE, StoreFault, running_metastore
from tests.gateway.support import make_gateway


@contextlib.asynccontextmanager
async def running_store_client():
    async with running_metastore() as (store, address):
        store_client = PlatformStoreClient(http=store_http(address), regions=documents.ZONES)
        try:
            yield store, store_client
        finally:
            await store_client.close()


async def test_list_is_read_page_by_page():
    async with running_store_client() as (store, store_client):
        for index in range(2 * PAGE + 1):
            store.put("servers", f"i-{index:03}", documents.server())
        snapshot = await store_client.list_objects(Topic.SERVERS)
        assert len(snapshot.items) == 2 * PAGE + 1
        assert snapshot.position.revision == store.revision


async def test_unreadable_entries_are_left_out():
    async with running_store_client() as (store, store_client):
        store.put("servers", "good", documents.server())
        store.put("servers", "bad", documents.server(State="odd"))
        store.put("servers", "worse", "no object")
        assert list((await store_client.list_objects(Topic.SERVERS)).items) == ["good"]


async def test_changes_follow_a_list():
    async with running_store_client() as (store, store_client):
        store.put("servers", "a", documents.server())
        snapshot = await store_client.list_objects(Topic.SERVERS)
        waiting = asyncio.create_task(store_client.watch(Topic.SERVERS, snapshot.position, 5.0))
        await asyncio.sleep(0.05)
        store.remove("servers", "a")
        found = await waiting
        assert [(change.name, change.item) for change in found.changes] == [("a", None)]
        assert found.position.revision == store.revision


async def test_change_of_a_deaf_store_is_heard_afterwards():
    """A stand-in that loses changes would blame the gateway for not knowing them."""
    async with running_store_client() as (store, store_client):
        position = StorePosition(era=store.era, revision=store.revision)
        store.deaf = True
        waiting = asyncio.create_task(store_client.watch(Topic.SERVERS, position, 5.0))
        await asyncio.sleep(0.05)
        store.put("servers", "a", documents.server())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        store.hear_again()
        assert [change.name for change in (await waiting).changes] == ["a"]


async def test_changed_entry_that_is_unreadable_names_no_server():
    async with running_store_client() as (store, store_client):
        store.put("servers", "a", documents.server())
        position = (await store_client.list_objects(Topic.SERVERS)).position
        store.put("servers", "a", documents.server(Slots="many"))
        found = await store_client.watch(Topic.SERVERS, position, 1.0)
        assert [(change.name, change.item) for change in found.changes] == [("a", None)]


async def test_wait_without_changes_returns_none():
    async with running_store_client() as (store, store_client):
        found = await store_client.watch(
            Topic.SERVERS, StorePosition(era=store.era, revision=store.revision), 0.02
        )
        assert found.changes == []


async def test_watch_whose_answer_is_lost_fails_after_its_time():
    # Its connection stays open; nothing else would end the watch.
    async with running_store_client() as (store, store_client):
        position = StorePosition(era=store.era, revision=store.revision)
        store.loses_answer = lambda request: "Watch" in request.query
        with pytest.raises(StoreUnavailable):
            await store_client.watch(Topic.SERVERS, position, 0.02, answer_timeout_s=0.05)
        await store_client.ping(1.0)


def test_servers_are_kept_no_longer_than_a_gateway_is_excused_after_its_return_to_the_store():
    # Behind a partition a connection hangs until its timeout; the next ping finds the return.
    limits = GatewayLimits()
    noticed_after_s = CONNECT_TIMEOUT_S + MAX_PING_BACKOFF_S
    assert noticed_after_s + limits.reregistration_s < limits.outage_detection_s


async def test_lost_history_is_told():
    async with running_store_client() as (store, store_client):
        store.put("servers", "a", documents.server())
        store.forget_history()
        with pytest.raises(HistoryGone):
            await store_client.watch(Topic.SERVERS, StorePosition(era=store.era, revision=1), 1.0)


@pytest.mark.parametrize(
    ("fault", "error"),
    [(StoreFault.BUSY, StoreUnavailable), (StoreFault.MANY, RateLimited)],
)
async def test_refused_calls(fault, error):
    async with running_store_client() as (store, store_client):
        store.fault = fault
        with pytest.raises(error):
            await store_client.list_objects(Topic.SERVERS)


async def test_silent_store_is_noticed():
    async with running_store_client() as (store, store_client):
        store.fault = StoreFault.SILENT
        with pytest.raises(StoreUnavailable):
            await store_client.ping(0.05)


async def test_registration_is_created_and_replaced():
    async with running_store_client() as (store, store_client):
        await store_client.register(make_gateway("front-1"))
        await store_client.register(make_gateway("front-1", incarnation="second"))
        assert store.kinds["gateways"]["front-1"].spec["incarnation"] == "second"
        found = await store_client.list_objects(Topic.GATEWAYS)
        assert found.items["front-1"].incarnation == "second"
        await store_client.unregister("front-1")
        assert store.kinds["gateways"] == {}


async def test_write_whose_answer_is_lost_has_an_unknown_outcome():
    async with running_store_client() as (store, store_client):
        store.put("gateways", "front-1", {})
        store.fault = StoreFault.LOSE_ANSWERS
        with pytest.raises(OutcomeUnknown):
            await store_client.register(make_gateway("front-1"))
        assert store.kinds["gateways"]["front-1"].spec["region"] == "north"


async def test_store_that_is_not_there_is_unavailable():
    async with running_metastore() as (_, address):
        pass
    store_client = PlatformStoreClient(http=store_http(address), regions={})
    with pytest.raises(StoreUnavailable):
        await store_client.ping(0.05)


async def test_watch_of_an_earlier_era_fails_although_the_revision_exists():
    # The store has given out the revision again, and changes below it would be missed.
    async with running_store_client() as (store, store_client):
        store.put("servers", "a", documents.server())
        copy = store.copy()
        store.put("servers", "b", documents.server())
        position = (await store_client.list_objects(Topic.SERVERS)).position
        store.return_from(copy)
        store.put("servers", "c", documents.server())
        with pytest.raises(EraChanged):
            await store_client.watch(Topic.SERVERS, position, 1.0)
        assert store_client.era == 2


async def test_watch_from_a_revision_that_the_copy_lacks_is_told():
    async with running_store_client() as (store, store_client):
        copy = store.copy()
        store.put("servers", "a", documents.server())
        position = (await store_client.list_objects(Topic.SERVERS)).position
        store.return_from(copy)
        with pytest.raises(HistoryGone):
            await store_client.watch(Topic.SERVERS, position, 1.0)
        assert store_client.era == 2


async def test_list_across_a_return_is_refused(monkeypatch):
    # Its first page would be of one era and its second of the next.
    async with running_store_client() as (store, store_client):
        for index in range(PAGE + 1):
            store.put("servers", f"i-{index:03}", documents.server())
        copy = store.copy()
        await store_client.ping(1.0)
        read = store_client.http.read

        async def read_then_return(target, **options):
            response = await read(target, **options)
            if "after" not in target:
                store.return_from(copy)
            return response

        monkeypatch.setattr(store_client.http, "read", read_then_return)
        with pytest.raises(EraChanged):
            await store_client.list_objects(Topic.SERVERS)


async def test_response_of_an_earlier_era_is_not_used():
    async with running_store_client() as (store, store_client):
        store.era = 4
        await store_client.ping(1.0)
        store.era_header = "3"
        with pytest.raises(StoreUnavailable):
            await store_client.list_objects(Topic.SERVERS)
        with pytest.raises(StoreUnavailable):
            await store_client.register(make_gateway("front-1"))
        assert store_client.era == 4


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.MANY])
async def test_era_of_a_refusal_counts(fault):
    async with running_store_client() as (store, store_client):
        await store_client.ping(1.0)
        store.era = 2
        store.fault = fault
        with pytest.raises(StoreError):
            await store_client.ping(1.0)
        assert store_client.era == 2

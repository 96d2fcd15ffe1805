from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import Change, ChangeBatch, Snapshot, Topic
from tests.gateway.support import at, make_server


def populated_cache() -> StoreCache:
    store_cache = StoreCache()
    snapshot = Snapshot(items={"a": make_server("a"), "b": make_server("b")}, position=at(10))
    store_cache.apply_snapshot(Topic.SERVERS, snapshot, grace_s=0.0)
    return store_cache


def test_changes_are_applied_and_passed_on():
    store_cache = populated_cache()
    received: list[Update] = []
    store_cache.listeners.append(received.append)
    changes = ChangeBatch(changes=[Change(name="a", item=None)], position=at(12))
    store_cache.apply_changes(Topic.SERVERS, changes, grace_s=0.5)
    assert list(store_cache.items[Topic.SERVERS]) == ["b"]
    assert store_cache.positions[Topic.SERVERS] == at(12)
    assert [(update.items, update.grace_s) for update in received] == [({"a": None}, 0.5)]


def test_listener_that_fails_does_not_keep_the_others_from_a_change():
    # The relay is a listener: its subscribers would never hear that server "a" is gone.
    store_cache = populated_cache()
    received: list[Update] = []

    def fail(update: Update) -> None:
        raise OverflowError("integer value out of range")

    store_cache.listeners += [fail, received.append]
    changes = ChangeBatch(changes=[Change(name="a", item=None)], position=at(12))
    store_cache.apply_changes(Topic.SERVERS, changes, grace_s=0.0)
    assert [update.items for update in received] == [{"a": None}]


def test_wait_without_changes_moves_the_revision_only():
    store_cache = populated_cache()
    received: list[Update] = []
    store_cache.listeners.append(received.append)
    store_cache.apply_changes(Topic.SERVERS, ChangeBatch(changes=[], position=at(15)), grace_s=0.0)
    assert store_cache.positions[Topic.SERVERS] == at(15)
    assert received == []


def test_older_state_of_another_gateway_does_not_bring_a_server_back():
    # A gateway that subscribes to a relay may have newer objects than the relay.
    store_cache = populated_cache()
    store_cache.apply_changes(
        Topic.SERVERS,
        ChangeBatch(changes=[Change(name="a", item=None)], position=at(12)),
        grace_s=0.0,
    )
    old_items = {"a": make_server("a"), "b": make_server("b")}
    store_cache.apply_update(
        Update(topic=Topic.SERVERS, whole=True, items=old_items, position=at(10))
    )
    store_cache.apply_update(
        Update(topic=Topic.SERVERS, whole=False, items={"a": make_server("a")}, position=at(11))
    )
    assert list(store_cache.items[Topic.SERVERS]) == ["b"]


def test_list_that_is_known_already_is_not_passed_on():
    # Gateways that relayed lists they already have to each other would never stop.
    store_cache = populated_cache()
    received: list[Update] = []
    store_cache.listeners.append(received.append)
    store_cache.apply_update(store_cache.full_update(Topic.SERVERS, grace_s=0.0))
    assert received == []


def test_cache_is_complete_when_every_topic_was_listed():
    store_cache = populated_cache()
    assert not store_cache.is_complete
    for topic in Topic:
        store_cache.apply_snapshot(topic, Snapshot(items={}, position=at(20)), grace_s=0.0)
    assert store_cache.is_complete

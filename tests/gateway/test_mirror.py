from knapweeddock.gateway.catalog import Change, Changes, Snapshot, Topic
from knapweeddock.gateway.mirror import Mirror, Update
from tests.gateway.support import make_server


def populated_mirror() -> Mirror:
    mirror = Mirror()
    snapshot = Snapshot(items={"a": make_server("a"), "b": make_server("b")}, revision=10)
    mirror.apply_snapshot(Topic.SERVERS, snapshot, grace_s=0.0)
    return mirror


def test_changes_are_applied_and_passed_on():
    mirror = populated_mirror()
    received: list[Update] = []
    mirror.listeners.append(received.append)
    changes = Changes(changes=[Change(name="a", item=None)], revision=12)
    mirror.apply_changes(Topic.SERVERS, changes, grace_s=0.5)
    assert list(mirror.items[Topic.SERVERS]) == ["b"]
    assert mirror.revisions[Topic.SERVERS] == 12
    assert [(update.items, update.grace_s) for update in received] == [({"a": None}, 0.5)]


def test_wait_without_changes_moves_the_revision_only():
    mirror = populated_mirror()
    received: list[Update] = []
    mirror.listeners.append(received.append)
    mirror.apply_changes(Topic.SERVERS, Changes(changes=[], revision=15), grace_s=0.0)
    assert mirror.revisions[Topic.SERVERS] == 15
    assert received == []


def test_older_state_of_another_gateway_does_not_bring_a_server_back():
    # A gateway that subscribes to a relay may have newer objects than the relay.
    mirror = populated_mirror()
    mirror.apply_changes(
        Topic.SERVERS, Changes(changes=[Change(name="a", item=None)], revision=12), grace_s=0.0
    )
    old_items = {"a": make_server("a"), "b": make_server("b")}
    mirror.apply_update(Update(topic=Topic.SERVERS, whole=True, items=old_items, revision=10))
    mirror.apply_update(
        Update(topic=Topic.SERVERS, whole=False, items={"a": make_server("a")}, revision=11)
    )
    assert list(mirror.items[Topic.SERVERS]) == ["b"]


def test_list_that_is_known_already_is_not_passed_on():
    # Gateways that relayed lists they already have to each other would never stop.
    mirror = populated_mirror()
    received: list[Update] = []
    mirror.listeners.append(received.append)
    mirror.apply_update(mirror.full_update(Topic.SERVERS, grace_s=0.0))
    assert received == []


def test_mirror_is_complete_when_every_topic_was_read():
    mirror = populated_mirror()
    assert not mirror.is_complete
    for topic in Topic:
        mirror.apply_snapshot(topic, Snapshot(items={}, revision=20), grace_s=0.0)
    assert mirror.is_complete

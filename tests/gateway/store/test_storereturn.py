from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.records import ServerPhase
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import Change, ChangeBatch, Snapshot, Topic
from knapweeddock.gateway.store.storereturn import (
    DEPARTED_MEMORY_S,
    DepartedServers,
    find_outdated_servers,
)
from tests.gateway.support import REGION, SERVICE, at, make_gateway, make_server

HOLD_S = 6.0


class Case:
    """The cache and routing state of a gateway, at a time that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.routing_state = RoutingState(
            fleet=Fleet(), clock=lambda: self.now, return_hold_s=HOLD_S
        )
        self.store_cache = StoreCache()
        self.store_cache.listeners.append(self.routing_state.apply)

    def list_all(self, topic: Topic, *items, position, grace_s: float = 0.0) -> None:
        named = {getattr(item, "server", getattr(item, "vm", item)): item for item in items}
        snapshot = Snapshot(items=named, position=position)
        self.store_cache.apply_snapshot(topic, snapshot, grace_s=grace_s)

    def change(self, topic: Topic, name: str, item, *, position) -> None:
        batch = ChangeBatch(changes=[Change(name=name, item=item)], position=position)
        self.store_cache.apply_changes(topic, batch, grace_s=0.0)

    def usable(self) -> list[str]:
        group = self.routing_state.fleet.group(SERVICE, REGION)
        return [state.entry.server for state in group]

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.routing_state.maintain()


def test_older_word_of_the_copy_about_a_server():
    departed = DepartedServers()
    departed.record(make_server("gone", started_at_ms=5), 0.0, is_leaving=False, cold_until=0.0)
    known = {
        "restarted": make_server("restarted", started_at_ms=9),
        "draining": make_server("draining", started_at_ms=5, phase=ServerPhase.DRAINING),
        "same": make_server("same", started_at_ms=5),
    }
    listed = {
        name: make_server(name, started_at_ms=5)
        for name in ("restarted", "draining", "same", "gone", "unknown")
    }
    assert find_outdated_servers(known, listed, departed, 1.0) == {
        "restarted": known["restarted"],
        "draining": known["draining"],
        "gone": None,
    }


def test_process_that_started_later_is_not_gone():
    departed = DepartedServers()
    departed.record(make_server("a", started_at_ms=5), 0.0, is_leaving=True, cold_until=0.0)
    assert departed.find(make_server("a", started_at_ms=5), 1.0).is_leaving
    assert departed.find(make_server("a", started_at_ms=6), 1.0) is None
    assert departed.find(make_server("a", started_at_ms=5), DEPARTED_MEMORY_S + 1) is None


def test_server_that_lives_comes_back_when_its_entry_outlasts_the_lease():
    # A live server whose entry is as in the copy causes no further change of it.
    case = Case()
    case.list_all(Topic.SERVERS, make_server("a"), make_server("b"), position=at(10))
    case.change(Topic.SERVERS, "a", None, position=at(11))
    case.list_all(Topic.SERVERS, make_server("a"), make_server("b"), position=at(5, era=2))
    assert case.usable() == ["b"]
    case.pass_time(HOLD_S - 0.1)
    assert case.usable() == ["b"]
    case.pass_time(0.2)
    assert case.usable() == ["a", "b"]


def test_server_whose_entry_expires_stays_away():
    case = Case()
    case.list_all(Topic.SERVERS, make_server("a"), make_server("b"), position=at(10))
    case.change(Topic.SERVERS, "a", None, position=at(11))
    case.list_all(Topic.SERVERS, make_server("a"), make_server("b"), position=at(5, era=2))
    case.change(Topic.SERVERS, "a", None, position=at(6, era=2))
    case.pass_time(HOLD_S + 0.1)
    assert case.usable() == ["b"]


def test_registration_since_the_copy_is_kept_until_it_is_renewed():
    case = Case()
    case.list_all(Topic.SERVERS, make_server("a"), position=at(10))
    case.change(Topic.SERVERS, "b", make_server("b"), position=at(11))
    case.list_all(Topic.SERVERS, make_server("a"), position=at(10, era=2), grace_s=2.0)
    case.pass_time(1.9)
    assert case.usable() == ["a", "b"]
    case.change(Topic.SERVERS, "b", make_server("b"), position=at(12, era=2))
    case.pass_time(60.0)
    assert case.usable() == ["a", "b"]


def test_list_that_is_repeated_in_the_new_era_does_not_end_a_hold():
    case = Case()
    case.list_all(Topic.EVACUATIONS, "north-a", position=at(10))
    case.list_all(Topic.EVACUATIONS, position=at(5, era=2))
    case.store_cache.invalidate(Topic.EVACUATIONS)
    case.list_all(Topic.EVACUATIONS, position=at(7, era=2))
    assert case.routing_state.fleet.evacuated_domains == {"north-a"}
    case.pass_time(HOLD_S + 0.1)
    assert case.routing_state.fleet.evacuated_domains == frozenset()


def test_gateways_that_registered_since_the_copy_are_still_named():
    case = Case()
    first, second = make_gateway("a"), make_gateway("b", incarnation="b-2")
    case.list_all(Topic.GATEWAYS, first, second, position=at(10))
    older = make_gateway("b", incarnation="b-1")
    case.list_all(Topic.GATEWAYS, older, position=at(5, era=2))
    assert case.routing_state.gateways == {"a": first, "b": second}
    case.change(Topic.GATEWAYS, "b", make_gateway("b", incarnation="b-3"), position=at(6, era=2))
    case.pass_time(HOLD_S + 0.1)
    assert {vm: entry.incarnation for vm, entry in case.routing_state.gateways.items()} == {
        "b": "b-3"
    }


def test_relay_passes_on_the_latest_configuration():
    # A gateway that starts after the return has no other source for it.
    case = Case()
    config = RoutingConfig(version=9)
    snapshot = Snapshot(items={"main": config}, position=at(10))
    case.store_cache.apply_snapshot(Topic.CONFIGURATION, snapshot, grace_s=0.0)
    older = Snapshot(items={"main": RoutingConfig(version=7)}, position=at(5, era=2))
    case.store_cache.apply_snapshot(Topic.CONFIGURATION, older, grace_s=0.0)
    update = case.store_cache.full_update(Topic.CONFIGURATION, grace_s=0.0)
    assert update.items == {"main": config}
    assert update.position == at(5, era=2)


def test_update_of_the_era_before_is_ignored():
    # A relay that has not noticed the return sends revisions that are higher.
    case = Case()
    case.list_all(Topic.SERVERS, make_server("a"), position=at(10, era=2))
    for whole in (True, False):
        late = Update(
            topic=Topic.SERVERS, whole=whole, items={"z": make_server("z")}, position=at(90)
        )
        case.store_cache.apply_update(late)
    assert case.usable() == ["a"]


def test_change_of_an_era_that_was_not_listed_is_ignored():
    case = Case()
    case.list_all(Topic.SERVERS, make_server("a"), position=at(10))
    case.change(Topic.SERVERS, "z", make_server("z"), position=at(12, era=2))
    assert case.usable() == ["a"]
    assert case.store_cache.positions[Topic.SERVERS] == at(10)

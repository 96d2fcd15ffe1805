"""Server selection: guards against the use of unhealthy servers and against uneven load."""

from knapweeddock.health import ALL_SLOTS, ServerRecord
from knapweeddock.slotselection import select_slot
from knapweeddock.slottypes import Slot


def make_slot(server, index, rank):
    return Slot(site="x", server=server, index=index, rank=rank, address=server)


FREE = {
    "a": [make_slot("a", 0, 0), make_slot("a", 1, 2)],
    "b": [make_slot("b", 0, 1), make_slot("b", 1, 3)],
}


def make_records():
    records = {name: ServerRecord() for name in FREE}
    for record in records.values():
        record.open_limit = ALL_SLOTS
    return records


def test_local_requests_get_the_highest_rank_and_remote_ones_the_lowest():
    records = make_records()
    assert select_slot(FREE, records, {}, 0.0).rank == 3
    assert select_slot(FREE, records, {}, 0.0, lowest_rank_first=True).rank == 0


def test_reported_load_loses_its_weight_with_age():
    """Guards against a stale report that keeps requests away from an idle server."""
    records = make_records()
    records["b"].reported_in_flight = 3
    records["b"].reported_at = 0.0
    assert select_slot(FREE, records, {}, 1.0).server == "a"
    assert select_slot(FREE, records, {}, 6.0).server == "b"


def test_server_that_shed_a_moment_ago_is_used_last():
    """Guards against a server that sheds everything and gets all requests because it is idle."""
    records = make_records()
    records["b"].shed_until = 1.0
    assert select_slot(FREE, records, {"a": 2}, 0.5).server == "a"
    assert select_slot(FREE, records, {"a": 2}, 0.5, exclude={"a"}).server == "b"
    assert select_slot(FREE, records, {"a": 2}, 1.0).server == "b"


def test_excluded_draining_and_unknown_servers_are_not_used():
    records = make_records()
    assert select_slot(FREE, records, {}, 0.0, exclude={"b"}).server == "a"
    records["a"].set_draining(listed=True, draining_at=None)
    assert select_slot(FREE, records, {}, 0.0, exclude={"b"}) is None
    del records["b"]
    assert select_slot(FREE, records, {}, 0.0) is None


def test_slots_beyond_the_open_limit_are_not_used():
    """Guards against full load on a cold server while others are fully open."""
    records = make_records()
    records["b"].open_limit = 1
    assert select_slot(FREE, records, {}, 0.0, exclude={"a"}).rank == 1
    free = {"a": [], "b": FREE["b"][1:]}
    assert select_slot(free, records, {}, 0.0) is None


def test_slow_start_does_not_close_a_site():
    """Guards against refusals when all servers of a site are cold or in slow start at once."""
    records = make_records()
    for record in records.values():
        record.open_limit = 1
    free = {"a": FREE["a"][1:], "b": FREE["b"][1:]}
    assert select_slot(free, records, {}, 0.0).rank == 3
    records["a"].open_limit = ALL_SLOTS
    assert select_slot(free, records, {}, 0.0).rank == 2


def test_ejected_server_is_used_only_when_all_are_ejected():
    """Guards against requests to a failing server because a healthy one is busy."""
    records = make_records()
    records["a"].trial_at = 50.0
    busy = {"a": FREE["a"], "b": []}
    assert select_slot(busy, records, {}, 1.0) is None
    records["b"].trial_at = 40.0
    assert select_slot(busy, records, {}, 1.0).server == "a"
    assert select_slot(FREE, records, {}, 1.0).server == "b"

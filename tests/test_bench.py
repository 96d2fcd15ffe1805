"""The load tool's own arithmetic: a wrong peak or rate would hide a broken cap."""

import pytest

from bench.mix import ServiceTimes, loaded_shapes, usable_slots
from bench.operations import drain_times
from bench.usage import SiteRun, peak, uses
from knapweeddock.model import BackendServer, Config, Link, Region, Site

DOCUMENT = {
    "services": {
        "s": {
            "hosts": ["s.example"],
            "classes": {
                "read": {
                    "methods": ["GET"],
                    "path_prefix": "/r",
                    "idempotent": True,
                    "pool": "account",
                },
                "write": {
                    "methods": ["POST"],
                    "path_prefix": "/w",
                    "idempotent": False,
                    "pool": "account",
                },
                "files": {
                    "methods": ["GET"],
                    "path_prefix": "/f",
                    "idempotent": True,
                    "pool": "bulk",
                    "streaming": True,
                },
            },
        }
    },
    "sites": {
        "a": {"pool": "account", "cap": 10},
        "b": {"pool": "account", "cap": 5},
        "c": {"pool": "bulk", "cap": 6},
    },
}


@pytest.mark.parametrize(
    ("spans", "expected"),
    [
        ([], 0),
        ([(0, 1), (1, 2)], 1),
        ([(0, 2), (1, 3), (1.5, 1.6)], 3),
    ],
)
def test_peak_counts_overlaps_and_lets_one_follow_another(spans, expected):
    """A slot that is handed on at the same moment must not count twice."""
    assert peak(spans) == expected


def test_uses_tell_shifts_and_links_from_own_work():
    servers = {name: BackendServer(address=name) for name in ("one", "two")}
    config = Config(
        regions={"x": Region(failure_domains=["x1", "x2"]), "y": Region(failure_domains=["y1"])},
        links={"y->x": Link(caps={"p": 1})},
        sites={"site": Site(pool="p", failure_domain="x1", servers=servers, cap=4, shift_cap=2)},
    )
    runs = [
        SiteRun(site="site", domain=domain, start=0.0, end=1.0)
        for domain in ("x1", "x2", "y1", "y1", None)
    ]
    found = {use.kind: (use.peak, use.cap, use.is_over) for use in uses(config, runs)}
    assert found == {"site": (5, 4, True), "shift": (3, 2, True), "link": (2, 1, True)}


def test_rates_follow_the_slots_of_each_pool():
    """A rate computed over all pools together would overload the smaller one."""
    assert usable_slots(DOCUMENT) == {"account": 15, "bulk": 6}
    shapes = loaded_shapes(DOCUMENT, ServiceTimes(account_ms=100.0, bulk_ms=500.0), 0.5)
    rates = {"account": 0.0, "bulk": 0.0}
    for shape in shapes:
        rates[shape.pool] += shape.weight
    assert rates == pytest.approx({"account": 75.0, "bulk": 6.0})


def test_drain_times_end_with_the_undrain_and_count_running_work():
    notes = {"drain_accepted_at": 100.0, "drained_server": "s", "undrained_at": 110.0}
    runs = [
        {"started_at": 90.0, "finished_at": 91.0},
        {"started_at": 99.0, "finished_at": 103.0},
        {"started_at": 100.5, "finished_at": 101.0},
        {"started_at": 111.0, "finished_at": 112.0},
    ]
    found = drain_times(notes, [{"server": "s", "runs": runs}])
    assert found == {"last_new_work_s": 0.5, "empty_s": 3.0}

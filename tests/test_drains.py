"""Drains: what is set, removed and left over."""

import pytest

from knapweeddock.drains import (
    Targets,
    unserved_pools,
    unused_drains,
    with_drains,
    without_drains_of,
)
from knapweeddock.model import decode_config
from tests.documents import DOCUMENT, document


def test_drains_of_others_stay():
    first = with_drains(DOCUMENT, Targets(servers=["a"], sites=["w-s1"]))
    second = with_drains(first, Targets(servers=["b"]))
    assert second["drains"] == {"servers": {"a": True, "b": True}, "sites": {"w-s1": True}}
    removed = without_drains_of(second, Targets(servers=["a", "c"], vms=["v"]))
    assert removed["drains"] == {"servers": {"b": True}, "sites": {"w-s1": True}}
    assert without_drains_of(DOCUMENT, Targets(servers=["a"])) == DOCUMENT


def test_every_problem_is_named():
    with pytest.raises(ExceptionGroup) as raised:
        with_drains(DOCUMENT, Targets(servers=["x", "a"], failure_domains=["north"]))
    assert [problem.path[1] for problem in raised.value.exceptions] == [
        "servers",
        "failure_domains",
    ]


def test_unserved_pools_and_unused_drains():
    drains = {"servers": {"a": True, "b": True, "gone": True}, "sites": {"w-s1": True}}
    config = decode_config(document(("drains", drains)))
    assert unserved_pools(config) == ["work"]
    assert unused_drains(config) == ["drains.servers.gone"]
    assert unserved_pools(decode_config(DOCUMENT)) == []

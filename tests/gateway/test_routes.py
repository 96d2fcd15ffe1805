from knapweeddock.gateway.routes import RouteSplits, RoutingConfig, WeightedService, WeightedSplit
from tests.gateway.support import make_route


def test_longest_prefix_of_the_host_wins():
    short = make_route(route="short", path_prefix="/a/")
    long = make_route(route="long", path_prefix="/a/b/")
    other = make_route(route="other", host="else", path_prefix="/a/b/c/")
    config = RoutingConfig(version=1, routes=(short, long, other))
    assert config.match("h", "/a/b/c/d") is long
    assert config.match("h", "/a/x") is short
    assert config.match("h", "/x") is None
    assert config.match("nowhere", "/a/") is None


def test_short_windows_keep_the_weights():
    # A random choice would deviate by several percent in a window of this size.
    services = (
        WeightedService(service="a", weight=90.0),
        WeightedService(service="b", weight=10.0),
    )
    split = WeightedSplit(services=services)
    chosen = [split.next_service() for _ in range(200)]
    for start in range(0, 200, 10):
        assert chosen[start : start + 10].count("b") == 1


def test_change_elsewhere_keeps_the_position_of_a_split():
    services = (WeightedService(service="a", weight=1.0), WeightedService(service="b", weight=1.0))
    splits = RouteSplits()
    first = splits.next_service(make_route(services=services))
    second = splits.next_service(make_route(services=services, timeout_s=9.0))
    assert {first, second} == {"a", "b"}

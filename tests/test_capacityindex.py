"""Indexes: guards against lenders that cannot lend and owners that take no requests."""

from knapweeddock.capacityindex import ConfigIndex, LenderDirectory, eligible_owners
from knapweeddock.model import BackendServer, Config, Drains, Link, Region, Site
from knapweeddock.state import MemberState, NodeState
from tests.capacity_simulation import make_member


def make_index(**drains):
    sites = {
        f"s-{domain}": Site(
            pool="p", failure_domain=domain, servers={domain: BackendServer(address=domain)}
        )
        for domain in ("far", "near", "home", "same")
    }
    regions = {
        "R": Region(failure_domains=["home", "same"]),
        "N": Region(failure_domains=["near"]),
        "F": Region(failure_domains=["far"]),
    }
    links = {"R->N": Link(delay_ms=5.0), "R->F": Link(delay_ms=50.0)}
    config = Config(regions=regions, links=links, sites=sites, drains=Drains(**drains))
    return ConfigIndex(config, "home")


def test_sites_are_ordered_by_delay_and_drained_ones_left_out():
    assert make_index().open_sites("p") == ["s-home", "s-same", "s-near", "s-far"]
    index = make_index(sites={"s-same": True, "s-far": False}, failure_domains={"near": True})
    assert index.open_sites("p") == ["s-home", "s-far"]
    assert index.is_drained("unknown")


def test_lenders_are_serving_and_suspected_ones_come_last_at_their_site():
    found = [
        make_member("self", "home"),
        make_member("owner", "home"),
        make_member("no-owner", "home"),
        make_member("suspected", "far", suspected=True),
        make_member("live", "far"),
        make_member("leaving", "far", state=MemberState.LEAVING),
        make_member("gone", "far", down=True),
    ]
    directory = LenderDirectory(vm="self", domain="home")
    directory.update(NodeState(config_version=1, config=Config(), members={m.vm: m for m in found}))
    owners = {"s-home": {"owner", "self"}}
    names = [lender.vm for lender in directory.candidates("p", make_index(), owners.get)]
    assert names == ["owner", "live", "suspected"]


def test_owners_are_the_working_members_that_are_not_drained():
    serving = [make_member("a", "home"), make_member("b", "home")]
    leaving = make_member("c", "home", state=MemberState.LEAVING)
    joining = make_member("d", "home", state=MemberState.JOINING)
    assert eligible_owners([*serving, leaving, joining], {"a"}) == {"b", "c"}
    assert eligible_owners([*serving, leaving], {"a", "b"}) == {"c"}
    assert eligible_owners(serving, {"a", "b"}) == {"a", "b"}
    assert eligible_owners([leaving, joining], set()) == {"c"}
    assert eligible_owners([joining], set()) == set()

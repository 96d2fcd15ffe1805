"""SlotCapacity: guards against slots that are used, lent or counted when they must not be."""

import random
from dataclasses import replace

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.model import BackendServer, Config, Drains, Link, Region, Site
from knapweeddock.slotcapacity import SlotCapacity
from knapweeddock.slottypes import (
    BorrowRequest,
    Refusal,
    ServerHealth,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.state import MemberState, NodeState
from tests.capacity_simulation import make_member

DOMAIN_OF = {"v1": "a", "v2": "a", "v3": "b", "v4": "c"}


def make_site(domain, count=4):
    servers = {f"{domain}{n}": BackendServer(address=f"{domain}{n}:1") for n in range(count)}
    return Site(pool="p", failure_domain=domain, servers=servers, shift_start=1.0)


def make_config(**more):
    return Config(
        regions={"R": Region(failure_domains=["a", "b"]), "S": Region(failure_domains=["c"])},
        links={"S->R": Link(caps={"p": 4})},
        sites={"sa": make_site("a"), "sb": make_site("b"), "sc": make_site("c")},
        **more,
    )


class Fleet:
    """Entries that all receive the newest state at each exchange."""

    def __init__(self):
        self.now = 100.0
        self.config = make_config()
        self.version = 1
        self.down = set()
        self.states = dict.fromkeys(DOMAIN_OF, MemberState.SERVING)
        self.entries = {
            vm: SlotCapacity(
                vm=vm,
                incarnation=f"i-{vm}",
                failure_domain=domain,
                internal_address=vm,
                now=self.now,
                rng=random.Random(1),
            )
            for vm, domain in DOMAIN_OF.items()
        }
        self.exchange()
        self.report_servers_ok()
        self.exchange(rounds=6)

    def state(self):
        members = {
            vm: make_member(
                vm,
                DOMAIN_OF[vm],
                incarnation=f"i-{vm}",
                state=self.states[vm],
                settled_views=entry.settled_reports(),
                down=vm in self.down,
            )
            for vm, entry in self.entries.items()
        }
        return NodeState(config_version=self.version, config=self.config, members=members)

    def exchange(self, rounds=1):
        for _ in range(rounds):
            state = self.state()
            for vm, entry in self.entries.items():
                if vm not in self.down:
                    entry.update(state, self.now)
            self.now += 0.5

    def report_servers_ok(self):
        for entry in self.entries.values():
            for server in list(entry.health.records):
                report = ServerReport(
                    server=server, health=ServerHealth.OK, in_flight=None, measured_at=self.now
                )
                entry.observe(report, self.now)

    def configure(self, config):
        self.config = config
        self.version += 1

    def acquire_all(self, vm):
        slots = []
        while (slot := self.entries[vm].acquire("p", self.now)) is not None:
            slots.append(slot)
        return slots

    def request_grant(self, borrower, lender, site, wanted=1):
        request = BorrowRequest(
            borrower=borrower,
            failure_domain=DOMAIN_OF[borrower],
            incarnation=f"i-{borrower}",
            site=site,
            wanted=wanted,
        )
        return self.entries[lender].grant(request, self.now)


@pytest.fixture
def fleet():
    return Fleet()


def test_slot_of_a_vanished_server_counts_until_it_is_released(fleet):
    """If the slot were forgotten, a server that is added again could run too many requests."""
    entry = fleet.entries["v1"]
    fleet.acquire_all("v1")
    slot = next(allocation.slot for allocation in entry.slot_table.allocations["sa"].values())
    original = fleet.config
    servers = dict(original.sites["sa"].servers)
    del servers[slot.server]
    smaller = replace(original.sites["sa"], servers=servers)
    fleet.configure(replace(original, sites={**original.sites, "sa": smaller}))
    fleet.exchange(rounds=3)
    assert not entry.sites["sa"].handover.is_reported
    fleet.configure(original)
    fleet.exchange(rounds=6)
    assert slot not in entry.slot_table.free["sa"][slot.server]
    entry.release(slot, SlotOutcome.ANSWERED, fleet.now)
    fleet.exchange(rounds=4)
    assert slot in entry.slot_table.free["sa"][slot.server]


@pytest.mark.parametrize(
    "drains",
    [
        Drains(sites={"sa": True}),
        Drains(failure_domains={"a": True}),
        Drains(servers={f"a{n}": True for n in range(4)}),
    ],
)
def test_drained_parts_get_no_new_work(fleet, drains):
    grant = fleet.request_grant("v3", "v1", "sa")
    fleet.configure(replace(fleet.config, drains=drains))
    fleet.exchange()
    assert fleet.entries["v1"].acquire("p", fleet.now) is None
    assert isinstance(fleet.request_grant("v3", "v1", "sa"), Refusal)
    result = fleet.entries["v1"].acquire_lent_slot(grant.grant_id, "i-v1", fleet.now)
    assert result is ResultCode.GRANT_LAPSED


def test_grant_ends_when_its_slots_are_handed_over(fleet):
    """Guards against a borrower that keeps using a grant which can only shed requests."""
    grant = fleet.request_grant("v3", "v1", "sa")
    fleet.configure(replace(fleet.config, drains=Drains(vms={"v1": True})))
    fleet.exchange(rounds=4)
    result = fleet.entries["v1"].acquire_lent_slot(grant.grant_id, "i-v1", fleet.now)
    assert result is ResultCode.GRANT_LAPSED


def test_leaving_vm_keeps_its_slots_until_it_has_left(fleet):
    """Guards against slots that stay idle while a leaving VM finishes its requests."""
    before = len(fleet.acquire_all("v1"))
    for allocation in list(fleet.entries["v1"].slot_table.allocations["sa"].values()):
        fleet.entries["v1"].release(allocation.slot, SlotOutcome.ANSWERED, fleet.now)
    fleet.states["v1"] = MemberState.LEAVING
    fleet.exchange(rounds=4)
    assert len(fleet.acquire_all("v1")) == before
    for allocation in list(fleet.entries["v1"].slot_table.allocations["sa"].values()):
        fleet.entries["v1"].release(allocation.slot, SlotOutcome.ANSWERED, fleet.now)
    fleet.states["v1"] = MemberState.LEFT
    fleet.exchange(rounds=4)
    assert len(fleet.acquire_all("v2")) == 12


def test_drained_vm_hands_its_slots_to_its_peers(fleet):
    fleet.configure(replace(fleet.config, drains=Drains(vms={"v1": True})))
    fleet.exchange(rounds=4)
    assert fleet.acquire_all("v1") == []
    assert len(fleet.acquire_all("v2")) == 12
    assert "v1" not in {
        lender.vm for lender in fleet.entries["v3"].lender_candidates("p", fleet.now)
    }


def test_last_vm_of_a_domain_keeps_its_slots_while_it_leaves(fleet):
    """Without an owner, the site would reject requests that callers still send."""
    fleet.states["v3"] = MemberState.LEAVING
    fleet.exchange(rounds=4)
    assert len(fleet.acquire_all("v3")) == 12


def test_joining_member_must_settle_before_others_take_slots(fleet):
    """Otherwise two entries that start together could each see itself as the only member."""
    fleet.states["v2"] = MemberState.JOINING
    entry = fleet.entries["v1"]
    for _ in range(6):
        entry.update(fleet.state(), fleet.now)
        fleet.now += 0.5
    assert len(fleet.acquire_all("v1")) == 6
    fleet.exchange(rounds=4)
    assert len(fleet.acquire_all("v1")) == 6


def test_older_configuration_is_ignored(fleet):
    drained = replace(fleet.config, drains=Drains(sites={"sa": True}))
    stale = fleet.state()
    fleet.configure(drained)
    fleet.exchange()
    fleet.entries["v1"].update(stale, fleet.now)
    assert fleet.entries["v1"].acquire("p", fleet.now) is None


def test_after_a_pause_nothing_is_acquired_before_news_or_a_wait(fleet):
    entry = fleet.entries["v1"]
    fleet.now += 3.1
    assert entry.acquire("p", fleet.now) is None
    assert isinstance(fleet.request_grant("v3", "v1", "sa"), Refusal)
    fleet.exchange()
    assert entry.acquire("p", fleet.now) is not None
    fleet.now += 60.0
    assert entry.acquire("p", fleet.now) is None
    entry.tick(fleet.now + 1.0)
    assert entry.acquire("p", fleet.now + 2.0) is not None


def test_entry_that_is_marked_down_takes_no_new_work(fleet):
    entry = fleet.entries["v1"]
    slot = entry.acquire("p", fleet.now)
    fleet.down.add("v1")
    entry.update(fleet.state(), fleet.now)
    assert entry.marked_down
    assert entry.acquire("p", fleet.now) is None
    assert isinstance(fleet.request_grant("v3", "v1", "sa"), Refusal)
    entry.release(slot, SlotOutcome.ANSWERED, fleet.now)
    assert entry.is_idle()


def test_lenders_are_ordered_by_own_domain_then_delay(fleet):
    lenders = fleet.entries["v1"].lender_candidates("p", fleet.now)
    assert [lender.vm for lender in lenders] == ["v2", "v3", "v4"]
    fleet.entries["v1"].back_off_lender(lenders[0], 1.0, fleet.now)
    assert [lender.vm for lender in fleet.entries["v1"].lender_candidates("p", fleet.now)] == [
        "v3",
        "v4",
    ]


def test_request_keeps_its_borrowed_slot_until_it_is_released(fleet):
    lender, borrower = fleet.entries["v1"], fleet.entries["v3"]
    grant = fleet.request_grant("v3", "v1", "sa", wanted=2)
    borrower.accept_grant(grant, fleet.now, fleet.now)
    borrowed = borrower.acquire_borrowed_slot("p", fleet.now)
    assert borrowed.internal_address == "v1"
    slot = lender.acquire_lent_slot(borrowed.grant_id, borrowed.incarnation, fleet.now)
    assert isinstance(slot, Slot)
    assert slot.rank < 4
    fleet.now += 2.5
    assert lender.acquire_lent_slot(grant.grant_id, "i-v1", fleet.now) is ResultCode.GRANT_LAPSED
    assert len(fleet.acquire_all("v1")) == 5
    lender.release(slot, SlotOutcome.ANSWERED, fleet.now)
    borrower.release_borrowed_slot(borrowed, fleet.now)
    assert len(fleet.acquire_all("v1")) == 1


def test_lent_slot_is_exchanged_when_its_server_is_excluded(fleet):
    """Otherwise a request under a grant of one slot could not be retried on another server."""
    grant = fleet.request_grant("v3", "v1", "sa")
    lender = fleet.entries["v1"]
    first = lender.acquire_lent_slot(grant.grant_id, "i-v1", fleet.now)
    lender.release(first, SlotOutcome.SHED, fleet.now)
    exclude = frozenset({first.server})
    second = lender.acquire_lent_slot(grant.grant_id, "i-v1", fleet.now, exclude=exclude)
    assert second.server != first.server
    assert lender.acquire_lent_slot(grant.grant_id, "i-v1", fleet.now) is ResultCode.SHED
    lender.release(second, SlotOutcome.ANSWERED, fleet.now)
    fleet.now += 2.5
    assert len(fleet.acquire_all("v1")) == 6


def test_borrower_of_an_unknown_domain_gets_nothing_over_a_capped_link(fleet):
    request = BorrowRequest(
        borrower="v9", failure_domain="new", incarnation="i", site="sa", wanted=1
    )
    assert isinstance(fleet.entries["v1"].grant(request, fleet.now), Refusal)


def test_grants_of_a_lender_that_is_marked_down_are_not_used(fleet):
    borrower = fleet.entries["v3"]
    borrower.accept_grant(fleet.request_grant("v3", "v1", "sa"), fleet.now, fleet.now)
    fleet.down.add("v1")
    borrower.update(fleet.state(), fleet.now)
    assert borrower.acquire_borrowed_slot("p", fleet.now) is None


def test_server_that_moves_to_another_site_is_not_used_twice(fleet):
    """Slots are counted per site, but a server in two sites has its slots only once."""
    taken = {vm: fleet.acquire_all(vm) for vm in ("v1", "v2")}
    site = fleet.config.sites["sa"]
    sites = {**fleet.config.sites, "moved": replace(site, servers=dict(site.servers))}
    del sites["sa"]
    fleet.configure(replace(fleet.config, sites=sites))
    fleet.exchange(rounds=4)
    assert fleet.acquire_all("v1") + fleet.acquire_all("v2") == []
    for vm, slots in taken.items():
        for slot in slots:
            fleet.entries[vm].release(slot, SlotOutcome.ANSWERED, fleet.now)
    fleet.exchange(rounds=4)
    assert len(fleet.acquire_all("v1") + fleet.acquire_all("v2")) == 12

"""A small configuration and helpers for the dispatcher's tests."""

import random

from knapweeddock.clock import ManualClock
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Action, Arrival, AttemptEnded, AttemptOutcome, IdempotencyKey
from knapweeddock.grants import LenderCandidate, Loan
from knapweeddock.idempotency import KeyTable
from knapweeddock.ids import (
    ClassId,
    FailureDomainId,
    GrantId,
    Incarnation,
    PoolId,
    RequestId,
    ServiceId,
    SiteId,
    VmId,
)
from knapweeddock.memorycapacity import MemoryCapacity, make_slots
from knapweeddock.model import Config, RequestClass, Service
from knapweeddock.state import NodeState

POOL = PoolId("ledger")
SITE = SiteId("ledger-a")
OWN = Incarnation("inc-a")


def make_config() -> Config:
    look = RequestClass(methods=["GET"], path_prefix="/", idempotent=True, pool=POOL, priority=5)
    book = RequestClass(methods=["POST"], path_prefix="/book", idempotent=False, pool=POOL)
    classes = {ClassId("look"): look, ClassId("book"): book}
    service = Service(hosts=["ringbook.example"], classes=classes)
    return Config(services={ServiceId("ringbook"): service})


class Rig:
    """One dispatcher with in-memory capacity and a clock moved by hand."""

    def __init__(self, *, servers=2, slots_per_server=1, own=OWN, settings=None, clock=None):
        self.clock = clock or ManualClock()
        self.settings = settings or DispatchSettings()
        slots = make_slots(SITE, servers=servers, slots_per_server=slots_per_server)
        self.capacity = MemoryCapacity(incarnation=own, slots={POOL: slots})
        self.keys = KeyTable(incarnation=own, clock=self.clock, limits=self.settings.keys)
        self.dispatcher = Dispatcher(
            settings=self.settings,
            capacity=self.capacity,
            idempotency=self.keys,
            rng=random.Random(1),
            vm=VmId("vm-a"),
            failure_domain=FailureDomainId("fd-a"),
        )
        self.arrivals = 0
        state = NodeState(config_version=1, config=make_config())
        self.dispatcher.update(state, self.clock.monotonic())

    def handle(self, event) -> list[Action]:
        return self.dispatcher.handle(event, self.clock.monotonic())

    def arrive(self, *, method="GET", path="/x", **fields) -> list[Action]:
        self.arrivals += 1
        request = RequestId(f"r{self.arrivals}")
        return self.handle(
            Arrival(request=request, host="ringbook.example", method=method, path=path, **fields)
        )

    def book(self, name="k", *, key=None, **fields) -> list[Action]:
        return self.arrive(method="POST", path="/book", key=key or self.key(name), **fields)

    def key(self, name="k", *, life=30.0, own=OWN) -> IdempotencyKey:
        return IdempotencyKey(key=name, incarnation=own, not_after=1_700_000_000.0 + life)

    def end(self, attempt, outcome=AttemptOutcome.ANSWERED, **fields) -> list[Action]:
        return self.handle(AttemptEnded(attempt=attempt, outcome=outcome, **fields))


def make_loan(grant="g1") -> Loan:
    return Loan(
        grant=GrantId(grant),
        lender=VmId("vm-b"),
        incarnation=Incarnation("inc-b"),
        site=SiteId("ledger-b"),
        internal_address="127.0.0.1:7000",
    )


def make_lender(vm="vm-b") -> LenderCandidate:
    return LenderCandidate(
        vm=VmId(vm), lending_address="127.0.0.1:7001", site=SiteId(f"ledger-{vm[-1]}")
    )

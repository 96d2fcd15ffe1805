"""A small configuration and helpers for tests of the dispatcher."""

import random

from knapweeddock.clock import ManualClock
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Action, Arrival, AttemptEnded, AttemptOutcome, IdempotencyKey
from knapweeddock.fakecapacity import FakeCapacity, make_slots
from knapweeddock.idempotency import KeyTable
from knapweeddock.model import Config, RequestClass, Service
from knapweeddock.slottypes import Grant, LenderCandidate
from knapweeddock.state import NodeState

EPOCH = 1_700_000_000.0
POOL = "ledger"
OWN_INCARNATION = "inc-a"


def make_config() -> Config:
    """Return one service with an idempotent class ``look`` and a non-idempotent ``book``."""
    look = RequestClass(methods=["GET"], path_prefix="/", idempotent=True, pool=POOL, priority=5)
    book = RequestClass(methods=["POST"], path_prefix="/book", idempotent=False, pool=POOL)
    service = Service(hosts=["ringbook.example"], classes={"look": look, "book": book})
    return Config(services={"ringbook": service})


class Rig:
    """A dispatcher with in-memory capacity and a manual clock."""

    def __init__(self, *, servers=2, own=OWN_INCARNATION, settings=None, clock=None):
        self.clock = clock or ManualClock(epoch=EPOCH)
        self.settings = settings or DispatchSettings()
        slots = make_slots("ledger-a", servers=servers, slots_per_server=1)
        self.capacity = FakeCapacity(incarnation=own, slots={POOL: slots})
        self.key_table = KeyTable(incarnation=own, clock=self.clock, limits=self.settings.keys)
        self.dispatcher = Dispatcher(
            settings=self.settings,
            capacity=self.capacity,
            key_table=self.key_table,
            rng=random.Random(1),
            vm="vm-a",
            failure_domain="fd-a",
        )
        self.arrivals = 0
        self.dispatcher.update(NodeState(config_version=1, config=make_config()), 0.0)

    def handle(self, event) -> list[Action]:
        return self.dispatcher.handle(event, self.clock.monotonic())

    def add_borrowed_grant(self, grant, count):
        """Add a grant that the dispatcher received from ``vm-b``."""
        self.capacity.candidates.setdefault(POOL, [make_lender()])
        self.capacity.accept_grant(make_grant(grant, count=count), 0.0, 0.0)

    def arrive(self, *, method="GET", path="/x", **fields) -> list[Action]:
        self.arrivals += 1
        return self.handle(make_arrival(f"r{self.arrivals}", method, path, **fields))

    def book(self, name="k", *, key=None, **fields) -> list[Action]:
        return self.arrive(method="POST", path="/book", key=key or self.key(name), **fields)

    def key(self, name="k", *, lifetime_s=30.0, incarnation=OWN_INCARNATION) -> IdempotencyKey:
        return IdempotencyKey(value=name, incarnation=incarnation, not_after=EPOCH + lifetime_s)

    def end(self, attempt, outcome=AttemptOutcome.ANSWERED, **fields) -> list[Action]:
        return self.handle(AttemptEnded(attempt=attempt, outcome=outcome, **fields))


def make_arrival(request, method="GET", path="/", **fields) -> Arrival:
    return Arrival(request=request, host="ringbook.example", method=method, path=path, **fields)


def make_grant(grant="g1", *, count=2) -> Grant:
    fields = {"lender": "vm-b", "incarnation": "inc-b", "site": "ledger-b", "term_s": 2.0}
    return Grant(grant_id=grant, count=count, internal_address="127.0.0.1:7000", **fields)


def make_lender(vm="vm-b") -> LenderCandidate:
    return LenderCandidate(vm=vm, lending_address="127.0.0.1:7001", site=f"ledger-{vm[-1]}")

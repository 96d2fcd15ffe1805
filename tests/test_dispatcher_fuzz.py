"""Two dispatchers under random events, checked against a log of what servers ran.

The oracle knows nothing of the dispatchers' state. It keeps the attempts that
are on the way, notes which of them a server started, and judges every answer
by that log.
"""

from collections import Counter
from dataclasses import dataclass, replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from knapweeddock.clock import ManualClock
from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.dispatchsettings import DispatchSettings, KeyLimits
from knapweeddock.events import (
    Arrival,
    AttemptCommitted,
    AttemptEnded,
    AttemptOutcome,
    Borrow,
    BorrowEnded,
    CallerGone,
    CancelAttempt,
    Deliver,
    ForgetAnswer,
    GrantUse,
    IdempotencyKey,
    Reply,
    SendToEntry,
    SendToServer,
    Tick,
)
from knapweeddock.grants import Grant, Refusal, Slot
from knapweeddock.idempotency import KeyState

from .dispatching import POOL, Rig, make_lender

EPOCH = 1_700_000_000.0
NOT_STARTED = (AttemptOutcome.REFUSED, AttemptOutcome.SHED)
AMBIGUOUS = (AttemptOutcome.LOST, AttemptOutcome.INCOMPLETE, AttemptOutcome.TIMED_OUT)
LIMITS = DispatchSettings(
    max_queue=4, keys=KeyLimits(max_keys=4, max_key_life_s=60.0, retention_s=2.0)
)
BUDGETS = st.sampled_from([30.0] * 5 + [1.0, 0.05, 0.0])
AGES = st.sampled_from([0, 0, 0, 1, 2])
KEY_WINDOW_S = 4.0
"""New key names come into use after this time, so that keys of all ages occur."""
NOT_FINAL = (ResultCode.KEY_TABLE_FULL, ResultCode.KEY_MISMATCH)
"""Refusals of one request that say nothing of later ones with the same key."""


@dataclass(eq=False)
class Flight:
    """An attempt on the way; ``started`` once a server took it up."""

    entry: str
    send: SendToServer | SendToEntry
    operation: object
    started: bool = False
    forwarded: str | None = None


class World(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock(epoch=EPOCH)
        self.rigs = {
            name: Rig(servers=servers, own=f"inc-{name}", settings=LIMITS, clock=self.clock)
            for name, servers in (("a", 1), ("b", 3))
        }
        self.rigs["a"].capacity.candidates[POOL] = [make_lender("vm-b")]
        self.arrivals: dict[str, Arrival] = {}
        self.operations: dict[str, object] = {}
        self.entry_of: dict[str, str] = {}
        self.open: set[str] = set()
        self.flights: dict[str, Flight] = {}
        self.under_grant: dict[str, str] = {}
        self.answers: dict[str, object] = {}
        self.borrows: dict[tuple[str, str], float] = {}
        self.starts: Counter[object] = Counter()
        self.denied: set[object] = set()
        self.committed: set[str] = set()
        self.grants = 0
        self.grant_slots: dict[str, list[Slot]] = {}

    # What the world does with events and actions

    def handle(self, entry, event):
        for action in self.rigs[entry].handle(event):
            self.act(entry, action)

    def act(self, entry, action):
        match action:
            case SendToServer() | SendToEntry():
                operation = self.operations[action.request]
                assert action.attempt not in self.flights
                assert action.request not in self.committed, "sent again after a part was passed on"
                self.check_start(action)
                self.flights[action.attempt] = Flight(entry, action, operation)
            case CancelAttempt(attempt=attempt):
                flight = self.flights.pop(attempt)
                assert flight.send.idempotent
                self.close_forwarded(flight)
            case Deliver(request=request, attempt=attempt):
                assert self.answers[attempt] == self.operations[request]
                self.answer(request)
                self.after_answer(request, AttemptOutcome.ANSWERED, None)
            case Reply(request=request, code=code):
                self.check_reply(request, code)
                self.answer(request)
                self.after_answer(request, None, code)
            case Borrow(lender=lender):
                assert (entry, lender.vm) not in self.borrows
                self.borrows[entry, lender.vm] = self.clock.monotonic()
            case ForgetAnswer(attempt=attempt):
                del self.answers[attempt]

    def check_start(self, send):
        key = self.arrivals[send.request].key
        if key is not None and not send.idempotent:
            assert self.clock.wall() < key.not_after
            running = [f for f in self.flights.values() if f.operation == key_of(key)]
            assert all(isinstance(flight.send, SendToEntry) for flight in running)
        assert send.deadline > self.clock.monotonic()
        use = self.arrivals[send.request].grant
        if use is not None:
            assert send.slot in self.grant_slots[use.grant]

    def check_reply(self, request, code):
        operation = self.operations[request]
        if outcome_of(code) is not Outcome.NOT_RUN or code in NOT_FINAL:
            return
        if request in self.under_grant:
            return
        assert not self.starts[operation], (code, operation)
        self.denied.add(operation)

    def answer(self, request):
        assert request in self.open, "answered twice or after the caller had gone"
        self.open.remove(request)

    def after_answer(self, request, outcome, code):
        """Pass the answer of a lender on to the attempt of its borrower."""
        attempt = self.under_grant.get(request)
        if attempt not in self.flights:
            return
        if code is not None:
            unknown = outcome_of(code) is Outcome.UNKNOWN
            outcome = AttemptOutcome.LOST if unknown else AttemptOutcome.SHED
        self.end(attempt, outcome, code)

    def end(self, attempt, outcome, code=None):
        flight = self.flights.pop(attempt)
        if outcome is AttemptOutcome.ANSWERED:
            self.answers[attempt] = flight.operation
        self.close_forwarded(flight)
        self.handle(
            flight.entry, AttemptEnded(attempt=attempt, outcome=outcome, code=code, answer_bytes=1)
        )
        keyed = self.arrivals[flight.send.request].key is not None and not flight.send.idempotent
        if not keyed or flight.send.request in self.under_grant:
            self.answers.pop(attempt, None)

    def close_forwarded(self, flight):
        if flight.forwarded in self.open:
            self.open.remove(flight.forwarded)
            self.handle("b", CallerGone(request=flight.forwarded))

    def arrive(self, entry, arrival, operation):
        self.arrivals[arrival.request] = arrival
        self.operations[arrival.request] = operation
        self.entry_of[arrival.request] = entry
        self.open.add(arrival.request)
        self.handle(entry, arrival)

    def make_key(self, owner, number, age):
        window = int((self.clock.wall() - EPOCH) // KEY_WINDOW_S) - age
        not_after = EPOCH + KEY_WINDOW_S * (window + 1) + number
        return IdempotencyKey(key=f"k{number}w{window}", incarnation=owner, not_after=not_after)

    # Rules

    @rule(entry=st.sampled_from("aaab"), budget=BUDGETS)
    def look(self, entry, budget):
        request = f"q{len(self.arrivals)}"
        arrival = Arrival(
            request=request, host="ringbook.example", method="GET", path="/", budget_s=budget
        )
        self.arrive(entry, arrival, request)

    @rule(
        owner=st.sampled_from(["inc-a"] * 4 + ["inc-b", "inc-old"]),
        number=st.integers(0, 2),
        age=AGES,
        body=st.sampled_from([b"x"] * 5 + [b"y"]),
        budget=BUDGETS,
        astray=st.integers(0, 9),
    )
    def book(self, owner, number, age, body, budget, astray):
        entry = "b" if astray == 0 or owner == "inc-b" else "a"
        key = self.make_key(owner, number, age)
        arrival = Arrival(
            request=f"q{len(self.arrivals)}",
            host="ringbook.example",
            method="POST",
            path="/book",
            budget_s=budget,
            key=key,
            body_digest=body,
        )
        self.arrive(entry, arrival, key_of(key) if body == b"x" else (key_of(key), body))

    @precondition(lambda self: self.flights)
    @rule(data=st.data(), commit=st.booleans())
    def progress(self, data, commit):
        """Let a server take up an attempt, or pass a part of its answer on."""
        attempt = data.draw(st.sampled_from(sorted(self.flights)))
        flight = self.flights[attempt]
        if isinstance(flight.send, SendToEntry):
            return
        if not flight.started:
            flight.started = True
            self.starts[flight.operation] += 1
            assert flight.operation not in self.denied
            if not flight.send.idempotent:
                assert self.starts[flight.operation] == 1
        elif commit and flight.send.idempotent:
            self.committed.add(flight.send.request)
            self.handle(flight.entry, AttemptCommitted(attempt=attempt))

    def unsent(self):
        loans = [a for a, f in self.flights.items() if isinstance(f.send, SendToEntry)]
        return sorted(a for a in loans if self.flights[a].forwarded is None)

    @precondition(lambda self: self.unsent())
    @rule(data=st.data())
    def forward(self, data):
        """Let a lender receive the request of a borrower."""
        attempt = data.draw(st.sampled_from(self.unsent()))
        flight = self.flights[attempt]
        flight.forwarded = f"q{len(self.arrivals)}"
        self.under_grant[flight.forwarded] = attempt
        loan = flight.send.loan
        use = GrantUse(grant=loan.grant, incarnation=loan.incarnation, site=loan.site)
        original = self.arrivals[flight.send.request]
        arrival = replace(original, request=flight.forwarded, budget_s=None, grant=use)
        self.arrive("b", arrival, flight.operation)

    @precondition(lambda self: self.flights)
    @rule(data=st.data(), ambiguous=st.sampled_from(AMBIGUOUS), luck=st.integers(0, 3))
    def finish(self, data, ambiguous, luck):
        """End an attempt in a way that agrees with what the server did."""
        attempt = data.draw(st.sampled_from(sorted(self.flights)))
        flight = self.flights[attempt]
        sent = flight.started or flight.forwarded is not None
        if luck == 0:
            self.end(attempt, ambiguous)
        elif not sent:
            self.end(attempt, data.draw(st.sampled_from(NOT_STARTED)))
        elif flight.started:
            self.end(attempt, AttemptOutcome.ANSWERED)

    @precondition(lambda self: self.open - self.under_grant.keys())
    @rule(data=st.data(), luck=st.integers(0, 4))
    def caller_leaves(self, data, luck):
        if luck:
            return
        request = data.draw(st.sampled_from(sorted(self.open - self.under_grant.keys())))
        self.open.remove(request)
        self.handle(self.entry_of[request], CallerGone(request=request))

    @precondition(lambda self: self.borrows)
    @rule(count=st.sampled_from([2, 2, 1, 0, -1]))
    def lender_answers(self, count):
        (entry, vm), asked_at = self.borrows.popitem()
        lender = self.rigs["b"].capacity
        result = None if count < 0 else Refusal(code=ResultCode.SHED, retry_after_s=1.0)
        slots = [lender.free[POOL].pop() for _ in range(min(count, len(lender.free[POOL])))]
        if slots:
            self.grants += 1
            grant = f"g{self.grants}"
            lender.add_grant(grant, slots)
            self.grant_slots[grant] = slots
            result = Grant(
                grant=grant,
                lender=vm,
                incarnation="inc-b",
                site="ledger-b",
                count=len(slots),
                term_s=2.0,
                internal_address="",
            )
        ended = BorrowEnded(lender=vm, site="ledger-b", asked_at=asked_at, result=result)
        self.handle(entry, ended)

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def grant_lapses(self, data):
        lender = self.rigs["b"].capacity
        grant = f"g{data.draw(st.integers(1, self.grants))}"
        for slot in lender.granted.pop(grant, ()):
            lender.free[POOL].append(slot)
            lender.homes[slot] = lender.free[POOL]
        self.handle("b", Tick())

    @rule(entry=st.sampled_from("ab"), number=st.integers(0, 2), age=AGES)
    def ask_outcome(self, entry, number, age):
        key = self.make_key(f"inc-{entry}", number, age)
        answer = self.rigs[entry].dispatcher.outcome_query(key, self.clock.monotonic())
        if answer.state is KeyState.NOT_RUN:
            assert not self.starts[key_of(key)]
            self.denied.add(key_of(key))
        if answer.attempt is not None:
            assert answer.attempt in self.answers

    @rule(seconds=st.sampled_from([0.0, 0.02, 0.3, 3.0]))
    def tick(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        for attempt, flight in list(self.flights.items()):
            if attempt in self.flights and flight.send.deadline <= now:
                self.end(attempt, AttemptOutcome.TIMED_OUT)
        for entry in self.rigs:
            self.handle(entry, Tick())

    # What must hold

    @invariant()
    def held_slots_are_running_attempts(self):
        for name, rig in self.rigs.items():
            flights = [flight for flight in self.flights.values() if flight.entry == name]
            assert rig.capacity.held_count == len(flights)

    @invariant()
    def only_open_requests_wait(self):
        waiting = set()
        for rig in self.rigs.values():
            waiting |= rig.dispatcher.callers.waiting.keys()
        assert waiting == self.open

    @invariant()
    def nobody_waits_without_a_reason(self):
        for name, rig in self.rigs.items():
            waiting = [work for queue in rig.dispatcher.queues.values() for work in queue]
            if waiting:
                calls = [entry for entry, _ in self.borrows if entry == name]
                assert rig.capacity.held_count or calls, "no slot can come free"
            if not all(work.tried for work in waiting):
                assert not rig.capacity.free[POOL], "a slot is free"

    def teardown(self):
        for _ in range(100):
            for attempt in list(self.flights):
                if attempt in self.flights:
                    self.end(attempt, AttemptOutcome.LOST)
            while self.borrows:
                self.lender_answers(-1)
            self.tick(3.0)
        assert not self.flights
        assert not self.open, "a request was never answered"
        assert not self.answers, "an answer is kept for ever"
        for rig in self.rigs.values():
            assert rig.capacity.held_count == 0
            assert not rig.keys.records
            assert not any(rig.dispatcher.queues.values())
            assert not rig.dispatcher.borrowing.calls


def key_of(key: IdempotencyKey) -> tuple[str, str]:
    return (key.key, key.incarnation)


World.TestCase.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=80,
    deadline=None,
    # Shrinking a failure of this machine took over four minutes.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TestDispatchers = World.TestCase

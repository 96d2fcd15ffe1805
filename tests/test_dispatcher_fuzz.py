"""Stateful test of two dispatchers, one of which lends slots to the other.

The machine generates random events, records which attempts the servers started,
and checks every response against that record.
"""

from collections import Counter, deque
from dataclasses import dataclass, replace

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from knapweeddock import events
from knapweeddock.clock import ManualClock
from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.dispatchsettings import DispatchSettings, KeyLimits
from knapweeddock.events import AttemptOutcome
from knapweeddock.idempotency import KeyState
from knapweeddock.slottypes import Refusal

from .dispatcherrig import EPOCH, POOL, Rig, make_arrival, make_grant, make_lender

NOT_STARTED = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SHED)
AMBIGUOUS = (AttemptOutcome.LOST, AttemptOutcome.INCOMPLETE, AttemptOutcome.TIMED_OUT)
KEY_LIMITS = KeyLimits(max_keys=4, max_key_life_s=60.0, retention_s=2.0)
SETTINGS = DispatchSettings(max_queue_length=4, keys=KEY_LIMITS)
TIMEOUTS_S = st.sampled_from([30.0] * 5 + [1.0, 0.05, 0.0])
NUMBERS = st.integers(0, 2)
AGES = st.sampled_from([0, 0, 0, 1, 2])
KEY_WINDOW_S = 4.0
"""Time after which new key names are used, so that keys of different ages occur."""
NOT_FINAL = (ResultCode.KEY_TABLE_FULL, ResultCode.KEY_MISMATCH)
"""Refusals after which a later request with the same key may still run."""


@dataclass(eq=False)
class InFlightAttempt:
    """A running attempt; ``forwarded`` is the request that the lender received, if any."""

    entry: str
    send: events.SendToServer | events.SendToEntry
    operation: object
    started: bool = False
    forwarded: str | None = None

    @property
    def borrowed(self):
        return isinstance(self.send, events.SendToEntry)


EXAMPLES_SEED = int(
    "c763c6b3c89055f1a51309e2429240d01467b6814e605ed0"
    "1e94f6f9c72e4ceccd572b3d62ca3248dfa50f4c201d83ad",
    16,
)
"""Fixed seed: without it, Hypothesis derives one from the test itself, and a rename in
``World`` would change the generated examples."""


@seed(EXAMPLES_SEED)
class World(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock(epoch=EPOCH)
        self.rigs = {
            name: Rig(servers=servers, own=f"inc-{name}", settings=SETTINGS, clock=self.clock)
            for name, servers in (("a", 1), ("b", 3))
        }
        self.lender = self.rigs["b"].capacity
        self.rigs["a"].capacity.candidates[POOL] = [make_lender("vm-b")]
        self.arrivals, self.operations, self.entry_of = {}, {}, {}
        self.open, self.committed, self.reported_not_run = set(), set(), set()
        self.flights, self.under_grant, self.responses = {}, {}, {}
        self.borrows, self.grant_slots = {}, {}
        self.starts = Counter()
        self.steps, self.stepping = deque(), False

    def handle(self, entry, event):
        self.run_in_turn(lambda: self.process_event(entry, event))

    def process_event(self, entry, event):
        for action in self.rigs[entry].handle(event):
            self.act(entry, action)

    def run_in_turn(self, step):
        """Run a step after those under way: an event waits until the actions of the
        one before have been carried out, as in the entry's dispatch loop."""
        self.steps.append(step)
        if self.stepping:
            return
        self.stepping = True
        while self.steps:
            self.steps.popleft()()
        self.stepping = False

    def act(self, entry, action):
        match action:
            case events.SendToServer() | events.SendToEntry():
                self.check_send(action)
                operation = self.operations[action.request]
                self.flights[action.attempt] = InFlightAttempt(entry, action, operation)
            case events.CancelAttempt(attempt=attempt):
                flight = self.flights.pop(attempt)
                assert flight.send.idempotent
                self.close_forwarded(flight)
            case events.Deliver(request=request, attempt=attempt):
                assert self.responses[attempt] == self.operations[request]
                self.respond(request, AttemptOutcome.ANSWERED)
            case events.Reply(request=request, code=code):
                self.check_reply(request, code)
                unknown = outcome_of(code) is Outcome.UNKNOWN
                self.respond(request, AMBIGUOUS[0] if unknown else AttemptOutcome.SHED, code)
            case events.Borrow(lender=lender):
                assert (entry, lender.vm) not in self.borrows
                self.borrows[entry, lender.vm] = self.clock.monotonic()
            case events.DiscardResponse(attempt=attempt):
                del self.responses[attempt]

    def check_send(self, send):
        assert send.attempt not in self.flights
        assert send.request not in self.committed, "sent again after a part was forwarded"
        assert send.deadline > self.clock.monotonic()
        arrival = self.arrivals[send.request]
        if arrival.key is not None:
            assert self.clock.wall() < arrival.key.not_after
            operation = self.operations[send.request]
            assert all(f.borrowed for f in self.flights.values() if f.operation == operation)
        if arrival.grant_use is not None:
            assert send.slot in self.grant_slots[arrival.grant_use.grant]

    def check_reply(self, request, code):
        operation = self.operations[request]
        final = outcome_of(code) is Outcome.NOT_RUN and code not in NOT_FINAL
        if final and request not in self.under_grant:
            assert not self.starts[operation], (code, operation)
            self.reported_not_run.add(operation)

    def respond(self, request, outcome, code=None):
        """Record a response; that of a lender ends the attempt of its borrower."""
        assert request in self.open, "second response or caller disconnected"
        self.open.remove(request)
        attempt = self.under_grant.get(request)
        if attempt in self.flights:
            self.end(attempt, outcome, code)

    def end(self, attempt, outcome, code=None):
        flight = self.flights.pop(attempt)
        if outcome is AttemptOutcome.ANSWERED:
            self.responses[attempt] = flight.operation
        self.close_forwarded(flight)
        ended = events.AttemptEnded(attempt=attempt, outcome=outcome, code=code, response_bytes=1)
        self.handle(flight.entry, ended)
        request = flight.send.request
        if self.arrivals[request].key is None or request in self.under_grant:
            self.run_in_turn(lambda: self.responses.pop(attempt, None))

    def close_forwarded(self, flight):
        if flight.forwarded in self.open:
            self.open.remove(flight.forwarded)
            self.handle("b", events.CallerDisconnected(request=flight.forwarded))

    def arrive(self, entry, arrival, operation):
        self.arrivals[arrival.request] = arrival
        self.operations[arrival.request] = operation
        self.entry_of[arrival.request] = entry
        self.open.add(arrival.request)
        self.handle(entry, arrival)

    def new_request(self):
        return f"q{len(self.arrivals)}"

    def make_key(self, owner, number, age):
        window = int((self.clock.wall() - EPOCH) // KEY_WINDOW_S) - age
        not_after = EPOCH + KEY_WINDOW_S * (window + 1) + number
        name = f"k{number}w{window}"
        return events.IdempotencyKey(value=name, incarnation=owner, not_after=not_after)

    @rule(entry=st.sampled_from("aaab"), budget=TIMEOUTS_S)
    def look(self, entry, budget):
        request = self.new_request()
        self.arrive(entry, make_arrival(request, timeout_s=budget), request)

    @rule(
        owner=st.sampled_from(["inc-a"] * 4 + ["inc-b", "inc-old"]),
        number=NUMBERS,
        age=AGES,
        body=st.sampled_from([b"x"] * 5 + [b"y"]),
        budget=TIMEOUTS_S,
        astray=st.integers(0, 9),
    )
    def book(self, owner, number, age, body, budget, astray):
        entry = "b" if astray == 0 or owner == "inc-b" else "a"
        key = self.make_key(owner, number, age)
        fields = {"timeout_s": budget, "key": key, "fingerprint": body}
        arrival = make_arrival(self.new_request(), "POST", "/book", **fields)
        self.arrive(entry, arrival, key if body == b"x" else (key, body))

    @precondition(lambda self: self.flights)
    @rule(data=st.data(), commit=st.booleans())
    def progress(self, data, commit):
        """Let a server start an attempt, or forward a part of its response."""
        attempt = data.draw(st.sampled_from(sorted(self.flights)))
        flight = self.flights[attempt]
        if flight.borrowed:
            return
        if not flight.started:
            flight.started = True
            self.starts[flight.operation] += 1
            assert flight.operation not in self.reported_not_run
            assert flight.send.idempotent or self.starts[flight.operation] == 1
        elif commit and flight.send.idempotent:
            self.committed.add(flight.send.request)
            self.handle(flight.entry, events.AttemptCommitted(attempt=attempt))

    def unsent(self):
        flights = self.flights.items()
        return sorted(name for name, f in flights if f.borrowed and f.forwarded is None)

    @precondition(lambda self: self.unsent())
    @rule(data=st.data())
    def forward(self, data):
        """Let a lender receive the request of a borrower."""
        attempt = data.draw(st.sampled_from(self.unsent()))
        flight = self.flights[attempt]
        flight.forwarded = self.new_request()
        self.under_grant[flight.forwarded] = attempt
        borrowed = flight.send.borrowed_slot
        use = events.GrantUse(
            grant=borrowed.grant_id, incarnation=borrowed.incarnation, site=borrowed.site
        )
        original = self.arrivals[flight.send.request]
        arrival = replace(original, request=flight.forwarded, timeout_s=None, grant_use=use)
        self.arrive("b", arrival, flight.operation)

    @precondition(lambda self: self.flights)
    @rule(data=st.data(), ambiguous=st.sampled_from(AMBIGUOUS), luck=st.integers(0, 3))
    def finish(self, data, ambiguous, luck):
        """End an attempt in a way that agrees with what the server did."""
        attempt = data.draw(st.sampled_from(sorted(self.flights)))
        flight = self.flights[attempt]
        if luck == 0:
            self.end(attempt, ambiguous)
        elif flight.started:
            self.end(attempt, AttemptOutcome.ANSWERED)
        elif flight.forwarded is None:
            self.end(attempt, data.draw(st.sampled_from(NOT_STARTED)))

    @precondition(lambda self: self.open - self.under_grant.keys())
    @rule(data=st.data(), luck=st.integers(0, 4))
    def caller_leaves(self, data, luck):
        request = data.draw(st.sampled_from(sorted(self.open - self.under_grant.keys())))
        if luck == 0:
            self.open.remove(request)
            self.handle(self.entry_of[request], events.CallerDisconnected(request=request))

    @precondition(lambda self: self.borrows)
    @rule(count=st.sampled_from([2, 2, 1, 0, -1]))
    def lender_answers(self, count):
        (entry, vm), asked_at = self.borrows.popitem()
        free = self.lender.free[POOL]
        result = None if count < 0 else Refusal(code=ResultCode.SHED, retry_after_s=1.0)
        slots = [free.pop() for _ in range(min(count, len(free)))]
        if slots:
            grant = f"g{len(self.grant_slots)}"
            self.lender.add_grant(grant, slots)
            self.grant_slots[grant] = slots
            result = make_grant(grant, count=len(slots))
        ended = events.BorrowEnded(lender=vm, site="ledger-b", asked_at=asked_at, result=result)
        self.handle(entry, ended)

    @precondition(lambda self: self.grant_slots)
    @rule(data=st.data())
    def grant_lapses(self, data):
        grant = data.draw(st.sampled_from(sorted(self.grant_slots)))
        free = self.lender.free[POOL]
        free.extend(self.lender.lent.pop(grant, ()))
        self.lender.free_lists.update(dict.fromkeys(free, free))
        self.handle("b", events.Tick())

    @rule(entry=st.sampled_from("ab"), number=NUMBERS, age=AGES)
    def ask_outcome(self, entry, number, age):
        key = self.make_key(f"inc-{entry}", number, age)
        outcome = self.rigs[entry].dispatcher.query_outcome(key, self.clock.monotonic())
        if outcome.state is KeyState.NOT_RUN:
            assert not self.starts[key]
            self.reported_not_run.add(key)
        assert outcome.attempt is None or outcome.attempt in self.responses

    @rule(seconds=st.sampled_from([0.0, 0.02, 0.3, 3.0]))
    def tick(self, seconds):
        now = self.clock.advance(seconds)
        for attempt, flight in list(self.flights.items()):
            if attempt in self.flights and flight.send.deadline <= now:
                self.end(attempt, AttemptOutcome.TIMED_OUT)
        for entry in self.rigs:
            self.handle(entry, events.Tick())

    @invariant()
    def held_slots_are_running_attempts(self):
        running = Counter(flight.entry for flight in self.flights.values())
        for name, rig in self.rigs.items():
            assert rig.capacity.in_use_count == running[name]

    @invariant()
    def only_open_requests_wait(self):
        waiting = [rig.dispatcher.pending.operations.keys() for rig in self.rigs.values()]
        assert set().union(*waiting) == self.open

    @invariant()
    def nobody_waits_without_a_reason(self):
        for name, rig in self.rigs.items():
            waiting = [operation for queue in rig.dispatcher.queues.values() for operation in queue]
            calls = [entry for entry, _ in self.borrows if entry == name]
            assert not waiting or rig.capacity.in_use_count or calls, "no slot can become free"
            all_retries = all(operation.tried_servers for operation in waiting)
            assert all_retries or not rig.capacity.free[POOL], "a slot is free"

    def teardown(self):
        for _ in range(20):
            for attempt in list(self.flights):
                if attempt in self.flights:
                    self.end(attempt, AttemptOutcome.LOST)
            while self.borrows:
                self.lender_answers(-1)
            self.tick(3.0)
        assert not self.flights
        assert not self.open, "a request got no response"
        assert not self.responses, "a response is never discarded"
        for rig in self.rigs.values():
            assert rig.capacity.in_use_count == 0
            assert not rig.key_table.records
            assert not any(rig.dispatcher.queues.values())
            assert not rig.dispatcher.borrowing.calls


World.TestCase.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=80,
    deadline=None,
    # Shrinking a failure of this machine takes over four minutes.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TestDispatchers = World.TestCase

"""The parts of an entry together: dispatchers, slots, lending and keys on several VMs.

Guards against faults that only show when the parts meet: an operation that
runs twice or after "not run", an answer that is lost or belongs to another
request, servers, sites, shifts or links above their limits, and work that
waits for ever, under late membership, pauses, kills, partitions and drains.
"""

import random
from collections import Counter
from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from knapweeddock import events
from knapweeddock.idempotency import KeyState
from knapweeddock.model import Drains, Link
from knapweeddock.state import MemberState
from tests.capacity_world import DOMAINS, SERVERS
from tests.system_world import EPOCH, LOOKUP_LIFETIME_S, SITE_OF, World

VMS = st.sampled_from(sorted(DOMAINS))
SITES = st.sampled_from(sorted(SERVERS))
SERVER_NAMES = st.sampled_from(sorted(SITE_OF))
DOMAIN_NAMES = st.sampled_from(sorted(set(DOMAINS.values())))
RATES = st.sampled_from([0.99, 1.0, 1.01])
PICKS = st.integers(0, 7)
DELAYS = st.sampled_from([0.0, 0.0, 0.01, 0.3, 2.0])
PAUSES = st.sampled_from([0.3, 1.9, 2.5, 3.5, 6.0])
KEY_LIFE_S = (1.0, 10.0, 20.0)
HEALING_S = 45.0
"""Longest backoff of a server (30 s with jitter) and the time to use it again."""

SEEN = Counter()
"""What all examples together reached, for measurements by hand."""


class SystemMachine(World, RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 2**16),
        rates=st.lists(RATES, min_size=len(DOMAINS), max_size=len(DOMAINS)),
    )
    def start_all(self, seed, rates):
        self.rng = random.Random(seed)
        self.rates = dict(zip(sorted(DOMAINS), rates, strict=True))
        self.operations, self.incarnations = [], {vm: [] for vm in DOMAINS}
        for vm in DOMAINS:
            self.incarnations[vm].append(self.create(vm).incarnation)
        for process in self.processes.values():
            process.state = MemberState.SERVING
        self.lag = 0
        self.run_for(5.0)
        self.lag = 1

    # Callers

    def call(self, vm, arrival, operation, delay):
        """Send a request, which arrives at the process that then has the address."""

        def arrive():
            process = self.processes.get(vm)
            if process is not None:
                self.at(process, lambda: self.arrive(process, arrival, operation))

        self.after(delay, arrive)

    def make_arrival(self, method, budget_s, key=None, body=b""):
        return events.Arrival(
            request=f"r{next(self.numbers)}",
            host="ringbook.example",
            method=method,
            path="/x",
            budget_s=budget_s,
            key=key,
            body_digest=body,
        )

    @rule(vm=VMS, count=st.integers(1, 6), budget_s=st.sampled_from([0.5, 2.0, 8.0]), delay=DELAYS)
    def look(self, vm, count, budget_s, delay):
        for _ in range(count):
            arrival = self.make_arrival("GET", budget_s)
            self.call(vm, arrival, ("look", arrival.request), delay)

    @rule(
        vm=VMS,
        count=st.integers(1, 4),
        old=st.sampled_from([1, 1, 1, 2]),
        life_s=st.sampled_from(KEY_LIFE_S),
        copies=st.integers(0, 2),
        delay=DELAYS,
    )
    def book(self, vm, count, old, life_s, copies, delay):
        """Send new operations; the network may delay a copy beyond the answer."""
        known = self.incarnations[vm]
        for _ in range(count):
            key = events.IdempotencyKey(
                key=f"k{next(self.numbers)}",
                incarnation=known[-min(old, len(known))],
                not_after=EPOCH + self.time + life_s,
            )
            self.operations.append((vm, key))
            for _ in range(1 + copies):
                self.send_operation(vm, key, b"x", 4.0, delay)
                delay = self.rng.choice([0.0, 0.3, 4.0, 14.0])

    def send_operation(self, vm, key, body, budget_s, delay):
        arrival = self.make_arrival("POST", budget_s, key=key, body=body)
        self.call(vm, arrival, (key, body), delay)

    @rule(
        pick=PICKS,
        elsewhere=st.one_of(st.none(), st.none(), VMS),
        body=st.sampled_from([b"x", b"x", b"x", b"y"]),
        budget_s=st.sampled_from([0.0, 0.1, 4.0]),
        delay=DELAYS,
    )
    def send_again(self, pick, elsewhere, body, budget_s, delay):
        if self.operations:
            vm, key = self.operations[-1 - pick % len(self.operations)]
            self.send_operation(elsewhere or vm, key, body, budget_s, delay)

    @rule(pick=PICKS, elsewhere=st.one_of(st.none(), st.none(), VMS))
    def ask_outcome(self, pick, elsewhere):
        if not self.operations:
            return
        vm, key = self.operations[-1 - pick % len(self.operations)]
        process = self.processes.get(elsewhere or vm)
        if process is not None:
            self.at(process, lambda: self.answer_outcome(process, key))

    def answer_outcome(self, process, key):
        answer = process.dispatcher.outcome_query(key, process.clock.monotonic())
        operations = [(key, body) for body in (b"x", b"y")]
        if answer.state is KeyState.NOT_RUN:
            for operation in operations:
                self.oracle.deny(operation, answer.code)
        if answer.state is KeyState.COMPLETE:
            assert sum(self.oracle.starts[operation] for operation in operations) == 1
        if answer.attempt is not None:
            assert process.answers[answer.attempt] in operations

    @rule(vm=VMS, pick=PICKS)
    def caller_leaves(self, vm, pick):
        process = self.processes.get(vm)
        waiting = [r for r in process.open.values() if r.forward is None] if process else []
        if waiting:
            request = waiting[pick % len(waiting)]
            self.at(process, lambda: self.caller_gone(request))

    @rule(vm=VMS)
    def burst(self, vm):
        """Ask one entry for more than its domain has."""
        self.look(vm, 9, 8.0, 0.0)
        self.book(vm, 4, 1, 10.0, 0, 0.0)
        self.run_for(0.3)

    # Time and faults

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.3, 1.0, 2.0]))
    def wait(self, seconds):
        self.run_for(seconds)

    @rule(lag=st.integers(0, 2), fault_rate=st.sampled_from([0.0, 0.1, 0.4]))
    def disturb(self, lag, fault_rate):
        self.lag, self.fault_rate = lag, fault_rate

    @rule(vm=VMS, seconds=PAUSES)
    def pause(self, vm, seconds):
        process = self.processes.get(vm)
        if process is not None and not process.paused:
            process.paused = True
            self.after(seconds, lambda: self.resume(process))

    def resume(self, process):
        process.paused = False
        while process.inbox and process.alive:
            process.inbox.pop(0)()

    @rule(vm=VMS, evidence_s=st.sampled_from([0.0, 0.5, 3.0]))
    def kill_one(self, vm, evidence_s):
        if vm not in self.processes:
            return
        incarnation = self.processes[vm].incarnation
        self.kill(vm)
        self.after(evidence_s, lambda: self.find_gone(vm, incarnation))

    def find_gone(self, vm, incarnation):
        last = self.records[vm][-1]
        if last.incarnation == incarnation and last.state is not MemberState.LEFT:
            self.records[vm].append(replace(last, down=True))

    @rule(vm=VMS)
    def restart(self, vm):
        if vm in self.processes:
            return
        peers = [p for p in self.processes.values() if p.domain == DOMAINS[vm]]
        reachable = [peer for peer in peers if not peer.paused]
        if peers and not reachable:
            return  # An agent that reaches no living peer stays in state joining.
        process = self.create(vm)
        self.incarnations[vm].append(process.incarnation)
        if reachable:
            peer = self.rng.choice(reachable)
            process.known = {**peer.known, **process.known}
            peer.known[vm] = process.known[vm]
            process.config = peer.config
            self.tell(peer, peer.config)
        else:
            process.known = {name: len(history) - 1 for name, history in self.records.items()}
        process.state = MemberState.SERVING
        self.publish(process)
        self.tell(process, process.config)

    @rule(vm=VMS)
    def leave(self, vm):
        process = self.processes.get(vm)
        if process is None or process.paused or process.state is not MemberState.SERVING:
            return
        process.state = MemberState.LEAVING
        self.publish(process)
        self.after(LOOKUP_LIFETIME_S, lambda: self.at(process, lambda: self.drain(process)))

    def drain(self, process):
        process.draining = True
        self.take(process, events.DrainStarted())

    @rule(near=DOMAIN_NAMES, far=DOMAIN_NAMES, both=st.booleans(), cut=st.booleans())
    def partition(self, near, far, both, cut):
        links = {(near, far)} | ({(far, near)} if both else set())
        if near != far:
            self.cut = self.cut | links if cut else self.cut - links

    @rule(name=SERVER_NAMES, sign=st.sampled_from(["list", "self", "config", "death"]))
    def server_leaves(self, name, sign):
        """Let a server leave or die, or take that back."""
        server = self.servers[name]
        match sign:
            case "list":
                self.leaving ^= {name}
            case "self":
                server.draining = not server.draining
            case "config":
                config = self.configs[-1]
                flags = {**config.drains.servers}
                flags[name] = not flags.get(name, False)
                self.configs.append(replace(config, drains=Drains(servers=flags)))
            case "death":
                server.alive = not server.alive
                self.break_connections(server)

    def break_connections(self, server):
        for connection in server.running:
            self.answer_server(connection, events.AttemptOutcome.LOST)
        server.running.clear()

    @rule(site=SITES, choice=st.integers(0, 2), value=st.integers(1, 4))
    def configure(self, site, choice, value):
        config = self.configs[-1]
        if choice == 0:
            links = {"A->B": Link(caps={"p": value}), "B->A": Link(caps={"p": 1 + value % 3})}
            self.configs.append(replace(config, links=links))
            return
        new = replace(config.sites[site], shift_cap=value)
        if choice == 1 and site == "sb1":
            new = replace(config.sites[site], cap=2 + value)
        self.configs.append(replace(config, sites={**config.sites, site: new}))

    # The end

    def heal(self):
        self.cut, self.leaving, self.lag, self.fault_rate = set(), set(), 0, 0.0
        self.configs.append(replace(self.configs[-1], drains=Drains()))
        for server in self.servers.values():
            server.alive, server.draining = True, False
        self.run_for(8.0)
        for vm in DOMAINS:
            self.restart(vm)
        self.run_for(HEALING_S)

    def teardown(self):
        if not self.processes:
            return
        self.heal()
        self.oracle.check_end()
        before = len(self.operations)
        answered = self.oracle.seen["delivered"]
        for vm in DOMAINS:
            self.look(vm, 1, 4.0, 0.0)
            self.book(vm, 1, 1, 10.0, 0, 0.0)
        self.run_for(6.0)
        self.oracle.check_end()
        assert len(self.operations) - before == len(DOMAINS)
        served = self.oracle.seen["delivered"] - answered
        assert served == 2 * len(DOMAINS), f"only {served} of the last requests were served"
        SEEN.update(self.oracle.seen)


SystemMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
    database=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TestSystem = SystemMachine.TestCase

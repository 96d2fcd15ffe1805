"""Several SlotCapacity instances are checked against an oracle that only counts uses.

Guards against two entries that use one slot, and against sites, shifts or links
above their caps, while configurations and member records arrive late and in
different orders, entries are killed, paused and replaced, grants are delayed or
lost, and clocks run at different rates. Silence never counts as evidence: only an
entry that was really killed is marked down.
"""

from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from knapweeddock.model import BackendServer, Drains, Link
from knapweeddock.slottypes import BorrowRequest, Grant, Slot
from knapweeddock.slottypes import SlotOutcome as Outcome
from knapweeddock.state import MemberState
from tests.capacity_simulation import (
    DOMAINS,
    SERVER_NOTICE_S,
    SERVERS,
    SITE_DOMAIN,
    CountedUse,
    Simulation,
)

VMS = st.sampled_from(sorted(DOMAINS))
RATES = st.sampled_from([0.99, 1.0, 1.01])
TIME_STEPS = st.sampled_from([0.01, 0.03, 0.2, 0.5, 1.0])


class CapacityMachine(Simulation, RuleBasedStateMachine):
    @initialize(rates=st.lists(RATES, min_size=len(DOMAINS), max_size=len(DOMAINS)))
    def start(self, rates):
        self.clock_rates = dict(zip(sorted(DOMAINS), rates, strict=True))
        for vm in DOMAINS:
            self.create(vm)
        for entry in self.entries.values():
            entry.state = MemberState.SERVING
            self.publish(entry)
        self.exchange(rounds=1)
        for _ in range(5):
            self.advance(dt=0.5)
        self.exchange(rounds=3)

    # Time, members and configuration

    @rule(dt=TIME_STEPS)
    def advance(self, dt):
        self.time += dt
        self.uses = [use for use in self.uses if use.ends_at is None or use.ends_at > self.time]
        for entry in self.entries.values():
            if not entry.paused:
                entry.capacity.tick(entry.now(self.time))

    @rule(rounds=st.integers(1, 3))
    def exchange(self, rounds):
        for _ in range(rounds):
            active = [entry for entry in self.entries.values() if not entry.paused]
            for entry in active:
                entry.capacity.tick(entry.now(self.time))
                self.publish(entry)
            for entry in active:
                entry.config = len(self.configs) - 1
                entry.known_versions = {
                    vm: len(history) - 1 for vm, history in self.records.items()
                }
                self.deliver(entry)

    @rule(
        vm=VMS,
        others=st.sets(VMS, max_size=5),
        config=st.one_of(st.none(), st.integers(0, 2)),
        back=st.integers(0, 2),
    )
    def inform(self, vm, others, config, back):
        """Deliver member records and perhaps a configuration, which may be old, to an entry.

        Args:
            vm: VM of the entry.
            others: VMs whose records are delivered.
            config: How many versions the configuration lags behind; None to deliver none.
            back: How many versions the records lag behind.
        """
        entry = self.running(vm)
        if entry is None:
            return
        self.publish(entry)
        for other in others:
            newest = max(0, len(self.records[other]) - 1 - back)
            entry.known_versions[other] = max(entry.known_versions.get(other, 0), newest)
        if config is not None:
            entry.config = max(entry.config, len(self.configs) - 1 - config)
        self.deliver(entry)

    @rule(vm=VMS)
    def kill(self, vm):
        if self.entries.pop(vm, None) is None:
            return
        for use in self.uses:
            if use.owner == vm and use.ends_at is None:
                use.ends_at = self.time + SERVER_NOTICE_S
        self.borrow_requests = [request for request in self.borrow_requests if request[0] != vm]
        self.grant_replies = [reply for reply in self.grant_replies if reply[0] != vm]

    @rule(vm=VMS)
    def find_killed(self, vm):
        """Mark a killed entry down."""
        last = self.records[vm][-1]
        if vm not in self.entries and not last.down and last.state is not MemberState.LEFT:
            self.records[vm].append(replace(last, down=True))

    @rule(vm=VMS, pick=st.integers(0, 5))
    def restart(self, vm, pick):
        if vm in self.entries:
            return
        peers = self.domain_entries(DOMAINS[vm])
        reachable = [peer for peer in peers if not peer.paused]
        if peers and not reachable:
            return  # An agent that reaches no running peer stays in the joining state.
        self.create(vm)
        entry = self.entries[vm]
        if reachable:
            peer = reachable[pick % len(reachable)]
            entry.known_versions = {**peer.known_versions, **entry.known_versions}
            entry.config = peer.config
            peer.known_versions[vm] = entry.known_versions[vm]
            self.deliver(peer)
        else:
            entry.known_versions = {
                name: len(history) - 1 for name, history in self.records.items()
            }
        entry.state = MemberState.SERVING
        self.publish(entry)
        self.deliver(entry)

    @rule(vm=VMS)
    def leave(self, vm):
        entry = self.running(vm)
        if entry is None:
            return
        if entry.state is MemberState.SERVING:
            entry.state = MemberState.LEAVING
        elif entry.capacity.is_idle():
            entry.state = MemberState.LEFT
            del self.entries[vm]
        self.publish(entry)
        if entry.state is MemberState.LEAVING:
            self.deliver(entry)

    @rule(vm=VMS)
    def pause(self, vm):
        if vm in self.entries:
            self.entries[vm].paused = True

    @rule(vm=VMS, acquire_first=st.booleans())
    def resume(self, vm, acquire_first):
        entry = self.entries.get(vm)
        if entry is not None and entry.paused:
            entry.paused = False
            if acquire_first:
                self.acquire(vm, 2)

    @rule(site=st.sampled_from(sorted(SERVERS)), choice=st.integers(0, 5), value=st.integers(1, 4))
    def configure(self, site, choice, value):
        """Change the configuration.

        Args:
            site: Site to change.
            choice: 0 removes or restores a server, 1 changes its number of slots, 2
                changes the shift cap, 3 the cap of ``sb1``, 4 the link caps, and 5
                the drains of the site and a server.
            value: Selects the server and the new value.
        """
        config = self.configs[-1]
        old = config.sites[site]
        server = SERVERS[site][value % len(SERVERS[site])]
        match choice:
            case 0:
                servers = dict(old.servers)
                if servers.pop(server, None) is None:
                    servers[server] = BackendServer(address=server, slots=2)
                new = replace(old, servers=servers) if len(servers) > 1 else old
            case 1:
                changed = BackendServer(address=server, slots=2 + value % 2)
                new = replace(old, servers={**old.servers, server: changed})
            case 2:
                new = replace(old, shift_cap=value)
            case 3:
                new = replace(old, cap=2 + value) if site == "sb1" else old
            case 4:
                links = {"A->B": Link(caps={"p": value}), "B->A": Link(caps={"p": 1 + value % 3})}
                self.configs.append(replace(config, links=links))
                return
            case _:
                drains = Drains(sites={site: value == 1}, servers={server: value == 2})
                self.configs.append(replace(config, drains=drains))
                return
        self.configs.append(replace(config, sites={**config.sites, site: new}))

    @rule(site=st.sampled_from(sorted(SERVERS)), value=st.integers(0, 2))
    def flap(self, site, value):
        """Remove a server and add it again, so that the earlier view recurs."""
        config = self.configs[-1]
        servers = dict(config.sites[site].servers)
        if len(servers) > 1:
            servers.pop(sorted(servers)[value % len(servers)])
            new = replace(config.sites[site], servers=servers)
            self.configs.append(replace(config, sites={**config.sites, site: new}))
            self.configs.append(config)

    @rule(late=VMS, value=st.integers(0, 2))
    def flap_while_one_lags(self, late, value):
        """Let a view recur while one entry lags behind, then let that entry catch up."""
        site = next(name for name, home in SITE_DOMAIN.items() if home == DOMAINS[late])
        self.finish_all()
        self.exchange(rounds=3)
        self.flap(site, value)
        entry = self.running(late)
        others = [e.vm for e in self.domain_entries(DOMAINS[late]) if e.vm != late and not e.paused]
        for behind in (1, 1, 1, 0):
            for vm in others:
                self.inform(vm, set(others), behind, 0)
        between = {vm: len(self.records[vm]) - 1 for vm in others}
        for _ in range(2):
            for vm in others:
                self.inform(vm, set(DOMAINS), 0, 0)
        if entry is not None:
            entry.known_versions.update(between)
            self.inform(late, set(), 1, 0)
            self.inform(late, set(), 1, 0)
        self.contend()

    @rule(
        pick=st.integers(0, 2),
        site=st.sampled_from(sorted(SERVERS)),
        value=st.integers(0, 2),
        rounds=st.integers(0, 3),
        choice=st.sampled_from([0, 0, 2, 4]),
        before=st.booleans(),
    )
    def shift_over_change(self, pick, site, value, rounds, choice, before):
        """Fill a site with remote requests, change the site and inform some entries."""
        self.finish_all()
        if before:
            self.configure(site, 0, value)
        self.exchange(rounds=3)
        for vm in sorted(self.entries):
            self.shift_load(vm, site, 3)
        self.configure(site, choice, max(value, 1) if choice else value)
        owners = self.domain_entries(SITE_DOMAIN[site])
        if owners:
            self.inform(owners[pick % len(owners)].vm, set(DOMAINS), 0, 0)
        if rounds:
            self.exchange(rounds)
            self.finish_all()
        for vm in sorted(self.entries):
            self.shift_load(vm, site, 3)

    @rule(vm=VMS, rounds=st.integers(1, 3), dt=TIME_STEPS)
    def fail_over(self, vm, rounds, dt):
        """Kill an entry that runs requests and let the others learn of it."""
        self.contend()
        self.kill(vm)
        self.find_killed(vm)
        self.advance(dt)
        self.exchange(rounds)
        self.contend()

    # Requests

    @rule(vm=VMS, count=st.integers(1, 4))
    def acquire(self, vm, count):
        entry = self.running(vm)
        if entry is None:
            return
        for _ in range(count):
            slot = entry.capacity.acquire("p", entry.now(self.time))
            if slot is not None:
                use = CountedUse(vm, slot.site, entry.domain, entry.config, slot)
                self.uses.append(use)
                self.check_limits()

    @rule(pick=st.integers(0, 50), outcome=st.sampled_from(Outcome))
    def finish(self, pick, outcome):
        open_uses = [u for u in self.uses if u.ends_at is None and self.running(u.owner)]
        if not open_uses:
            return
        use = open_uses[pick % len(open_uses)]
        self.uses.remove(use)
        entry = self.entries[use.owner]
        entry.capacity.release(use.slot, outcome, entry.now(self.time))
        if use.borrowed_slot is not None and self.running(use.borrower):
            borrower = self.entries[use.borrower]
            borrower.capacity.release_borrowed_slot(use.borrowed_slot, borrower.now(self.time))

    @rule(vm=VMS, pick=st.integers(0, 5), wanted=st.integers(1, 3))
    def ask(self, vm, pick, wanted):
        entry = self.running(vm)
        lenders = entry.capacity.lender_candidates("p", entry.now(self.time)) if entry else []
        if lenders:
            lender = lenders[pick % len(lenders)]
            request = BorrowRequest(
                borrower=vm,
                failure_domain=entry.domain,
                incarnation=entry.incarnation,
                site=lender.site,
                wanted=wanted,
            )
            self.borrow_requests.append((vm, lender.vm, request, entry.now(self.time)))

    @rule(lost=st.booleans())
    def decide_request(self, lost):
        """Let a lender decide on the oldest borrow request; its reply may be lost."""
        if not self.borrow_requests:
            return
        vm, lender, request, asked_at = self.borrow_requests.pop(0)
        entry = self.running(lender)
        if entry is None:
            return
        result = entry.capacity.grant(request, entry.now(self.time))
        if isinstance(result, Grant):
            self.grant_versions[result.grant_id] = entry.config
            if not lost:
                self.grant_replies.append((vm, request.incarnation, result, asked_at))

    @rule(newest=st.booleans())
    def receive_grant(self, newest):
        """Deliver the newest or oldest grant that is under way to its borrower."""
        if not self.grant_replies:
            return
        vm, incarnation, grant, asked_at = self.grant_replies.pop(-1 if newest else 0)
        entry = self.running(vm)
        if entry is not None and entry.incarnation == incarnation:
            entry.capacity.accept_grant(grant, asked_at, entry.now(self.time))

    @rule(vm=VMS, count=st.integers(1, 3))
    def use_borrowed_slots(self, vm, count):
        entry = self.running(vm)
        for _ in range(count if entry else 0):
            borrowed = entry.capacity.acquire_borrowed_slot("p", entry.now(self.time))
            if borrowed is not None:
                self.use_borrowed_slot(entry, borrowed)

    def use_borrowed_slot(self, entry, borrowed):
        version = self.grant_versions[borrowed.grant_id]
        use = CountedUse(
            borrowed.lender,
            borrowed.site,
            entry.domain,
            version,
            borrowed_slot=borrowed,
            borrower=entry.vm,
        )
        self.uses.append(use)
        self.check_limits()
        lender = self.running(borrowed.lender)
        if lender is not None:
            now = lender.now(self.time)
            result = lender.capacity.acquire_lent_slot(borrowed.grant_id, borrowed.incarnation, now)
            use.slot = result if isinstance(result, Slot) else None
        if use.slot is None:
            self.uses.remove(use)
            entry.capacity.release_borrowed_slot(borrowed, entry.now(self.time))

    @rule(vm=VMS, pick=st.integers(0, 5), dt=st.sampled_from([1.9, 1.985, 1.99, 2.0, 2.01]))
    def contend_at_term_end(self, vm, pick, dt):
        """Borrow, let the term almost end, then let every entry acquire all that it can."""
        self.borrow_requests.clear()
        self.ask(vm, pick, 3)
        self.decide_request(lost=False)
        self.receive_grant(newest=True)
        for step in (dt / 2, dt / 2):
            self.advance(step)
        self.contend()
        self.use_borrowed_slots(vm, 3)

    @rule()
    def contend(self):
        """Let every entry acquire all slots that it can."""
        for vm in sorted(self.entries):
            self.acquire(vm, 4)

    @rule(vm=VMS, site=st.sampled_from(sorted(SERVERS)), use=st.integers(0, 4))
    def shift_load(self, vm, site, use):
        """Borrow from every lender of a site at once and use some of the slots."""
        entry = self.running(vm)
        lenders = entry.capacity.lender_candidates("p", entry.now(self.time)) if entry else []
        for pick, lender in enumerate(lenders):
            if lender.site == site:
                self.borrow_requests.clear()
                self.ask(vm, pick, 3)
                self.decide_request(lost=False)
                self.receive_grant(newest=True)
        self.use_borrowed_slots(vm, use)

    @rule()
    def finish_all(self):
        """End all requests, so that recent demand and full sites do not prevent lending."""
        for _ in range(len(self.uses)):
            self.finish(0, Outcome.ANSWERED)
        for _ in range(4):
            self.advance(1.0)

    @invariant()
    def limits_hold(self):
        self.check_limits()


CapacityMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestCapacity = CapacityMachine.TestCase

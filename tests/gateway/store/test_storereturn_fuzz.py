"""The store returns from older copies while objects are written, in virtual time.

Gateways 0 and 2 read the store, and gateway 1 subscribes to one of them. Whatever the order,
no gateway may go back behind what it knew, and all of them end at what the writers want.
"""

from collections import deque
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.records import ServerEntry, ServerPhase
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.inmemorystore import StoreContents
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import ChangeBatch, Snapshot, Topic
from knapweeddock.gateway.store.storeposition import EraTracker, StorePosition
from knapweeddock.ids import Era
from tests.gateway.support import REGION, SERVICE, make_server

SERVERS = ["a", "b"]
DOMAIN = "north-a"
REWRITE_S = 2.0
LEASE_S = 4.5
HOLD_S = REWRITE_S + LEASE_S
STEP_S = 0.5
MAX_COPY_AGE_STEPS = 6


@dataclass
class Response:
    """A response of the store that is under way."""

    topic: Topic
    era: Era
    asked_from: StorePosition | None
    content: Snapshot | ChangeBatch | None


class Reader:
    """A gateway's cache and routing state; ``responses`` and ``messages`` are under way."""

    def __init__(self, clock) -> None:
        self.cache = StoreCache()
        self.routing_state = RoutingState(fleet=Fleet(), clock=clock, return_hold_s=HOLD_S)
        self.cache.listeners.append(self.routing_state.apply)
        self.eras = EraTracker()
        self.recovered_at = float("-inf")
        self.clock = clock
        self.responses: deque[Response] = deque()
        self.messages: deque[Update] = deque()
        self.known_version = 0
        self.known_evacuation = 0
        self.registered: set[tuple[str, int]] = set()
        self.ended: set[tuple[str, int]] = set()

    def grace_s(self) -> float:
        return max(0.0, self.recovered_at + REWRITE_S - self.clock())

    def ask(self, contents: StoreContents, topic: Topic) -> None:
        if not self.cache.is_listed(topic):
            content = Snapshot(items=dict(contents.objects[topic]), position=contents.position)
            self.responses.append(Response(topic, contents.era, None, content))
            return
        known = self.cache.positions[topic]
        batch = None
        if contents.has_changes_since(known.revision):
            changes = contents.changes_since(topic, known.revision)
            batch = ChangeBatch(changes=changes, position=contents.position)
        self.responses.append(Response(topic, contents.era, known, batch))

    def receive(self) -> None:
        response = self.responses.popleft()
        if self.eras.observe(response.era) and self.cache.positions:
            self.recovered_at = self.clock()
            for topic, position in self.cache.positions.items():
                if position.era != response.era:
                    self.cache.invalidate(topic)
        if response.era != self.eras.era:
            return
        topic = response.topic
        asked_from = response.asked_from
        if asked_from is None:
            if not self.cache.is_listed(topic):
                self.cache.apply_snapshot(topic, response.content, grace_s=self.grace_s())
        elif response.content is None or asked_from.era != response.era:
            self.cache.invalidate(topic)
        elif self.cache.is_listed(topic):
            self.cache.apply_changes(topic, response.content, grace_s=self.grace_s())

    def receive_all(self) -> None:
        while self.responses:
            self.receive()
        while self.messages:
            self.cache.apply_update(self.messages.popleft())

    def is_evacuated(self) -> bool:
        return DOMAIN in self.routing_state.fleet.evacuated_domains

    def usable(self) -> set[tuple[str, int]]:
        group = self.routing_state.fleet.group(SERVICE, REGION)
        return {(state.entry.server, state.entry.started_at_ms) for state in group}


class StoreReturns(RuleBasedStateMachine):
    """What the writers want is in ``wanted``; the store may lack it after a return."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.contents = StoreContents()
        self.wanted: dict[Topic, dict[str, object]] = {topic: {} for topic in Topic}
        self.write(Topic.CONFIGURATION, "main", RoutingConfig(version=1))
        self.copies = deque([self.contents.copy()], maxlen=MAX_COPY_AGE_STEPS)
        self.returned_at = float("-inf")
        self.births = 0
        self.evacuation_count = 0
        self.readers = [Reader(lambda: self.now) for _ in range(3)]
        self.relay = 0
        for relay in (0, 2):
            self.readers[relay].cache.listeners.append(
                lambda update, relay=relay: self.send_to_subscriber(relay, update)
            )
        for name in SERVERS:
            self.start_server(name)
        self.pass_time()

    def write(self, topic: Topic, name: str, item) -> None:
        if item is None:
            self.wanted[topic].pop(name, None)
            self.contents.remove(topic, name)
        else:
            self.wanted[topic][name] = item
            self.contents.put(topic, name, item)

    def send_to_subscriber(self, relay: int, update: Update) -> None:
        if relay == self.relay:
            self.readers[1].messages.append(update)

    @rule(relay=st.sampled_from([0, 2]))
    def subscribe(self, relay: int) -> None:
        """Let gateway 1 subscribe to another gateway, which may know an earlier era."""
        cache = self.readers[relay].cache
        if not cache.is_complete:
            return
        self.relay = relay
        self.readers[1].messages.clear()
        self.readers[1].messages.extend(cache.full_update(topic, grace_s=0.0) for topic in Topic)

    @rule(seen=st.booleans())
    def configure(self, seen: bool) -> None:
        version = self.wanted[Topic.CONFIGURATION]["main"].version
        self.write(Topic.CONFIGURATION, "main", RoutingConfig(version=version + 1))
        if seen:
            self.pass_time()

    @rule(name=st.sampled_from(SERVERS))
    def start_server(self, name: str) -> None:
        self.births += 1
        self.write(Topic.SERVERS, name, make_server(name, started_at_ms=self.births))

    @rule(name=st.sampled_from(SERVERS), leave=st.booleans(), seen=st.booleans())
    def end_server(self, name: str, leave: bool, seen: bool) -> None:
        entry = self.wanted[Topic.SERVERS].get(name)
        if entry is None:
            return
        draining = make_server(name, started_at_ms=entry.started_at_ms, phase=ServerPhase.DRAINING)
        self.write(Topic.SERVERS, name, None if leave else draining)
        if seen:
            self.pass_time()

    @rule(evacuated=st.booleans(), seen=st.booleans())
    def evacuate(self, evacuated: bool, seen: bool) -> None:
        self.evacuation_count += 1
        self.write(Topic.EVACUATIONS, DOMAIN, DOMAIN if evacuated else None)
        if seen:
            self.pass_time()

    @precondition(lambda self: self.now - self.returned_at > HOLD_S + REWRITE_S)
    @rule(age=st.integers(1, MAX_COPY_AGE_STEPS))
    def return_from_copy(self, age: int) -> None:
        self.contents.return_from(self.copies[-min(age, len(self.copies))])
        self.returned_at = self.now

    @rule(reader=st.sampled_from([0, 2]), topic=st.sampled_from(Topic), late=st.booleans())
    def read(self, reader: int, topic: Topic, late: bool) -> None:
        self.readers[reader].ask(self.contents, topic)
        if not late:
            self.readers[reader].receive()

    @rule()
    def receive_relayed(self) -> None:
        if self.readers[1].messages:
            self.readers[1].cache.apply_update(self.readers[1].messages.popleft())

    @rule()
    def pass_time(self) -> None:
        """Let time pass; nothing is under way for longer, and the writers write in time."""
        self.copies.append(self.contents.copy())
        before = self.now
        self.now += STEP_S
        if before < self.returned_at + REWRITE_S <= self.now:
            self.rewrite()
        if before < self.returned_at + LEASE_S <= self.now:
            for name in set(self.contents.objects[Topic.SERVERS]) - set(self.wanted[Topic.SERVERS]):
                self.contents.remove(Topic.SERVERS, name)
        for reader in self.readers:
            reader.receive_all()
            for topic in Topic if reader is not self.readers[1] else ():
                reader.ask(self.contents, topic)
                reader.receive_all()
            reader.receive_all()
            reader.routing_state.maintain()
            if reader.is_evacuated():
                reader.known_evacuation = self.evacuation_count

    def rewrite(self) -> None:
        for topic, wanted in self.wanted.items():
            for name, item in wanted.items():
                if self.contents.objects[topic].get(name) != item:
                    self.contents.put(topic, name, item)
        if DOMAIN not in self.wanted[Topic.EVACUATIONS]:
            self.contents.remove(Topic.EVACUATIONS, DOMAIN)

    @invariant()
    def configuration_never_goes_back(self) -> None:
        for reader in self.readers:
            config = reader.routing_state.config
            version = config.version if config else 0
            assert version >= reader.known_version
            reader.known_version = version

    @invariant()
    def ended_server_stays_unused(self) -> None:
        for reader in self.readers:
            assert not reader.usable() & reader.ended
            states = reader.routing_state.fleet.servers.values()
            registered = {(state.entry.server, state.entry.started_at_ms) for state in states}
            reader.ended |= reader.registered - registered
            reader.registered = registered
            reader.ended |= {
                (state.entry.server, state.entry.started_at_ms)
                for state in states
                if state.entry.phase is ServerPhase.DRAINING
            }

    @invariant()
    def evacuation_holds(self) -> None:
        """An evacuation that was known stays in force while the operator wants it."""
        wanted = DOMAIN in self.wanted[Topic.EVACUATIONS]
        for reader in self.readers:
            if wanted and reader.known_evacuation == self.evacuation_count:
                assert reader.is_evacuated()

    def teardown(self) -> None:
        for _ in range(int(3 * HOLD_S / STEP_S)):
            self.pass_time()
        self.rewrite()
        for _ in range(int(3 * HOLD_S / STEP_S)):
            self.pass_time()
        expected = {
            (entry.server, entry.started_at_ms)
            for entry in self.wanted[Topic.SERVERS].values()
            if isinstance(entry, ServerEntry) and entry.phase is ServerPhase.READY
        }
        if DOMAIN in self.wanted[Topic.EVACUATIONS]:
            expected = set()
        for reader in self.readers:
            assert reader.usable() == expected
            wanted_config = self.wanted[Topic.CONFIGURATION]["main"]
            assert reader.routing_state.config.version == wanted_config.version


TestStoreReturns = StoreReturns.TestCase
TestStoreReturns.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)

"""Replication over a faulty network.

Checks invariant I8: the configuration of a node never reverts, and a version has the same
document on every node. Also checks that the nodes converge.
"""

import random
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from knapweeddock import confighistory
from knapweeddock.changes import Change, Head, VersionedDocument
from knapweeddock.confighistory import Progress
from knapweeddock.ids import ChangeId, FailureDomainId, Version, VmId
from knapweeddock.proto.knapweed_pb2 import ExchangeReply, ExchangeRequest, PushRequest
from knapweeddock.replication import OutgoingPush, ReplicationNode
from tests.test_records import make_member

DOMAIN_BY_VM = {"a": "d-1", "b": "d-1", "c": "d-1", "d": "d-2", "e": "d-2", "f": "d-3"}
INLINE_CHANGES = 3
vm_names = st.sampled_from(sorted(DOMAIN_BY_VM))


@dataclass
class Envelope:
    """A message in flight.

    Attributes:
        sender: VM of the sender.
        receiver: VM of the receiver.
        body: The message.
        peer_version: Configuration version of the replier, carried from the first to the
            second round of an exchange.
    """

    sender: str
    receiver: str
    body: ExchangeRequest | ExchangeReply | PushRequest
    peer_version: int | None = None


class SpreadMachine(RuleBasedStateMachine):
    """Nodes that replicate a configuration and their member records.

    The oracle knows only the accepted patches: the document at version v results from
    setting and removing their keys in order.
    """

    @initialize(seed=st.integers(0, 2**16), kept=st.sampled_from([0, 2]))
    def set_up(self, seed: int, kept: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.start_ms = 0
        self.patches: list[dict[str, int | None]] = []
        self.documents: list[dict[str, int]] = [{}]
        self.flight: list[Envelope] = []
        self.cut: set[str] = set()
        self.nodes: dict[str, ReplicationNode] = {}
        self.versions: dict[str, int] = {}
        self.stamps: dict[tuple[str, str], tuple[int, int]] = {}
        self.member_versions: dict[str, tuple[int, int]] = {}
        for vm in DOMAIN_BY_VM:
            self.start(vm)
        # Without this, most runs would end before the nodes know each other.
        members = [self.nodes[vm].store.records[f"member/{vm}"] for vm in DOMAIN_BY_VM]
        for node in self.nodes.values():
            node.merge(members, self.now)

        # With few or no changes in the history, peers often send whole documents.
        self.kept = pytest.MonkeyPatch()
        self.kept.setattr(confighistory, "MAX_KEPT_CHANGES", kept)

    def start(self, vm: str) -> None:
        domain = FailureDomainId(DOMAIN_BY_VM[vm])
        self.nodes[vm] = ReplicationNode(vm=VmId(vm), failure_domain=domain)
        self.versions[vm] = 0
        self.stamps = {place: stamp for place, stamp in self.stamps.items() if place[0] != vm}
        self.start_ms += 1
        self.publish(vm, self.start_ms, 1)

    def publish(self, vm: str, start: int, version: int) -> None:
        record = make_member(vm, domain=DOMAIN_BY_VM[vm], start=start, version=version)
        self.member_versions[vm] = (start, version)
        self.nodes[vm].merge([record], self.now)
        self.send(vm, self.nodes[vm].push_globally([record], self.rng))

    def send(self, sender: str, orders: list[OutgoingPush]) -> None:
        for order in orders:
            request = PushRequest()
            request.CopyFrom(order.request)
            if order.receiver_forwards:
                request.forward_to.extend(order.candidates[1:])
            self.flight.append(Envelope(sender, order.candidates[0], request))

    # Faults and inputs

    @rule(key=st.sampled_from("xyz"), value=st.none() | st.integers(0, 9), reader=vm_names)
    def accept_change(self, key: str, value: int | None, reader: str) -> None:
        document = dict(self.documents[-1])
        if value is None:
            document.pop(key, None)
        else:
            document[key] = value
        self.patches.append({key: value})
        self.documents.append(document)
        self.read_platform(reader, 0)

    @precondition(lambda self: self.patches)
    @rule(vm=vm_names, lag=st.integers(0, 4))
    def read_platform(self, vm: str, lag: int) -> None:
        """The response may be stale; a node that lacks changes reads the snapshot."""
        version = max(1, len(self.patches) - lag)
        first = max(1, version - INLINE_CHANGES + 1)
        changes = [
            Change(
                version=Version(n),
                change_id=ChangeId(str(n)),
                operator="o",
                at=0.0,
                patch=self.patches[n - 1],
            )
            for n in range(first, version + 1)
        ]
        history = self.nodes[vm].history
        before = history.version
        progress = history.take_head(Head(version=Version(version), changes=changes))
        if progress is Progress.GAP:
            document = msgspec.json.decode(msgspec.json.encode(self.documents[version]))
            progress = history.take_snapshot(
                VersionedDocument(version=Version(version), document=document)
            )
        if progress is Progress.ADVANCED:
            news = self.nodes[vm].config_push_records(before)
            self.send(vm, self.nodes[vm].push_globally(news, self.rng))

    @rule(vm=vm_names)
    def change_member(self, vm: str) -> None:
        start, version = self.member_versions[vm]
        self.publish(vm, start, version + 1)

    @rule(vm=vm_names, peer=vm_names)
    def restart(self, vm: str, peer: str) -> None:
        self.start(vm)
        self.start_comparison(vm, peer)

    @rule(vm=vm_names)
    def cut_off(self, vm: str) -> None:
        self.cut.add(vm)

    @rule(vm=vm_names)
    def reconnect(self, vm: str) -> None:
        self.cut.discard(vm)

    @rule(one=vm_names, other=vm_names)
    def start_comparison(self, one: str, other: str) -> None:
        if one != other:
            node = self.nodes[one]
            self.flight.append(
                Envelope(one, other, node.add_heartbeats(node.build_digest_request()))
            )

    @precondition(lambda self: self.flight)
    @rule(count=st.integers(1, 8), fate=st.sampled_from(["once", "twice", "lost"]))
    def deliver(self, count: int, fate: str) -> None:
        """Deliver messages in any order; a duplicated message stays in flight."""
        for _ in range(count):
            if not self.flight:
                return
            position = self.rng.randrange(len(self.flight))
            envelope = self.flight[position]
            if fate != "twice":
                del self.flight[position]
            if fate != "lost":
                self.receive(envelope)

    @rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for node in self.nodes.values():
            node.members.update_suspicion(self.now)

    # Network

    def receive(self, envelope: Envelope) -> None:
        if envelope.sender in self.cut or envelope.receiver in self.cut:
            return
        node = self.nodes[envelope.receiver]
        match envelope.body:
            case PushRequest() as push:
                taken = node.merge(push.records, self.now)
                assert not taken.errors
                self.send(envelope.receiver, node.forward(push, taken, self.rng))
            case ExchangeRequest() as request:
                reply = node.handle_exchange(request, self.now)
                self.flight.append(
                    Envelope(envelope.receiver, envelope.sender, reply, envelope.peer_version)
                )
            case ExchangeReply() as reply:
                self.receive_reply(node, envelope, reply)

    def receive_reply(
        self, node: ReplicationNode, envelope: Envelope, reply: ExchangeReply
    ) -> None:
        assert not node.merge(reply.records, self.now).errors
        sender = envelope.sender
        if envelope.peer_version is None:
            second = node.build_version_request(reply, self.now)
            if second is not None:
                self.flight.append(Envelope(node.vm, sender, second, reply.config_version))
                return
        version = envelope.peer_version or reply.config_version
        push = node.repair_push(reply.wanted, version)
        if push is not None:
            self.flight.append(Envelope(node.vm, sender, push))

    # Invariants

    @invariant()
    def versions_never_fall(self) -> None:
        for vm, node in getattr(self, "nodes", {}).items():
            assert node.history.version >= self.versions[vm]
            self.versions[vm] = node.history.version

    @invariant()
    def records_never_go_back(self) -> None:
        for vm, node in getattr(self, "nodes", {}).items():
            for key, record in node.store.records.items():
                stamp = (record.incarnation_start_ms, record.version)
                assert stamp >= self.stamps.get((vm, key), (0, 0))
                self.stamps[vm, key] = stamp

    @invariant()
    def a_version_is_one_document(self) -> None:
        for node in getattr(self, "nodes", {}).values():
            assert node.history.document == self.documents[node.history.version]

    @rule()
    def converge(self) -> None:
        """Without message loss, all nodes become equal within a bounded number of ticks."""
        self.cut.clear()
        for tick in range(12):
            for vm, node in self.nodes.items():
                peers = node.exchange_peers(tick, self.rng) or ["a" if vm != "a" else "d"]
                for peer in peers:
                    self.start_comparison(vm, peer)
            while self.flight:
                self.receive(self.flight.pop(0))
        newest = max(node.history.version for node in self.nodes.values())
        for node in self.nodes.values():
            assert node.history.version == newest
            held = {
                vm: (record.incarnation_start_ms, record.version)
                for vm in DOMAIN_BY_VM
                if (record := node.store.records.get(f"member/{vm}"))
            }
            assert held == self.member_versions
            assert node.store.root_digest == self.nodes["a"].store.root_digest

    def teardown(self) -> None:
        if hasattr(self, "nodes"):
            self.converge()
            self.kept.undo()


SpreadMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=80,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestSpread = SpreadMachine.TestCase

"""Replication of records and configuration to every agent: push trees and anti-entropy.

A change is pushed at once, along a tree in the agent's own failure domain and to
one agent of every other domain. Anti-entropy exchanges with random peers repair
what pushes missed. An exchange has up to two rounds. The first request carries the
configuration version, digests and, within a domain, heartbeats. Its reply carries
configuration that the requester lacks and, if the digests differ, the digest of
each bucket (the global or the local records of one domain). Only if a bucket
differs, the second request lists the record versions held in such buckets, and its
reply carries newer records. The requester then pushes what the replier lacks.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from knapweeddock.codes import ResultCode
from knapweeddock.confighistory import ConfigHistory, Progress
from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.membership import SMALL_DOMAIN_MEMBERS, MemberTable
from knapweeddock.proto.knapweed_pb2 import (
    DomainDigest,
    ExchangeReply,
    ExchangeRequest,
    PushRequest,
    Record,
)
from knapweeddock.records import (
    LOCAL_SUFFIX,
    RecordStore,
    local_bucket,
    record_bucket,
    validate_record,
)
from knapweeddock.rendezvous import hash_parts

WATCHERS_PER_DOMAIN = 2
"""Agents of a domain that watch the configuration and the VM list of the platform; the
second is for redundancy."""

TREE_FAN_OUT = 4
"""Children of a node in a push tree. With 5,500 members, the tree of a domain has at
most 4 levels, counting the root, as a domain has about 59 of them."""

CONFIG_KEY = "config"
"""Key of a record that carries configuration. Such records are never stored."""

MAX_RECORDS_PER_MESSAGE = 20_000
"""Largest number of records merged from one message; the rest are reported as one
error. The first exchange of a new agent may carry all records."""

MAX_FORWARD_MEMBERS = 2_000
"""Largest number of members that one push is forwarded to."""


def rank_by_hash(key: str, vms: Iterable[VmId]) -> list[VmId]:
    """Return ``vms`` ranked by rendezvous hashing for ``key``."""
    return sorted(vms, key=lambda vm: (-hash_parts(key, vm), vm))


def select_watchers(failure_domain: FailureDomainId, vms: Iterable[VmId]) -> list[VmId]:
    """Return the agents of a domain that watch the platform, in order of preference."""
    return rank_by_hash(f"watch\0{failure_domain}", vms)[:WATCHERS_PER_DOMAIN]


def split_into_subtrees(vms: list[VmId]) -> list[list[VmId]]:
    """Split the descendants of a node into at most ``TREE_FAN_OUT`` subtrees of similar size.

    The first member of each subtree receives the push and forwards it to the rest.
    """
    return [vms[start::TREE_FAN_OUT] for start in range(min(TREE_FAN_OUT, len(vms)))]


@dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingPush:
    """A push to be sent.

    Attributes:
        candidates: Possible receivers in order of preference. The push goes to
            the first one that responds.
        request: The message, without ``forward_to``.
        receiver_forwards: Whether the receiver forwards the push to the
            candidates after it.
    """

    candidates: list[VmId]
    request: PushRequest
    receiver_forwards: bool


@dataclass(kw_only=True, slots=True)
class MergeResult:
    """Result of merging the records of one message.

    Attributes:
        changed: Records that were newer than those in the store.
        config_progress: Effect of the configuration record of the message, the last
            one if there are several.
        errors: Errors of individual records; the others were merged.
    """

    changed: list[Record] = field(default_factory=list)
    config_progress: Progress = Progress.UNCHANGED
    errors: list[MessageError] = field(default_factory=list)


class ReplicationNode:
    """The records, configuration and members of one agent.

    Attributes:
        vm: The VM of the agent.
        failure_domain: Its failure domain.
        store: Its records.
        history: Its configuration, with recent changes.
        members: Its view of the members.
        is_synced: Whether the records count as complete: an exchange with a
            synced peer has succeeded, or the wait for one has timed out.
    """

    def __init__(self, *, vm: VmId, failure_domain: FailureDomainId) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.store = RecordStore()
        self.history = ConfigHistory()
        self.members = MemberTable(vm=vm, failure_domain=failure_domain, store=self.store)
        self.is_synced = False

    # Records

    def merge(self, records: Iterable[Record], now: float) -> MergeResult:
        """Merge the records of a message, so that an invalid one does not affect the others."""
        result = MergeResult()
        for position, record in enumerate(records):
            if position >= MAX_RECORDS_PER_MESSAGE:
                result.errors.append(
                    MessageError("message has too many records", code=ResultCode.TOO_LARGE)
                )
                break
            try:
                self._merge_record(record, result, now)
            except MessageError as error:
                result.errors.append(error)
        return result

    def _merge_record(self, record: Record, result: MergeResult, now: float) -> None:
        if record.WhichOneof("payload") == "config":
            result.config_progress = self.history.take_record(record.config)
            return
        validate_record(record)
        if not self._holds_bucket(record_bucket(record)):
            return
        if self.store.merge(record):
            self.members.apply_record(record, now)
            result.changed.append(record)

    def _holds_bucket(self, bucket: str) -> bool:
        is_local = bucket.endswith(LOCAL_SUFFIX)
        return not is_local or bucket == local_bucket(self.failure_domain)

    def config_records_after(self, version: int) -> list[Record]:
        """Return the record that brings a node at ``version`` up to date, or an empty list."""
        update = self.history.since(version)
        return [Record(key=CONFIG_KEY, config=update)] if update else []

    def config_push_records(self, previous_version: int) -> list[Record]:
        """Return the record to push after the configuration advanced.

        It carries the changes. If the history no longer reaches back to
        ``previous_version``, it carries only the version, and receivers that lack
        that version get the document in an exchange.

        Args:
            previous_version: Version before the advance.
        """
        records = self.config_records_after(previous_version)
        for record in records:
            record.config.document = b""
        return records

    # Anti-entropy

    def build_digest_request(self) -> ExchangeRequest:
        """Return the request of the first round of an exchange."""
        return ExchangeRequest(
            vm=self.vm,
            failure_domain=self.failure_domain,
            config_version=self.history.version,
            root=self.store.root_digest,
            local=self.store.digest(local_bucket(self.failure_domain)),
        )

    def add_heartbeats(self, request: ExchangeRequest) -> ExchangeRequest:
        """Add heartbeat counters to ``request``, for a peer of the same domain, and return it."""
        request.heartbeats.CopyFrom(self.members.heartbeats.to_message())
        return request

    def handle_exchange(self, request: ExchangeRequest, now: float) -> ExchangeReply:
        """Return the reply to a request of either round of an exchange."""
        reply = ExchangeReply(config_version=self.history.version, is_synced=self.is_synced)
        is_same_domain = request.failure_domain == self.failure_domain
        if request.second_round:
            self._fill_differences(request, reply)
            return reply
        if is_same_domain:
            self.members.heartbeats.merge(request.heartbeats, now)
            reply.heartbeats.CopyFrom(self.members.heartbeats.to_message())
        reply.records.extend(self.config_records_after(request.config_version))
        local = self.store.digest(local_bucket(self.failure_domain))
        if request.root != self.store.root_digest or (is_same_domain and request.local != local):
            reply.digests.extend(self._digest_messages(with_local=is_same_domain))
        return reply

    def _digest_messages(self, *, with_local: bool) -> list[DomainDigest]:
        digests = self.store.global_digests()
        if with_local:
            bucket = local_bucket(self.failure_domain)
            digests[bucket] = self.store.digest(bucket)
        # ``failure_domain`` carries the name of a bucket, which may be a local one.
        return [DomainDigest(failure_domain=name, digest=value) for name, value in digests.items()]

    def build_version_request(self, reply: ExchangeReply, now: float) -> ExchangeRequest | None:
        """Merge the heartbeats of ``reply`` and build the request of the second round.

        Returns:
            The request, or None if no bucket differs.
        """
        self.members.heartbeats.merge(reply.heartbeats, now)
        peer_digests = {digest.failure_domain: digest.digest for digest in reply.digests}
        if not peer_digests:
            return None
        buckets = set(peer_digests) | set(self.store.global_digests())
        differing = sorted(
            name
            for name in buckets
            if self._holds_bucket(name) and peer_digests.get(name, 0) != self.store.digest(name)
        )
        if not differing:
            return None
        request = ExchangeRequest(
            vm=self.vm,
            failure_domain=self.failure_domain,
            config_version=self.history.version,
            second_round=True,
            failure_domains=differing,
        )
        for name in differing:
            request.have.extend(self.store.key_versions(name))
        return request

    def _fill_differences(self, request: ExchangeRequest, reply: ExchangeReply) -> None:
        peer_stamps = {
            version.key: (version.incarnation_start_ms, version.version) for version in request.have
        }
        for bucket in request.failure_domains:
            if not self._holds_bucket(bucket):
                continue
            for key in self.store.keys_in(bucket):
                record = self.store.records[key]
                stamp = (record.incarnation_start_ms, record.version)
                if peer_stamps.get(key, (0, 0)) < stamp:
                    reply.records.append(record)
        for key, stamp in peer_stamps.items():
            held = self.store.records.get(key)
            if held is not None and (held.incarnation_start_ms, held.version) >= stamp:
                continue
            if not self.store.has_tombstone(key, *stamp):
                reply.wanted.append(key)

    def repair_push(self, wanted_keys: Iterable[str], peer_version: int) -> PushRequest | None:
        """Return a push of what the replier of an exchange lacks, or None."""
        records = [self.store.records[key] for key in wanted_keys if key in self.store.records]
        records.extend(self.config_records_after(peer_version))
        return PushRequest(vm=self.vm, records=records) if records else None

    def exchange_peers(self, tick: int, rng: random.Random) -> list[VmId]:
        """Return the members to start an exchange with in one tick; ticks are 1 s apart.

        Even ticks choose a peer of the same domain, odd ones a member of another
        domain; where there is none of one kind, every tick chooses the other kind.
        In a small domain every tick also chooses a peer of the domain, so that
        heartbeats arrive well within ``SUSPICION_TIMEOUT_S``.
        """
        peers = self.members.domain_peers()
        domains = self.members.remote_domains()
        is_small = len(peers) < SMALL_DOMAIN_MEMBERS
        chosen = []
        if peers and (is_small or tick % 2 == 0 or not domains):
            chosen.append(rng.choice(peers))
        if domains and (tick % 2 == 1 or not peers):
            remote = self.members.remote_members(rng.choice(domains))
            if remote:
                chosen.append(rng.choice(remote))
        return chosen

    # Push

    def push_globally(self, records: list[Record], rng: random.Random) -> list[OutgoingPush]:
        """Return the pushes that send records to every failure domain."""
        pushes = self.push_in_domain(records, rng)
        request = PushRequest(vm=self.vm, records=records, start_tree=True)
        for domain in self.members.remote_domains():
            candidates = self.members.remote_members(domain)
            rng.shuffle(candidates)
            if candidates:
                pushes.append(
                    OutgoingPush(candidates=candidates, request=request, receiver_forwards=False)
                )
        return pushes

    def push_in_domain(self, records: list[Record], rng: random.Random) -> list[OutgoingPush]:
        """Return the pushes that start a new tree in the agent's own domain."""
        peers = self.members.responsive_peers()
        rng.shuffle(peers)
        overdue = sorted(set(self.members.domain_peers()) - set(peers))
        return self._subtree_pushes(peers + overdue, PushRequest(vm=self.vm, records=records))

    def _subtree_pushes(self, vms: list[VmId], request: PushRequest) -> list[OutgoingPush]:
        return [
            OutgoingPush(candidates=subtree, request=request, receiver_forwards=True)
            for subtree in split_into_subtrees(vms)
        ]

    def forward(
        self, request: PushRequest, result: MergeResult, rng: random.Random
    ) -> list[OutgoingPush]:
        """Return the pushes to send after receiving one.

        If ``start_tree`` is set, start a tree in the agent's own domain with the
        records that were new and the configuration that advanced here. Configuration
        that left a gap starts no tree. Otherwise, forward all records of the push to
        ``forward_to``, even if none was new: the descendants may lack them.
        """
        if request.start_tree:
            new_records = list(result.changed)
            if result.config_progress is Progress.ADVANCED:
                new_records.extend(
                    record for record in request.records if record.HasField("config")
                )
            return self.push_in_domain(new_records, rng) if new_records else []
        vms = [VmId(vm) for vm in request.forward_to[:MAX_FORWARD_MEMBERS] if vm != self.vm]
        return self._subtree_pushes(vms, PushRequest(vm=self.vm, records=request.records))

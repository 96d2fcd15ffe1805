"""Core of an agent: merges records, publishes its own, pushes and runs exchanges.

:mod:`knapweeddock.replication` decides what is sent to which peer. This module sends it
over the connections to the peers.
"""

import asyncio
import random
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

from knapweeddock.agent.chunkstore import ChunkStore
from knapweeddock.agent.localmember import LocalMember
from knapweeddock.agent.peers import PeerClients
from knapweeddock.agent.subscriptions import Subscriptions
from knapweeddock.clock import Clock
from knapweeddock.confighistory import Progress
from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.ids import Incarnation, VmId
from knapweeddock.membership import make_down_record
from knapweeddock.oncelog import OnceLog
from knapweeddock.proto.knapweed_pb2 import MemberRecord, PushRequest, Record, ReportRequest
from knapweeddock.records import down_key
from knapweeddock.replication import MergeResult, OutgoingPush, ReplicationNode

MAX_BACKGROUND_TASKS = 500
"""Number of running pushes and exchanges from which new pushes are dropped and left to
anti-entropy. Exchanges start regardless of it."""

MAX_PUSH_RECEIVERS = 3
"""Receivers tried for one push before it is dropped and left to anti-entropy."""

CLOSE_TIMEOUT_S = 1.0
"""Time for which running pushes may finish when the agent stops, in seconds."""

log = structlog.get_logger(__name__)


class AgentCore:
    """The state of an agent and its traffic with peers.

    Attributes:
        node: Records, configuration and members.
        local_member: The records published about this VM.
        clock: Time source.
        rng: Random generator for the choice of peers.
        peers: Connections to other agents.
        subscriptions: Streams to local processes.
        chunks: Chunks of the block tables.
        config_changed: Set when the configuration document changed.
        once_log: Log of problems caused by peers, each logged once.
        synced: Set once ``node.is_synced`` is true.
        exchanges_succeeded: Number of exchanges that succeeded.
        exchanges_failed: Number of exchanges that failed.
    """

    def __init__(
        self, *, node: ReplicationNode, local_member: LocalMember, clock: Clock, rng: random.Random
    ) -> None:
        self.node = node
        self.local_member = local_member
        self.clock = clock
        self.rng = rng
        self.peers = PeerClients()
        self.subscriptions = Subscriptions()
        self.chunks = ChunkStore()
        self.config_changed = asyncio.Event()
        self.once_log = OnceLog(log=log)
        self.synced = asyncio.Event()
        self.exchanges_succeeded = 0
        self.exchanges_failed = 0
        self._exchanging_with: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    # State

    def merge(self, records: Iterable[Record], source: str) -> MergeResult:
        """Merge records from a peer and notify the subscribers.

        Args:
            records: The records.
            source: Address or VM of the peer, for the log.
        """
        result = self.node.merge(records, self.clock.monotonic())
        for error in result.errors:
            self.once_log.peer_error(source, error)
        for record in result.changed:
            if self._describes_local_vm(record):
                self.local_member.observe_record(record)
        self.publish_and_notify(config_changed=result.config_progress is Progress.ADVANCED)
        return result

    def _describes_local_vm(self, record: Record) -> bool:
        is_member = record.HasField("member") and record.member.vm == self.node.vm
        return is_member or (record.HasField("detail") and record.detail.vm == self.node.vm)

    def publish_and_notify(self, *, config_changed: bool = False) -> None:
        """Publish the records of this VM that are due and notify the subscribers of changes."""
        self._publish_local_member()
        if config_changed:
            self.config_changed.set()
        changed = self.node.members.pop_changed()
        if changed or config_changed:
            self.subscriptions.notify(changed)

    def _publish_local_member(self) -> None:
        now = self.clock.monotonic()
        members = self.node.members
        publication = self.local_member.publish(
            now,
            member_count=max(1, len(members.views)),
            domain_size=max(1, len(members.by_domain.get(self.node.failure_domain, ()))),
            may_publish_joining=self.node.is_synced,
            previous_terminated=self._has_previous_entry_terminated(),
        )
        self.node.merge(publication.global_records + publication.domain_records, now)
        if publication.global_records:
            self.start_pushes(self.node.push_globally(publication.global_records, self.rng))
        if publication.domain_records:
            self.start_pushes(self.node.push_in_domain(publication.domain_records, self.rng))

    def _has_previous_entry_terminated(self) -> bool:
        previous = self.local_member.previous_member
        if previous is None or not previous.entry_incarnation or previous.state == "left":
            return True
        key = down_key(self.node.vm, Incarnation(previous.entry_incarnation))
        return key in self.node.store.records

    def mark_down(self, member: MemberRecord, evidence: str) -> None:
        """Publish that an entry process has terminated.

        Args:
            member: Member record of the entry.
            evidence: Reason, as stored in the down record.
        """
        log.warning(
            "entry marked down",
            member=member.vm,
            incarnation=member.entry_incarnation,
            evidence=evidence,
        )
        self.publish(make_down_record(member, evidence))

    def publish(self, record: Record) -> None:
        """Merge a record created by this agent and push it to every agent that needs it."""
        result = self.node.merge([record], self.clock.monotonic())
        if not result.changed:
            return
        if record.HasField("leaving"):
            self.start_pushes(self.node.push_in_domain([record], self.rng))
        else:
            self.start_pushes(self.node.push_globally([record], self.rng))
        self.publish_and_notify()

    def distribute_config(self, previous_version: int) -> None:
        """Send a newer configuration to the subscribers and peers.

        Args:
            previous_version: Version in force before.
        """
        self.publish_and_notify(config_changed=True)
        self.start_pushes(
            self.node.push_globally(self.node.config_push_records(previous_version), self.rng)
        )

    def mark_synced(self) -> None:
        """Mark the state as complete and start sending it to local processes.

        Sending an incomplete state after a restart would make them remove members.
        """
        self.node.is_synced = True
        self.synced.set()

    def accept_report(self, request: ReportRequest) -> None:
        """Accept a report of a local process, including a newer configuration in it.

        If all agents restart during an outage of the platform, only the local
        processes still have the configuration.

        Raises:
            MessageError: The report is malformed.
        """
        self.local_member.accept_report(request, self.clock.monotonic())
        history = self.node.history
        previous_version = history.version
        if request.document:
            history.take_document(request.config_version, request.document)
        if history.version > previous_version:
            log.info("configuration in force", version=history.version, source=request.role)
            self.distribute_config(previous_version)
        else:
            self.publish_and_notify()

    # Traffic

    def start_pushes(self, pushes: list[OutgoingPush]) -> None:
        """Start pushes in the background."""
        for push in pushes:
            if len(self._tasks) >= MAX_BACKGROUND_TASKS:
                self.once_log.warn_once(
                    "push", "push dropped: too many background tasks; anti-entropy will repair"
                )
                return
            self._start_task(self._send_push(push))

    async def _send_push(self, push: OutgoingPush) -> None:
        for position, vm in enumerate(push.candidates[:MAX_PUSH_RECEIVERS]):
            address = self.node.members.agent_address(vm)
            if not address:
                continue
            request = PushRequest()
            request.CopyFrom(push.request)
            if push.receiver_forwards:
                request.forward_to.extend(push.candidates[position + 1 :])
            try:
                await self.peers.push(address, request)
            except PeerUnavailable as error:
                log.debug("push failed", peer=vm, error=str(error))
                continue
            except MessageError as error:
                self.once_log.peer_error(address, error)
            return

    async def exchange(self, address: str) -> None:
        """Run an anti-entropy exchange with the agent at ``address``.

        Raises:
            PeerUnavailable: The agent did not respond.
            MessageError: The agent rejected a message.
        """
        node = self.node
        request = node.add_heartbeats(node.build_digest_request())
        reply = await self.peers.exchange(address, request)
        new_records = self._merge_reply(reply.records, address)
        peer_version = reply.config_version
        wanted_keys: list[str] = []
        version_request = node.build_version_request(reply, self.clock.monotonic())
        if version_request is not None:
            reply = await self.peers.exchange(address, version_request)
            new_records += self._merge_reply(reply.records, address)
            wanted_keys = list(reply.wanted)
        if reply.is_synced:
            self.mark_synced()
        push = node.repair_push(wanted_keys, peer_version)
        if push is not None:
            await self.peers.push(address, push)
        if new_records and not self._is_domain_peer(address):
            self.start_pushes(node.push_in_domain(new_records, self.rng))

    def _merge_reply(self, records: Iterable[Record], address: str) -> list[Record]:
        previous_version = self.node.history.version
        result = self.merge(records, address)
        new_records = list(result.changed)
        if result.config_progress is Progress.ADVANCED:
            new_records.extend(self.node.config_push_records(previous_version))
        return new_records

    def _is_domain_peer(self, address: str) -> bool:
        peers = self.node.members.domain_peers()
        return any(self.node.members.agent_address(vm) == address for vm in peers)

    def accept_push(self, request: PushRequest) -> MergeResult:
        """Merge a push and forward it; fetch the configuration if it shows a gap."""
        result = self.merge(request.records, request.vm)
        self.start_pushes(self.node.forward(request, result, self.rng))
        if result.config_progress is Progress.GAP:
            address = self.node.members.agent_address(VmId(request.vm))
            if address:
                self.start_exchange(address)
        return result

    def start_exchange(self, address: str) -> None:
        """Start an exchange in the background unless one with the agent is running.

        A peer that does not respond delays neither heartbeats nor other exchanges.
        """
        if address in self._exchanging_with:
            return
        self._exchanging_with.add(address)
        self._start_task(self._try_exchange(address))

    async def _try_exchange(self, address: str) -> None:
        try:
            await self.exchange(address)
        except PeerUnavailable as error:
            log.debug("exchange failed", peer=address, error=str(error))
            self.exchanges_failed += 1
        except MessageError as error:
            self.once_log.peer_error(address, error)
            self.exchanges_failed += 1
        else:
            self.exchanges_succeeded += 1
            self.publish_and_notify()
        finally:
            self._exchanging_with.discard(address)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())

    async def close(self) -> None:
        """Wait for running pushes, such as that of a ``left`` state, and close connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.peers.close()

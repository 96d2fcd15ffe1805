"""What an agent does with messages: merge, publish, push and compare.

The decisions are those of :mod:`knapweeddock.spread`; this module carries
them out over the connections to the peers.
"""

import asyncio
import random
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

from knapweeddock.agent.chunkstore import ChunkStore
from knapweeddock.agent.ownmember import OwnMember
from knapweeddock.agent.peers import PeerClients
from knapweeddock.agent.subscriptions import Subscriptions
from knapweeddock.clock import Clock
from knapweeddock.confighistory import Progress
from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.ids import Incarnation, VmId
from knapweeddock.membership import down_record
from knapweeddock.oncelog import OnceLog
from knapweeddock.proto.knapweed_pb2 import MemberRecord, PushRequest, Record, ReportRequest
from knapweeddock.records import down_key
from knapweeddock.spread import MergeResult, OutgoingPush, SpreadNode

MAX_TASKS = 500
"""Pushes and comparisons under way at a time; more pushes are left to the comparisons."""

PUSH_TRIES = 3
"""Receivers tried for one push before it is left to the comparisons."""

CLOSE_WAIT_S = 1.0
"""Longest time to finish pushes when the agent stops."""

log = structlog.get_logger(__name__)


class AgentCore:
    """The state of an agent and its traffic with peers.

    Attributes:
        node: Records, configuration and members.
        own: What is published about this VM.
        subscriptions: Streams to local processes.
        chunks: Chunks of the block tables.
        config_changed: Set when the configuration document changed.
        once: Problems of peers, each logged once.
        synced: Set when ``node.is_synced`` is.
        comparisons_done: Number of comparisons that succeeded.
        comparisons_failed: Number of comparisons that failed.
    """

    def __init__(
        self, *, node: SpreadNode, own: OwnMember, clock: Clock, rng: random.Random
    ) -> None:
        self.node = node
        self.own = own
        self.clock = clock
        self.rng = rng
        self.peers = PeerClients()
        self.subscriptions = Subscriptions()
        self.chunks = ChunkStore()
        self.config_changed = asyncio.Event()
        self.once = OnceLog(log=log)
        self.synced = asyncio.Event()
        self.comparisons_done = 0
        self.comparisons_failed = 0
        self._comparing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    # State

    def take(self, records: Iterable[Record], source: str) -> MergeResult:
        """Merge records of a peer and tell the subscribers."""
        taken = self.node.take(records, self.clock.monotonic())
        for error in taken.errors:
            self.once.peer_error(source, error)
        for record in taken.changed:
            if self._is_own(record):
                self.own.observe(record)
        self.settle(config_changed=taken.config is Progress.ADVANCED)
        return taken

    def _is_own(self, record: Record) -> bool:
        is_member = record.HasField("member") and record.member.vm == self.node.vm
        return is_member or (record.HasField("detail") and record.detail.vm == self.node.vm)

    def settle(self, *, config_changed: bool = False) -> None:
        """Publish what is due of the own VM and tell the subscribers what changed."""
        self._publish_own()
        if config_changed:
            self.config_changed.set()
        changed = self.node.members.pop_changed()
        if changed or config_changed:
            self.subscriptions.notify(changed)

    def _publish_own(self) -> None:
        now = self.clock.monotonic()
        members = self.node.members
        publication = self.own.publish(
            now,
            fleet=max(1, len(members.views)),
            domain=max(1, len(members.by_domain.get(self.node.failure_domain, ()))),
            may_join=self.node.is_synced,
            earlier_gone=self._is_earlier_gone(),
        )
        self.node.take(publication.everywhere + publication.in_domain, now)
        if publication.everywhere:
            self.send(self.node.push_globally(publication.everywhere, self.rng))
        if publication.in_domain:
            self.send(self.node.push_in_domain(publication.in_domain, self.rng))

    def _is_earlier_gone(self) -> bool:
        earlier = self.own.earlier
        if earlier is None or not earlier.entry_incarnation or earlier.state == "left":
            return True
        key = down_key(self.node.vm, Incarnation(earlier.entry_incarnation))
        return key in self.node.store.records

    def mark_down(self, member: MemberRecord, evidence: str) -> None:
        """Publish that an entry process is gone."""
        log.warning(
            "entry is down",
            member=member.vm,
            incarnation=member.entry_incarnation,
            evidence=evidence,
        )
        self.publish(down_record(member, evidence))

    def publish(self, record: Record) -> None:
        """Merge a record made here and push it to every node that needs it."""
        taken = self.node.take([record], self.clock.monotonic())
        if not taken.changed:
            return
        if record.HasField("leaving"):
            self.send(self.node.push_in_domain([record], self.rng))
        else:
            self.send(self.node.push_globally([record], self.rng))
        self.settle()

    def config_advanced(self, before: int) -> None:
        """Tell subscribers and peers about a version that the platform gave."""
        self.settle(config_changed=True)
        self.send(self.node.push_globally(self.node.config_push_records(before), self.rng))

    def mark_synced(self) -> None:
        """Let local processes have the state, which is complete now.

        An incomplete one after a restart would tell them that members are gone.
        """
        self.node.is_synced = True
        self.synced.set()

    def take_report(self, request: ReportRequest) -> None:
        """Take a report of a local process, and the configuration that it has.

        All agents may have restarted in an outage of the platform; the local
        processes then hold the only copies.

        Raises:
            MessageError: The report is malformed.
        """
        self.own.report(request, self.clock.monotonic())
        history = self.node.history
        before = history.version
        if request.document:
            history.take_document(request.config_version, request.document)
        if history.version > before:
            log.info("configuration in force", version=history.version, source=request.role)
            self.config_advanced(before)
        else:
            self.settle()

    # Traffic

    def send(self, orders: list[OutgoingPush]) -> None:
        """Start pushes without waiting for them."""
        for order in orders:
            if len(self._tasks) >= MAX_TASKS:
                self.once.warn_once("push", "too many pushes under way; comparisons will repair")
                return
            self._start(self._push(order))

    async def _push(self, order: OutgoingPush) -> None:
        for position, vm in enumerate(order.candidates[:PUSH_TRIES]):
            address = self.node.members.agent_address(vm)
            if not address:
                continue
            request = PushRequest()
            request.CopyFrom(order.request)
            if order.receiver_forwards:
                request.forward_to.extend(order.candidates[position + 1 :])
            try:
                await self.peers.push(address, request)
            except PeerUnavailable as error:
                log.debug("push failed", peer=vm, error=str(error))
                continue
            except MessageError as error:
                self.once.peer_error(address, error)
            return

    async def compare(self, address: str) -> None:
        """Compare records and configuration with the agent at ``address``.

        Raises:
            PeerUnavailable: The agent did not answer.
            MessageError: The agent refused a message.
        """
        node = self.node
        request = node.with_heartbeats(node.first_request())
        reply = await self.peers.exchange(address, request)
        changed = self._take_compared(reply.records, address)
        peer_version = reply.config_version
        wanted: list[str] = []
        second = node.second_request(reply, self.clock.monotonic())
        if second is not None:
            reply = await self.peers.exchange(address, second)
            changed += self._take_compared(reply.records, address)
            wanted = list(reply.wanted)
        if reply.is_synced:
            self.mark_synced()
        push = node.repair_push(wanted, peer_version)
        if push is not None:
            await self.peers.push(address, push)
        if changed and not self._is_neighbour(address):
            self.send(node.push_in_domain(changed, self.rng))

    def _take_compared(self, records: Iterable[Record], address: str) -> list[Record]:
        before = self.node.history.version
        taken = self.take(records, address)
        news = list(taken.changed)
        if taken.config is Progress.ADVANCED:
            news.extend(self.node.config_push_records(before))
        return news

    def _is_neighbour(self, address: str) -> bool:
        neighbours = self.node.members.domain_peers()
        return any(self.node.members.agent_address(vm) == address for vm in neighbours)

    def receive_push(self, request: PushRequest) -> MergeResult:
        """Take a push, pass it on and fetch what it shows to be missing."""
        taken = self.take(request.records, request.vm)
        self.send(self.node.forward(request, taken, self.rng))
        if taken.config is Progress.GAP:
            address = self.node.members.agent_address(VmId(request.vm))
            if address:
                self.start_comparison(address)
        return taken

    def start_comparison(self, address: str) -> None:
        """Compare with an agent in the background, unless that is under way.

        A silent peer then delays neither the heartbeats nor other comparisons.
        """
        if address in self._comparing:
            return
        self._comparing.add(address)
        self._start(self._compare_once(address))

    async def _compare_once(self, address: str) -> None:
        try:
            await self.compare(address)
        except PeerUnavailable as error:
            log.debug("comparison failed", peer=address, error=str(error))
            self.comparisons_failed += 1
        except MessageError as error:
            self.once.peer_error(address, error)
            self.comparisons_failed += 1
        else:
            self.comparisons_done += 1
            self.settle()
        finally:
            self._comparing.discard(address)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())

    async def close(self) -> None:
        """Finish pushes, such as that of a member that left, and close connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_WAIT_S)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.peers.close()

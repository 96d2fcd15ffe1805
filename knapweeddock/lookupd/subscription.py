"""Subscription to the node state of the local agent, with failover to other agents.

The last state stays in use while no agent is reachable. A stream without messages for
``STREAM_TIMEOUT_S`` is replaced by a new connection.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import structlog
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from knapweeddock.agent.peers import split_address
from knapweeddock.errors import ConfigError, MessageError, PeerUnavailable
from knapweeddock.ids import VmId
from knapweeddock.lookup import Lookup
from knapweeddock.proto.knapweed_grpc import NodeStub
from knapweeddock.proto.knapweed_pb2 import NodeStateMessage, ReportRequest, SubscribeRequest
from knapweeddock.state import MemberState, NodeState
from knapweeddock.statecodec import state_from_message, with_newest_config

STREAM_TIMEOUT_S = 3.0
"""Time without a message after which a stream is closed, in seconds. The agent sends a
message at least every second."""

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0

FAILBACK_INTERVAL_S = 10.0
"""Time after which a subscription to another agent ends and the local one is tried again,
in seconds."""

ROLE = "lookup"

log = structlog.get_logger(__name__)


class StateSubscriber:
    """Keeps the state of a ``Lookup`` up to date.

    Attributes:
        agents: Addresses of the agents in order of preference; the first is local.
        lookup: The look-up that uses the state.
        connected_agent: Address of the agent that the stream comes from, or "".
        document: The newest configuration document as JSON.
        document_version: Configuration version of ``document``.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        agents: list[str],
        lookup: Lookup,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.agents = agents
        self.lookup = lookup
        self.rng = rng
        self.connected_agent = ""
        self.document = b""
        self.document_version = 0
        self._backoff_s = MIN_BACKOFF_S

    async def run(self) -> None:
        """Subscribe to the first agent that responds, in order of preference, until cancelled."""
        while True:
            for address in self.agents:
                initial_state = self.lookup.state
                try:
                    await self._subscribe(address)
                except (PeerUnavailable, MessageError) as error:
                    log.info("agent subscription failed", agent=address, error=str(error))
                if self.lookup.state is not initial_state:
                    # The agent supplied state; start again with the preferred agent.
                    self._backoff_s = MIN_BACKOFF_S
                    break
            await asyncio.sleep(self._backoff_s * self.rng.uniform(0.5, 1.5))
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    async def _subscribe(self, address: str) -> None:
        max_duration_s = None if address == self.agents[0] else FAILBACK_INTERVAL_S
        async with _open_channel(address) as channel:
            try:
                await self._read_stream(NodeStub(channel), address, max_duration_s)
            finally:
                self.connected_agent = ""

    async def _read_stream(
        self, stub: NodeStub, address: str, max_duration_s: float | None
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max_duration_s if max_duration_s is not None else None
        previous: NodeState | None = None
        request = SubscribeRequest(vm=self.vm, role=ROLE, accepts_partial=True)
        try:
            async with (
                asyncio.timeout(STREAM_TIMEOUT_S) as stream_timeout,
                stub.Subscribe.open() as stream,
            ):
                await stream.send_message(request, end=True)
                while deadline is None or loop.time() < deadline:
                    message = await stream.recv_message()
                    if message is None:
                        raise PeerUnavailable(f"{address} closed the stream")
                    stream_timeout.reschedule(loop.time() + STREAM_TIMEOUT_S)
                    previous = self._apply_message(message, previous, address)
                await stream.cancel()
        except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            raise PeerUnavailable(f"{address}: {str(error) or type(error).__name__}") from error

    def _apply_message(
        self, message: NodeStateMessage, previous: NodeState | None, address: str
    ) -> NodeState:
        state = state_from_message(message, previous=previous)
        self.connected_agent = address
        if message.document and message.config_version >= self.document_version:
            self.document = message.document
            self.document_version = message.config_version
        try:
            self.lookup.update(with_newest_config(state, self.lookup.state))
        except ConfigError as error:
            raise MessageError(f"configuration from {address}: {error}") from error
        return state


class AddressReporter:
    """Reports the address of the look-up daemon to the local agent.

    A report includes the configuration document if the agent has a lower version, for
    example because it restarted while neither the platform nor its peers could supply
    the document.

    Attributes:
        address: ``host:port`` for callers.
    """

    def __init__(
        self, *, vm: VmId, agent: str, feed: StateSubscriber, incarnation: str, address: str
    ) -> None:
        self.vm = vm
        self.agent = agent
        self.feed = feed
        self.incarnation = incarnation
        self.address = address

    async def run(self) -> None:
        """Report periodically until cancelled, on a new connection after each failure."""
        while True:
            try:
                async with _open_channel(self.agent) as channel:
                    await self._report_periodically(NodeStub(channel))
            except (
                TimeoutError,
                OSError,
                GRPCError,
                ProtocolError,
                StreamTerminatedError,
            ) as error:
                log.info("report failed", error=str(error) or type(error).__name__)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report_periodically(self, stub: NodeStub) -> None:
        agent_version = self.feed.document_version
        while True:
            request = ReportRequest(
                vm=self.vm,
                role=ROLE,
                incarnation=self.incarnation,
                state=MemberState.SERVING.value,
                lookup_address=self.address,
                config_version=self.feed.document_version,
            )
            if agent_version < self.feed.document_version:
                request.document = self.feed.document
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                reply = await stub.Report(request)
            agent_version = reply.config_version
            await asyncio.sleep(REPORT_INTERVAL_S)


@asynccontextmanager
async def _open_channel(address: str) -> AsyncIterator[Channel]:
    host, port = split_address(address)
    channel = Channel(host, port)
    try:
        yield channel
    finally:
        channel.close()

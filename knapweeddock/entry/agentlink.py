"""Connection to the local agent: receives snapshots and sends reports."""

import asyncio
import random
from collections.abc import Callable

import structlog
from grpclib.client import Channel
from mode import Service

from knapweeddock.entry.dispatchloop import DispatchLoop
from knapweeddock.entry.lendingservice import GRPC_CALL_ERRORS
from knapweeddock.errors import MessageError
from knapweeddock.ids import Incarnation, VmId
from knapweeddock.proto.knapweed_grpc import NodeStub
from knapweeddock.proto.knapweed_pb2 import ReportRequest, SubscribeRequest
from knapweeddock.state import MemberState, NodeState
from knapweeddock.statecodec import state_from_message, with_newest_config

log = structlog.get_logger(__name__)

ROLE = "entry"

REPORT_INTERVAL_S = 1.0
"""Interval between reports while nothing changes."""

REPORT_TIMEOUT_S = 1.0
BASE_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

StateListener = Callable[[NodeState], None]


class AgentLink(Service):
    """Receives snapshots from the agent and reports the state of this process.

    The last snapshot stays in force while the agent is unavailable.

    Attributes:
        silence_timeout_s: Time in seconds without a message after which the stream
            is reopened.
        listeners: Called with each snapshot that differs from the one before on the
            same stream.
        member_state: Reported state of the member.
        public_address: ``host:port`` for requests of callers.
        internal_address: ``host:port`` for requests of other entries.
        lending_address: ``host:port`` of the lending service.
        last_state: Last snapshot of the open stream, to which partial messages refer.
    """

    def __init__(
        self,
        *,
        dispatch_loop: DispatchLoop,
        vm: VmId,
        incarnation: Incarnation,
        agent_address: str,
        silence_timeout_s: float,
        rng: random.Random,
        listeners: list[StateListener],
    ) -> None:
        super().__init__()
        self.dispatch_loop = dispatch_loop
        self.vm = vm
        self.incarnation = incarnation
        self.agent_address = agent_address
        self.silence_timeout_s = silence_timeout_s
        self.rng = rng
        self.listeners = listeners
        self.member_state = MemberState.JOINING
        self.public_address = ""
        self.internal_address = ""
        self.lending_address = ""
        self.last_state: NodeState | None = None
        self.report_channel: Channel | None = None

    def set_state(self, member_state: MemberState) -> None:
        """Change the reported state and have it reported immediately."""
        self.member_state = member_state
        self.dispatch_loop.report_due.set()

    async def on_stop(self) -> None:
        """Close the channel for reports."""
        self._close_report_channel()

    @Service.task
    async def subscribe(self) -> None:
        """Receive the agent's stream; reopen it with backoff after it ends or times out."""
        backoff_s = BASE_BACKOFF_S
        received = True
        while True:
            received = await self._receive_snapshots(log_level="warning" if received else "debug")
            backoff_s = BASE_BACKOFF_S if received else min(backoff_s * 2, MAX_BACKOFF_S)
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1.0))

    async def _receive_snapshots(self, *, log_level: str) -> bool:
        """Open a stream and apply its snapshots until it ends.

        Args:
            log_level: Level at which the end of the stream is logged; lower during an
                outage of the agent, so that it is not logged at each attempt.

        Returns:
            Whether a snapshot was received.
        """
        received = False
        self.last_state = None
        channel = self._open_channel()
        try:
            async with NodeStub(channel).Subscribe.open() as stream:
                async with asyncio.timeout(self.silence_timeout_s):
                    request = SubscribeRequest(vm=self.vm, role=ROLE, accepts_partial=True)
                    await stream.send_message(request, end=True)
                while True:
                    async with asyncio.timeout(self.silence_timeout_s):
                        message = await stream.recv_message()
                    if message is None:
                        return received
                    self._apply(state_from_message(message, previous=self.last_state))
                    received = True
        except (MessageError, *GRPC_CALL_ERRORS) as error:
            getattr(log, log_level)("subscription to the agent ended", error=repr(error))
            return received
        finally:
            channel.close()

    def _apply(self, state: NodeState) -> None:
        unchanged = state == self.last_state
        self.last_state = state
        if unchanged:
            return
        state = with_newest_config(state, self.dispatch_loop.node_state)
        self.dispatch_loop.update(state)
        for listener in self.listeners:
            listener(state)

    @Service.task
    async def report(self) -> None:
        """Report every ``REPORT_INTERVAL_S`` seconds and after each relevant change."""
        while True:
            self.dispatch_loop.report_due.clear()
            await self.report_now()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self.dispatch_loop.report_due.wait()
            except TimeoutError:
                continue

    async def report_now(self) -> bool:
        """Report once and return whether the agent confirmed it."""
        if self.report_channel is None:
            self.report_channel = self._open_channel()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                await NodeStub(self.report_channel).Report(self._report_request())
        except GRPC_CALL_ERRORS as error:
            log.debug("report to the agent failed", error=repr(error))
            self._close_report_channel()
            return False
        return True

    def _report_request(self) -> ReportRequest:
        state = self.dispatch_loop.node_state
        return ReportRequest(
            vm=self.vm,
            role=ROLE,
            incarnation=self.incarnation,
            state=self.member_state.value,
            public_address=self.public_address,
            internal_address=self.internal_address,
            lending_address=self.lending_address,
            settled_views=dict(self.dispatch_loop.settled_views),
            load=self.dispatch_loop.dispatcher.capacity.load(),
            config_version=0 if state is None else state.config_version,
        )

    def _open_channel(self) -> Channel:
        host, _, port = self.agent_address.rpartition(":")
        return Channel(host.strip("[]"), int(port))

    def _close_report_channel(self) -> None:
        if self.report_channel is not None:
            self.report_channel.close()
            self.report_channel = None

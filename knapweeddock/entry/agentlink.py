"""The link to the local agent: snapshots in, reports out."""

import asyncio
import random
from collections.abc import Callable

import structlog
from grpclib.client import Channel
from mode import Service

from knapweeddock.entry.dispatchloop import DispatchLoop
from knapweeddock.entry.lending import CALL_ERRORS
from knapweeddock.errors import MessageError
from knapweeddock.ids import Incarnation, VmId
from knapweeddock.proto.knapweed_grpc import NodeStub
from knapweeddock.proto.knapweed_pb2 import ReportRequest, SubscribeRequest
from knapweeddock.state import MemberState, NodeState
from knapweeddock.statecodec import state_from_message, with_newest_config

log = structlog.get_logger(__name__)

ROLE = "entry"

REPORT_S = 1.0
"""Time between two reports without a change."""

REPORT_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0

Listener = Callable[[NodeState], None]


class AgentLink(Service):
    """Keeps the snapshot up to date and tells the agent about this process.

    The last snapshot stays in force while the agent is gone.

    Attributes:
        member_state: State that is reported.
        public_address: ``host:port`` for callers.
        internal_address: ``host:port`` for requests of other entries.
        lending_address: ``host:port`` of the lending service.
    """

    def __init__(
        self,
        *,
        loop: DispatchLoop,
        vm: VmId,
        incarnation: Incarnation,
        agent: str,
        silence_s: float,
        rng: random.Random,
        listeners: list[Listener],
    ) -> None:
        super().__init__()
        self.dispatch = loop
        self.vm = vm
        self.incarnation = incarnation
        self.agent = agent
        self.silence_s = silence_s
        self.rng = rng
        self.listeners = listeners
        self.member_state = MemberState.JOINING
        self.public_address = ""
        self.internal_address = ""
        self.lending_address = ""
        self.previous: NodeState | None = None
        self.report_channel: Channel | None = None

    def set_state(self, member_state: MemberState) -> None:
        """Change the reported state and report at once."""
        self.member_state = member_state
        self.dispatch.changed.set()

    async def on_stop(self) -> None:
        """Close the channel of the reports."""
        self._close_report_channel()

    @Service.task
    async def subscribe(self) -> None:
        """Follow the agent's stream; replace it when it breaks or goes silent."""
        retry_s = RETRY_MIN_S
        received = True
        while True:
            received = await self._follow(log_level="warning" if received else "debug")
            retry_s = RETRY_MIN_S if received else min(retry_s * 2, RETRY_MAX_S)
            await asyncio.sleep(retry_s * self.rng.uniform(0.5, 1.0))

    async def _follow(self, *, log_level: str) -> bool:
        """Take snapshots until the stream ends and return whether there were any.

        Args:
            log_level: Level at which the end is logged; lower while the agent
                stays away, so that its absence is not logged again and again.
        """
        received = False
        self.previous = None
        channel = self._channel()
        try:
            async with NodeStub(channel).Subscribe.open() as stream:
                async with asyncio.timeout(self.silence_s):
                    request = SubscribeRequest(vm=self.vm, role=ROLE, accepts_partial=True)
                    await stream.send_message(request, end=True)
                while True:
                    async with asyncio.timeout(self.silence_s):
                        message = await stream.recv_message()
                    if message is None:
                        return received
                    self._take(state_from_message(message, previous=self.previous))
                    received = True
        except (MessageError, *CALL_ERRORS) as error:
            getattr(log, log_level)("stream of the agent ended", error=repr(error))
            return received
        finally:
            channel.close()

    def _take(self, state: NodeState) -> None:
        unchanged = state == self.previous
        self.previous = state
        if unchanged:
            return
        state = with_newest_config(state, self.dispatch.node_state)
        self.dispatch.update(state)
        for listener in self.listeners:
            listener(state)

    @Service.task
    async def report(self) -> None:
        """Report every ``REPORT_S`` and when something changed."""
        while True:
            self.dispatch.changed.clear()
            await self.report_now()
            try:
                async with asyncio.timeout(REPORT_S):
                    await self.dispatch.changed.wait()
            except TimeoutError:
                continue

    async def report_now(self) -> bool:
        """Report once and return whether the agent took it."""
        if self.report_channel is None:
            self.report_channel = self._channel()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                await NodeStub(self.report_channel).Report(self._report())
        except CALL_ERRORS as error:
            log.debug("report failed", error=repr(error))
            self._close_report_channel()
            return False
        return True

    def _report(self) -> ReportRequest:
        state = self.dispatch.node_state
        return ReportRequest(
            vm=self.vm,
            role=ROLE,
            incarnation=self.incarnation,
            state=self.member_state.value,
            public_address=self.public_address,
            internal_address=self.internal_address,
            lending_address=self.lending_address,
            settled_views=dict(self.dispatch.settled),
            load=self.dispatch.dispatcher.capacity.load(),
            config_version=0 if state is None else state.config_version,
        )

    def _channel(self) -> Channel:
        host, _, port = self.agent.rpartition(":")
        return Channel(host.strip("[]"), int(port))

    def _close_report_channel(self) -> None:
        if self.report_channel is not None:
            self.report_channel.close()
            self.report_channel = None

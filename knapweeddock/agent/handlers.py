"""gRPC services of an agent: ``Node`` for local processes, ``Peer`` for other agents."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.subscriptions import MAX_STREAMS, Subscription
from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.proto.knapweed_grpc import NodeBase, PeerBase
from knapweeddock.proto.knapweed_pb2 import FetchChunkReply, PushReply, ReportReply

STREAM_HEARTBEAT_INTERVAL_S = 1.0
"""Longest time between two messages of a stream, in seconds. It lets a subscriber
distinguish a broken connection from a state without changes."""

COALESCE_DELAY_S = 0.05
"""Time for which member changes are coalesced into one message, in seconds. A change of
the configuration is sent at once."""

SEND_TIMEOUT_S = 10.0
"""Timeout of sending one message to a subscriber, in seconds; it ends the stream of a
subscriber that does not read."""

RECEIVE_TIMEOUT_S = 5.0
"""Timeout of receiving the request message of a call, in seconds."""

_STATUS = {
    ResultCode.UNKNOWN_MESSAGE: Status.UNIMPLEMENTED,
    ResultCode.TOO_LARGE: Status.RESOURCE_EXHAUSTED,
}


def _grpc_error(error: MessageError) -> GRPCError:
    status = _STATUS.get(error.code, Status.INVALID_ARGUMENT)
    return GRPCError(status, f"{int(error.code)} {error.code.name}: {error}")


@asynccontextmanager
async def _grpc_errors(core: AgentCore, stream: Any) -> AsyncIterator[None]:
    """Convert the error of a malformed message to a gRPC status with a result code.

    Each result code is logged once per peer.
    """
    try:
        yield
    except DecodeError as error:
        message_error = MessageError(f"the message cannot be decoded: {error}")
        core.once_log.peer_error(_peer_address(stream), message_error)
        raise _grpc_error(message_error) from error
    except MessageError as error:
        core.once_log.peer_error(_peer_address(stream), error)
        raise _grpc_error(error) from error


def _peer_address(stream: Any) -> str:
    address = stream.peer.addr()
    return str(address[0]) if address else "unknown"


async def _receive_request(stream: Any) -> Any:
    try:
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            request = await stream.recv_message()
    except TimeoutError as error:
        raise MessageError("the message did not arrive in time") from error
    if request is None:
        raise MessageError("the call has no message")
    if not request.vm:
        raise MessageError("the message names no VM")
    return request


async def _send_chunk(core: AgentCore, stream: Any) -> None:
    """Handle a request for a chunk of the block tables."""
    async with _grpc_errors(core, stream):
        request = await _receive_request(stream)
    data = core.chunks.get(request.digest)
    await stream.send_message(FetchChunkReply(found=data is not None, data=data or b""))


class NodeHandler(NodeBase):
    """The ``Node`` service: streams state to local processes and accepts their reports.

    Attributes:
        core: State of the agent.
        entry_disconnected: Set when a stream of the local entry ends.
    """

    def __init__(self, *, core: AgentCore) -> None:
        self.core = core
        self.entry_disconnected = asyncio.Event()

    async def Subscribe(self, stream: Any) -> None:
        """Stream the node state, once it is complete, at every change and as a heartbeat."""
        async with _grpc_errors(self.core, stream):
            request = await _receive_request(stream)
        active = self.core.subscriptions.active
        if len(active) >= MAX_STREAMS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"at most {MAX_STREAMS} streams")
        subscription = Subscription(request=request)
        active.add(subscription)
        try:
            await self.core.synced.wait()
            await self._stream_state(stream, subscription)
        except StreamTerminatedError:
            return
        finally:
            active.discard(subscription)
            if request.role == "entry" and request.vm == self.core.node.vm:
                self.entry_disconnected.set()

    async def _stream_state(self, stream: Any, subscription: Subscription) -> None:
        node = self.core.node
        while True:
            message = subscription.next_message(node)
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await stream.send_message(message)
            except TimeoutError:
                await stream.cancel()
                return
            await subscription.wait(STREAM_HEARTBEAT_INTERVAL_S)
            if node.history.version == subscription.sent_version:
                await asyncio.sleep(COALESCE_DELAY_S)

    async def Report(self, stream: Any) -> None:
        """Accept a report of a local process."""
        async with _grpc_errors(self.core, stream):
            request = await _receive_request(stream)
            self.core.accept_report(request)
        await stream.send_message(ReportReply(config_version=self.core.node.history.version))

    async def FetchChunk(self, stream: Any) -> None:
        """Send a chunk to a local process."""
        await _send_chunk(self.core, stream)


class PeerHandler(PeerBase):
    """The ``Peer`` service: exchanges with other agents and pushes from them."""

    def __init__(self, *, core: AgentCore) -> None:
        self.core = core

    async def Exchange(self, stream: Any) -> None:
        """Handle one round of an exchange."""
        async with _grpc_errors(self.core, stream):
            request = await _receive_request(stream)
            reply = self.core.node.handle_exchange(request, self.core.clock.monotonic())
        await stream.send_message(reply)

    async def Push(self, stream: Any) -> None:
        """Merge pushed records.

        The first invalid record determines the error status; the valid ones are kept.
        """
        async with _grpc_errors(self.core, stream):
            request = await _receive_request(stream)
            result = self.core.accept_push(request)
            if result.errors:
                raise result.errors[0]
        await stream.send_message(PushReply(config_version=self.core.node.history.version))

    async def FetchChunk(self, stream: Any) -> None:
        """Send a chunk to another agent."""
        await _send_chunk(self.core, stream)

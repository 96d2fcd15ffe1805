"""Fetches chunks of the block tables from the agent that supplies the node state."""

import asyncio

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from knapweeddock.agent.peers import split_address
from knapweeddock.errors import PeerUnavailable
from knapweeddock.ids import VmId
from knapweeddock.lookupd.subscription import StateSubscriber
from knapweeddock.proto.knapweed_grpc import NodeStub
from knapweeddock.proto.knapweed_pb2 import FetchChunkRequest

CALL_TIMEOUT_S = 2.0
"""Timeout of a call including connecting, in seconds."""


class ChunkClient:
    """A client with one connection to the agent, replaced after a failure."""

    def __init__(self, *, vm: VmId, subscriber: StateSubscriber) -> None:
        self.vm = vm
        self.subscriber = subscriber
        self._address = ""
        self._channel: Channel | None = None

    async def fetch(self, digest: str) -> bytes | None:
        """Return the data of a chunk, or None if the agent does not have it yet.

        Raises:
            PeerUnavailable: No agent is connected, or it did not respond in time.
        """
        address = self.subscriber.connected_agent
        if not address:
            raise PeerUnavailable("no agent is connected")
        if self._channel is None or address != self._address:
            self.close()
            host, port = split_address(address)
            self._channel = Channel(host, port)
            self._address = address
        request = FetchChunkRequest(vm=self.vm, digest=digest)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await NodeStub(self._channel).FetchChunk(request)
        except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            self.close()
            reason = str(error) or type(error).__name__
            raise PeerUnavailable(f"FetchChunk at {address}: {reason}") from error
        return reply.data if reply.found else None

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

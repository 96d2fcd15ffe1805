"""Calls to other agents, with timeouts and a new connection after a failure."""

import asyncio
from collections import OrderedDict

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from knapweeddock.errors import MessageError, PeerUnavailable
from knapweeddock.proto.knapweed_grpc import PeerStub
from knapweeddock.proto.knapweed_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    FetchChunkReply,
    FetchChunkRequest,
    PushReply,
    PushRequest,
)

CALL_TIMEOUT_S = 2.0
"""Timeout of a call including connecting, in seconds. Sending a whole document of 1 MB
between regions takes well under a second."""

MAX_CHANNELS = 128
"""Largest number of open connections to peers; the least recently used one is closed."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises:
        PeerUnavailable: The address is malformed.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        raise PeerUnavailable(f"{address!r} is not a host:port address")
    return host.strip("[]"), int(port)


class PeerClients:
    """Clients of the agents of other VMs, with one connection per address."""

    def __init__(self, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        self._channels: OrderedDict[str, Channel] = OrderedDict()

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Send the request of one round of an exchange.

        Raises:
            PeerUnavailable: The peer did not respond in time.
            MessageError: The peer rejected the message.
        """
        return await self._call(address, "Exchange", request)

    async def push(self, address: str, request: PushRequest) -> PushReply:
        """Push records.

        Raises:
            PeerUnavailable: The peer did not respond in time.
            MessageError: The peer rejected the message.
        """
        return await self._call(address, "Push", request)

    async def fetch_chunk(self, address: str, request: FetchChunkRequest) -> FetchChunkReply:
        """Request a chunk of the block tables.

        Raises:
            PeerUnavailable: The peer did not respond in time.
            MessageError: The peer rejected the message.
        """
        return await self._call(address, "FetchChunk", request)

    async def _call(self, address, method, request):
        channel = self._channel(address)
        stub = PeerStub(channel)
        try:
            async with asyncio.timeout(self.timeout_s):
                return await getattr(stub, method)(request)
        except GRPCError as error:
            raise MessageError(f"{address} rejected {method}: {error.message}") from error
        except (TimeoutError, OSError, ProtocolError, StreamTerminatedError) as error:
            self._discard(address, channel)
            reason = str(error) or type(error).__name__
            raise PeerUnavailable(f"{method} at {address}: {reason}") from error

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = Channel(host, port)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        while len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    def _discard(self, address: str, channel: Channel) -> None:
        channel.close()
        if self._channels.get(address) is channel:
            del self._channels[address]

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

"""gRPC server and client of the lending service between entries."""

import asyncio

import structlog
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from mode import Service

from knapweeddock.codes import ResultCode
from knapweeddock.entry.dispatchloop import DispatchLoop
from knapweeddock.entry.ports import BoundPort
from knapweeddock.events import Borrow
from knapweeddock.ids import FailureDomainId, GrantId, Incarnation, SiteId, VmId
from knapweeddock.proto.knapweed_grpc import LendingBase, LendingStub
from knapweeddock.proto.knapweed_pb2 import (
    BorrowMessage,
    BorrowResult,
    GrantMessage,
    RefusalMessage,
)
from knapweeddock.slottypes import BorrowRequest, Grant, Refusal

log = structlog.get_logger(__name__)

STOPPING_RETRY_AFTER_S = 5.0
"""Time for which a borrower does not call a lender that is stopping."""

GRPC_CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    OverflowError,
)
"""Errors of a gRPC call after which its channel is replaced. ``OverflowError`` is raised
for a port number that is out of range."""


class LendingServer(Service, LendingBase):
    """Serves the calls of other entries that ask to borrow slots.

    Attributes:
        stopping: Whether all calls are refused because the process is stopping.
    """

    def __init__(self, *, port: BoundPort, dispatch_loop: DispatchLoop) -> None:
        super().__init__()
        self.port = port
        self.dispatch_loop = dispatch_loop
        self.stopping = False
        self.server: Server | None = None

    async def on_start(self) -> None:
        """Start listening."""
        self.server = Server([self])
        await self.server.start(sock=self.port.socket)

    async def on_stop(self) -> None:
        """Close the port and the connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def Borrow(self, stream: Stream[BorrowMessage, BorrowResult]) -> None:
        """Respond to a call with a grant or a refusal."""
        message = await stream.recv_message()
        if message is None:
            return
        if self.stopping:
            refusal = Refusal(code=ResultCode.DRAINING, retry_after_s=STOPPING_RETRY_AFTER_S)
            await stream.send_message(result_to_message(refusal))
            return
        result = await self.dispatch_loop.lend(request_from_message(message))
        await stream.send_message(result_to_message(result))


class LendingClient:
    """Calls lenders; a channel on which a call failed is replaced.

    Attributes:
        timeout_s: Timeout of a call in seconds.
        channels: Open channel by lending address.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        self.channels: dict[str, Channel] = {}

    async def borrow(self, action: Borrow) -> Grant | Refusal | None:
        """Ask a lender for slots; return None if the call failed."""
        address = action.lender.lending_address
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            if not port.isdecimal():
                log.error("invalid address", lender=action.lender.vm, address=address)
                return None
            channel = self.channels[address] = Channel(host.strip("[]"), int(port))
        try:
            async with asyncio.timeout(self.timeout_s):
                message = await LendingStub(channel).Borrow(request_to_message(action.request))
        except GRPC_CALL_ERRORS as error:
            log.info("call to lender failed", lender=action.lender.vm, error=repr(error))
            if self.channels.get(address) is channel:
                del self.channels[address]
            channel.close()
            return None
        return result_from_message(message)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels to all lenders that are not in ``addresses``."""
        for address in self.channels.keys() - addresses:
            self.channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(set())


def request_to_message(request: BorrowRequest) -> BorrowMessage:
    """Encode a request to borrow slots."""
    return BorrowMessage(
        borrower=request.borrower,
        failure_domain=request.failure_domain,
        incarnation=request.incarnation,
        site=request.site,
        wanted=request.wanted,
    )


def request_from_message(message: BorrowMessage) -> BorrowRequest:
    """Decode a request to borrow slots."""
    return BorrowRequest(
        borrower=VmId(message.borrower),
        failure_domain=FailureDomainId(message.failure_domain),
        incarnation=Incarnation(message.incarnation),
        site=SiteId(message.site),
        wanted=message.wanted,
    )


def result_to_message(result: Grant | Refusal) -> BorrowResult:
    """Encode a lender's grant or refusal."""
    match result:
        case Grant():
            grant = GrantMessage(
                grant=result.grant_id,
                lender=result.lender,
                incarnation=result.incarnation,
                site=result.site,
                count=result.count,
                term_s=result.term_s,
                internal_address=result.internal_address,
            )
            return BorrowResult(grant=grant)
        case Refusal():
            refusal = RefusalMessage(code=result.code, retry_after_s=result.retry_after_s)
            return BorrowResult(refusal=refusal)


def result_from_message(message: BorrowResult) -> Grant | Refusal | None:
    """Decode a lender's grant or refusal; return None if the message has neither."""
    match message.WhichOneof("result"):
        case "grant":
            grant = message.grant
            return Grant(
                grant_id=GrantId(grant.grant),
                lender=VmId(grant.lender),
                incarnation=Incarnation(grant.incarnation),
                site=SiteId(grant.site),
                count=grant.count,
                term_s=grant.term_s,
                internal_address=grant.internal_address,
            )
        case "refusal":
            refusal = message.refusal
            return Refusal(
                code=_result_code(refusal.code), retry_after_s=max(0.0, refusal.retry_after_s)
            )
        case _:
            return None


def _result_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.UNKNOWN_MESSAGE

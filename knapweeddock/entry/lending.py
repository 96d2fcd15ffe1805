"""The lending service between entries: both of its ends."""

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

STOPPING_RETRY_S = 5.0
"""Time for which a borrower leaves a lender alone that is stopping."""

CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    OverflowError,
)
"""Errors after which a channel to a peer is replaced; ``OverflowError`` is raised
for a port number that is out of range."""


class LendingServer(Service, LendingBase):
    """Answers other entries that ask to borrow.

    Attributes:
        stopping: Whether nothing is lent any more.
    """

    def __init__(self, *, port: BoundPort, loop: DispatchLoop) -> None:
        super().__init__()
        self.port = port
        self.dispatch = loop
        self.stopping = False
        self.server: Server | None = None

    async def on_start(self) -> None:
        """Start to listen."""
        self.server = Server([self])
        await self.server.start(sock=self.port.socket)

    async def on_stop(self) -> None:
        """Close the port and the connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def Borrow(self, stream: Stream[BorrowMessage, BorrowResult]) -> None:
        """Decide on one request to borrow."""
        message = await stream.recv_message()
        if message is None:
            return
        if self.stopping:
            refusal = Refusal(code=ResultCode.DRAINING, retry_after_s=STOPPING_RETRY_S)
            await stream.send_message(result_to_message(refusal))
            return
        result = await self.dispatch.lend(request_from_message(message))
        await stream.send_message(result_to_message(result))


class LendingClient:
    """Calls lenders; a channel on which a call failed is replaced.

    Attributes:
        channels: Open channel by lending address.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        self.channels: dict[str, Channel] = {}

    async def borrow(self, action: Borrow) -> Grant | Refusal | None:
        """Ask a lender; None when the call failed."""
        address = action.lender.lending_address
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            if not port.isdecimal():
                log.error("address is not valid", lender=action.lender.vm, address=address)
                return None
            channel = self.channels[address] = Channel(host.strip("[]"), int(port))
        try:
            async with asyncio.timeout(self.timeout_s):
                message = await LendingStub(channel).Borrow(request_to_message(action.request))
        except CALL_ERRORS as error:
            log.info("lender did not answer", lender=action.lender.vm, error=repr(error))
            if self.channels.get(address) is channel:
                del self.channels[address]
            channel.close()
            return None
        return result_from_message(message)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels to lenders outside ``addresses``."""
        for address in self.channels.keys() - addresses:
            self.channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(set())


def request_to_message(request: BorrowRequest) -> BorrowMessage:
    """Return the message that carries a request to borrow."""
    return BorrowMessage(
        borrower=request.borrower,
        failure_domain=request.failure_domain,
        incarnation=request.incarnation,
        site=request.site,
        wanted=request.wanted,
    )


def request_from_message(message: BorrowMessage) -> BorrowRequest:
    """Return the request that a message carries."""
    return BorrowRequest(
        borrower=VmId(message.borrower),
        failure_domain=FailureDomainId(message.failure_domain),
        incarnation=Incarnation(message.incarnation),
        site=SiteId(message.site),
        wanted=message.wanted,
    )


def result_to_message(result: Grant | Refusal) -> BorrowResult:
    """Return the message that carries a lender's decision."""
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
    """Return the decision that a message carries; None when it carries none."""
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
                code=_code_of(refusal.code), retry_after_s=max(0.0, refusal.retry_after_s)
            )
        case _:
            return None


def _code_of(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.UNKNOWN_MESSAGE

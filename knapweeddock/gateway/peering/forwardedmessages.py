"""What gateways tell each other with a request that one forwards to the other.

A gateway that reaches no server forwards the requests of its clients to a peer, as HTTP
requests with one more header, which tells what has been decided already. The peer's response
has one more header, too, which tells whose response it is. Both are removed before the message
goes on.
"""

from enum import Enum
from typing import TypeVar

import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.http1.messages import Headers
from knapweeddock.ids import ServerId, ServiceId, Version, VmId

REQUEST_HEADER = b"Knapweed-Forwarded"
RESULT_HEADER = b"Knapweed-Result"

MAX_HEADER_BYTES = 4096
"""Largest size of either header in bytes."""


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the gateway that a client has connected to tells its peer.

    Attributes:
        origin: That gateway.
        version: Configuration by which the request was routed.
        service: Service that was chosen for it.
        sent_attempts: Number of attempts that have reached a server.
        received_by: Servers that have received the request.
    """

    origin: VmId
    version: Version
    service: ServiceId
    sent_attempts: int = 0
    received_by: tuple[ServerId, ...] = ()


class Origin(Enum):
    """Whose response it is, and whether the request has run.

    Attributes:
        SERVER: A server's.
        NOT_RUN: The peer's own; the request has not run and will not run.
        FAILED: The peer's own; the request may have run.
    """

    SERVER = "server"
    NOT_RUN = "not run"
    FAILED = "failed"


class ForwardedResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the peer tells with its response.

    Attributes:
        origin: Whose response it is.
        active: Number of requests that the peer handles.
        sent_attempts: Number of attempts that have reached a server, those before included.
        code: Why the peer has refused the request or failed; 0 for a server's response.
        retry_after_s: Delay in seconds after which the client may retry a refused request.
    """

    origin: Origin
    active: int
    sent_attempts: int = 0
    code: ResultCode = ResultCode.OK
    retry_after_s: float = 0.0


Message = TypeVar("Message", ForwardedRequest, ForwardedResult)


def encode_header(name: bytes, message: ForwardedRequest | ForwardedResult) -> tuple[bytes, bytes]:
    """Return a header that holds ``message``."""
    return name, msgspec.json.encode(message)


def take_header(
    headers: Headers, name: bytes, message_type: type[Message]
) -> tuple[Message, Headers]:
    """Return the message in the first header ``name``, and the other headers.

    Raises:
        MessageError: There is no such header, or it cannot be decoded.
    """
    index = next(
        (index for index, (each, _) in enumerate(headers) if each.lower() == name.lower()), None
    )
    if index is None:
        raise MessageError(f"no header {name.decode()}")
    value = headers[index][1]
    if len(value) > MAX_HEADER_BYTES:
        raise MessageError(f"header {name.decode()} of {len(value)} bytes is too large")
    try:
        message = msgspec.json.decode(value, type=message_type)
    except msgspec.MsgspecError as error:
        raise MessageError(f"cannot decode header {name.decode()}: {error}") from error
    return message, (*headers[:index], *headers[index + 1 :])

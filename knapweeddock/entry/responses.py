"""Builds and writes the responses to callers; each request gets exactly one."""

import asyncio
import math
import socket
import struct

import msgspec
from aiohttp import hdrs, web
from multidict import CIMultiDict

from knapweeddock.codes import CODE_INFO, ResultCode
from knapweeddock.entry import headers as header_names
from knapweeddock.entry.messages import (
    BufferedResponse,
    CodeResponse,
    OutcomeResult,
    ProxyResponse,
    StreamedResponse,
    StreamEnd,
)
from knapweeddock.idempotency import KeyState

SERVER_NAME = "knapweeddock"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER option with timeout 0: closing the socket sends a TCP reset."""

WRITE_TIMEOUT_S = 30.0
"""Maximum time to write a response, so that a caller that stopped reading does not
occupy memory indefinitely. The timeout of a streamed response is added."""

RUNNING_RETRY_AFTER_S = 0.5
"""Retry-After of an outcome query for an operation that is still running."""

OUTCOME_STATUS = {KeyState.PENDING: 202, KeyState.COMPLETE: 200, KeyState.NOT_RUN: 200}
OUTCOME_MESSAGE = {KeyState.PENDING: "The work waits or runs."}


class ErrorBody(msgspec.Struct, kw_only=True):
    """JSON body of a response with a result code."""

    code: int
    name: str
    message: str
    outcome: str
    retry_after_ms: int | None = None
    ask: str | None = None


def code_response(response: CodeResponse, *, outcome: str | None = None) -> web.Response:
    """Return the HTTP response for a result code.

    Args:
        response: The result code and its details.
        outcome: Outcome to report instead of the one that the code implies.
    """
    info = CODE_INFO[response.code]
    body = ErrorBody(
        code=int(response.code),
        name=response.code.name,
        message=response.message or info.meaning,
        outcome=outcome or info.outcome.value,
        ask=response.owner_url,
    )
    web_response = web.Response(status=info.http_status, content_type="application/json")
    headers = web_response.headers
    if response.retry_after_s is not None:
        body.retry_after_ms = math.ceil(response.retry_after_s * 1000)
        headers[hdrs.RETRY_AFTER] = str(math.ceil(response.retry_after_s))
        headers[header_names.RETRY_AFTER_MS] = str(body.retry_after_ms)
    if response.owner_url is not None:
        headers[header_names.ASK] = response.owner_url
    headers[header_names.RESULT] = str(int(response.code))
    headers[header_names.OUTCOME] = body.outcome
    headers[hdrs.SERVER] = SERVER_NAME
    web_response.body = msgspec.json.encode(body)
    return web_response


def outcome_response(result: OutcomeResult) -> web.Response:
    """Return the HTTP response to an outcome query."""
    state = result.outcome.state
    if state is KeyState.COMPLETE and result.stored_response is not None:
        return buffered_response(result.stored_response)
    retry_after_s = RUNNING_RETRY_AFTER_S if state is KeyState.PENDING else None
    response = CodeResponse(
        code=result.outcome.code,
        retry_after_s=retry_after_s,
        owner_url=result.owner_url,
        message=OUTCOME_MESSAGE.get(state),
    )
    web_response = code_response(response, outcome=state.value)
    web_response.set_status(OUTCOME_STATUS.get(state, web_response.status))
    return web_response


def buffered_response(response: BufferedResponse) -> web.Response:
    """Return the HTTP response that forwards a complete response."""
    web_response = web.Response(
        status=response.status,
        reason=response.reason,
        headers=_with_result_headers(response.headers),
        body=response.body,
    )
    return web_response


async def write_response(
    request: web.BaseRequest, response: ProxyResponse, *, close_connection: bool = False
) -> web.StreamResponse:
    """Write the response to a request.

    Args:
        request: The request.
        response: Its response.
        close_connection: Whether to close the connection afterwards.

    Raises:
        ConnectionError: The caller read too slowly or disconnected, or a streamed
            response was incomplete. The connection was reset.
    """
    timeout_s = WRITE_TIMEOUT_S
    match response:
        case BufferedResponse():
            web_response = buffered_response(response)
        case CodeResponse():
            web_response = code_response(response)
        case StreamedResponse():
            web_response = _stream_response(response)
            timeout_s += response.timeout_s
    if close_connection:
        web_response.force_close()
    try:
        async with asyncio.timeout(timeout_s):
            await web_response.prepare(request)
            if isinstance(response, StreamedResponse):
                await _write_chunks(web_response, response)
            await web_response.write_eof()
    except (TimeoutError, ConnectionError) as error:
        _reset_connection(request)
        raise ConnectionAbortedError("the response was not written completely") from error
    return web_response


def _stream_response(response: StreamedResponse) -> web.StreamResponse:
    headers = _with_result_headers(response.headers)
    if response.length is not None:
        headers[hdrs.CONTENT_LENGTH] = str(response.length)
    return web.StreamResponse(status=response.status, reason=response.reason, headers=headers)


async def _write_chunks(web_response: web.StreamResponse, response: StreamedResponse) -> None:
    while True:
        match await response.chunks.get():
            case StreamEnd.COMPLETE:
                return
            case StreamEnd.BROKEN:
                raise ConnectionAbortedError("the streamed response is incomplete")
            case chunk:
                await web_response.write(chunk)


def _reset_connection(request: web.BaseRequest) -> None:
    """Reset the caller's connection, so that a truncated response cannot look complete.

    A response to an HTTP/1.0 caller ends when the connection closes, so a normal close
    would look like the end of a complete response.
    """
    transport = request.transport
    if transport is None:
        return
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def _with_result_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    result = headers.copy()
    result[header_names.RESULT] = str(int(ResultCode.OK))
    result[header_names.OUTCOME] = CODE_INFO[ResultCode.OK].outcome.value
    result.setdefault(hdrs.SERVER, SERVER_NAME)
    return result

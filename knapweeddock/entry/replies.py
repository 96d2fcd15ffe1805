"""Writes answers to callers; each request gets exactly one."""

import asyncio
import math
import socket
import struct

import msgspec
from aiohttp import hdrs, web
from multidict import CIMultiDict

from knapweeddock.codes import CODE_INFO, ResultCode
from knapweeddock.entry import headers as names
from knapweeddock.entry.messages import (
    Answer,
    BufferedAnswer,
    CodeAnswer,
    OutcomeResult,
    StreamedAnswer,
    StreamEnd,
)
from knapweeddock.idempotency import KeyState

SERVER_NAME = "knapweeddock"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with time 0: closing sends a reset in place of a normal end."""

WRITE_LIMIT_S = 30.0
"""Longest time to write a complete answer, so that a caller that stopped reading
does not hold its memory for ever."""

RUNNING_RETRY_S = 0.5
"""Time after which a caller may ask again for the outcome of a running key."""

OUTCOME_STATUS = {KeyState.PENDING: 202, KeyState.COMPLETE: 200, KeyState.NOT_RUN: 200}
OUTCOME_MESSAGE = {KeyState.PENDING: "The work waits or runs."}


class ErrorBody(msgspec.Struct, kw_only=True):
    """JSON body of an answer that carries a result code."""

    code: int
    name: str
    message: str
    outcome: str
    retry_after_ms: int | None = None
    ask: str | None = None


def code_response(answer: CodeAnswer, *, outcome: str | None = None) -> web.Response:
    """Return the response that reports a result code.

    Args:
        answer: The code and what goes with it.
        outcome: What the caller may conclude, when it is not what the code says.
    """
    info = CODE_INFO[answer.code]
    body = ErrorBody(
        code=int(answer.code),
        name=answer.code.name,
        message=answer.message or info.meaning,
        outcome=outcome or info.outcome.value,
        ask=answer.ask,
    )
    response = web.Response(status=info.http_status, content_type="application/json")
    headers = response.headers
    if answer.retry_after_s is not None:
        body.retry_after_ms = math.ceil(answer.retry_after_s * 1000)
        headers[hdrs.RETRY_AFTER] = str(math.ceil(answer.retry_after_s))
        headers[names.RETRY_AFTER_MS] = str(body.retry_after_ms)
    if answer.ask is not None:
        headers[names.ASK] = answer.ask
    headers[names.RESULT] = str(int(answer.code))
    headers[names.OUTCOME] = body.outcome
    headers[hdrs.SERVER] = SERVER_NAME
    response.body = msgspec.json.encode(body)
    return response


def outcome_response(result: OutcomeResult) -> web.Response:
    """Return the response to an outcome query."""
    state = result.outcome.state
    if state is KeyState.COMPLETE and result.kept is not None:
        return buffered_response(result.kept)
    retry_after_s = RUNNING_RETRY_S if state is KeyState.PENDING else None
    answer = CodeAnswer(
        code=result.outcome.code,
        retry_after_s=retry_after_s,
        ask=result.ask,
        message=OUTCOME_MESSAGE.get(state),
    )
    response = code_response(answer, outcome=state.value)
    response.set_status(OUTCOME_STATUS.get(state, response.status))
    return response


def buffered_response(answer: BufferedAnswer) -> web.Response:
    """Return the response that passes a complete answer on."""
    response = web.Response(
        status=answer.status,
        reason=answer.reason,
        headers=_complete_headers(answer.headers),
        body=answer.body,
    )
    return response


async def write_answer(
    request: web.BaseRequest, answer: Answer, *, last: bool = False
) -> web.StreamResponse:
    """Write the one answer of a request.

    Args:
        request: The request.
        answer: Its answer.
        last: Close the connection afterwards.

    Raises:
        ConnectionError: The caller took too long or went away, or the answer
            broke partway; the connection is reset then.
    """
    limit_s = WRITE_LIMIT_S
    match answer:
        case BufferedAnswer():
            response = buffered_response(answer)
        case CodeAnswer():
            response = code_response(answer)
        case StreamedAnswer():
            response = _stream_response(answer)
            limit_s += answer.timeout_s
    if last:
        response.force_close()
    try:
        async with asyncio.timeout(limit_s):
            await response.prepare(request)
            if isinstance(answer, StreamedAnswer):
                await _write_chunks(response, answer)
            await response.write_eof()
    except (TimeoutError, ConnectionError) as error:
        _abort(request)
        raise ConnectionAbortedError("the answer was not written completely") from error
    return response


def _stream_response(answer: StreamedAnswer) -> web.StreamResponse:
    headers = _complete_headers(answer.headers)
    if answer.length is not None:
        headers[hdrs.CONTENT_LENGTH] = str(answer.length)
    return web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)


async def _write_chunks(response: web.StreamResponse, answer: StreamedAnswer) -> None:
    while True:
        match await answer.chunks.get():
            case StreamEnd.COMPLETE:
                return
            case StreamEnd.BROKEN:
                raise ConnectionAbortedError("the answer broke partway")
            case chunk:
                await response.write(chunk)


def _abort(request: web.BaseRequest) -> None:
    """Reset the caller's connection, so that a partial answer cannot look complete.

    An answer to an HTTP/1.0 caller ends with the connection; a normal close
    would look like the end of a complete answer.
    """
    transport = request.transport
    if transport is None:
        return
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def _complete_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    result = headers.copy()
    result[names.RESULT] = str(int(ResultCode.OK))
    result[names.OUTCOME] = CODE_INFO[ResultCode.OK].outcome.value
    result.setdefault(hdrs.SERVER, SERVER_NAME)
    return result

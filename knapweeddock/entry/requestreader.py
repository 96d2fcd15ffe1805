"""Reads and validates requests of callers and of other entries."""

import asyncio
import math
import re
from collections.abc import Mapping
from hashlib import blake2b
from urllib.parse import unquote

from aiohttp import hdrs, web
from opentelemetry.context import Context

from knapweeddock.codes import ResultCode
from knapweeddock.entry import headers as header_names
from knapweeddock.entry.messages import IncomingRequest
from knapweeddock.errors import KnapweedError
from knapweeddock.events import Arrival, GrantUse, IdempotencyKey
from knapweeddock.ids import GrantId, Incarnation, RequestId, SiteId
from knapweeddock.settings import EntryLimits

MAX_KEY_LENGTH = 256
"""Maximum number of characters of an idempotency key, which limits the memory that the
key table uses."""

MAX_TIMEOUT_MS = 3_600_000
"""Maximum timeout that a request may specify."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
FINGERPRINT_BYTES = 16

_TARGET = re.compile(r"/[!-~]*")


class RequestRejected(KnapweedError):
    """The request is rejected before it is dispatched; it was not run."""


class RequestReader:
    """Reads requests and checks everything that does not depend on the configuration."""

    def __init__(self, *, limits: EntryLimits) -> None:
        self.limits = limits

    async def read(
        self, request: web.BaseRequest, request_id: RequestId, trace_context: Context
    ) -> IncomingRequest:
        """Read a request of a caller.

        Args:
            request: The request, whose body was not read yet.
            request_id: Identifier of the request within this process.
            trace_context: Trace context of the span in which the request is handled.

        Raises:
            RequestRejected: The request is malformed or too large, or its body did not
                arrive in time.
        """
        target = _parse_target(request)
        self._check_header_size(request)
        timeout_s = _parse_timeout_s(request.headers)
        key = parse_idempotency_key(request.headers)
        host = _parse_host(request.headers)
        body = await self._read_body(request, timeout_s)
        fingerprint = b"" if key is None else _fingerprint(request.method, target, body)
        arrival = Arrival(
            request=request_id,
            host=host,
            method=request.method,
            path=unquote(target.partition("?")[0]),
            timeout_s=timeout_s,
            key=key,
            fingerprint=fingerprint,
        )
        return _incoming_request(request, arrival, target, body, trace_context)

    async def read_granted(
        self, request: web.BaseRequest, request_id: RequestId, trace_context: Context
    ) -> IncomingRequest:
        """Read a request that another entry sends under a grant.

        Raises:
            RequestRejected: The request is malformed or too large, names no grant, or
                its body did not arrive in time.
        """
        target = _parse_target(request)
        self._check_header_size(request)
        timeout_s = _parse_timeout_s(request.headers)
        grant = _parse_grant(request.headers)
        host = _parse_host(request.headers)
        body = await self._read_body(request, timeout_s)
        arrival = Arrival(
            request=request_id,
            host=host,
            method=request.method,
            path=unquote(target.partition("?")[0]),
            timeout_s=timeout_s,
            grant_use=grant,
        )
        return _incoming_request(request, arrival, target, body, trace_context)

    def _check_header_size(self, request: web.BaseRequest) -> None:
        size = sum(len(name) + len(value) for name, value in request.raw_headers)
        if size > self.limits.header_limit:
            raise RequestRejected(
                f"headers have {size} bytes; at most {self.limits.header_limit} are allowed",
                code=ResultCode.HEADER_TOO_LARGE,
            )

    async def _read_body(self, request: web.BaseRequest, timeout_s: float | None) -> bytes:
        if not request.body_exists:
            return b""
        length = request.content_length
        if length is not None and length > self.limits.body_limit:
            raise self._body_too_large()
        if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
            await request.writer.write(CONTINUE_RESPONSE)
            request.writer.output_size = 0
        limit_s = self.limits.body_timeout_s
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s)
        try:
            async with asyncio.timeout(limit_s):
                return await self._collect_body(request)
        except TimeoutError:
            raise RequestRejected(
                f"the request body did not arrive within {limit_s} s",
                code=ResultCode.DEADLINE_PASSED,
            ) from None
        except web.RequestPayloadError as error:
            raise RequestRejected(f"the request body is malformed: {error}") from error

    async def _collect_body(self, request: web.BaseRequest) -> bytes:
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > self.limits.body_limit:
                raise self._body_too_large()
            chunks.append(chunk)
        return b"".join(chunks)

    def _body_too_large(self) -> RequestRejected:
        return RequestRejected(
            f"the request body exceeds {self.limits.body_limit} bytes",
            code=ResultCode.BODY_TOO_LARGE,
        )


def parse_idempotency_key(headers: Mapping[str, str]) -> IdempotencyKey | None:
    """Return the idempotency key, or None if one of its headers is missing.

    Raises:
        RequestRejected: A header of the key is malformed.
    """
    key = headers.get(header_names.IDEMPOTENCY_KEY)
    incarnation = headers.get(header_names.INCARNATION)
    not_after = headers.get(header_names.NOT_AFTER)
    if not key or not incarnation or not not_after:
        return None
    if len(key) > MAX_KEY_LENGTH or len(incarnation) > MAX_KEY_LENGTH:
        raise RequestRejected(
            f"{header_names.IDEMPOTENCY_KEY} and {header_names.INCARNATION} may have "
            f"{MAX_KEY_LENGTH} characters each"
        )
    if not (not_after.isascii() and not_after.isdigit() and len(not_after) <= 15):
        raise RequestRejected(
            f"{header_names.NOT_AFTER} is {not_after[:40]!r}; "
            "allowed: Unix time in ms as a whole number"
        )
    return IdempotencyKey(
        value=key, incarnation=Incarnation(incarnation), not_after=int(not_after) / 1000
    )


def _parse_grant(headers: Mapping[str, str]) -> GrantUse:
    grant = headers.get(header_names.GRANT)
    incarnation = headers.get(header_names.GRANT_INCARNATION)
    site = headers.get(header_names.GRANT_SITE)
    if not grant or not incarnation or not site:
        raise RequestRejected(
            f"{header_names.GRANT}, {header_names.GRANT_INCARNATION} and "
            f"{header_names.GRANT_SITE} are required here"
        )
    return GrantUse(grant=GrantId(grant), incarnation=Incarnation(incarnation), site=SiteId(site))


def _parse_timeout_s(headers: Mapping[str, str]) -> float | None:
    text = headers.get(header_names.DEADLINE_MS)
    if text is None:
        return None
    try:
        timeout_ms = float(text)
    except ValueError:
        timeout_ms = math.nan
    if not 0 <= timeout_ms <= MAX_TIMEOUT_MS:
        raise RequestRejected(
            f"{header_names.DEADLINE_MS} is {text[:40]!r}; "
            f"allowed: a number from 0 to {MAX_TIMEOUT_MS}"
        )
    return timeout_ms / 1000


def _parse_target(request: web.BaseRequest) -> str:
    """Return path and query; other forms of a request target are rejected."""
    target = request.raw_path
    if not _TARGET.fullmatch(target) or "#" in target or target.startswith("//"):
        raise RequestRejected(
            "the request target must be a path of printable ASCII characters, "
            "starting with a single '/'"
        )
    return target


def _parse_host(headers: Mapping[str, str]) -> str:
    """Return the host name without the port."""
    text = headers.get(hdrs.HOST, "")
    bracketed = text.startswith("[")
    host = text[1:].partition("]")[0] if bracketed else text.partition(":")[0]
    if not host:
        raise RequestRejected("the Host header is required; it selects the service")
    return host.lower()


def _fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return the digest that tells a repeated request from another one with the same key."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _incoming_request(
    request: web.BaseRequest, arrival: Arrival, target: str, body: bytes, trace_context: Context
) -> IncomingRequest:
    return IncomingRequest(
        arrival=arrival,
        method=request.method,
        target=target,
        headers=header_names.forwarded_request_headers(request.headers),
        body=body,
        trace_context=trace_context,
    )

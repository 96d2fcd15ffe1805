"""Headers, look-ups and readiness checks as the platform's clients and servers speak them."""

import math
import time
from email.utils import mktime_tz, parsedate_tz
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
import structlog

from knapweeddock.gateway.limits.serverlimit import MAX_LIMIT_PER_S
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.wire import (
    HeaderList,
    LookupQuery,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
    WireFormat,
)
from knapweeddock.http1.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
    get_cookie,
    get_header,
    get_header_text,
)
from knapweeddock.ids import FailureDomainId, RegionId, ServerId
from knapweeddock.platform.values import address_text

log = structlog.get_logger(__name__)

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
EXPECTED_SERVER = b"expected-instance"
SIGNATURE = b"response-signature"
LOAD = b"server-load"
NOT_RUN = b"not-executed"
SERVER_ID = b"instance-id"
WARMUP_MS = b"warmup-ms"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT = b"server-limit"
OBJECT_COOKIE = "Affinity-Key"

MISDIRECTED_STATUS = 421

MAX_COUNT_DIGITS = 9
"""Largest number of digits of a count or of a time in milliseconds in a header."""

MAX_DECIMAL_CHARACTERS = 32
"""Largest length of a decimal number in a header."""

DEFAULT_PAUSE_S = 1.0
"""Pause in seconds after a refusal whose ``Retry-After`` cannot be read."""

SET_ANEW = frozenset({DEADLINE_MS, EXPECTED_SERVER, b"content-length", b"expect"})
"""Request headers that are written for each server."""

CALLER_HEADERS = frozenset({b"authorization", b"cookie"})
"""Request headers that tell who sends a request."""

KEPT_FROM_CLIENTS = frozenset({b"content-length", LOAD, NOT_RUN, LEAVING, LIMIT})
"""Response headers that concern the gateway only."""

RESOLVE_PATH = "/api/resolve"
READY_PATH = "/api/ready"


class PlatformWire(WireFormat):
    """Translates messages of the platform's clients and servers."""

    def __init__(self) -> None:
        self._retry_after_fault_logged = False
        self._limit_fault_logged = False

    def parse_request(self, head: RequestHead) -> RequestMetadata:
        """Read a client's request."""
        return RequestMetadata(
            request_id=get_header_text(head.headers, REQUEST_ID),
            timeout_s=_milliseconds(head.headers, DEADLINE_MS),
            object_key=get_cookie(head.headers, OBJECT_COOKIE),
            caller=_caller(head.headers),
        )

    def forwarded_request_headers(
        self, head: RequestHead, *, server_id: ServerId | None, remaining_s: float
    ) -> HeaderList:
        """Return the headers of a client's request that is sent to a server or a peer."""
        headers = end_to_end_headers(head.headers, excluded=SET_ANEW)
        headers.append((b"Deadline-Ms", b"%d" % max(1, int(remaining_s * 1000))))
        if server_id is not None:
            headers.append((b"Expected-Instance", server_id.encode()))
        return headers

    def echoed_header(self, metadata: RequestMetadata) -> tuple[bytes, bytes] | None:
        """Return the header that a server's response repeats."""
        if not metadata.request_id:
            return None
        return REQUEST_ID, metadata.request_id.encode("latin-1")

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read a server's response."""
        server = get_header_text(head.headers, SERVER_ID)
        return ResponseMetadata(
            not_run=get_header(head.headers, NOT_RUN) is not None,
            misdirected=head.status == MISDIRECTED_STATUS,
            signed=get_header(head.headers, SIGNATURE) is not None,
            load=_load(head.headers),
            server_id=ServerId(server) if server else None,
            warmup_left_s=_milliseconds(head.headers, WARMUP_MS),
            leaving=any(
                name.lower() == LEAVING and value.strip() == b"1" for name, value in head.headers
            ),
            pause_s=self._pause_s(head),
            limit_per_s=self._limit_per_s(head),
        )

    def _limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the requests per second that a server names as its limit, or None."""
        text = get_header_text(head.headers, LIMIT)
        if not text:
            return None
        limit_per_s = _decimal(text)
        if limit_per_s is None and not self._limit_fault_logged:
            self._limit_fault_logged = True
            log.warning("server's limit cannot be used", value=text[:40])
        return limit_per_s

    def _pause_s(self, head: ResponseHead) -> float | None:
        """Return the pause that a server asks for with a refusal, or None."""
        text = get_header_text(head.headers, RETRY_AFTER)
        if head.status != HTTPStatus.SERVICE_UNAVAILABLE or not text:
            return None
        pause_s = _retry_after_s(text)
        if pause_s is not None and pause_s >= 0:
            return pause_s
        if not self._retry_after_fault_logged:
            self._retry_after_fault_logged = True
            log.warning("server's Retry-After cannot be used", value=text[:40])
        return DEFAULT_PAUSE_S if pause_s is None else 0.0

    def forwarded_response_headers(
        self, head: ResponseHead, metadata: RequestMetadata
    ) -> HeaderList:
        """Return the headers of a server's response that is sent to a client or a peer."""
        headers = end_to_end_headers(head.headers, excluded=KEPT_FROM_CLIENTS)
        if get_header(head.headers, REQUEST_ID) is None and metadata.request_id:
            headers.append((b"Request-Id", metadata.request_id.encode("latin-1")))
        return headers

    def error_headers(
        self, metadata: RequestMetadata | None, *, retry_after_s: float | None
    ) -> HeaderList:
        """Return the headers of a response of the gateway's own."""
        headers: HeaderList = []
        if metadata is not None and metadata.request_id:
            headers.append((b"Request-Id", metadata.request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        return headers

    def parse_lookup(self, head: RequestHead) -> LookupQuery | None:
        """Read a look-up, or return None when the request is none."""
        path, _, query = head.target.decode("latin-1").partition("?")
        if head.method != b"GET" or path != RESOLVE_PATH:
            return None
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        return LookupQuery(
            region=RegionId(fields.get("Region", "")),
            failure_domain=FailureDomainId(fields.get("Zone", "")),
        )

    def encode_lookup_response(self, addresses: list[Address], *, ttl_s: float) -> bytes:
        """Return the body of the answer to a look-up."""
        response = {
            "Addresses": [address_text(address) for address in addresses],
            "Ttl": f"{round(ttl_s * 1000)}ms",
        }
        return msgspec.json.encode(response)

    def is_readiness_check(self, head: RequestHead) -> bool:
        """Whether the request asks if the gateway is ready."""
        return head.method == b"GET" and head.target.partition(b"?")[0] == READY_PATH.encode()


def _caller(headers: Headers) -> bytes:
    """Return the headers by which servers can tell callers apart."""
    return b"\n".join(value for name, value in headers if name.lower() in CALLER_HEADERS)


def _milliseconds(headers: Headers, name: bytes) -> float | None:
    """Return a header that holds a whole number of milliseconds in seconds, or None."""
    text = get_header_text(headers, name)
    if not text.isdecimal() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text) / 1000


def _decimal(text: str) -> float | None:
    """Return a decimal number of at least 0, or None if the text is none or is absurd."""
    try:
        value = float(text) if len(text) <= MAX_DECIMAL_CHARACTERS else math.nan
    except ValueError:
        return None
    return value if 0 <= value <= MAX_LIMIT_PER_S else None


def _retry_after_s(text: str) -> float | None:
    """Return the delay that ``Retry-After`` gives in seconds or as a date, or None."""
    try:
        delay_s = float(text)
    except ValueError:
        date = parsedate_tz(text)
        if date is None:
            return None
        try:
            return max(0.0, mktime_tz(date) - time.time())
        except (ValueError, OverflowError):
            return None
    return None if math.isnan(delay_s) else delay_s


def _load(headers: Headers) -> ReportedLoad | None:
    """Read ``running,waiting,slots``."""
    parts = get_header_text(headers, LOAD).split(",")
    if len(parts) < 2 or not all(_is_count(part.strip()) for part in parts):
        return None
    # The platform counts the request that is being answered among the running ones.
    return ReportedLoad(running=max(0, int(parts[0]) - 1), waiting=int(parts[1]))


def _is_count(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_COUNT_DIGITS

"""Names of HTTP headers and rules for forwarding headers."""

from collections.abc import Iterable

from aiohttp import hdrs
from multidict import CIMultiDict, istr

from knapweeddock.tracing import TRACE_HEADERS

IDEMPOTENCY_KEY = istr("Idempotency-Key")
INCARNATION = istr("Knapweed-Incarnation")
NOT_AFTER = istr("Knapweed-Not-After")
DEADLINE_MS = istr("Knapweed-Deadline-Ms")

RESULT = istr("Knapweed-Result")
OUTCOME = istr("Knapweed-Outcome")
RETRY_AFTER_MS = istr("Knapweed-Retry-After-Ms")
ASK = istr("Knapweed-Ask")

GRANT = istr("Knapweed-Grant")
GRANT_INCARNATION = istr("Knapweed-Grant-Incarnation")
GRANT_SITE = istr("Knapweed-Grant-Site")

BACKEND_DEADLINE_MS = istr("Backend-Deadline-Ms")
BACKEND_NOT_RUN = istr("Backend-Not-Run")
BACKEND_DRAINING = istr("Backend-Draining")

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1)."""

EXCLUDED_REQUEST_HEADERS = HOP_BY_HOP | TRACE_HEADERS | {"content-length", "expect"}
"""Request headers that are not forwarded, since each connection sets its own."""

RESERVED_PREFIXES = ("knapweed-", "backend-")
"""Prefixes of headers of the system's own protocols, which are never forwarded so that
neither callers nor servers can forge them."""


def forwarded_request_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return the headers of a request that are forwarded."""
    return _end_to_end_headers(headers, EXCLUDED_REQUEST_HEADERS)


def forwarded_response_headers(headers: CIMultiDict[str], *, keep_length: bool) -> CIMultiDict[str]:
    """Return the headers of a response that are forwarded.

    Args:
        headers: Headers of the response.
        keep_length: Whether to forward Content-Length, as for a response to HEAD,
            which has no body.
    """
    excluded = HOP_BY_HOP if keep_length else HOP_BY_HOP | {"content-length"}
    return _end_to_end_headers(headers, excluded)


def _end_to_end_headers(headers: CIMultiDict[str], excluded: Iterable[str]) -> CIMultiDict[str]:
    connection_options = ",".join(headers.getall(hdrs.CONNECTION, []))
    if connection_options:
        excluded = set(excluded).union(
            name.strip().lower() for name in connection_options.split(",")
        )
    result: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower not in excluded and not lower.startswith(RESERVED_PREFIXES):
            result.add(name, value if value.isascii() else _replace_invalid_utf8(value))
    return result


def _replace_invalid_utf8(value: str) -> str:
    """Replace bytes that are not UTF-8, which aiohttp can read but not write."""
    return value.encode("utf-8", "surrogateescape").decode("utf-8", "replace")


def parse_retry_after_s(headers: CIMultiDict[str]) -> float | None:
    """Return the retry delay of a response in seconds, or None if it gives none."""
    for name, unit_s in ((RETRY_AFTER_MS, 0.001), (hdrs.RETRY_AFTER, 1.0)):
        text = headers.get(name, "")
        if text.isascii() and text.isdigit() and len(text) <= 9:
            return int(text) * unit_s
    return None

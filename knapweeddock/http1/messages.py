"""Heads of HTTP messages, their encoding, and the headers that a proxy forwards."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of header name and value in the order in which they were received."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Lower-case names of headers that apply to a single connection, so a proxy does not forward
them (RFC 9110, section 7.6.1)."""

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Request line and headers of a request.

    Attributes:
        method: Method, such as ``GET``.
        target: Request target as it was received, with the query.
        headers: All headers.
        is_http_1_0: Whether the protocol version of the request is HTTP/1.0.
        has_body: Whether a body follows.
    """

    method: bytes
    target: bytes
    headers: Headers
    is_http_1_0: bool = False
    has_body: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status line and headers of a response.

    Attributes:
        status: Status code.
        headers: All headers.
        content_length: Size of the body in bytes according to ``Content-Length``; None if
            the body ends otherwise or there is none.
    """

    status: int
    headers: Headers
    content_length: int | None = None


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header ``name`` (lower case), or None."""
    for field_name, value in headers:
        if field_name.lower() == name:
            return value
    return None


def get_header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers ``name`` (lower case)."""
    return [value for field_name, value in headers if field_name.lower() == name]


def get_header_text(headers: Headers, name: bytes) -> str:
    """Return the value of the first header ``name`` (lower case) as text, or ""."""
    value = get_header(headers, name)
    return "" if value is None else value.decode("latin-1").strip()


def get_cookie(headers: Headers, name: str) -> str:
    """Return the value of the first cookie ``name``, or ""."""
    for field_name, value in headers:
        if field_name.lower() != b"cookie":
            continue
        for pair in value.decode("latin-1").split(";"):
            cookie_name, separator, cookie_value = pair.strip().partition("=")
            if separator and cookie_name == name:
                return cookie_value
    return ""


def end_to_end_headers(
    headers: Headers, *, excluded: Collection[bytes] = ()
) -> list[tuple[bytes, bytes]]:
    """Return the headers that a proxy forwards.

    Args:
        headers: Headers of the received message.
        excluded: Lower-case names of further headers to remove, besides the
            hop-by-hop headers and those that ``Connection`` names.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    forwarded = []
    for name, value in headers:
        lower_name = name.lower()
        if (
            lower_name not in HOP_BY_HOP_HEADERS
            and lower_name not in excluded
            and lower_name not in connection_options
        ):
            forwarded.append((name, value))
    return forwarded


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the encoded request line and headers, including the empty line after them."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    return CRLF.join(lines) + CRLF + CRLF


def encode_response_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the encoded status line and headers, including the empty line after them."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
    lines += [name + b": " + value for name, value in headers]
    return CRLF.join(lines) + CRLF + CRLF


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` (not empty) as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of ``status``, or ``Status`` if there is none."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"


def is_bodiless(status: int) -> bool:
    """Return whether responses with ``status`` never have a body."""
    return status < 200 or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)

"""Digest by which a request is recognized when it comes again.

Two requests are the same if servers see the same: method, host, path, caller and body. What
differs between attempts of a client, such as the identifier of the attempt, the deadline and
the framing of the body, is left out.
"""

import hashlib

from knapweeddock.http1.messages import RequestHead
from knapweeddock.ids import RequestDigest

DIGEST_BYTES = 16

DIGESTED_BODY_BYTES = 64 * 1024
"""Length in bytes of the part of a body that is taken into account; a longer body is not in
memory as a whole."""


def request_digest(head: RequestHead, *, caller: bytes, body: bytes) -> RequestDigest:
    """Return the digest of a request.

    Args:
        head: Request line and headers.
        caller: Who sends the request, as far as servers can tell.
        body: The body, or as much of it as is in memory.
    """
    authority, path = split_target(head)
    parts = (head.method, authority.encode(), path.encode(), caller, body[:DIGESTED_BODY_BYTES])
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # With its length before each part, no two lists of parts give the same bytes.
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return RequestDigest(digest.digest())


def split_target(head: RequestHead) -> tuple[str, str]:
    """Return host and port in lower case, and path and query of a request."""
    target = head.target.decode("latin-1")
    if target.startswith(("http://", "https://")):
        authority, _, path = target.partition("://")[2].partition("/")
        path = "/" + path
    else:
        hosts = [value for name, value in head.headers if name.lower() == b"host"]
        authority = hosts[0].decode("latin-1") if hosts else ""
        path = target
    return authority.strip().lower(), path


def host_and_path(head: RequestHead) -> tuple[str, str] | None:
    """Return host and path of a request, by which it is routed.

    None if it has neither an absolute target nor exactly one ``Host`` header.
    """
    is_absolute = head.target.startswith((b"http://", b"https://"))
    if not is_absolute and sum(name.lower() == b"host" for name, _ in head.headers) != 1:
        return None
    authority, path = split_target(head)
    return authority.partition(":")[0], path.partition("?")[0]

import pytest

from knapweeddock.gateway.requests.requestdigest import (
    DIGESTED_BODY_BYTES,
    request_digest,
    split_target,
)
from knapweeddock.http1.messages import RequestHead


def head(target: str = "/a/b?c=1", method: str = "GET", host: str = "ring.example", **headers):
    names = {"Host": host, "Request-Id": "r1", "Deadline-Ms": "2000", **headers}
    return RequestHead(
        method=method.encode(),
        target=target.encode(),
        headers=tuple((name.encode(), value.encode()) for name, value in names.items()),
    )


def test_attempts_of_the_same_request_have_the_same_digest():
    first = request_digest(head(), caller=b"c", body=b"b")
    again = head(host="RING.example")
    again = RequestHead(
        method=again.method,
        target=again.target,
        headers=(
            (b"Host", b"RING.example"),
            (b"Request-Id", b"r2"),
            (b"Deadline-Ms", b"500"),
            (b"Transfer-Encoding", b"chunked"),
        ),
    )
    assert request_digest(again, caller=b"c", body=b"b") == first
    absolute = head("http://ring.example/a/b?c=1")
    assert request_digest(absolute, caller=b"c", body=b"b") == first


@pytest.mark.parametrize(
    ("request_head", "caller", "body"),
    [
        (head("/a/b?c=2"), b"c", b"b"),
        (head("/a/c?c=1"), b"c", b"b"),
        (head(method="POST"), b"c", b"b"),
        (head(host="other.example"), b"c", b"b"),
        (head(), b"d", b"b"),
        (head(), b"c", b"bb"),
        (head(), b"cb", b""),
    ],
)
def test_requests_that_servers_can_tell_apart_have_different_digests(request_head, caller, body):
    # An innocent request must not be refused for another one.
    assert request_digest(request_head, caller=caller, body=body) != request_digest(
        head(), caller=b"c", body=b"b"
    )


def test_long_body_is_recognized_by_its_beginning():
    # How much of it is in memory depends on how it arrives.
    body = b"x" * DIGESTED_BODY_BYTES
    first = request_digest(head(), caller=b"c", body=body)
    assert request_digest(head(), caller=b"c", body=body + b"more") == first


def test_target_without_a_host_is_split():
    bare = RequestHead(method=b"GET", target=b"/a", headers=())
    assert split_target(bare) == ("", "/a")

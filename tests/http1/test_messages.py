from knapweeddock.http1.messages import (
    encode_response_head,
    end_to_end_headers,
    get_cookie,
    get_header,
)


def test_headers_of_one_connection_are_not_passed_on():
    headers = (
        (b"Host", b"h"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-End", b"2"),
    )
    assert end_to_end_headers(headers) == [(b"Host", b"h"), (b"X-End", b"2")]


def test_named_headers_are_dropped_whatever_their_case():
    assert end_to_end_headers(((b"DEADLINE-ms", b"1"),), excluded={b"deadline-ms"}) == []


def test_header_is_found_whatever_its_case():
    assert get_header(((b"X-Name", b"v"),), b"x-name") == b"v"


def test_cookie_is_found_among_others():
    headers = ((b"Cookie", b"a=1; Key=17"), (b"cookie", b"b=2"))
    assert get_cookie(headers, "Key") == "17"
    assert get_cookie(headers, "b") == "2"
    assert get_cookie(headers, "missing") == ""


def test_unknown_status_has_a_reason():
    assert encode_response_head(799, []).startswith(b"HTTP/1.1 799 Status\r\n")

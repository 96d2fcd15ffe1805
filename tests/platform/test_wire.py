import msgspec

from knapweeddock.gateway.wire import RequestMetadata
from knapweeddock.http1.messages import RequestHead, ResponseHead
from knapweeddock.platform.wire import PlatformWire

WIRE = PlatformWire()


def request(*headers: tuple[bytes, bytes], target: bytes = b"/") -> RequestHead:
    return RequestHead(method=b"GET", target=target, headers=headers)


def response(*headers: tuple[bytes, bytes], status: int = 200) -> ResponseHead:
    return ResponseHead(status=status, headers=headers)


def test_request_facts():
    facts = WIRE.parse_request(
        request(
            (b"Request-Id", b"9c41"),
            (b"Deadline-Ms", b"2000"),
            (b"Cookie", b"other=1; Affinity-Key=17"),
        )
    )
    assert facts == RequestMetadata(
        request_id="9c41", timeout_s=2.0, object_key="17", caller=b"other=1; Affinity-Key=17"
    )


def test_caller_is_what_servers_can_tell_callers_apart_by():
    # Attempts of the same request differ in their identifier and deadline.
    headers = [(b"Authorization", b"token"), (b"Cookie", b"a=1")]
    first = WIRE.parse_request(request(*headers, (b"Request-Id", b"1"), (b"Deadline-Ms", b"9")))
    again = WIRE.parse_request(request(*headers, (b"Request-Id", b"2")))
    assert first.caller == again.caller == b"token\na=1"
    assert WIRE.parse_request(request(headers[0])).caller == b"token"


def test_malformed_budget_counts_as_none():
    for value in (b"", b"-5", b"soon", b"1" * 30):
        assert WIRE.parse_request(request((b"Deadline-Ms", value))).timeout_s is None


def test_server_request_names_the_server_and_the_time_left():
    headers = WIRE.forwarded_request_headers(
        request(
            (b"Host", b"h"),
            (b"Request-Id", b"9c41"),
            (b"Deadline-Ms", b"2000"),
            (b"Expected-Instance", b"forged"),
            (b"Connection", b"keep-alive"),
        ),
        server_id="i-1",
        remaining_s=1.5,
    )
    assert headers == [
        (b"Host", b"h"),
        (b"Request-Id", b"9c41"),
        (b"Deadline-Ms", b"1500"),
        (b"Expected-Instance", b"i-1"),
    ]


def test_response_facts():
    facts = WIRE.parse_response(
        response(
            (b"Server-Load", b"3,1,8"),
            (b"Response-Signature", b"s"),
            (b"Instance-Id", b"i-1"),
            (b"Warmup-Ms", b"1200"),
        )
    )
    assert facts.signed and not facts.not_run
    # The request that is being answered is among the three.
    assert (facts.load.running, facts.load.waiting) == (2, 1)
    assert facts.server_id == "i-1"
    assert facts.warmup_left_s == 1.2


def test_only_the_header_says_that_a_request_did_not_run():
    assert WIRE.parse_response(response((b"Not-Executed", b"1"), status=503)).not_run
    assert not WIRE.parse_response(response(status=503)).not_run


def test_malformed_load_is_ignored():
    for value in (b"", b"3", b"a,b,c", b"-1,2,3"):
        assert WIRE.parse_response(response((b"Server-Load", value))).load is None


def test_client_gets_no_headers_for_the_gateway():
    headers = WIRE.forwarded_response_headers(
        response((b"Server-Load", b"1,0,3"), (b"Response-Signature", b"s"), (b"X", b"y")),
        RequestMetadata(request_id=""),
    )
    assert headers == [(b"Response-Signature", b"s"), (b"X", b"y")]


def test_response_names_its_request_also_if_the_server_did_not():
    # A peer takes a response without it for one that may belong to another request.
    metadata = RequestMetadata(request_id="9c41")
    assert WIRE.forwarded_response_headers(response(), metadata) == [(b"Request-Id", b"9c41")]
    headers = WIRE.forwarded_response_headers(response((b"Request-Id", b"9c41")), metadata)
    assert headers == [(b"Request-Id", b"9c41")]


def test_refusal_tells_when_to_come_back():
    headers = WIRE.error_headers(RequestMetadata(request_id="9c41"), retry_after_s=0.25)
    assert headers == [(b"Request-Id", b"9c41"), (b"Retry-After", b"0.250")]


def test_lookup():
    query = WIRE.parse_lookup(request(target=b"/api/resolve?Name=h&Region=north&Zone=north-a"))
    assert (query.region, query.failure_domain) == ("north", "north-a")
    assert WIRE.parse_lookup(request(target=b"/other")) is None
    answer = msgspec.json.decode(WIRE.encode_lookup_response([("10.0.0.1", 81)], ttl_s=2.0))
    assert answer == {"Addresses": ["10.0.0.1:81"], "Ttl": "2000ms"}


def test_ready_check():
    assert WIRE.is_readiness_check(request(target=b"/api/ready"))
    assert not WIRE.is_readiness_check(request(target=b"/api/other"))


def limit_of(text: bytes) -> float | None:
    return WIRE.parse_response(response((b"Server-Limit", text))).limit_per_s


def test_limit_that_a_server_names():
    assert limit_of(b"2.5") == 2.5
    assert limit_of(b" 3 ") == 3.0
    assert limit_of(b"0") == 0.0
    assert WIRE.parse_response(response()).limit_per_s is None
    forwarded = WIRE.forwarded_response_headers(
        response((b"Server-Limit", b"2.5")), RequestMetadata(request_id="")
    )
    assert forwarded == []


def test_limit_that_is_no_number_counts_as_none():
    for text in (b"soon", b"-1", b"nan", b"inf", b"1e400", b"9" * 10_000, b"1,5", b""):
        assert limit_of(text) is None

"""Headers between gateways."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.gateway.peering.forwardedmessages import (
    MAX_HEADER_BYTES,
    REQUEST_HEADER,
    RESULT_HEADER,
    ForwardedRequest,
    ForwardedResult,
    Origin,
    encode_header,
    take_header,
)

REQUEST = ForwardedRequest(
    origin="front-1", version=7, service="ledger", sent_attempts=1, received_by=("i-1",)
)
RESULT = ForwardedResult(origin=Origin.NOT_RUN, active=3, code=ResultCode.PEER_BUSY)


def test_messages_arrive_and_the_other_headers_stay():
    # A client's own header of the same name comes later, and goes on to the server.
    others = ((b"Host", b"h"), (REQUEST_HEADER, b"the client's own"))
    headers = (encode_header(REQUEST_HEADER, REQUEST), *others)
    assert take_header(headers, REQUEST_HEADER, ForwardedRequest) == (REQUEST, others)
    headers = (encode_header(RESULT_HEADER, RESULT),)
    assert take_header(headers, RESULT_HEADER, ForwardedResult) == (RESULT, ())


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", b"[1]", b"\xff", b'{"origin":"x","version":"y","service":"z"}'],
)
def test_malformed_headers_are_errors(value):
    with pytest.raises(MessageError):
        take_header(((REQUEST_HEADER, value),), REQUEST_HEADER, ForwardedRequest)


def test_missing_and_large_headers_are_errors():
    with pytest.raises(MessageError):
        take_header(((b"Host", b"h"),), REQUEST_HEADER, ForwardedRequest)
    large = encode_header(
        REQUEST_HEADER,
        ForwardedRequest(origin="x" * MAX_HEADER_BYTES, version=7, service="ledger"),
    )
    with pytest.raises(MessageError):
        take_header((large,), REQUEST_HEADER, ForwardedRequest)


@given(st.binary(max_size=200))
def test_no_bytes_end_the_decoder(value):
    for name, kind in ((REQUEST_HEADER, ForwardedRequest), (RESULT_HEADER, ForwardedResult)):
        try:
            message, _ = take_header(((name, value),), name, kind)
        except MessageError:
            continue
        assert isinstance(message, kind)

import pytest
from multidict import CIMultiDict

from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.events import AttemptOutcome
from tests.entry.support import respond_ok, run_backend


def make_client():
    return HttpClient(buffer_limit=1000, header_limit=1000, connect_timeout_s=1.0)


def call_options(address):
    return {
        "address": address,
        "method": "PUT",
        "target": "/x",
        "headers": CIMultiDict(),
        "body": b"",
        "timeout_s": 1.0,
        "start_within_s": 1.0,
        "idempotent": False,
        "streaming": False,
    }


@pytest.mark.parametrize(
    "changed",
    [{"start_within_s": 0.0}, {"start_within_s": -5.0}, {"timeout_s": 0.0}, {"address": "h:99999"}],
)
async def test_a_call_that_must_not_be_sent_any_more_is_refused(changed):
    """Guards against a start after the not-after time when the process was paused."""
    client = make_client()
    async with run_backend(respond_ok) as server:
        options = call_options(server.address)
        result = await client.call(Call(**{**options, **changed}), lambda response: False)
        assert result.outcome is AttemptOutcome.CONNECT_FAILED
        assert server.request_heads == []
        result = await client.call(Call(**options), lambda response: False)
        assert result.outcome is AttemptOutcome.ANSWERED
    await client.close()


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_names_and_addresses_are_connected_to_and_refusals_recognised(host, idempotent):
    """Guards against the shortcut without name resolution breaking host names or IP addresses."""
    client = make_client()
    async with run_backend(respond_ok) as server:
        address = f"{host}:{server.address.rpartition(':')[2]}"
        call = Call(**{**call_options(address), "idempotent": idempotent})
        result = await client.call(call, lambda response: False)
        assert result.outcome is AttemptOutcome.ANSWERED
    refused = Call(**{**call_options(f"{host}:1"), "idempotent": idempotent})
    result = await client.call(refused, lambda response: False)
    assert result.outcome is AttemptOutcome.CONNECT_FAILED
    await client.close()


@pytest.mark.parametrize("address", ["\ufffd:80", "x" * 300 + ":80", "127.0.0.1\0:80"])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_address_that_cannot_be_encoded_is_unreachable(address, idempotent):
    """Guards against an error of another type, which no one on the way of a request expects."""
    client = make_client()
    call = Call(**{**call_options(address), "idempotent": idempotent})
    result = await client.call(call, lambda response: False)
    assert result.outcome is AttemptOutcome.CONNECT_FAILED
    await client.close()

import pytest
from multidict import CIMultiDict

from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.events import AttemptOutcome
from tests.entry.support import backend, ok


def client_of():
    return HttpClient(buffer_limit=1000, header_limit=1000, connect_timeout_s=1.0)


def options_of(address):
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
    "late",
    [{"start_within_s": 0.0}, {"start_within_s": -5.0}, {"timeout_s": 0.0}, {"address": "h:99999"}],
)
async def test_a_call_that_must_not_be_sent_any_more_is_refused(late):
    """Guards against a start after not-after when the process was paused."""
    client = client_of()
    async with backend(ok) as server:
        options = options_of(server.address)
        result = await client.call(Call(**{**options, **late}), lambda answer: False)
        assert result.outcome is AttemptOutcome.CONNECT_FAILED
        assert server.heads == []
        result = await client.call(Call(**options), lambda answer: False)
        assert result.outcome is AttemptOutcome.ANSWERED
    await client.close()


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_names_and_addresses_are_connected_to_and_refusals_recognised(host, idempotent):
    """Guards against a path without name resolution that breaks one of the two."""
    client = client_of()
    async with backend(ok) as server:
        address = f"{host}:{server.address.rpartition(':')[2]}"
        call = Call(**{**options_of(address), "idempotent": idempotent})
        result = await client.call(call, lambda answer: False)
        assert result.outcome is AttemptOutcome.ANSWERED
    refused = Call(**{**options_of(f"{host}:1"), "idempotent": idempotent})
    result = await client.call(refused, lambda answer: False)
    assert result.outcome is AttemptOutcome.CONNECT_FAILED
    await client.close()

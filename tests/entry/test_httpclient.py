import pytest
from multidict import CIMultiDict

from knapweeddock.entry.httpclient import Call, HttpClient
from knapweeddock.events import AttemptOutcome
from tests.entry.support import backend, ok


@pytest.mark.parametrize(
    "late",
    [{"start_within_s": 0.0}, {"start_within_s": -5.0}, {"timeout_s": 0.0}, {"address": "h:99999"}],
)
async def test_a_call_that_must_not_be_sent_any_more_is_refused(late):
    """Guards against a start after not-after when the process was paused."""
    client = HttpClient(buffer_limit=1000, header_limit=1000, connect_timeout_s=1.0)
    async with backend(ok) as server:
        options = {
            "address": server.address,
            "method": "PUT",
            "target": "/x",
            "headers": CIMultiDict(),
            "body": b"",
            "timeout_s": 1.0,
            "start_within_s": 1.0,
            "idempotent": False,
            "streaming": False,
        }
        result = await client.call(Call(**{**options, **late}), lambda answer: False)
        assert result.outcome is AttemptOutcome.REFUSED
        assert server.heads == []
        result = await client.call(Call(**options), lambda answer: False)
        assert result.outcome is AttemptOutcome.ANSWERED
    await client.close()

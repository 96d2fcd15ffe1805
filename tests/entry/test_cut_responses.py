"""Responses of servers that end after any byte, as the entry process receives them."""

import pytest

from knapweeddock.entry.httpclient import Call
from knapweeddock.events import AttemptOutcome
from tests.entry.test_httpclient import call_options, make_client
from tests.http1.scripted import read_head, reset, scripted_server
from tests.http1.test_cut_responses import RESPONSES


async def receive(data: bytes, *, with_reset: bool, idempotent: bool) -> AttemptOutcome:
    """Return the outcome of a call whose response ends after ``data``."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(data)
        await writer.drain()
        if with_reset:
            reset(writer)

    client = make_client()
    async with scripted_server(script) as (host, port):
        options = {**call_options(f"{host}:{port}"), "method": "GET", "idempotent": idempotent}
        result = await client.call(Call(**options), lambda response: True)
    await client.close()
    return result.outcome


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("with_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["length", "length of 0", "chunked", "closing"])
async def test_response_that_is_cut_after_any_byte_is_no_answer(kind, with_reset, idempotent):
    """Guards against a short or empty body that looks whole after a server stopped in a head."""
    whole = RESPONSES[kind]
    for end in range(len(whole)):
        outcome = await receive(whole[:end], with_reset=with_reset, idempotent=idempotent)
        assert outcome is not AttemptOutcome.ANSWERED
    assert await receive(whole, with_reset=False, idempotent=True) is AttemptOutcome.ANSWERED

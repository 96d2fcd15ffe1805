"""Servers that end their connection after any byte of a response."""

import itertools

import pytest

from standins.byteserver import Behaviour, ByteServer, ReceivedRequest, ServerConnection
from tests.platform.test_repeated_responses import NOT_RUN, WAYS, running_servers

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

STEP = 3
"""Every such byte of a response is tried as its end; test_cut_responses of http1 tries all."""


def cuts_responses(*, with_reset: bool, interim: bytes, chunked: bool) -> Behaviour:
    """Send one byte more of a response each time, and never all of it."""
    ends = itertools.count(step=STEP)

    async def behave(
        server: ByteServer, request: ReceivedRequest, connection: ServerConnection
    ) -> bool:
        server.ran.append(request.request_id)
        whole = server.answer(request)
        if chunked:
            head, _, body = whole.partition(b"\r\n\r\n")
            lines = [line for line in head.split(b"\r\n") if b"Content-Length" not in line]
            head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
            whole = head + b"\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        whole = interim + whole
        await connection.write(whole[: next(ends) % len(whole)])
        if with_reset:
            connection.reset()
        return False

    return behave


@WAYS
@pytest.mark.parametrize("with_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["", "behind an interim response"])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/"), ("POST", "/book/")])
async def test_response_that_is_cut_is_no_success_and_no_refusal(
    tmp_path, method, path, chunked, interim, with_reset, over_peer
):
    # Clients got a 200 with an empty or short body that was framed as whole.
    behave = cuts_responses(with_reset=with_reset, interim=interim, chunked=chunked)
    settings = tmp_path / "boot.toml"
    async with running_servers(settings, behave, count=2, over_peer=over_peer) as (world, servers):
        for number in range(100):
            name = f"r{number}"
            reply = await world.ask(f"{path}{name}", method=method, request_id=name, key=name)
            ran = sum(server.ran.count(name) for server in servers)
            assert not 200 <= reply.status < 300
            assert not (ran and reply.status in NOT_RUN)
            assert ran <= 1 or method == "GET"
        assert sum(len(server.ran) for server in servers) >= 50

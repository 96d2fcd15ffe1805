"""Reading members: a broken look-up process must not hide those that work."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from knapweeddock.errors import PeerUnavailable
from knapweeddock.state import MemberState
from knapweeddock.statusclient import HttpStatusSource


async def test_next_process_is_asked_after_a_failure():
    answers = iter(["{", '{"config_version": "x"}'])

    async def broken(_request: web.Request) -> web.Response:
        return web.Response(text=next(answers))

    async def working(_request: web.Request) -> web.Response:
        member = {"vm": "v1", "failure_domain": "d", "state": "leaving", "config_version": None}
        return web.json_response({"config_version": 4, "members": [member], "later": 1})

    first = web.Application()
    first.add_routes([web.get("/v1/status", broken)])
    second = web.Application()
    second.add_routes([web.get("/v1/status", working)])
    async with TestServer(first) as one, TestServer(second) as two:
        urls = [str(one.make_url("/")), str(two.make_url("/"))]
        status = await HttpStatusSource(urls=urls).fetch()
        assert status.config_version == 4
        assert status.members[0].state is MemberState.LEAVING
        assert not status.members[0].serves
        with pytest.raises(PeerUnavailable, match="no look-up process answered"):
            await HttpStatusSource(urls=urls[:1]).fetch()


async def test_refused_connection(unused_tcp_port):
    with pytest.raises(PeerUnavailable, match=str(unused_tcp_port)):
        await HttpStatusSource(urls=[f"http://127.0.0.1:{unused_tcp_port}"]).fetch()

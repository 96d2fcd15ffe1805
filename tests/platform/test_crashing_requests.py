"""Requests that end every server that begins to run them, and come again and again.

Guards against a gateway that sends such a request to one server after the other.
"""

import pytest

from tests.platform.world import World, running_world

MAX_FURTHER_TRIES = 3
"""How often such a request may reach servers after three of them have ended."""

ENDS_ALLOWED = 3


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


def end_servers_under(world: World, request_ids: list[str]) -> None:
    """Let each server end as soon as it runs a request with one of the identifiers."""
    for server in world.servers.values():
        server.on_run = lambda server, request, _: request in request_ids and server.end()


def tries(world: World, request_ids: list[str]) -> int:
    return sum(request in request_ids for request in world.ran())


@pytest.mark.parametrize(("path", "method"), [("/read/worst", "GET"), ("/book/worst", "POST")])
async def test_request_that_ends_servers_is_refused_after_three_of_them(
    settings_path, path, method
):
    request_ids = [f"q{index}" for index in range(30)]
    async with running_world(settings_path, servers=12) as world:
        end_servers_under(world, request_ids)
        replies = [
            await world.ask(path, method=method, request_id=request_id)
            for index, request_id in enumerate(request_ids)
        ]
        assert tries(world, request_ids) <= ENDS_ALLOWED + MAX_FURTHER_TRIES
        assert replies[-1].status == 503
        assert float(replies[-1].headers["retry-after"]) > 0
        other = await world.ask("/read/other", request_id="innocent")
        assert other.status == 200

"""Servers that name in their responses how many requests per second they take."""

import pytest

from tests.platform.world import running_world

WINDOW_S = 4.0


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


def most_in_a_window(arrived_at: list[float]) -> int:
    """Return the largest number of requests that arrived within ``WINDOW_S`` seconds."""
    return max(
        (sum(start <= at < start + WINDOW_S for at in arrived_at) for start in arrived_at),
        default=0,
    )


def allowed_in_a_window(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


async def test_server_does_not_get_more_than_the_limit_that_it_has_named(settings_path):
    # A server in need was sent its usual share of the requests, whatever it named.
    async with running_world(settings_path, servers=2) as world:
        await world.settle()
        for server in world.servers.values():
            server.limit = "0.5"
        for index in range(40):
            await world.ask("/read/a", request_id=f"q{index}", key=str(index))
        for server in world.servers.values():
            assert most_in_a_window(server.arrived_at) <= allowed_in_a_window(0.5)


async def test_requests_beyond_the_limit_go_to_the_other_server(settings_path):
    async with running_world(settings_path, servers=2) as world:
        await world.settle()
        world.servers["i-0"].limit = "0.5"
        replies = [
            await world.ask("/read/a", request_id=f"q{index}", key=str(index))
            for index in range(40)
        ]
        assert {reply.status for reply in replies} == {200}
        reached = world.servers["i-0"].arrived_at
        assert 0 < most_in_a_window(reached) <= allowed_in_a_window(0.5)


async def test_limit_ends_when_the_server_no_longer_names_it(settings_path):
    async with running_world(settings_path, servers=1) as world:
        await world.settle()
        server = world.servers["i-0"]
        server.limit = "1"
        assert (await world.ask("/read/a", request_id="told")).status == 200
        server.limit = ""
        assert (await world.ask("/read/a", request_id="over")).status == 200
        for index in range(20):
            assert (await world.ask("/read/a", request_id=f"q{index}")).status == 200


async def test_requests_that_no_server_may_get_are_refused_at_once(settings_path):
    async with running_world(settings_path, servers=1) as world:
        await world.settle()
        world.servers["i-0"].limit = "0.25"
        assert (await world.ask("/book/a", method="POST", request_id="q0")).status == 200
        assert (await world.ask("/book/a", method="POST", request_id="q1")).status == 200
        reply = await world.ask("/book/a", method="POST", request_id="q2", budget_ms=60_000)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert world.servers["i-0"].ran == ["q0", "q1"]

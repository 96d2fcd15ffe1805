"""Gateways that have lost their links to servers, while all others reach both."""

import asyncio
import itertools
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from knapweeddock.gateway.service import Gateway
from standins import documents
from tests.platform.cutlinks import CutLinks, NewConnections, OpenConnections, cut_links
from tests.platform.world import World, running_world
from tests.waiting import until

STABLE_WINDOW_S = 3.0
"""Time in seconds after the begin of a cut from which callers must be served."""

TIMEOUT = "4s"
BUDGET_MS = 4000
"""Timeouts of routes and of clients. All parts run in one process, which stalls for more than a
second where others use the processors."""

CUTS = list(itertools.product(NewConnections, OpenConnections))
CUT_NAMES = [f"{new.value}, {open_ones.value}" for new, open_ones in CUTS]

NORTH = [("front-north-a-2", "north-a"), ("front-north-b-1", "north-b")]


class Region:
    """A world with several gateways, each of which can be cut off.

    Attributes:
        world: The world; its own gateway is the first one.
        gateways: All gateways.
        links: Links of the gateways to servers, in the same order.
    """

    def __init__(self, world: World, gateways: list[Gateway], links: list[CutLinks]) -> None:
        self.world = world
        self.gateways = gateways
        self.links = links

    async def statuses(
        self,
        gateway: Gateway,
        name: str,
        count: int,
        *,
        path: str = "/read/a",
        method: str = "GET",
        gap_s: float = 0.03,
    ) -> Counter[int]:
        """Return how many requests ended with each status; they are sent at a fixed rate."""
        tasks = []
        for index in range(count):
            tasks.append(
                asyncio.create_task(
                    self.world.ask(
                        f"{path}{index}",
                        method=method,
                        key=str(index),
                        request_id=f"{name}-{index}",
                        budget_ms=BUDGET_MS,
                        gateway=gateway,
                    )
                )
            )
            await asyncio.sleep(gap_s)
        return Counter(reply.status for reply in await asyncio.gather(*tasks))


@asynccontextmanager
async def running_region(path, others=NORTH, *, servers=6):
    """Run a region of gateways whose servers stand in two failure domains."""
    async with running_world(path, servers=servers) as world, AsyncExitStack() as stack:
        for index, (name, server) in enumerate(world.servers.items()):
            zone = "north-a" if index % 2 else "north-b"
            world.store.put("servers", name, server.entry(world.addresses[name], zone, "ledger"))
        rows = [
            documents.route_row("r-read", "/read/", "safe", Timeout=TIMEOUT),
            documents.route_row("r-book", "/book/", "unsafe", Timeout=TIMEOUT),
        ]
        world.store.put("config", "main", documents.config("00000008", rows))
        gateways = [world.gateway]
        for node, zone in others:
            gateways.append(await stack.enter_async_context(world.another_gateway(node, zone)))
        links = [await stack.enter_async_context(cut_links(world, each)) for each in gateways]
        count = len(gateways)
        await until(lambda: all(len(each.routing_state.gateways) == count for each in gateways))
        await until(lambda: all(knows_all(each, count) for each in gateways))
        await until(lambda: all(each.routing_state.config.version == 8 for each in gateways))
        yield Region(world, gateways, links)


def knows_all(gateway: Gateway, count: int) -> bool:
    """Whether a gateway knows that all gateways serve."""
    now = asyncio.get_running_loop().time()
    members = list(gateway.feed.live_members(now))
    return sum(member.phase.value == "serving" for member in members) == count


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


@pytest.mark.parametrize(("new", "open_ones"), CUTS, ids=CUT_NAMES)
@pytest.mark.parametrize(("path", "method"), [("/read/", "GET"), ("/book/", "POST")])
async def test_callers_of_a_gateway_that_reaches_no_server_are_served(
    settings_path, new, open_ones, path, method
):
    # Whatever such a gateway knows, it can only refuse, for as long as the cut lasts.
    async with running_region(settings_path) as region:
        cut, other = region.gateways[0], region.gateways[1]
        await region.statuses(cut, "before", 15, path=path, method=method)
        region.links[0].begin(new, open_ones)
        await region.statuses(cut, "early", 15, path=path, method=method, gap_s=0.2)
        cut_served, other_served = await asyncio.gather(
            region.statuses(cut, "cut", 40, path=path, method=method),
            region.statuses(other, "other", 40, path=path, method=method),
        )
        assert other_served == {200: 40}
        assert cut_served == {200: 40}
        assert max(Counter(region.world.ran()).values()) == 1


@pytest.mark.parametrize("new", NewConnections, ids=lambda each: each.value)
async def test_first_request_after_a_cut_is_served(settings_path, new):
    # Without traffic nothing has told the gateway that it is cut off.
    async with running_region(settings_path) as region:
        region.links[0].begin(new, OpenConnections.HANG)
        await asyncio.sleep(STABLE_WINDOW_S)
        assert (await region.statuses(region.gateways[0], "first", 1)) == {200: 1}


@pytest.mark.parametrize("new", NewConnections, ids=lambda each: each.value)
async def test_more_requests_than_connections_that_live_on(settings_path, new):
    # One refused connection must not end the service of all. With twelve servers, none is so
    # busy that a request is refused for its wait.
    async with running_region(settings_path, servers=12) as region:
        for server in region.world.servers.values():
            server.work_s = 0.25
        await region.statuses(region.gateways[0], "before", 10)
        region.links[0].begin(new, OpenConnections.LIVE)
        await region.statuses(region.gateways[0], "early", 30, gap_s=0.1)
        assert (await region.statuses(region.gateways[0], "cut", 60)) == {200: 60}


FIVE = [*NORTH, ("front-north-a-3", "north-a"), ("front-north-b-2", "north-b")]


async def test_most_gateways_of_a_region_are_cut_off(settings_path):
    async with running_region(settings_path, FIVE) as region:
        for links in region.links[:3]:
            links.begin(NewConnections.HANG, OpenConnections.HANG)
        await asyncio.gather(
            *(
                region.statuses(each, f"early-{each.settings.vm}", 15, gap_s=0.2)
                for each in region.gateways
            )
        )
        served = await asyncio.gather(
            *(region.statuses(each, each.settings.vm, 20) for each in region.gateways)
        )
        assert served == [{200: 20}] * 5

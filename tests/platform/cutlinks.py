"""Cuts one gateway off from backend servers, while everybody else reaches both."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Collection
from dataclasses import dataclass
from enum import Enum

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.records import Address
from knapweeddock.gateway.service import Gateway
from knapweeddock.http1.client import HttpClientConnection, connect
from soak.links import Link, LinkFault, running_link
from tests.platform.world import World


class NewConnections(Enum):
    """What becomes of connections that the gateway opens to a server during a cut."""

    HANG = "new ones hang"
    REFUSED = "new ones are refused"


class OpenConnections(Enum):
    """What becomes of connections to a server that are open when a cut begins."""

    HANG = "open ones hang"
    RESET = "open ones are reset"
    LIVE = "open ones live on"


LINK_FAULTS = {
    OpenConnections.HANG: LinkFault.SILENT,
    OpenConnections.RESET: LinkFault.RESET,
    OpenConnections.LIVE: LinkFault.NONE,
}


@dataclass(kw_only=True)
class CutLinks:
    """The links from one gateway to all servers.

    Attributes:
        links: Links by the address of the server.
        cut: Addresses of the servers that are cut off.
        new: What becomes of new connections to these.
        opened: Number of connections that the gateway has tried to open.
    """

    links: dict[Address, Link]
    cut: frozenset[Address] = frozenset()
    new: NewConnections = NewConnections.HANG
    opened: int = 0

    async def open(self, address: Address, *, timeout_s: float) -> HttpClientConnection:
        """Open a connection to a server, as the gateway does."""
        self.opened += 1
        if address in self.cut and self.new is NewConnections.HANG:
            await asyncio.sleep(timeout_s)
        if address in self.cut:
            raise PeerUnavailable(f"{address[0]}:{address[1]}: cut off")
        connection = await connect(self.links[address].address, timeout_s=timeout_s)
        connection.address = address
        return connection

    def begin(
        self,
        new: NewConnections,
        open_ones: OpenConnections,
        addresses: Collection[Address] | None = None,
    ) -> None:
        """Cut the gateway off from some servers, or from all."""
        self.cut = frozenset(self.links if addresses is None else addresses)
        self.new = new
        for address in self.cut:
            self.links[address].disturb(LINK_FAULTS[open_ones])

    def end(self) -> None:
        """Let the gateway reach all servers again."""
        for address in self.cut:
            self.links[address].disturb(LinkFault.NONE)
        self.cut = frozenset()


@contextlib.asynccontextmanager
async def cut_links(world: World, gateway: Gateway) -> AsyncIterator[CutLinks]:
    """Take the connections of a gateway to servers through links within the block."""
    async with contextlib.AsyncExitStack() as stack:
        links = {
            address: await stack.enter_async_context(running_link(address))
            for address in world.addresses.values()
        }
        cut = CutLinks(links=links)
        gateway.server_connector.open_connection = cut.open
        yield cut

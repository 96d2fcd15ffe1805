"""A TCP proxy that stands for a link of limited bandwidth."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from knapweeddock.gateway.records import Address

CHUNK_BYTES = 4096


class SlowLink:
    """Passes bytes on to ``target``; the way back from it has a limited rate.

    Attributes:
        target: Address to which connections are passed on.
        bytes_per_s: Rate of the way back, for all connections together.
        address: Address at which the link accepts connections.
        passed_bytes: Number of bytes that have passed on the way back.
    """

    def __init__(self, *, target: Address, bytes_per_s: float) -> None:
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.address: Address = ("", 0)
        self.passed_bytes = 0
        self._link = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect one client to the target until one of them closes."""
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        ways = [
            asyncio.create_task(self._pass_on(reader, far_writer, limited=False)),
            asyncio.create_task(self._pass_on(far_reader, writer, limited=True)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            far_writer.close()
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, limited: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if limited:
                    async with self._link:
                        await asyncio.sleep(len(data) / self.bytes_per_s)
                    self.passed_bytes += len(data)
                writer.write(data)
                await writer.drain()


@contextlib.asynccontextmanager
async def slow_link(target: Address, *, bytes_per_s: float) -> AsyncIterator[SlowLink]:
    """Run a link to ``target`` within the block."""
    link = SlowLink(target=target, bytes_per_s=bytes_per_s)
    server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
    link.address = server.sockets[0].getsockname()[:2]
    try:
        yield link
    finally:
        server.close()

"""A TCP proxy on loopback whose connections can be disturbed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from enum import Enum

CHUNK_BYTES = 64 * 1024


class LinkFault(Enum):
    """What is wrong with a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_FORWARD = "cut forward"
    CUT_BACK = "cut back"
    SILENT = "silent"


class Direction(Enum):
    """Which way bytes go."""

    FORWARD = "forward"
    BACK = "back"


CUT = {
    LinkFault.CUT_FORWARD: {Direction.FORWARD},
    LinkFault.CUT_BACK: {Direction.BACK},
    LinkFault.SILENT: {Direction.FORWARD, Direction.BACK},
}
"""Directions that each fault holds back. Bytes are passed on once it is over, as
TCP repeats what was lost."""


class Link:
    """Passes connections on to ``target``.

    Attributes:
        target: Address behind the link.
        address: Address of the link, set while it runs.
        delay_s: Delay of each chunk under ``LinkFault.DELAY``, in seconds.
    """

    def __init__(self, *, target: tuple[str, int], delay_s: float = 0.15) -> None:
        self.target = target
        self.delay_s = delay_s
        self.address = ("", 0)
        self._fault = LinkFault.NONE
        self._changed = asyncio.Event()
        self._transports: set[asyncio.WriteTransport] = set()

    @property
    def fault(self) -> LinkFault:
        """What is wrong with the link."""
        return self._fault

    def disturb(self, fault: LinkFault) -> None:
        """Set what is wrong from now on, for open connections too."""
        self._fault = fault
        self._changed.set()
        self._changed = asyncio.Event()
        if fault is LinkFault.RESET:
            for transport in list(self._transports):
                transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on until both directions have ended."""
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._abortable(writer))
            try:
                there_reader, there_writer = await asyncio.open_connection(*self.target)
            except OSError:
                return
            stack.enter_context(self._abortable(there_writer))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(Direction.FORWARD, reader, there_writer))
                group.create_task(self._pass_on(Direction.BACK, there_reader, writer))

    @contextlib.contextmanager
    def _abortable(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._transports.add(writer.transport)
        try:
            yield
        except BaseException:
            writer.transport.abort()
            raise
        finally:
            self._transports.discard(writer.transport)
        writer.close()

    async def _pass_on(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._open(direction)
            writer.write(data)
            await writer.drain()
        await self._open(direction)
        writer.write_eof()

    async def _open(self, direction: Direction) -> None:
        if self._fault is LinkFault.DELAY:
            await asyncio.sleep(self.delay_s)
        while direction in CUT.get(self._fault, ()):
            await self._changed.wait()


@contextlib.asynccontextmanager
async def running_link(target: tuple[str, int]) -> AsyncIterator[Link]:
    """Run a link to ``target`` within the block."""
    link = Link(target=target)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.current_task())
        # Connections end by either side, by a fault or with the link; all is normal here.
        with contextlib.suppress(OSError, ExceptionGroup, asyncio.CancelledError):
            await link.serve(reader, writer)
        tasks.discard(asyncio.current_task())

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link.address = server.sockets[0].getsockname()[:2]
    try:
        yield link
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

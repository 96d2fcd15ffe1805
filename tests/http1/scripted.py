"""TCP servers for tests that exchange raw bytes, and functions that read HTTP messages."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

READ_TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def scripted_server(script: Script) -> AsyncIterator[tuple[str, int]]:
    """Run a server that calls ``script`` for each connection and closes the connection afterwards.

    Connection errors and early end of file in a script are ignored. Any other
    exception of a script is raised when the block ends.

    Yields:
        Host and port on which the server listens.
    """
    failures = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except Exception as error:
            failures.append(error)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[:2]
    finally:
        server.close()
    if failures:
        raise failures[0]


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read a message head, including the empty line that ends it."""
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await reader.readuntil(b"\r\n\r\n")


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Read until the peer closes the connection."""
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await reader.read()


def respond_with(*parts: bytes) -> Script:
    """Return a script that responds to each request with the next of ``parts``."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            await read_head(reader)
            writer.write(part)
            await writer.drain()
        await reader.read()

    return script


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort the connection of ``writer`` without flushing its buffer."""
    writer.transport.abort()

"""Raw TCP ends for tests: a server that follows a script, a client that sends bytes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

READ_S = 5.0


@contextlib.asynccontextmanager
async def scripted_server(script: Script) -> AsyncIterator[tuple[str, int]]:
    """Run ``script`` for each connection; its end closes the connection."""
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
    """Read up to the end of a message's head."""
    async with asyncio.timeout(READ_S):
        return await reader.readuntil(b"\r\n\r\n")


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Read until the connection ends."""
    async with asyncio.timeout(READ_S):
        return await reader.read()


def answering(*parts: bytes) -> Script:
    """Return a script that answers each request with the next part."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            await read_head(reader)
            writer.write(part)
            await writer.drain()
        await reader.read()

    return script


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection of ``writer``."""
    writer.transport.abort()

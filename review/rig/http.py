"""Messages of HTTP/1.1 as the stand-ins read and write them."""

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Message:
    """A request or a response.

    Attributes:
        start: Words of the first line.
        headers: Headers by lower-case name.
        body: The body, or what was received of it.
        complete: Whether the body was received completely.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, or None when the connection ends before it."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    message = Message(start=lines[0].split(" ", 2))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message, *, until_end: bool) -> None:
    """Read the body of ``message``.

    Args:
        reader: The connection.
        message: The message, to which the body is added.
        until_end: Whether a body without length lasts until the end of the connection.
    """
    try:
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            await _read_chunks(reader, message)
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif until_end:
            message.body = await reader.read()
        message.complete = True
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
    except OSError:
        return


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole request, or None when the connection ends before it."""
    request = await read_head(reader)
    if request is None:
        return None
    await read_body(reader, request, until_end=False)
    return request if request.complete else None


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

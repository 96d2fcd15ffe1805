"""Minimal HTTP/1.1 reading and writing on asyncio streams, from the standard library alone."""

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Message:
    """A request or a response.

    Attributes:
        first: The parts of its first line.
        headers: Header values by lower-case name.
        body: Its body.
        whole: Whether all of it arrived.
    """

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    message = Message(first=line.decode("latin-1").strip().split(" ", 2))
    while line := await reader.readline():
        text = line.decode("latin-1").strip()
        if not text:
            return message
        name, _, value = text.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    raise asyncio.IncompleteReadError(b"", None)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, or b"" at its end."""
    line = await reader.readline()
    size = int(line.strip() or b"x", 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, message: Message, *, is_response: bool) -> None:
    """Read the body of ``message`` as its headers say."""
    headers = message.headers
    if "chunked" in headers.get("transfer-encoding", ""):
        while chunk := await read_chunk(reader):
            message.body += chunk
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif is_response and message.status not in (204, 304):
        message.body = await reader.read()


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Return the next message, or None at the end of the connection.

    Raises:
        OSError: The connection was reset.
        IncompleteReadError: It ended within the message.
    """
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, is_response=is_response)
    return message


def encode(first: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Return a message; its length is stated unless ``body`` is None."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")

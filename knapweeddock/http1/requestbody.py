"""Body of a request, readable while it is being received."""

import asyncio
from collections import deque
from collections.abc import Callable

from knapweeddock.errors import IncompleteRequest

HIGH_WATER_BYTES = 256 * 1024
"""Unread bytes of a body above which the connection stops reading from its socket."""


class RequestBody:
    """Queue of the received parts of a request body, for a single reader.

    Attributes:
        complete: Whether the whole body was received.
        received_bytes: Size in bytes of what was received so far.
        discarding: Whether received parts are dropped because the body is not read.
    """

    def __init__(self, *, on_consumed: Callable[[], None]) -> None:
        self.complete = False
        self.received_bytes = 0
        self.discarding = False
        self._on_consumed = on_consumed
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._aborted = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_above_high_water(self) -> bool:
        """Whether more than ``HIGH_WATER_BYTES`` are unread."""
        return self._unread_bytes > HIGH_WATER_BYTES

    def feed(self, data: bytes) -> None:
        """Add a received part."""
        self.received_bytes += len(data)
        if self.discarding:
            return
        self._chunks.append(data)
        self._unread_bytes += len(data)
        self._wake_reader()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake_reader()

    def abort(self) -> None:
        """Make reads fail instead of waiting, since no more of the body will arrive."""
        self._aborted = True
        self._wake_reader()

    def discard(self) -> None:
        """Drop the unread parts and all parts that are received later."""
        self.discarding = True
        self._chunks.clear()
        self._unread_bytes = 0
        self._on_consumed()

    async def read_prefix(self, limit: int) -> bytes:
        """Return the whole body, or its start if it has more than ``limit`` bytes.

        The start has more than ``limit`` bytes, too.

        Args:
            limit: Number of bytes. If it exceeds ``HIGH_WATER_BYTES``, a body of more
                than ``HIGH_WATER_BYTES`` never arrives completely, since the connection
                stops reading above that mark.

        Raises:
            IncompleteRequest: The client disconnected, or its request was rejected,
                before the method had enough of the body.
        """
        while not self.complete and self._unread_bytes <= limit:
            await self._wait_for_data()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._unread_bytes = 0
        self._on_consumed()
        return data

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end of the body.

        Raises:
            IncompleteRequest: The client disconnected, or its request was rejected,
                before the body was complete.
        """
        while not self._chunks:
            if self.complete:
                return b""
            await self._wait_for_data()
        chunk = self._chunks.popleft()
        self._unread_bytes -= len(chunk)
        self._on_consumed()
        return chunk

    async def _wait_for_data(self) -> None:
        if self._aborted:
            raise IncompleteRequest(
                "request body is incomplete: the client disconnected or its request was rejected"
            )
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

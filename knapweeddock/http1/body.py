"""Body of a request that is still being received."""

import asyncio
from collections import deque
from collections.abc import Callable

from knapweeddock.errors import ClientGone

HIGH_WATER_BYTES = 256 * 1024
"""Unread bytes of a body at which the connection stops reading."""


class RequestBody:
    """Parts of a body in the order in which they arrive.

    Attributes:
        complete: Whether the whole body was received.
        received: Bytes received so far.
        discarding: Whether further parts are dropped because nobody reads them.
    """

    def __init__(self, *, on_consumed: Callable[[], None]) -> None:
        self.complete = False
        self.received = 0
        self.discarding = False
        self._on_consumed = on_consumed
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._aborted = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_above_high_water(self) -> bool:
        """Whether more is unread than should be kept."""
        return self._unread_bytes > HIGH_WATER_BYTES

    def feed(self, data: bytes) -> None:
        """Take in a received part."""
        self.received += len(data)
        if self.discarding:
            return
        self._chunks.append(data)
        self._unread_bytes += len(data)
        self._wake_reader()

    def finish(self) -> None:
        """Note that the body is complete."""
        self.complete = True
        self._wake_reader()

    def abort(self) -> None:
        """Note that the client is gone."""
        self._aborted = True
        self._wake_reader()

    def discard(self) -> None:
        """Drop what is unread and all that still comes."""
        self.discarding = True
        self._chunks.clear()
        self._unread_bytes = 0
        self._on_consumed()

    async def first_part(self, limit: int) -> bytes:
        """Return the body, or its start when it has more than ``limit`` bytes.

        Raises:
            ClientGone: The client left before.
        """
        while not self.complete and self._unread_bytes <= limit:
            await self._wait_for_data()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._unread_bytes = 0
        self._on_consumed()
        return data

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end.

        Raises:
            ClientGone: The client left before the body was complete.
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
            raise ClientGone("the client left before its request was complete")
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

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

    def __init__(self, *, on_drained: Callable[[], None]) -> None:
        self.complete = False
        self.received = 0
        self.discarding = False
        self._on_drained = on_drained
        self._chunks: deque[bytes] = deque()
        self._unread = 0
        self._gone = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def over_high_water(self) -> bool:
        """Whether more is unread than should be kept."""
        return self._unread > HIGH_WATER_BYTES

    def feed(self, data: bytes) -> None:
        """Take in a received part."""
        self.received += len(data)
        if self.discarding:
            return
        self._chunks.append(data)
        self._unread += len(data)
        self._wake()

    def finish(self) -> None:
        """Note that the body is complete."""
        self.complete = True
        self._wake()

    def fail(self) -> None:
        """Note that the client is gone."""
        self._gone = True
        self._wake()

    def discard(self) -> None:
        """Drop what is unread and all that still comes."""
        self.discarding = True
        self._chunks.clear()
        self._unread = 0
        self._on_drained()

    async def first_part(self, limit: int) -> bytes:
        """Return the body, or its start when it has more than ``limit`` bytes.

        Raises:
            ClientGone: The client left before.
        """
        while not self.complete and self._unread <= limit:
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._unread = 0
        self._on_drained()
        return data

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end.

        Raises:
            ClientGone: The client left before the body was complete.
        """
        while not self._chunks:
            if self.complete:
                return b""
            await self._wait()
        chunk = self._chunks.popleft()
        self._unread -= len(chunk)
        self._on_drained()
        return chunk

    async def _wait(self) -> None:
        if self._gone:
            raise ClientGone("the client left before its request was complete")
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

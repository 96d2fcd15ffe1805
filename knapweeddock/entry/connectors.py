"""How connections to backend servers and other entries are opened and checked."""

import asyncio
import re
import select
from collections import defaultdict
from dataclasses import dataclass

import aiohttp
import structlog
from aiohttp import ClientRequest, ClientTimeout
from aiohttp.client_proto import ResponseHandler

log = structlog.get_logger(__name__)

MAX_SPARES = 3
"""Spare connections per server; a server usually runs three requests at a time."""

OPEN_DELAY_S = 0.002
"""Time after which a spare connection is replaced, so that the request that
took it is written first."""

_IPV4 = re.compile(r"[0-9]+(\.[0-9]+){3}")
_READABLE = select.POLLIN | select.POLLRDHUP


class CleanConnector(aiohttp.TCPConnector):
    """Never reuses a connection on which data arrived while it was idle.

    Such data is a late answer to an earlier request; aiohttp would take it
    for the answer to the next one.
    """

    async def connect(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> aiohttp.connector.Connection:
        """Return a connection that holds no unread data."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()

    async def _create_connection(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> ResponseHandler:
        """Connect to an IPv4 address without name resolution and its races."""
        host = req.url.host or ""
        if not _IPV4.fullmatch(host):
            return await super()._create_connection(req, traces, timeout)
        try:
            _, protocol = await self._loop.create_connection(self._factory, host, req.url.port)
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return protocol


@dataclass(kw_only=True, eq=False, slots=True)
class Spare:
    """A connection on which nothing was sent yet, and the timer that closes it."""

    protocol: ResponseHandler
    expiry: asyncio.TimerHandle


class SpareConnector(CleanConnector):
    """Opens connections ahead of their use; each is used once.

    A server to which a connection was needed gets a spare one for the next
    request. A spare that is not used within ``idle_s`` is closed.

    Attributes:
        idle_s: Longest time that a spare waits; 0 opens none.
        spares: Spare connections by address, the newest last.
        opening: Tasks that open spares, by address.
    """

    def __init__(self, *, idle_s: float, connect_timeout_s: float, **options: object) -> None:
        super().__init__(**options)
        self.idle_s = idle_s
        self.connect_timeout_s = connect_timeout_s
        self.spares: defaultdict[str, list[Spare]] = defaultdict(list)
        self.opening: defaultdict[str, set[asyncio.Task[None]]] = defaultdict(set)
        self.timers: set[asyncio.TimerHandle] = set()

    def keep_only(self, addresses: set[str]) -> None:
        """Close the spares to servers outside ``addresses``."""
        for address in (self.spares.keys() | self.opening.keys()) - addresses:
            self.drop(address)

    def drop(self, address: str) -> None:
        """Close the spares to a server, since one of its connections failed."""
        for task in self.opening.pop(address, ()):
            task.cancel()
        for spare in self.spares.pop(address, ()):
            spare.expiry.cancel()
            spare.protocol.close()

    def drop_spares(self) -> None:
        """Close all spares and open none any more."""
        self.idle_s = 0.0
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.keep_only(set())

    async def _create_connection(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> ResponseHandler:
        """Return a spare connection, or a new one if there is none."""
        host = req.url.host or ""
        if self.idle_s <= 0 or not _IPV4.fullmatch(host):
            return await super()._create_connection(req, traces, timeout)
        address = f"{host}:{req.url.port}"
        protocol = self._take(address)
        if protocol is None:
            protocol = await super()._create_connection(req, traces, timeout)
        self._replace(address)
        return protocol

    def _take(self, address: str) -> ResponseHandler | None:
        spares = self.spares[address]
        while spares:
            spare = spares.pop()
            spare.expiry.cancel()
            if is_untouched(spare.protocol):
                return spare.protocol
            spare.protocol.close()
        return None

    def _replace(self, address: str) -> None:
        def start() -> None:
            self.timers.discard(timer)
            if len(self.spares[address]) + len(self.opening[address]) < MAX_SPARES:
                task = self._loop.create_task(self._open(address))
                self.opening[address].add(task)
                task.add_done_callback(self.opening[address].discard)

        timer = self._loop.call_later(OPEN_DELAY_S, start)
        self.timers.add(timer)

    async def _open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, protocol = await self._loop.create_connection(self._factory, host, int(port))
        except OSError as error:
            # The next request finds out by itself and reports it as refused.
            log.debug("spare connection failed", address=address, error=repr(error))
            return
        if self.idle_s <= 0:
            protocol.close()
            return
        spare = Spare(
            protocol=protocol,
            expiry=self._loop.call_later(self.idle_s, lambda: self._expire(address, spare)),
        )
        self.spares[address].append(spare)

    def _expire(self, address: str, spare: Spare) -> None:
        self.spares[address].remove(spare)
        spare.protocol.close()


def is_untouched(protocol: ResponseHandler) -> bool:
    """Whether a connection is open and the other side has sent nothing, not even its end.

    The socket is asked, since the event loop may not have seen the end yet.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), _READABLE)
    return not poll.poll(0)

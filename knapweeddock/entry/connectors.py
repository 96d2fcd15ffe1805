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

MAX_SPARE_CONNECTIONS = 3
"""Spare connections per server; a server usually runs three requests at a time."""

SPARE_OPEN_DELAY_S = 0.002
"""Time after which a spare connection is replaced, so that the request that
took it is written first."""

_IPV4 = re.compile(r"[0-9]+(\.[0-9]+){3}")
_READ_EVENTS = select.POLLIN | select.POLLRDHUP


class CheckedConnector(aiohttp.TCPConnector):
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
class SpareConnection:
    """A connection on which nothing was sent yet, and the timer that closes it."""

    protocol: ResponseHandler
    expiry_timer: asyncio.TimerHandle


class SpareConnector(CheckedConnector):
    """Opens connections ahead of their use; each is used once.

    A server to which a connection was needed gets a spare one for the next
    request. A spare that is not used within ``idle_s`` is closed.

    Attributes:
        idle_s: Longest time that a spare waits; 0 opens none.
        spares: Spare connections by address, the newest last.
        opening: Tasks that open spares, by address.
    """

    def __init__(
        self, *, idle_timeout_s: float, connect_timeout_s: float, **options: object
    ) -> None:
        super().__init__(**options)
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.spares: defaultdict[str, list[SpareConnection]] = defaultdict(list)
        self.open_tasks: defaultdict[str, set[asyncio.Task[None]]] = defaultdict(set)
        self.open_timers: set[asyncio.TimerHandle] = set()

    def keep_only(self, addresses: set[str]) -> None:
        """Close the spares to servers outside ``addresses``."""
        for address in (self.spares.keys() | self.open_tasks.keys()) - addresses:
            self.close_spares(address)

    def close_spares(self, address: str) -> None:
        """Close the spares to a server, since one of its connections failed."""
        for task in self.open_tasks.pop(address, ()):
            task.cancel()
        for spare in self.spares.pop(address, ()):
            spare.expiry_timer.cancel()
            spare.protocol.close()

    def close_all_spares(self) -> None:
        """Close all spares and open none any more."""
        self.idle_timeout_s = 0.0
        for timer in self.open_timers:
            timer.cancel()
        self.open_timers.clear()
        self.keep_only(set())

    async def _create_connection(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> ResponseHandler:
        """Return a spare connection, or a new one if there is none."""
        host = req.url.host or ""
        if self.idle_timeout_s <= 0 or not _IPV4.fullmatch(host):
            return await super()._create_connection(req, traces, timeout)
        address = f"{host}:{req.url.port}"
        protocol = self._take_spare(address)
        if protocol is None:
            protocol = await super()._create_connection(req, traces, timeout)
        self._schedule_open(address)
        return protocol

    def _take_spare(self, address: str) -> ResponseHandler | None:
        spares = self.spares[address]
        while spares:
            spare = spares.pop()
            spare.expiry_timer.cancel()
            if is_usable(spare.protocol):
                return spare.protocol
            spare.protocol.close()
        return None

    def _schedule_open(self, address: str) -> None:
        def open_if_needed() -> None:
            self.open_timers.discard(timer)
            if len(self.spares[address]) + len(self.open_tasks[address]) < MAX_SPARE_CONNECTIONS:
                task = self._loop.create_task(self._open_spare(address))
                self.open_tasks[address].add(task)
                task.add_done_callback(self.open_tasks[address].discard)

        timer = self._loop.call_later(SPARE_OPEN_DELAY_S, open_if_needed)
        self.open_timers.add(timer)

    async def _open_spare(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, protocol = await self._loop.create_connection(self._factory, host, int(port))
        except OSError as error:
            # The next request finds out by itself and reports it as refused.
            log.debug("spare connection failed", address=address, error=repr(error))
            return
        if self.idle_timeout_s <= 0:
            protocol.close()
            return
        spare = SpareConnection(
            protocol=protocol,
            expiry_timer=self._loop.call_later(
                self.idle_timeout_s, lambda: self._expire(address, spare)
            ),
        )
        self.spares[address].append(spare)

    def _expire(self, address: str, spare: SpareConnection) -> None:
        self.spares[address].remove(spare)
        spare.protocol.close()


def is_usable(protocol: ResponseHandler) -> bool:
    """Whether a connection is open and the other side has sent nothing, not even its end.

    The socket is asked, since the event loop may not have seen the end yet.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), _READ_EVENTS)
    return not poll.poll(0)

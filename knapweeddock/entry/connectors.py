"""aiohttp connectors that open and check connections to backend servers and entries."""

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
"""Limit per server; a server usually runs three requests at a time."""

SPARE_OPEN_DELAY_S = 0.002
"""Delay before the next spare connection is opened, so that the request that needed a
connection is written first."""

_IPV4 = re.compile(r"[0-9]+(\.[0-9]+){3}")
_READ_EVENTS = select.POLLIN | select.POLLRDHUP


class CheckedConnector(aiohttp.TCPConnector):
    """Does not reuse a connection that received data while it was idle.

    Such data is a late response to an earlier request; aiohttp would return it as the
    response to the next one.
    """

    async def connect(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> aiohttp.connector.Connection:
        """Return a connection without unread data."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()

    async def _create_connection(
        self, req: ClientRequest, traces: list, timeout: ClientTimeout
    ) -> ResponseHandler:
        """Connect to an IPv4 address directly, without name resolution or Happy Eyeballs."""
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
    """An open connection on which no request was sent yet.

    Attributes:
        protocol: Protocol of the connection.
        expiry_timer: Closes the connection after its idle timeout.
    """

    protocol: ResponseHandler
    expiry_timer: asyncio.TimerHandle


class SpareConnector(CheckedConnector):
    """Opens connections ahead of their use; each carries one request.

    When a request needs a connection to a server, a spare one is opened for the next
    request. A spare that is not used within ``idle_timeout_s`` is closed.

    Attributes:
        idle_timeout_s: Time in seconds after which an unused spare is closed; 0
            disables spares.
        connect_timeout_s: Timeout in seconds for opening a spare.
        spares: Spare connections by address, the newest last.
        open_tasks: Tasks that open spares, by address.
        open_timers: Timers that start such tasks.
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
        """Close the spares to all servers that are not in ``addresses``."""
        for address in (self.spares.keys() | self.open_tasks.keys()) - addresses:
            self.close_spares(address)

    def close_spares(self, address: str) -> None:
        """Close the spares to a server after one of its connections failed."""
        for task in self.open_tasks.pop(address, ()):
            task.cancel()
        for spare in self.spares.pop(address, ()):
            spare.expiry_timer.cancel()
            spare.protocol.close()

    def close_all_spares(self) -> None:
        """Close all spares and stop opening new ones."""
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
            # The next request opens its own connection and reports the failure as refused.
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
    """Return whether an unused connection is open and has received neither data nor EOF.

    Polls the socket, since the event loop may not have processed an EOF yet.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), _READ_EVENTS)
    return not poll.poll(0)

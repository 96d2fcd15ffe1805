"""A gateway between a stand-in store and stand-in servers, in one process."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import random
import socket
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from knapweeddock.gateway.service import Gateway
from knapweeddock.platform.settings import load
from knapweeddock.platform.store import PlatformStoreClient, store_http
from knapweeddock.platform.wire import PlatformWire
from standins import documents
from standins.metastore import MetaStore, running_metastore
from standins.platformserver import PlatformServer, running_server
from tests.http1.scripted import read_head
from tests.waiting import until

GATEWAY_PORTS = (32_000, 32_768)
"""Ports of gateways, above those of processes that tests start and below those that the system
gives to outgoing connections, which would take one before the gateway binds it."""

TEST_PROCESSES = 8
"""Number of test processes among which the ports are divided."""


@dataclass(kw_only=True)
class Reply:
    """A response as the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(kw_only=True)
class World:
    """The parts of a small deployment."""

    store: MetaStore
    gateway: Gateway
    stop: asyncio.Event
    running: asyncio.Task[None]
    path: Path
    settings_text: str
    store_address: str = ""
    servers: dict[str, PlatformServer] = field(default_factory=dict)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)

    def ran(self) -> list[str]:
        """Return the identifiers of all requests that servers ran."""
        return [each for server in self.servers.values() for each in server.ran]

    async def ask(
        self,
        path: str,
        *,
        method: str = "GET",
        key: str = "17",
        budget_ms: int = 2000,
        request_id: str = "q1",
        body: bytes = b"",
        host: str = "ring.example",
        gateway: Gateway | None = None,
    ) -> Reply:
        """Send a request on a connection of its own, to the first gateway if none is given."""
        front = (gateway or self.gateway).settings.front
        reader, writer = await asyncio.open_connection(*front)
        writer.write(
            request_bytes(
                path,
                method=method,
                key=key,
                budget_ms=budget_ms,
                request_id=request_id,
                body=body,
                host=host,
            )
        )
        try:
            return await read_reply(reader)
        finally:
            writer.close()

    async def restart(self) -> None:
        """End the gateway like a process that is killed, and start it again."""
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        text = self.settings_text.replace("Bootstrap = true", "Bootstrap = false")
        started = _start(self.path, text, self.store)
        self.gateway, self.stop, self.running = started.gateway, started.stop, started.running
        await until(lambda: self.gateway.phase.value == "serving")

    async def settle(self) -> None:
        """Wait until the gateway may use its part of limits, some seconds after its start."""
        await until(lambda: self.gateway.quota_members.has_part(time.monotonic()))

    @contextlib.asynccontextmanager
    async def another_gateway(self, node: str, zone: str) -> AsyncIterator[Gateway]:
        """Run one more gateway on the same store within the block."""
        text = settings_for(self.store_address, node=node, zone=zone)
        started = _start(self.path.with_name(f"{node}.toml"), text, self.store)
        try:
            await until(lambda: started.gateway.phase.value == "serving" or started.running.done())
            yield started.gateway
        finally:
            started.running.cancel()
            await asyncio.gather(started.running, return_exceptions=True)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the gateway's front port."""
        return await asyncio.open_connection(*self.gateway.settings.front)

    async def get(self, address: tuple[str, int], target: str) -> Reply:
        """Send a plain request to one of the gateway's ports."""
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        try:
            return await read_reply(reader)
        finally:
            writer.close()


def request_bytes(
    path: str,
    *,
    method: str = "GET",
    key: str = "17",
    budget_ms: int = 2000,
    request_id: str = "q1",
    body: bytes = b"",
    host: str = "ring.example",
) -> bytes:
    """Return a client's request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
        f"Cookie: Affinity-Key={key}\r\nDeadline-Ms: {budget_ms}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one response with a length."""
    head = (await read_head(reader)).decode()
    status_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length)
    return Reply(status=int(status_line.split()[1]), headers=headers, body=body)


def _own_ports() -> Iterator[int]:
    """Return the ports of this test process, in turns, so that no two uses are close together."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % TEST_PROCESSES
    ports = list(range(*GATEWAY_PORTS))[worker::TEST_PROCESSES]
    random.shuffle(ports)
    return itertools.cycle(ports)


_ports = _own_ports()


def free_port() -> int:
    """Return a port that is free now and that nobody else is given meanwhile."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("no port is left")


def settings_for(store: str, **changes: str) -> str:
    """Return the settings of a gateway with ports of its own."""
    return documents.settings_text(
        peer=free_port(),
        front=free_port(),
        ready=free_port(),
        lookup=free_port(),
        store=store,
        **changes,
    )


@contextlib.asynccontextmanager
async def running_world(
    path: Path, *, servers: int = 2, configured: bool = True, grace: str = "6s"
) -> AsyncIterator[World]:
    """Run a gateway with ``servers`` servers within the block."""
    async with contextlib.AsyncExitStack() as stack:
        store, store_address = await stack.enter_async_context(running_metastore())
        if configured:
            store.put("config", "main", documents.config())
        found = {}
        addresses = {}
        for index in range(servers):
            name = f"i-{index}"
            found[name], addresses[name] = await stack.enter_async_context(running_server(name))
            entry = found[name].entry(addresses[name], "north-a", "ledger")
            store.put("servers", name, entry)
        store_text = f"{store_address[0]}:{store_address[1]}"
        world = _start(path, settings_for(store_text, grace=grace), store)
        world.store_address = store_text
        world.servers = found
        world.addresses = addresses
        try:
            await until(lambda: world.gateway.front_listener.is_listening or world.running.done())
            if configured:
                await until(lambda: world.gateway.phase.value == "serving")
            yield world
        finally:
            world.running.cancel()
            await asyncio.gather(world.running, return_exceptions=True)


def _start(path: Path, text: str, store: MetaStore) -> World:
    path.write_text(text)
    settings = dataclasses.replace(
        load(path),
        metrics=("127.0.0.1", free_port()),
        forwarding=("127.0.0.1", free_port()),
    )
    store_client = PlatformStoreClient(
        http=store_http(settings.store.address), regions=settings.regions
    )
    gateway = Gateway(settings=settings, store_client=store_client, wire=PlatformWire())
    stop = asyncio.Event()
    running = asyncio.create_task(gateway.run(stop))
    return World(
        store=store, gateway=gateway, stop=stop, running=running, path=path, settings_text=text
    )

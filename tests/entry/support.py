"""Scripted backend servers, configurations and entry processes on loopback, for tests."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from yarl import URL

from knapweeddock.entry.service import EntryService
from knapweeddock.model import BackendServer, Config, RequestClass, Service, Site
from knapweeddock.settings import EntryLimits, EntryListen, EntrySettings
from knapweeddock.state import Member, MemberState, NodeState

CLOSED_ADDRESS = "127.0.0.1:1"


@dataclass
class ScriptedBackend:
    """Backend server whose responses are written as raw bytes by a script.

    The script is called with the number, head and body of the request and the stream
    writer, and returns whether the connection stays open.
    """

    script: object
    request_heads: list[str] = field(default_factory=list)
    request_bodies: list[bytes] = field(default_factory=list)
    connections: int = 0
    closed_connections: int = 0
    address: str = ""
    tasks: set = field(default_factory=set)

    async def serve(self, reader, writer):
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split()[1]
                length = get_header(head, "content-length")
                body = await reader.readexactly(int(length or 0))
                if path in ("/health", "/load"):
                    writer.write(http_response(b'{"status": "ok", "in_flight": 0}'))
                    continue
                self.request_heads.append(head)
                self.request_bodies.append(body)
                if not await self.script(len(self.request_heads), head, body, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        finally:
            writer.close()


def get_header(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return None


def http_response(body=b"ok", *, status="200 OK", headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


@asynccontextmanager
async def run_backend(script):
    scripted = ScriptedBackend(script)
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    scripted.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield scripted
    finally:
        server.close()
        for task in scripted.tasks:
            task.cancel()


async def respond_ok(number, head, body, writer):
    writer.write(http_response(b"ok"))
    return True


def make_config(addresses, *, deadline_ms=2000, failure_domain="d1"):
    classes = {
        "read": RequestClass(
            methods=["GET", "HEAD"],
            path_prefix="/",
            idempotent=True,
            pool="p",
            deadline_ms=deadline_ms,
        ),
        "write": RequestClass(
            methods=["POST", "PUT", "DELETE"],
            path_prefix="/",
            idempotent=False,
            pool="p",
            deadline_ms=deadline_ms,
        ),
        "bulk": RequestClass(
            methods=["GET"],
            path_prefix="/bulk",
            idempotent=True,
            pool="p",
            streaming=True,
            deadline_ms=deadline_ms,
        ),
    }
    servers = {f"s{n}": BackendServer(address=address) for n, address in enumerate(addresses)}
    site = Site(pool="p", failure_domain=failure_domain, servers=servers)
    return Config(
        services={"ledger": Service(hosts=["ledger.test"], classes=classes)},
        sites={"p-d1": site},
    )


def make_member(service, state=MemberState.SERVING):
    return Member(
        vm=service.settings.vm,
        failure_domain=service.settings.failure_domain,
        incarnation=service.incarnation,
        state=state,
        public_address=service.ports.public.address,
        internal_address=service.ports.internal.address,
        lending_address=service.ports.lending.address,
    )


def make_settings(*, vm="vm1", failure_domain="d1", agent=CLOSED_ADDRESS, **limits):
    return EntrySettings(
        vm=vm,
        failure_domain=failure_domain,
        listen=EntryListen(host="127.0.0.1"),
        agent=agent,
        limits=EntryLimits(**limits),
    )


def apply_snapshot(service, config, *others, version=1, **fields):
    """Apply a snapshot in the same way as ``AgentLink``."""
    members = {m.vm: m for m in (make_member(service), *others)}
    state = NodeState(config_version=version, config=config, members=members, **fields)
    service.dispatch_loop.update(state)
    for listener in service.agent_link.listeners:
        listener(state)


@asynccontextmanager
async def run_entry(config=None, *, settings=None, wait=True):
    service = EntryService(settings=settings or make_settings(), takeover_delay_s=0.0)
    await service.start()
    try:
        if config is not None:
            apply_snapshot(service, config)
        if wait:
            await wait_until(lambda: service.proxy_handler.member_state is MemberState.SERVING)
        yield service
    finally:
        await service.stop()


async def wait_until(condition, timeout_s=10):
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


class Caller:
    """HTTP client that calls one entry."""

    def __init__(self, service):
        self.service = service
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.session.close()

    def key_headers(self, name="k1", *, lifetime_ms=60_000, incarnation=None):
        return {
            "Idempotency-Key": name,
            "Knapweed-Incarnation": incarnation or self.service.incarnation,
            "Knapweed-Not-After": str(int(self.service.clock.wall() * 1000) + lifetime_ms),
        }

    def request(self, method, path, *, headers=None, **options):
        url = URL(f"http://{self.service.ports.public.address}{path}", encoded=True)
        return self.session.request(
            method, url, headers={"Host": "ledger.test", **(headers or {})}, **options
        )


@dataclass
class EntryRig:
    servers: list
    service: EntryService
    caller: Caller

    @property
    def server(self):
        return self.servers[0]

    async def send(self, method, path="/x", **options):
        """Send a request; return the response and its body."""
        async with self.caller.request(method, path, **options) as response:
            return response, await response.read()


@asynccontextmanager
async def run_rig(*scripts, deadline_ms=2000, addresses=(), **limits):
    """Run scripted servers, an entry in front of them and a caller."""
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(run_backend(script)) for script in scripts]
        config = make_config([*(s.address for s in servers), *addresses], deadline_ms=deadline_ms)
        service = await stack.enter_async_context(
            run_entry(config, settings=make_settings(**limits))
        )
        caller = await stack.enter_async_context(Caller(service))
        yield EntryRig(servers, service, caller)

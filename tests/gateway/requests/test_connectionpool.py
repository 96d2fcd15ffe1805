import asyncio

from knapweeddock.gateway.requests import connectionpool
from knapweeddock.gateway.requests.connectionpool import ConnectionPool
from knapweeddock.http1.client import HttpClientConnection, connect
from tests.gateway.support import make_server
from tests.http1.scripted import respond_with, scripted_server
from tests.waiting import until

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def open_connection(entry) -> HttpClientConnection:
    return await connect(entry.address, timeout_s=5.0)


async def run_exchange(pool: ConnectionPool, entry, *, idempotent: bool = True):
    """Take a connection and run an exchange on it."""
    connection = await pool.acquire(entry, idempotent=idempotent)
    connection.start_exchange(REQUEST)
    await connection.read_head()
    await connection.read()
    return connection


async def test_idle_connection_is_used_again():
    async with scripted_server(respond_with(RESPONSE, RESPONSE)) as address:
        pool = ConnectionPool(connect=open_connection, get_max_idle=lambda _: 4)
        entry = make_server("a", address=address)
        first = await run_exchange(pool, entry)
        pool.release(entry, first)
        assert await run_exchange(pool, entry) is first
        assert pool.connections_opened == 1


async def test_non_idempotent_request_gets_no_long_idle_connection(monkeypatch):
    # A connection that was idle for long may be dead. Whether a request sent on it
    # has run would be unknown.
    monkeypatch.setattr(connectionpool, "NON_IDEMPOTENT_MAX_IDLE_S", 0.01)
    async with scripted_server(respond_with(RESPONSE, RESPONSE)) as address:
        pool = ConnectionPool(connect=open_connection, get_max_idle=lambda _: 4)
        entry = make_server("a", address=address)
        first = await run_exchange(pool, entry)
        pool.release(entry, first)
        await asyncio.sleep(0.03)
        assert await run_exchange(pool, entry, idempotent=False) is not first
        assert await run_exchange(pool, entry) is first


async def test_idle_connections_are_bounded():
    # A server accepts a limited number of connections from all gateways together; the
    # idle ones of a gateway have to stay within its share.
    async with scripted_server(respond_with(RESPONSE)) as address:
        pool = ConnectionPool(connect=open_connection, get_max_idle=lambda _: 1)
        entry = make_server("a", address=address)
        connections = [await run_exchange(pool, entry) for _ in range(3)]
        for connection in connections:
            pool.release(entry, connection)
        await until(lambda: sum(connection.closed for connection in connections) == 2)
        assert connections[-1].reusable


async def test_connections_to_servers_that_are_gone_are_closed():
    async with scripted_server(respond_with(RESPONSE)) as address:
        pool = ConnectionPool(connect=open_connection, get_max_idle=lambda _: 1)
        entry = make_server("a", address=address)
        connection = await run_exchange(pool, entry)
        pool.release(entry, connection)
        pool.retain_servers({"b"})
        await until(lambda: connection.closed)
        assert not connection.reusable

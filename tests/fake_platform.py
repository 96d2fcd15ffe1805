"""Platform HTTP server on loopback for tests, backed by the in-memory store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable, VersionConflict
from knapweeddock.ids import Version
from knapweeddock.objectstore import ABSENT, MemoryObjectStore, StoredObject


def _object_response(found: StoredObject | None, missing_status: int) -> web.Response:
    if found is None:
        return web.Response(status=missing_status)
    return web.Response(body=found.value, headers={"ETag": f'"{found.version}"'})


REQUESTS = web.AppKey("requests", list)


@web.middleware
async def _map_errors(request: web.Request, handler) -> web.StreamResponse:
    request.app[REQUESTS].append(request.method)
    try:
        return await handler(request)
    except StoreUnavailable:
        return web.Response(status=503)
    except RateLimited as error:
        return web.Response(status=429, headers={"Retry-After": str(error.retry_after_s)})
    except VersionConflict:
        return web.Response(status=412)
    except OutcomeUnknown:
        request.transport.close()
        return web.Response()


class FakePlatform:
    """HTTP handlers of the platform's API."""

    def __init__(self) -> None:
        self.store = MemoryObjectStore()
        self.vms: object = []
        self.app = web.Application(middlewares=[_map_errors], client_max_size=2**21)
        self.requests: list[str] = []
        self.app[REQUESTS] = self.requests
        self.app.add_routes(
            [
                web.get("/v1/objects", self.list),
                web.get("/v1/objects/{key:.+}", self.get),
                web.put("/v1/objects/{key:.+}", self.put),
                web.delete("/v1/objects/{key:.+}", self.delete),
                web.get("/v1/watch/{key:.+}", self.watch),
                web.get("/v1/vms", self.vm_list),
            ]
        )

    async def list(self, request: web.Request) -> web.Response:
        return web.json_response({"keys": await self.store.list(request.query["prefix"])})

    async def get(self, request: web.Request) -> web.Response:
        return _object_response(await self.store.get(request.match_info["key"]), 404)

    async def put(self, request: web.Request) -> web.Response:
        expected = Version(int(request.headers.get("If-Match", f'"{ABSENT}"').strip('"')))
        if expected == ABSENT and request.headers.get("If-None-Match") != "*":
            return web.Response(status=400)
        version = await self.store.put(
            request.match_info["key"], await request.read(), expected_version=expected
        )
        return web.Response(headers={"ETag": f'"{version}"'})

    async def delete(self, request: web.Request) -> web.Response:
        await self.store.delete(request.match_info["key"])
        return web.Response()

    async def watch(self, request: web.Request) -> web.Response:
        after = Version(int(request.query["after"]))
        timeout = float(request.query["timeout_s"])
        return _object_response(
            await self.store.watch(request.match_info["key"], after, timeout), 204
        )

    async def vm_list(self, request: web.Request) -> web.Response:
        return web.json_response({"vms": self.vms})

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on an unused loopback port and yield the base URL."""
        server = TestServer(self.app)
        await server.start_server()
        try:
            yield str(server.make_url("/"))
        finally:
            await server.close()

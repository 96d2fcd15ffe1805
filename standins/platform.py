"""HTTP stand-in of the platform: object API with watches, VM list, faults.

Run as ``python -m standins.platform --port 9000``. The paths below
``/standin/`` are for tests only; the others follow the published protocol.
"""

import argparse
import asyncio
import time

from aiohttp import web

from standins.objects import PlatformFaults, PlatformState

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0
STATE = web.AppKey("state", PlatformState)


def create_app(state: PlatformState | None = None) -> web.Application:
    """Return the platform as an aiohttp application."""
    app = web.Application(client_max_size=2 * MAX_VALUE_BYTES, middlewares=[apply_faults])
    app[STATE] = state or PlatformState()
    app.router.add_get("/v1/objects", list_objects)
    app.router.add_get("/v1/objects/{key:.+}", get_object)
    app.router.add_put("/v1/objects/{key:.+}", put_object)
    app.router.add_delete("/v1/objects/{key:.+}", delete_object)
    app.router.add_get("/v1/watch/{key:.+}", watch_object)
    app.router.add_get("/v1/vms", list_vms)
    app.router.add_post("/standin/faults", set_faults)
    app.router.add_post("/standin/vms", set_vms)
    app.router.add_get("/standin/calls", get_calls)
    return app


@web.middleware
async def apply_faults(request: web.Request, handler) -> web.StreamResponse:
    """Count the call, then apply the faults and the call budget."""
    if request.path.startswith("/standin/"):
        return await handler(request)
    state = request.app[STATE]
    kind = request.path.split("/")[2] if request.method == "GET" else "write"
    state.calls[kind] = state.calls.get(kind, 0) + 1
    if state.faults.refuse:
        return close_without_answer(request)
    if state.faults.down:
        return web.Response(status=503)
    budget = state.writes if kind == "write" else state.reads
    if not budget.take(time.monotonic()):
        return web.Response(status=429, headers={"Retry-After": "1"})
    if state.faults.delay_s:
        await asyncio.sleep(state.faults.delay_s)
    return await handler(request)


def close_without_answer(request: web.Request) -> web.Response:
    """Close the caller's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def entity_tag(version: int) -> str:
    """Return a version as a quoted entity tag."""
    return f'"{version}"'


async def get_object(request: web.Request) -> web.Response:
    """Answer a read of one object."""
    stored = request.app[STATE].objects.get(request.match_info["key"])
    if stored is None:
        return web.Response(status=404)
    return web.Response(body=stored.body, headers={"ETag": entity_tag(stored.version)})


async def list_objects(request: web.Request) -> web.Response:
    """Answer the keys below a prefix."""
    prefix = request.query.get("prefix", "")
    keys = [key for key in sorted(request.app[STATE].objects) if key.startswith(prefix)]
    return web.json_response({"keys": keys})


def precondition_holds(request: web.Request, version: int) -> bool:
    """Return whether the conditional headers allow a write at ``version``."""
    expected = request.headers.get("If-Match")
    if expected is not None:
        return expected.strip('"') == str(version) and version != 0
    if request.headers.get("If-None-Match") == "*":
        return version == 0
    return True


async def put_object(request: web.Request) -> web.Response:
    """Carry out a conditional write; its answer may be lost by a fault."""
    state = request.app[STATE]
    key = request.match_info["key"]
    body = await request.read()
    if len(body) > MAX_VALUE_BYTES:
        return web.Response(status=413)
    if not precondition_holds(request, state.version_of(key)):
        return web.Response(status=412, headers={"ETag": entity_tag(state.version_of(key))})
    version = state.store(key, body)
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        return close_without_answer(request)
    return web.Response(headers={"ETag": entity_tag(version)})


async def delete_object(request: web.Request) -> web.Response:
    """Carry out a conditional removal."""
    state = request.app[STATE]
    key = request.match_info["key"]
    if not precondition_holds(request, state.version_of(key)):
        return web.Response(status=412)
    state.remove(key)
    return web.Response()


async def watch_object(request: web.Request) -> web.Response:
    """Wait until an object has another version than ``after``, or until the timeout."""
    state = request.app[STATE]
    key = request.match_info["key"]
    after = int(request.query.get("after", "0"))
    timeout = min(MAX_WATCH_S, float(request.query.get("timeout_s", "30")))
    deadline = time.monotonic() + timeout
    while state.version_of(key) in (0, after) or state.faults.silent_watches:
        changed = state.changed
        remaining = deadline - time.monotonic()
        if state.faults.silent_watches:
            remaining = MAX_WATCH_S
        if remaining <= 0:
            return web.Response(status=204)
        try:
            await asyncio.wait_for(changed.wait(), remaining)
        except TimeoutError:
            return web.Response(status=204)
        if state.faults.down or state.faults.refuse:
            return close_without_answer(request)
    return await get_object(request)


async def list_vms(request: web.Request) -> web.Response:
    """Answer the VM list, as old as the faults have it."""
    state = request.app[STATE]
    moment = time.monotonic() - state.faults.vm_lag_s
    return web.json_response({"vms": state.vms_at(moment)})


async def set_faults(request: web.Request) -> web.Response:
    """Replace the faults and wake the watches, so that an outage ends them."""
    state = request.app[STATE]
    state.faults = PlatformFaults(**await request.json())
    state.wake()
    return web.Response()


async def set_vms(request: web.Request) -> web.Response:
    """Replace the VM list."""
    request.app[STATE].vm_lists.append((time.monotonic(), await request.json()))
    return web.Response()


async def get_calls(request: web.Request) -> web.Response:
    """Answer the number of calls by kind."""
    return web.json_response(request.app[STATE].calls)


def main() -> None:
    """Serve the platform on loopback until the process is stopped."""
    parser = argparse.ArgumentParser(description="stand-in of the platform")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(create_app(), host="127.0.0.1", port=arguments.port, access_log=None, print=None)


if __name__ == "__main__":
    main()

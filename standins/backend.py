"""HTTP stand-in of backend servers: slots, cold start, drain, sheds and faults.

One process serves many servers, each on a port of its own. Run as
``python -m standins.backend --server booking-1=21001 --server booking-2=21002``.
The log of what each server ran is the independent record that tests compare
the system's answers with.
"""

import argparse
import asyncio
import hashlib
import json
import os
import signal
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from aiohttp import web

DEFAULT_SLOTS = 3
MAX_CONNECTIONS = 400
DEFAULT_SERVICE_S = 0.02
BULK_CHUNK_BYTES = 65_536


@dataclass(kw_only=True)
class ServerFaults:
    """Faults of one server that a test switches on.

    Attributes:
        draining: Whether the server announces that it is leaving; it goes on
            serving what still arrives.
        silent: Whether requests run but are never answered.
        accept_only: Whether requests are read, never run and never answered.
        close_after_read: Whether the connection is closed after a request was
            read; the request does not run.
        silence_open_connections: Whether the connections that are open now go
            silent for ever, while new ones work.
        late_s: Time added between running a request and answering it.
        truncate: Whether answers end in the middle.
        shed: Whether every request is shed.
        cold_s: Time from now in which requests take ``cold_factor`` times longer.
        cold_factor: Slow-down while cold.
        stale_load: Value that the load report repeats, None for the true one.
        health: Value that the health report repeats, None for the true one.
        silent_reports: Whether health and load reports are never answered.
    """

    draining: bool = False
    silent: bool = False
    accept_only: bool = False
    close_after_read: bool = False
    silence_open_connections: bool = False
    late_s: float = 0.0
    truncate: bool = False
    shed: bool = False
    cold_s: float = 0.0
    cold_factor: float = 4.0
    stale_load: int | None = None
    health: str | None = None
    silent_reports: bool = False


@dataclass(kw_only=True)
class RunRecord:
    """One request that a server started.

    Attributes:
        server: The server.
        key: Idempotency key, empty without one.
        method: HTTP method.
        path: Path with query.
        started_at: Wall time at which it took a slot.
        finished_at: Wall time at which it left the slot, 0 while it runs.
        entry: Entry VM to which the caller sent it, empty when not known.
    """

    server: str
    key: str
    method: str
    path: str
    started_at: float
    finished_at: float = 0.0
    entry: str = ""


@dataclass(kw_only=True)
class ServerState:
    """State of one server.

    Attributes:
        name: Identifier of the server.
        slots: Requests that run at a time.
        in_flight: Requests that run now.
        peak: Largest number of requests that ran at a time.
        shed_count: Requests that were shed.
        runs: What was started, oldest first.
        cancelled: Requests whose connection closed while they ran.
        faults: Faults that are switched on.
        cold_until: Monotonic time at which the server is warm.
        connections: Connections that have brought a request.
        silenced: Connections that no longer answer.
        delays: One-way delay in seconds from the domain of each entry VM.
        runner: Runner of the server's application, None before its start.
    """

    name: str
    slots: int = DEFAULT_SLOTS
    service_s: float = DEFAULT_SERVICE_S
    in_flight: int = 0
    peak: int = 0
    shed_count: int = 0
    cancelled: int = 0
    runs: list[RunRecord] = field(default_factory=list)
    faults: ServerFaults = field(default_factory=ServerFaults)
    cold_until: float = 0.0
    connections: set[object] = field(default_factory=set)
    silenced: set[object] = field(default_factory=set)
    delays: dict[str, float] = field(default_factory=dict)
    runner: web.AppRunner | None = None


STATE = web.AppKey("state", ServerState)


def create_app(state: ServerState) -> web.Application:
    """Return one backend server as an aiohttp application."""
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app[STATE] = state
    app.router.add_get("/health", health)
    app.router.add_get("/load", load)
    app.router.add_post("/standin/faults", set_faults)
    app.router.add_get("/standin/log", get_log)
    app.router.add_route("*", "/{path:.*}", serve)
    return app


async def health(request: web.Request) -> web.Response:
    """Answer the health report."""
    state = request.app[STATE]
    if state.faults.silent_reports:
        await asyncio.sleep(3600)
    status = "ok"
    if time.monotonic() < state.cold_until:
        status = "cold"
    if state.faults.draining:
        status = "draining"
    return web.json_response({"status": state.faults.health or status})


async def load(request: web.Request) -> web.Response:
    """Answer the load report."""
    state = request.app[STATE]
    if state.faults.silent_reports:
        await asyncio.sleep(3600)
    reported = state.in_flight if state.faults.stale_load is None else state.faults.stale_load
    return web.json_response({"in_flight": reported, "slots": state.slots, "at": time.time()})


async def set_faults(request: web.Request) -> web.Response:
    """Replace the faults."""
    state = request.app[STATE]
    state.faults = ServerFaults(**await request.json())
    state.silenced = set(state.connections) if state.faults.silence_open_connections else set()
    state.cold_until = time.monotonic() + state.faults.cold_s
    return web.Response()


async def get_log(request: web.Request) -> web.Response:
    """Answer what the server ran and its counters."""
    return web.json_response(log_of(request.app[STATE]))


def log_of(state: ServerState) -> dict:
    """Return what a server ran and its counters as a JSON value."""
    return {
        "server": state.name,
        "slots": state.slots,
        "peak": state.peak,
        "in_flight": state.in_flight,
        "shed": state.shed_count,
        "cancelled": state.cancelled,
        "runs": [asdict(run) for run in state.runs],
    }


def is_crowded(state: ServerState) -> bool:
    """Return whether more connections are open than the server takes."""
    return state.runner is not None and len(state.runner.server.connections) > MAX_CONNECTIONS


async def serve(request: web.Request) -> web.StreamResponse:
    """Run one request in a slot, or shed it."""
    state = request.app[STATE]
    body = await request.read()
    entry = request.headers.get("X-Caller-Entry", "")
    # Both ways at once, before the slot is taken: the way back uses no slot either.
    await asyncio.sleep(2 * state.delays.get(entry, 0.0))
    state.connections.add(request.protocol)
    if state.faults.accept_only or request.protocol in state.silenced:
        await asyncio.sleep(3600)
    if state.faults.close_after_read and request.transport is not None:
        request.transport.close()
        return web.Response()
    if state.faults.shed or state.in_flight >= state.slots or is_crowded(state):
        state.shed_count += 1
        headers = {"Backend-Not-Run": "1", "Retry-After": "1", **leaving_header(state)}
        return web.Response(status=503, headers=headers)
    record = record_start(state, request)
    try:
        await asyncio.sleep(service_time(state, request))
        return await answer(state, request, body)
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    finally:
        state.in_flight -= 1
        record.finished_at = time.time()


def record_start(state: ServerState, request: web.Request) -> RunRecord:
    """Take a slot and append the request to the log."""
    state.in_flight += 1
    state.peak = max(state.peak, state.in_flight)
    record = RunRecord(
        server=state.name,
        key=request.headers.get("Idempotency-Key", ""),
        method=request.method,
        path=request.path_qs,
        started_at=time.time(),
        entry=request.headers.get("X-Caller-Entry", ""),
    )
    state.runs.append(record)
    return record


def service_time(state: ServerState, request: web.Request) -> float:
    """Return the time in seconds that a request takes on the server."""
    seconds = float(request.query.get("service_ms", state.service_s * 1000)) / 1000
    if time.monotonic() < state.cold_until:
        seconds *= state.faults.cold_factor
    return seconds


def leaving_header(state: ServerState) -> dict[str, str]:
    """Return the header that a leaving server adds to its answers."""
    return {"Backend-Draining": "1"} if state.faults.draining else {}


def answer_body(request: web.Request, body: bytes) -> bytes:
    """Return an answer that names its request, so that a mixed-up one is noticed."""
    digest = hashlib.blake2b(body, digest_size=8).hexdigest()
    echo = request.headers.get("X-Caller-Request", "")
    head = f"{request.method} {request.path_qs} {echo} {digest}\n".encode()
    size = int(request.query.get("bytes", "0"))
    return head + b"x" * max(0, size - len(head))


async def answer(state: ServerState, request: web.Request, body: bytes) -> web.StreamResponse:
    """Send the answer, as the faults have it."""
    if state.faults.silent:
        await asyncio.sleep(3600)
    if state.faults.late_s:
        await asyncio.sleep(state.faults.late_s)
    content = answer_body(request, body)
    response = web.StreamResponse(headers=leaving_header(state))
    response.content_length = len(content)
    await response.prepare(request)
    if state.faults.truncate:
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.close()
        return response
    for start in range(0, len(content), BULK_CHUNK_BYTES):
        await response.write(content[start : start + BULK_CHUNK_BYTES])
    await response.write_eof()
    return response


async def start_server(state: ServerState, port: int, host: str = "127.0.0.1") -> web.AppRunner:
    """Start one server; return the runner to clean up."""
    runner = web.AppRunner(create_app(state), access_log=None, handler_cancellation=True)
    state.runner = runner
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=MAX_CONNECTIONS).start()
    return runner


def end_at_once(states: list[ServerState], final_log: Path) -> None:
    """Write the logs and end the process as a crash would: no connection is shut down."""
    final_log.write_text(json.dumps([log_of(state) for state in states]))
    os._exit(1)


async def serve_all(
    servers: list[str],
    slots: int,
    service_ms: float,
    delays: dict[str, dict[str, float]],
    final_log: Path | None,
) -> None:
    """Serve all ``name=port`` pairs until the process is stopped."""
    states = []
    if final_log is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, end_at_once, states, final_log)
    for item in servers:
        name, _, port = item.partition("=")
        state = ServerState(
            name=name, slots=slots, service_s=service_ms / 1000, delays=delays.get(name, {})
        )
        states.append(state)
        await start_server(state, int(port))
    await asyncio.Event().wait()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description="stand-in of backend servers")
    parser.add_argument("--server", action="append", required=True, metavar="NAME=PORT")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    parser.add_argument("--service-ms", type=float, default=DEFAULT_SERVICE_S * 1000)
    parser.add_argument("--delays", type=Path, metavar="FILE", help="JSON: server, VM, seconds")
    parser.add_argument("--final-log", type=Path, metavar="FILE", help="log written on SIGTERM")
    arguments = parser.parse_args()
    delays = json.loads(arguments.delays.read_text()) if arguments.delays else {}
    asyncio.run(
        serve_all(
            arguments.server, arguments.slots, arguments.service_ms, delays, arguments.final_log
        )
    )


if __name__ == "__main__":
    main()

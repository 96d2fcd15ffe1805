"""Stand-ins: guards against proofs that rest on a platform or server that is too kind."""

import aiohttp

from standins import backend
from standins.backend import ServerState, start_server
from standins.objects import PlatformState
from standins.processes import PortAllocator


def test_the_vm_list_lags():
    state = PlatformState(vm_lists=[(10.0, [{"id": "old"}]), (20.0, [{"id": "new"}])])
    assert state.vms_at(19.0) == [{"id": "old"}]
    assert state.vms_at(20.0) == [{"id": "new"}]
    assert state.vms_at(5.0) == [{"id": "old"}]
    assert PlatformState().vms_at(0.0) == []


async def test_a_server_sheds_what_comes_over_too_many_connections(monkeypatch):
    monkeypatch.setattr(backend, "MAX_CONNECTIONS", 1)
    state = ServerState(name="s", service_s=0.0)
    port = PortAllocator().take()
    runner = await start_server(state, port)
    statuses = []
    async with aiohttp.ClientSession() as first, aiohttp.ClientSession() as second:
        for session in (first, second):
            async with session.get(f"http://127.0.0.1:{port}/x") as reply:
                statuses.append((reply.status, reply.headers.get("Backend-Not-Run")))
                await reply.read()
    await runner.cleanup()
    assert statuses == [(200, None), (503, "1")]
    assert len(state.runs) == 1

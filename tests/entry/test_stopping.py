import asyncio
import json
from dataclasses import replace

from knapweeddock.model import LookupPolicy
from knapweeddock.state import MemberState
from tests.entry.support import apply_snapshot, http_response, make_config, run_rig, wait_until


async def test_a_planned_stop_interrupts_no_request(monkeypatch):
    """Guards against rejecting callers whose look-up response still names the entry."""
    monkeypatch.setattr("knapweeddock.entry.service.LOOKUP_MARGIN_S", 0.3)
    release = asyncio.Event()

    async def script(number, head, body, writer):
        if "/slow" in head:
            await release.wait()
        writer.write(http_response(b"done"))
        return True

    async with run_rig(script) as rig:
        service = rig.service
        config = replace(make_config([rig.server.address]), lookup=LookupPolicy(lifetime_ms=1))
        apply_snapshot(service, config, version=2)
        await wait_until(lambda: service.dispatch_loop.node_state.config_version == 2)
        slow = asyncio.ensure_future(rig.send("POST", "/slow", headers=rig.caller.key_headers()))
        await wait_until(lambda: service.sender.attempt_tasks)
        drain = asyncio.ensure_future(service.drain())
        await wait_until(lambda: service.proxy_handler.member_state is MemberState.LEAVING)
        # Look-ups no longer name the entry, but it still accepts requests.
        assert (await rig.send("GET", "/x"))[0].status == 200
        response, body = await rig.send("GET", "/knapweed/v1/ready")
        assert (response.status, json.loads(body)["code"]) == (503, 113)
        await wait_until(lambda: service.proxy_handler.close_connections)
        response, body = await rig.send("GET", "/x")
        assert (response.status, json.loads(body)["code"]) == (503, 113)
        assert response.headers["Connection"] == "close"
        assert not drain.done()
        release.set()
        assert (await slow)[1] == b"done"
        await drain
        assert service.agent_link.member_state is MemberState.LEFT


async def test_the_wait_for_running_requests_is_bounded():
    """Guards against a shutdown that waits forever for a request that never ends."""

    async def script(number, head, body, writer):
        await asyncio.Event().wait()

    async with run_rig(script, deadline_ms=60_000, stop_limit_s=0.05) as rig:
        call = asyncio.ensure_future(rig.send("GET"))
        await wait_until(lambda: rig.service.sender.attempt_tasks)
        await rig.service.finish_requests()
        assert not call.done()
        call.cancel()

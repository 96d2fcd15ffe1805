import asyncio

import pytest

from knapweeddock.clock import ManualClock
from knapweeddock.entry.prober import Prober
from knapweeddock.slottypes import ServerHealth
from knapweeddock.state import NodeState
from tests.entry.support import CLOSED_ADDRESS, make_config, wait_until


class ReportRecorder:
    """Stands in for the dispatch loop and records the reports."""

    def __init__(self):
        self.reports = []

    def post(self, report):
        self.reports.append(report)


def http_response(body, status="200 OK"):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@pytest.mark.parametrize(
    ("health", "load", "expected", "in_flight"),
    [
        (http_response('{"status": "ok"}'), http_response('{"in_flight": 2, "slots": 3}'), "ok", 2),
        (http_response('{"status": "cold"}'), http_response("", "500 Broken"), "cold", None),
        (
            http_response('{"status": "draining"}'),
            http_response('{"in_flight": -4}'),
            "draining",
            0,
        ),
        (http_response('{"status": "great"}'), http_response("[]"), "unreachable", None),
        (http_response("oops", "500 Broken"), http_response("{}"), "unreachable", None),
        (b"", http_response('{"in_flight": 1}'), "unreachable", None),
        (None, None, "unreachable", None),
    ],
)
async def test_health_and_load_of_a_server_are_reported(health, load, expected, in_flight):
    """Guards against a probe that stops the prober or reports an unhealthy server as healthy."""

    async def serve(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            reply = health if b"/health" in head else load
            if reply is None:
                await asyncio.sleep(10)
            writer.write(reply)
            if not reply:
                writer.close()
                return

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    reports = await first_round_reports([address])
    server.close()
    assert reports[0].health is ServerHealth(expected)
    assert reports[0].in_flight == in_flight


async def test_only_servers_of_the_own_domain_are_probed():
    """Guards against a number of probes that grows with the number of failure domains."""
    assert len(await first_round_reports([CLOSED_ADDRESS, CLOSED_ADDRESS])) >= 2
    assert await first_round_reports([CLOSED_ADDRESS], failure_domain="d2") == []


async def first_round_reports(addresses, failure_domain="d1"):
    recorder = ReportRecorder()
    prober = Prober(
        dispatch_loop=recorder,
        failure_domain="d1",
        interval_s=0.02,
        timeout_s=0.1,
        clock=ManualClock(),
    )
    async with prober:
        config = make_config(addresses, failure_domain=failure_domain)
        prober.update(NodeState(config_version=1, config=config))
        await wait_until(prober.first_round.is_set)
        return list(recorder.reports)

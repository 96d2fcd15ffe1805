import asyncio
import json
import os
import signal
import sys

import pytest

from knapweeddock.entry.__main__ import app
from tests.entry.support import respond_ok, run_rig

SETTINGS = """{vm: 'vm1', failure_domain: 'd1', listen: {host: '127.0.0.1'},
agent: '127.0.0.1:1'}"""


async def test_metrics_count_answers_and_attempts():
    """Guards against metrics that are not served, not counted or counted twice."""
    async with run_rig(respond_ok) as rig:

        async def read_metrics():
            url = f"http://{rig.service.ports.metrics.address}/metrics"
            async with rig.caller.session.get(url) as response:
                return await response.text()

        await rig.send("GET")
        first_metrics = await read_metrics()
        await rig.send("GET")
        await rig.send("GET")
        await read_metrics()
        later_metrics = await read_metrics()
    labels = 'port="public",process="knapweed-entry",vm="vm1"} 3'
    assert f'knapweed_requests_total{{code="0",{labels}' in later_metrics
    assert f"knapweed_request_seconds_count{{{labels}" in later_metrics
    assert (
        'knapweed_attempts_total{outcome="answered",process="knapweed-entry",receiver="server",'
        'vm="vm1"} 3'
    ) in later_metrics
    assert (
        'knapweed_requests_total{code="0",port="public",process="knapweed-entry",vm="vm1"} 1'
        in first_metrics
    )
    assert 'receiver="server"' in first_metrics


def test_invalid_settings_set_the_exit_status_of_the_error_code(tmp_path, capsys):
    """Guards against a traceback instead of an error with a code."""
    file = tmp_path / "entry.json"
    file.write_text(SETTINGS.replace("vm:", "wm:"))
    with pytest.raises(SystemExit) as caught:
        sys.exit(app(["--settings", str(file)], result_action="return_value"))
    assert caught.value.code == 3
    assert "$.wm" in capsys.readouterr().err


async def test_the_process_starts_and_ends_on_sigterm(tmp_path):
    """Guards against a daemon that cannot start or ignores SIGTERM."""
    file = tmp_path / "entry.json"
    file.write_text(SETTINGS)
    command = ["-m", "knapweeddock.entry", "--settings", str(file)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, stderr=asyncio.subprocess.PIPE, env=os.environ
    )
    lines = []
    async with asyncio.timeout(20):
        while not any(line["event"] == "entry started" for line in lines):
            lines.append(json.loads(await process.stderr.readline()))
        process.send_signal(signal.SIGTERM)
        _, rest = await process.communicate()
    lines += [json.loads(line) for line in rest.splitlines()]
    assert process.returncode == 0
    assert [line["state"] for line in lines if line["event"] == "state changed"] == [
        "leaving",
        "left",
    ]

"""The command: what it prints and its exit status, against a platform over HTTP."""

import asyncio
import json
import subprocess
import sys

import pytest
import structlog
from aiohttp import web
from aiohttp.test_utils import TestServer

from knapweeddock import cli
from tests.documents import DOCUMENT, document, write_folder
from tests.fake_platform import FakePlatform

MEMBERS = {
    "config_version": 1,
    "members": [
        {"vm": "v1", "failure_domain": "n1", "state": "serving", "down": False}
        | {"suspected": False, "config_version": 1, "load": 0.25},
        {"vm": "v2", "failure_domain": "s1", "state": "serving", "down": False}
        | {"suspected": True, "config_version": 0, "load": 0.0},
    ],
}


@pytest.fixture(autouse=True)
def default_logging():
    """``main`` binds the log to the captured stream, which later tests cannot use."""
    yield
    structlog.reset_defaults()


@pytest.fixture
def folder(tmp_path):
    return write_folder(tmp_path / "config", DOCUMENT)


@pytest.fixture
async def run(monkeypatch, capsys):
    """Run the command in a thread, against a platform and a look-up process."""
    platform = FakePlatform()

    async def members(_request: web.Request) -> web.Response:
        return web.json_response(MEMBERS)

    app = web.Application()
    app.add_routes([web.get("/v1/status", members)])
    async with platform.serve() as url, TestServer(app) as lookup:
        monkeypatch.setenv("KNAPWEED_PLATFORM", url)
        monkeypatch.setenv("KNAPWEED_LOOKUP", f"http://127.0.0.1:9,{lookup.make_url('/')}")
        monkeypatch.setenv("KNAPWEED_OPERATOR", "ann")

        async def command(*arguments: object) -> tuple[int, str, str]:
            status = await asyncio.to_thread(cli.main, [str(part) for part in arguments])
            return status, *capsys.readouterr()

        command.store = platform.store
        yield command


async def test_apply_status_drain_and_diff(run, folder):
    status, out, _ = await run("apply", folder)
    assert (status, out.splitlines()[0][:19]) == (0, "accepted: version 1")
    assert "unchanged: version 1" in (await run("apply", folder))[1]
    status, out, _ = await run("drain", "--server", "a", "--server", "c", "--vm", "v1")
    assert status == 0
    assert "+ drains.servers.c = true" in out
    status, out, _ = await run("status")
    assert status == 0
    assert "drained.servers.a" in out
    assert "2 members, 2 behind" in out
    write_folder(folder, document(("lookup/entries", 2)))
    assert "+ lookup.entries = 2" in (await run("diff", folder))[1]
    assert (await run("undrain", "--server", "c"))[0] == 0


async def test_wait_that_ends_too_early_names_the_missing(run, folder):
    """Exit status 0 would let a script go on with half of the VMs on the old version."""
    status, out, _ = await run("apply", folder, "--wait", 0)
    assert status == 4
    assert "accepted: version 1" in out
    assert "missing: v2 in s1, serving, suspected, version 0" in out
    assert "v1" not in out


async def test_conflict_prints_the_changes_of_others(run, folder, tmp_path):
    await run("apply", folder)
    theirs = write_folder(tmp_path / "theirs", document(("lookup/entries", 2)))
    status, out, err = await run("apply", theirs)
    assert (status, out) == (3, "")
    assert "309 CONFLICT" in err
    assert "version 1 by ann" in err
    status, out, _ = await run("apply", theirs, "--json")
    report = json.loads(out)
    assert (status, report["code"], report["name"]) == (3, 309, "CONFLICT")
    assert report["others"][0]["version"] == 1


async def test_problems_are_all_printed_and_nothing_is_sent(run, folder):
    write_folder(folder, document(("sites/w-s1/cap", -1), ("links/north->x", {})))
    calls = run.store.calls
    status, _, err = await run("apply", folder)
    assert status == 3
    assert "sites.json: sites.w-s1.cap: found -1; allowed: a whole number" in err
    assert 'links.json: links["north->x"]' in err
    assert run.store.calls == calls


async def test_unavailable_platform(run, folder, monkeypatch):
    monkeypatch.setattr("knapweeddock.publish.MAX_BACKOFF_S", 0.0)
    run.store.down = True
    status, _, err = await run("apply", folder)
    assert status == 4
    assert "401 STORE_UNAVAILABLE" in err
    status, out, _ = await run("status")
    assert status == 4
    assert "unavailable: platform" in out
    assert "2 members" in out


async def test_explain(run, folder):
    request = ("explain", "--client", "10.1.2.3", "--host", "shop.example")
    await run("apply", folder)
    status, out, _ = await run(*request, "--method", "post", "--path", "/buy")
    assert status == 0
    assert "class: buy (non-idempotent, runs at most once)" in out
    assert "w-s1 in s1, 0 ms, cap 2, usable 2" in out
    status, out, _ = await run(*request, "--folder", folder, "--method", "PUT")
    assert status == 1
    assert "refused: 103 UNKNOWN_CLASS" in out


async def test_usage_errors(run, folder, monkeypatch):
    assert (await run("check"))[0] == 1
    assert (await run("apply", folder, "--wait", "-1"))[0] == 1
    monkeypatch.delenv("KNAPWEED_PLATFORM")
    status, _, err = await run("status")
    assert status == 3
    assert "--platform or KNAPWEED_PLATFORM" in err


def test_program_and_help(folder):
    """An import or option error would show only when the program starts."""
    command = [sys.executable, "-m", "knapweeddock.cli"]
    found = subprocess.run([*command, "check", folder, "--json"], capture_output=True, check=True)
    assert json.loads(found.stdout)["counts"]["servers"] == 3
    found = subprocess.run([*command, "--help"], capture_output=True, check=True, text=True)
    assert "undrain" in found.stdout


def test_explain_tells_the_story_of_a_past_request(tmp_path, capsys):
    log = tmp_path / "gateways.log"
    log.write_text('{"event": "request refused", "request": "q1", "vm": "v1", "reason": "shed"}\n')
    assert cli.main(["explain", "--request", "q1", "--logs", str(log)]) == 0
    assert "request refused: request=q1 reason=shed" in capsys.readouterr().out


def test_explain_of_an_unknown_request_is_an_error(tmp_path, capsys):
    log = tmp_path / "gateways.log"
    log.write_text("")
    assert cli.main(["explain", "--request", "q1", "--logs", str(log)]) == 3
    assert "no line of the logs concerns request q1" in capsys.readouterr().err

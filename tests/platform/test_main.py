import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import pytest

from knapweeddock.platform.settings import SETTINGS_VARIABLE
from standins import documents
from standins.metastore import running_metastore
from standins.platformserver import running_server
from tests.platform.world import free_port, read_reply, request_bytes
from tests.waiting import LIMIT_S, until

ROOT = Path(__file__).parents[2]


class Process:
    """The program as its own process, with the lines that it writes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        async for line in self.process.stdout:
            self.lines.append(line.decode())

    def wrote(self, text: str) -> bool:
        return any(text in line for line in self.lines)


@contextlib.asynccontextmanager
async def started(path: Path | None):
    environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    if path is not None:
        environment[SETTINGS_VARIABLE] = str(path)
    process = Process(
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "knapweeddock.platform",
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
        )
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.process.kill()
        await process.process.wait()
        await process.reading


async def test_process_serves_reloads_and_stops(tmp_path):
    path = tmp_path / "boot.toml"
    async with running_metastore() as (store, address), running_server("i-0") as (server, at):
        store.put("config", "main", documents.config())
        store.put("servers", "i-0", server.entry(at, "north-a", "ledger"))
        front = free_port()
        ports = {"peer": free_port(), "ready": free_port(), "lookup": free_port()}
        text = documents.settings_text(
            front=front, grace="2s", store=f"{address[0]}:{address[1]}", **ports
        )
        path.write_text(text)
        async with started(path) as process:
            await until(lambda: process.wrote('"serving"'))
            reader, writer = await asyncio.open_connection("127.0.0.1", front)
            writer.write(request_bytes("/read/a"))
            assert (await read_reply(reader)).status == 200

            path.write_text("NodeName = ")
            process.process.send_signal(signal.SIGHUP)
            await until(lambda: process.wrote("settings unreadable"))
            path.write_text(text.replace('ttl_max = "5s"', 'ttl_max = "4s"'))
            await until(lambda: process.wrote("settings reloaded"))
            writer.write(request_bytes("/read/a", request_id="q2"))
            assert (await read_reply(reader)).status == 200

            process.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.process.wait(), LIMIT_S) == 0
            assert server.ran == ["q1", "q2"]


async def test_process_without_settings_says_so():
    async with started(None) as process:
        assert await asyncio.wait_for(process.process.wait(), LIMIT_S) == 1
    assert process.wrote(SETTINGS_VARIABLE)


@pytest.mark.parametrize("text", ["", "NodeName ="])
async def test_process_with_broken_settings_ends_with_an_error(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    async with started(path) as process:
        assert await asyncio.wait_for(process.process.wait(), LIMIT_S) == 3
    assert process.wrote("settings unreadable")

"""Stand-in of the platform's metadata store: objects by kind, revisions and watches."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from rig.http import Message, encode, read_request

PAGE = 500
"""Largest number of objects in one answer to a list."""

ANSWER_S = 0.004
"""Time in seconds that an answer takes."""

HISTORY_S = 20.0
"""Time in seconds for which changes can be watched."""

MAX_WAIT_S = 30.0

HEARTBEAT_INTERVAL_S = 1.5

LEASE_S = 3 * HEARTBEAT_INTERVAL_S
"""Time in seconds of silence after which an entry of kind ``servers`` is removed."""


class Store:
    """The objects, and the calls whose answers are lost.

    Attributes:
        address: Host and port.
        kinds: Objects by kind and name.
        loses: Tells whether the answer to a call is lost: method, kind, and whether it is a
            watch. The connection then returns nothing further, and stays open.
        answered: Number of answers, lost ones included.
        lost: Number of answers that were lost.
    """

    def __init__(self) -> None:
        self.address = ("", 0)
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.loses: Callable[[str, str, bool], bool] = lambda method, kind, is_watch: False
        self.answered = 0
        self.lost = 0
        self._history: list[tuple[float, int, str, dict[str, Any]]] = []
        self._revision = 1
        self._oldest = 1
        self._changed = asyncio.Event()
        self._renewed_at: dict[str, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def expire(self) -> None:
        """Remove the entries of silent servers until cancelled."""
        while True:
            now = time.monotonic()
            for name in list(self.kinds.get("servers", {})):
                if now - self._renewed_at[name] > LEASE_S:
                    self.remove("servers", name)
            await asyncio.sleep(0.1)

    def renew(self, name: str) -> None:
        """Take a heartbeat of an entry of kind ``servers``, in which only a count differs."""
        self._renewed_at[name] = time.monotonic()

    # Writes of the operator and of servers, which are acknowledged when they return

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object and return the monotonic time of the acknowledgement."""
        if kind == "servers":
            self.renew(name)
        before = self.kinds.setdefault(kind, {}).get(name)
        if before is None or before["Spec"] != spec:
            self._revision += 1
            created = before["Metadata"]["CreateRev"] if before else self._revision
            self.kinds[kind][name] = {
                "Metadata": {
                    "Name": name,
                    "Revision": self._revision,
                    "CreateRev": created,
                    "Finalizers": [],
                    "Deleting": False,
                },
                "Spec": spec,
                "Status": None,
            }
            self._record(kind, {"Object": self.kinds[kind][name], "Deleted": False})
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object and return the monotonic time of the acknowledgement."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            self._record(kind, {"Object": found, "Deleted": True})
        return time.monotonic()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self._history.append((now, self._revision, kind, event))
        while self._history and now - self._history[0][0] > HISTORY_S:
            self._oldest = self._history.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call, and return whether the connection can be used further."""
        method, target = request.start[0], urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        parts = [unquote(part) for part in target.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        is_watch = "Watch" in query
        if is_watch:
            status, content = await self._watch(kind, query)
        else:
            status, content = self._call(method, kind, name, query, request.body)
        await asyncio.sleep(ANSWER_S)
        self.answered += 1
        if self.loses(method, kind, is_watch):
            self.lost += 1
            await reader.read()
            return False
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        body = b"" if content is None else json.dumps(content).encode()
        writer.write(encode(f"HTTP/1.1 {status} Answer", headers, body))
        await writer.drain()
        return True

    def _call(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        objects = self.kinds.get(kind, {})
        match method:
            case "GET" if name:
                return (200, objects[name]) if name in objects else (404, None)
            case "GET":
                names = [each for each in sorted(objects) if each > query.get("after", "")]
                page = [objects[each] for each in names[:PAGE]]
                more = len(names) > PAGE
                return 200, {"items": page, "HasMore": more, "CurrentRev": self._revision}
            case "POST":
                document = json.loads(body)
                name = document["Metadata"]["Name"]
                if name in objects:
                    return 409, objects[name]
                self.put(kind, name, document["Spec"])
                return 201, self.kinds[kind][name]
            case "PUT" if name in objects:
                self.put(kind, name, json.loads(body)["Spec"])
                return 200, self.kinds[kind][name]
            case "DELETE" if name in objects:
                self.remove(kind, name)
                return 200, {}
        return 404, None

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["Watch"])
        wait_s = min(MAX_WAIT_S, int(query.get("WaitMs", "0")) / 1000)
        deadline = time.monotonic() + wait_s
        while since >= self._oldest:
            events = [
                event for _, at, found, event in self._history if at > since and found == kind
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return 410, None

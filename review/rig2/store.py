"""Stand-in of the platform's store: objects by kind and name, revisions, lists and watches."""

import asyncio
import contextlib
import json
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.rig2.http import Message, encode, read_message

PAGE = 500
PREFIX = "/api/objects/"
Json = dict[str, Any]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass(kw_only=True)
class Store:
    """The store; it keeps its whole history.

    Attributes:
        revision: Revision counter.
        kinds: Objects by kind and name.
        history: Revision, kind and event of each change.
        is_silent: Whether calls are read and never answered.
        connections: Open connections.
        callers: The machines of connections that came to an address of one machine.
        rejected: Machines whose connections are reset.
    """

    revision: int = 100
    kinds: dict[str, dict[str, Json]] = field(default_factory=dict)
    history: list[tuple[int, str, Json]] = field(default_factory=list)
    is_silent: bool = False
    server: asyncio.Server | None = None
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    callers: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)

    async def start(self, host: str) -> int:
        """Listen on a free port and return it."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        return self.server.sockets[0].getsockname()[1]

    async def start_for(self, host: str, machine: str) -> int:
        """Listen for one machine on a free port and return it."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.callers[writer] = machine
            if machine in self.rejected:
                reset(writer)
            else:
                await self.serve(reader, writer)
            del self.callers[writer]

        server = await asyncio.start_server(serve, host, 0)
        return server.sockets[0].getsockname()[1]

    def reject(self, machine: str) -> None:
        """Reset the connections of a machine, and those that it opens from now on."""
        self.rejected.add(machine)
        for writer, caller in list(self.callers.items()):
            if caller == machine:
                reset(writer)

    async def put(self, kind: str, name: str, spec: object) -> Json:
        """Write an object, as the operator and the upstreams do."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        created = known["Metadata"]["CreateRev"] if known else self.revision
        metadata = {
            "Name": name,
            "Revision": self.revision,
            "CreateRev": created,
            "Finalizers": [],
            "Deleting": False,
        }
        objects[name] = {"Metadata": metadata, "Spec": spec, "Status": None}
        await self.note(kind, objects[name], deleted=False)
        return objects[name]

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self.kinds.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            await self.note(kind, removed, deleted=True)

    async def note(self, kind: str, changed: Json, *, deleted: bool) -> None:
        """Append an event and wake the watches."""
        event = {"Object": json.loads(json.dumps(changed)), "Deleted": deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while request := await read_message(reader):
                if self.is_silent:
                    await asyncio.sleep(3600)
                status, body = await self.answer(request)
                text = json.dumps(body).encode()
                writer.write(
                    encode(f"HTTP/1.1 {status} x", {"Content-Type": "application/json"}, text)
                )
                await writer.drain()
        self.connections.discard(writer)
        writer.close()

    async def stop(self) -> None:
        """End all connections."""
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        await asyncio.sleep(0.05)

    async def answer(self, request: Message) -> tuple[int, Json]:
        """Return status and body of the answer to a call."""
        method, target = request.first[0], request.first[1]
        parts = urlsplit(target)
        kind, _, name = unquote(parts.path.removeprefix(PREFIX)).partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), float(query.get("WaitMs", 0)) / 1000)
        if method == "GET" and not name:
            names = sorted(each for each in objects if each > query.get("after", ""))
            items = [objects[each] for each in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": items, "HasMore": more, "CurrentRev": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            await self.delete(kind, name)
            return 200, {}
        content = json.loads(request.body)
        if method == "POST":
            name = content["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        return 200, await self.put(kind, name, content.get("Spec"))

    async def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Json]:
        """Return the events of a kind after a revision, waiting for the first one."""
        end = time.monotonic() + wait_s
        while True:
            events = [event for at, of, event in self.history if at > since and of == kind]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()

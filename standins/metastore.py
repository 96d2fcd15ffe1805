"""Stand-in for the store of the users' platform: objects by kind, revisions, watches."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web

PAGE = 50
"""Objects in one answer to a list."""


class StoreFault(Enum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    LOSE_ANSWERS = "lose answers"


@dataclass(kw_only=True)
class StoredDocument:
    """An object with its metadata."""

    name: str
    spec: Any
    revision: int
    created: int

    def encode(self) -> dict[str, Any]:
        """Return the object as it is sent."""
        metadata = {
            "Name": self.name,
            "Revision": self.revision,
            "CreateRev": self.created,
            "Finalizers": [],
            "Deleting": False,
        }
        return {"Metadata": metadata, "Spec": self.spec, "Status": None}


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """A copy of the store's contents.

    Attributes:
        kinds: Objects by kind and name.
        history: Events with their revision and kind.
        revision: Revision of the contents.
        oldest: Oldest revision that can be watched.
    """

    kinds: dict[str, dict[str, StoredDocument]]
    history: list[tuple[int, str, dict[str, Any]]]
    revision: int
    oldest: int


@dataclass(kw_only=True)
class MetaStore:
    """The objects and the switches for faults.

    Attributes:
        era: Number that each return from a copy raises by one.
        era_header: Value of the ``Store-Era`` header in place of ``era``; "" for no header.
        fault: What is wrong.
        deaf: Whether watches hear of nothing; they hear of all of it afterwards.
        loses_answer: Returns whether the response to a call is lost: its connection stays open
            and returns nothing further.
        encoded_texts: What is sent for a text in place of its JSON, which may be no valid text.
        calls: Method and path of each call.
    """

    era: int = 1
    era_header: str | None = None
    fault: StoreFault = StoreFault.NONE
    deaf: bool = False
    loses_answer: Callable[[web.Request], bool] = lambda request: False
    encoded_texts: dict[str, bytes] = field(default_factory=dict)
    calls: list[tuple[str, str]] = field(default_factory=list)
    kinds: dict[str, dict[str, StoredDocument]] = field(default_factory=dict)
    history: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)
    revision: int = 1
    oldest: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, spec: Any) -> StoredDocument:
        """Write an object."""
        self.revision += 1
        before = self.kinds.setdefault(kind, {}).get(name)
        created = before.created if before else self.revision
        document = StoredDocument(name=name, spec=spec, revision=self.revision, created=created)
        self.kinds[kind][name] = document
        self._record(kind, {"Object": document.encode(), "Deleted": False})
        return document

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        document = self.kinds.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            self._record(kind, {"Object": document.encode(), "Deleted": True})

    def hear_again(self) -> None:
        """Let watches hear of what happened while the store was deaf."""
        self.deaf = False
        self._notify()

    def forget_history(self) -> None:
        """Drop the history, so that older revisions cannot be watched."""
        self.history.clear()
        self.oldest = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(
            kinds={kind: dict(documents) for kind, documents in self.kinds.items()},
            history=list(self.history),
            revision=self.revision,
            oldest=self.oldest,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Replace the contents with an older copy; what was written since is lost."""
        self.kinds = {kind: dict(documents) for kind, documents in copy.kinds.items()}
        self.history = list(copy.history)
        self.revision = copy.revision
        self.oldest = copy.oldest
        self.era += 1
        self._notify()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self.history.append((self.revision, kind, event))
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a call."""
        self.calls.append((request.method, request.path_qs))
        match self.fault:
            case StoreFault.BUSY:
                return self._state_era(web.Response(status=503))
            case StoreFault.MANY:
                return self._state_era(web.Response(status=429))
            case StoreFault.SILENT:
                await asyncio.Event().wait()
        answer = await self._answer(request)
        self._state_era(answer)
        if self.loses_answer(request):
            await asyncio.Event().wait()
        if self.fault is StoreFault.LOSE_ANSWERS and request.method != "GET":
            request.transport.abort()
        return answer

    def _state_era(self, answer: web.Response) -> web.Response:
        stated = str(self.era) if self.era_header is None else self.era_header
        if stated:
            answer.headers["Store-Era"] = stated
        return answer

    async def _answer(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        name = request.match_info.get("name", "")
        match request.method:
            case "GET" if "Watch" in request.query:
                return await self._watch(kind, request)
            case "GET" if name:
                document = self.kinds.get(kind, {}).get(name)
                return _found(document)
            case "GET":
                return self._list(kind, request.query.get("after", ""))
            case "POST":
                document = await request.json()
                name = document["Metadata"]["Name"]
                if name in self.kinds.get(kind, {}):
                    return web.json_response(self.kinds[kind][name].encode(), status=409)
                return web.json_response(self.put(kind, name, document["Spec"]).encode())
            case "PUT" if name in self.kinds.get(kind, {}):
                document = await request.json()
                return web.json_response(self.put(kind, name, document["Spec"]).encode())
            case "DELETE" if name in self.kinds.get(kind, {}):
                self.remove(kind, name)
                return web.json_response({})
        return web.Response(status=404)

    def _list(self, kind: str, after: str) -> web.Response:
        names = [name for name in sorted(self.kinds.get(kind, {})) if name > after]
        page = [self.kinds[kind][name].encode() for name in names[:PAGE]]
        answer = {"items": page, "HasMore": len(names) > PAGE, "CurrentRev": self.revision}
        return self._json_response(answer)

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query["Watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["WaitMs"]) / 1000):
                while self._is_known(since) and (self.deaf or not self._since(kind, since)):
                    await self.changed.wait()
        if not self._is_known(since):
            return web.Response(status=410)
        answer = {"events": self._since(kind, since), "CurrentRev": self.revision}
        return self._json_response(answer)

    def _json_response(self, answer: dict[str, Any]) -> web.Response:
        body = json.dumps(answer).encode()
        for text, encoded in self.encoded_texts.items():
            body = body.replace(json.dumps(text).encode(), encoded)
        return web.Response(body=body, content_type="application/json")

    def _is_known(self, revision: int) -> bool:
        return self.oldest <= revision <= self.revision

    def _since(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [event for at, found, event in self.history if at > revision and found == kind]


def _found(document: StoredDocument | None) -> web.Response:
    if document is None:
        return web.Response(status=404)
    return web.json_response(document.encode())


@contextlib.asynccontextmanager
async def running_metastore() -> AsyncIterator[tuple[MetaStore, tuple[str, int]]]:
    """Run a store within the block and give it with its address."""
    store = MetaStore()
    app = web.Application()
    app.router.add_route("*", "/api/objects/{kind}", store.handle)
    app.router.add_route("*", "/api/objects/{kind}/{name}", store.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield store, runner.addresses[0][:2]
    finally:
        await runner.cleanup()

"""Client of the platform's store, and the catalog that it holds."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
import structlog

from knapweeddock.errors import (
    HistoryGone,
    OutcomeUnknown,
    PeerUnavailable,
    RateLimited,
    ResponseError,
    StoreUnavailable,
    VersionConflict,
)
from knapweeddock.gateway.catalog import Catalog, Change, Changes, Item, Snapshot, Topic
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.http1.client import HttpConnection, connect
from knapweeddock.http1.messages import encode_request
from knapweeddock.ids import FailureDomainId, RegionId, Revision, VmId
from knapweeddock.platform.documents import KINDS, decode, encode_gateway
from knapweeddock.platform.values import DocumentError, address_text, field, optional

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.6
"""Time for a connection to the store in seconds, which may be in another region."""

CALL_TIMEOUT_S = 1.2
"""Time for an answer in seconds; the store answers in milliseconds, and in a third
of a second when it is slow."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswer:
    """An answer of the store: its status and its decoded body."""

    status: int
    body: Any


class StoreClient:
    """Calls to the store over kept connections.

    Attributes:
        address: Endpoint of the store.
        calls: Number of calls, refused ones included.
    """

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self.calls = 0
        self._idle: list[HttpConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        wait_s: float = 0.0,
        timeout_s: float | None = None,
    ) -> StoreAnswer:
        """Send one call.

        Args:
            method: HTTP method.
            path: Path with its query.
            body: Body, encoded as JSON; none when None.
            wait_s: Time in seconds for which the store may hold the call.
            timeout_s: Time in seconds for the answer beside that; ``CALL_TIMEOUT_S``
                when None.

        Raises:
            StoreUnavailable: There was no answer; nothing was done.
            OutcomeUnknown: A write was sent and its answer was lost.
            RateLimited: The call was over the store's rate.
            HistoryGone: The changes that were asked for are gone.
        """
        self.calls += 1
        try:
            async with asyncio.timeout((timeout_s or CALL_TIMEOUT_S) + wait_s):
                answer = await self._exchange(method, path, body)
        except PeerUnavailable as error:
            raise StoreUnavailable(str(error)) from error
        except (ResponseError, TimeoutError, msgspec.DecodeError) as error:
            text = f"{method} {path}: {error or 'no answer in time'}"
            if method == "GET":
                raise StoreUnavailable(text) from error
            raise OutcomeUnknown(text) from error
        return _checked(method, path, answer)

    async def _exchange(self, method: str, path: str, body: object) -> StoreAnswer:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = [(b"Host", address_text(self.address).encode())]
        if data:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", b"%d" % len(data)))
        connection = await self._connection(kept=method == "GET")
        try:
            connection.start(encode_request(method.encode(), path.encode(), headers) + data)
            head = await connection.response_head()
            content = bytearray()
            while chunk := await connection.read():
                content += chunk
        except BaseException:
            connection.abort()
            raise
        connection.finish()
        if connection.reusable:
            self._idle.append(connection)
        decoded = msgspec.json.decode(content) if content else None
        return StoreAnswer(status=head.status, body=decoded)

    async def _connection(self, *, kept: bool) -> HttpConnection:
        """Return a connection; writes get a new one, since a kept one may be dead."""
        while kept and self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.abort()
        return await connect(self.address, timeout_s=CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()


def _checked(method: str, path: str, answer: StoreAnswer) -> StoreAnswer:
    call = f"{method} {path.partition('?')[0]}"
    match answer.status:
        case HTTPStatus.GONE:
            raise HistoryGone(f"{call}: history is gone")
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise RateLimited(f"{call}: over the rate")
        case HTTPStatus.CONFLICT:
            raise VersionConflict(f"{call}: the object has changed or exists already")
        case HTTPStatus.OK | HTTPStatus.CREATED | HTTPStatus.NO_CONTENT | HTTPStatus.NOT_FOUND:
            return answer
    raise StoreUnavailable(f"{call}: status {answer.status}")


class StoreCatalog(Catalog):
    """The catalog in the platform's store."""

    def __init__(self, *, client: StoreClient, regions: Mapping[FailureDomainId, RegionId]) -> None:
        self.client = client
        self.regions = regions

    @property
    def calls(self) -> int:
        """Number of calls, refused ones included."""
        return self.client.calls

    async def snapshot(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``, page by page."""
        items: dict[str, Item] = {}
        revision: Revision | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            answer = await self.client.call("GET", _path(topic) + query)
            try:
                page = field(_mapping(answer.body), "items", list)
                if revision is None:
                    # Changes during the reading of later pages are seen again.
                    revision = Revision(field(answer.body, "CurrentRev", int))
                more = optional(answer.body, "HasMore", bool, False)
                names = [_name(_mapping(each)) for each in page]
            except DocumentError as error:
                raise StoreUnavailable(f"list of {topic.value}: {error}") from error
            for name, each in zip(names, page, strict=True):
                item = self._decoded(topic, name, each)
                if item is not None:
                    items[name] = item
            if not more or not names:
                return Snapshot(items=items, revision=revision)
            after = names[-1]

    async def changes(self, topic: Topic, revision: Revision, wait_s: float) -> Changes:
        """Wait for changes of ``topic`` after ``revision``."""
        query = f"?Watch={revision}&WaitMs={round(wait_s * 1000)}"
        answer = await self.client.call("GET", _path(topic) + query, wait_s=wait_s)
        try:
            body = _mapping(answer.body)
            events = optional(body, "events", list, [])
            following = Revision(field(body, "CurrentRev", int))
            changes = [self._change(topic, _mapping(event)) for event in events]
        except DocumentError as error:
            raise StoreUnavailable(f"changes of {topic.value}: {error}") from error
        return Changes(changes=changes, revision=following)

    async def ping(self, timeout_s: float) -> None:
        """Make the cheapest call."""
        path = _path(Topic.EVACUATIONS) + "?AllowStale=1"
        await self.client.call("GET", path, timeout_s=timeout_s)

    async def register(self, entry: GatewayEntry) -> None:
        """Write the entry of this gateway."""
        path = f"{_path(Topic.GATEWAYS)}/{quote(entry.vm, safe='')}"
        document = {"Metadata": {"Name": entry.vm}, "Spec": encode_gateway(entry)}
        answer = await self.client.call("PUT", path, body=document)
        if answer.status == HTTPStatus.NOT_FOUND:
            await self.client.call("POST", _path(Topic.GATEWAYS), body=document)

    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway."""
        await self.client.call("DELETE", f"{_path(Topic.GATEWAYS)}/{quote(vm, safe='')}")

    async def close(self) -> None:
        """Close the connections."""
        self.client.close()

    def _change(self, topic: Topic, event: Mapping[str, Any]) -> Change:
        document = _mapping(event.get("Object"))
        name = _name(document)
        if optional(event, "Deleted", bool, False):
            return Change(name=name, item=None)
        return Change(name=name, item=self._decoded(topic, name, document))

    def _decoded(self, topic: Topic, name: str, document: Mapping[str, Any]) -> Item | None:
        try:
            return decode(topic, name, document.get("Spec"), self.regions)
        except DocumentError as error:
            log.warning("entry unreadable", topic=topic.value, name=name, reason=str(error))
            return None


def _path(topic: Topic) -> str:
    return f"/api/objects/{KINDS[topic]}"


def _mapping(value: object) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise DocumentError(f"{type(value).__name__} in place of an object")
    return value


def _name(document: Mapping[str, Any]) -> str:
    return field(_mapping(document.get("Metadata")), "Name", str)

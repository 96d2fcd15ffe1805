"""Client of the platform's store."""

from collections.abc import Mapping
from http import HTTPMethod, HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
import structlog

from knapweeddock.errors import (
    HistoryGone,
    StoreUnavailable,
    VersionConflict,
)
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.gateway.storeclient import (
    Change,
    ChangeBatch,
    Snapshot,
    StoreClient,
    StoreObject,
    Topic,
)
from knapweeddock.ids import FailureDomainId, RegionId, Revision, VmId
from knapweeddock.platform.documents import KINDS, decode, encode_gateway
from knapweeddock.platform.values import DocumentError, field, optional
from knapweeddock.platformhttp import Endpoint, PlatformHttpClient, PlatformResponse

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.6
"""Time for a connection to the store in seconds, which may be in another region."""

CALL_TIMEOUT_S = 1.2
"""Time for an answer in seconds; the store answers in milliseconds, and in a third
of a second when it is slow."""

JSON_HEADERS = {"Content-Type": "application/json"}


def store_http(address: Address) -> PlatformHttpClient:
    """Return the connections to the store at ``address``."""
    host, port = address
    return PlatformHttpClient(
        endpoint=Endpoint(host=host, port=port),
        connect_timeout_s=CONNECT_TIMEOUT_S,
        total_timeout_s=CALL_TIMEOUT_S,
    )


class PlatformStoreClient(StoreClient):
    """Access to the platform's store over HTTP."""

    def __init__(
        self, *, http: PlatformHttpClient, regions: Mapping[FailureDomainId, RegionId]
    ) -> None:
        self.http = http
        self.regions = regions

    @property
    def calls(self) -> int:
        """Number of calls, refused ones included."""
        return self.http.call_count

    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``, page by page."""
        items: dict[str, StoreObject] = {}
        revision: Revision | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            body = await self._read(_path(topic) + query)
            try:
                page = field(body, "items", list)
                if revision is None:
                    # Changes during the reading of later pages are seen again.
                    revision = Revision(field(body, "CurrentRev", int))
                more = optional(body, "HasMore", bool, False)
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

    async def watch(self, topic: Topic, revision: Revision, wait_s: float) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``revision``."""
        query = f"?Watch={revision}&WaitMs={round(wait_s * 1000)}"
        body = await self._read(_path(topic) + query, long_poll_s=wait_s)
        try:
            events = optional(body, "events", list, [])
            following = Revision(field(body, "CurrentRev", int))
            changes = [self._change(topic, _mapping(event)) for event in events]
        except DocumentError as error:
            raise StoreUnavailable(f"changes of {topic.value}: {error}") from error
        return ChangeBatch(changes=changes, revision=following)

    async def ping(self, timeout_s: float) -> None:
        """Make the cheapest call."""
        path = _path(Topic.EVACUATIONS) + "?AllowStale=1"
        _check(path, await self.http.read(path, total_timeout_s=timeout_s))

    async def register(self, entry: GatewayEntry) -> None:
        """Write the entry of this gateway."""
        path = f"{_path(Topic.GATEWAYS)}/{quote(entry.vm, safe='')}"
        document = {"Metadata": {"Name": entry.vm}, "Spec": encode_gateway(entry)}
        body = msgspec.json.encode(document)
        response = await self._write(HTTPMethod.PUT, path, body)
        if response.status == HTTPStatus.NOT_FOUND:
            await self._write(HTTPMethod.POST, _path(Topic.GATEWAYS), body)

    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway."""
        path = f"{_path(Topic.GATEWAYS)}/{quote(vm, safe='')}"
        _check(path, await self.http.write(HTTPMethod.DELETE, path))

    async def close(self) -> None:
        """Close the connections."""
        await self.http.close()

    async def _read(self, target: str, *, long_poll_s: float = 0.0) -> Mapping[str, Any]:
        response = await self.http.read(target, long_poll_s=long_poll_s)
        path = target.partition("?")[0]
        _check(path, response)
        try:
            return _mapping(msgspec.json.decode(response.body))
        except (msgspec.DecodeError, DocumentError) as error:
            raise StoreUnavailable(f"GET {path}: malformed answer: {error}") from error

    async def _write(self, method: HTTPMethod, path: str, body: bytes) -> PlatformResponse:
        response = await self.http.write(method, path, headers=JSON_HEADERS, body=body)
        _check(path, response)
        return response

    def _change(self, topic: Topic, event: Mapping[str, Any]) -> Change:
        document = _mapping(event.get("Object"))
        name = _name(document)
        if optional(event, "Deleted", bool, False):
            return Change(name=name, item=None)
        return Change(name=name, item=self._decoded(topic, name, document))

    def _decoded(self, topic: Topic, name: str, document: Mapping[str, Any]) -> StoreObject | None:
        try:
            return decode(topic, name, document.get("Spec"), self.regions)
        except DocumentError as error:
            log.warning("entry unreadable", topic=topic.value, name=name, reason=str(error))
            return None


def _check(path: str, response: PlatformResponse) -> None:
    match response.status:
        case HTTPStatus.GONE:
            raise HistoryGone(f"{path}: history is gone")
        case HTTPStatus.CONFLICT:
            raise VersionConflict(f"{path}: the object has changed or exists already")
        case HTTPStatus.OK | HTTPStatus.CREATED | HTTPStatus.NO_CONTENT | HTTPStatus.NOT_FOUND:
            return
    raise StoreUnavailable(f"{path}: status {response.status}")


def _path(topic: Topic) -> str:
    return f"/api/objects/{KINDS[topic]}"


def _mapping(value: object) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise DocumentError(f"{type(value).__name__} in place of an object")
    return value


def _name(document: Mapping[str, Any]) -> str:
    return field(_mapping(document.get("Metadata")), "Name", str)

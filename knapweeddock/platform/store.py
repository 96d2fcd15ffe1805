"""Client of the platform's store."""

from collections.abc import Mapping
from http import HTTPMethod, HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
import structlog

from knapweeddock.errors import (
    EraChanged,
    HistoryGone,
    StoreUnavailable,
    VersionConflict,
)
from knapweeddock.gateway.records import Address, GatewayEntry
from knapweeddock.gateway.store.storeclient import (
    Change,
    ChangeBatch,
    Snapshot,
    StoreClient,
    StoreObject,
    Topic,
)
from knapweeddock.gateway.store.storeposition import UNKNOWN_ERA, StorePosition
from knapweeddock.http1.messages import Headers, get_header
from knapweeddock.ids import Era, FailureDomainId, RegionId, Revision, VmId
from knapweeddock.platform.documents import KINDS, decode, encode_gateway
from knapweeddock.platform.values import DocumentError, field, optional
from knapweeddock.platformhttp import Endpoint, PlatformHttpClient, PlatformResponse

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.6
"""Time for a connection to the store in seconds, which may be in another region."""

CALL_TIMEOUT_S = 1.2
"""Time for an answer in seconds; the store answers in milliseconds, and in a third
of a second when it is slow."""

ERA = b"store-era"
"""Header of each response: how often the store came back from an older copy."""

MAX_ERA_DIGITS = 18

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
        super().__init__()
        self.http = http
        self.http.observe_headers = self._observe_headers
        self.regions = regions
        self._era_fault_logged = False

    @property
    def calls(self) -> int:
        """Number of calls, refused ones included."""
        return self.http.call_count

    async def list_objects(self, topic: Topic) -> Snapshot:
        """Return all objects of ``topic``, page by page."""
        items: dict[str, StoreObject] = {}
        position: StorePosition | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            era, body = await self._read(_path(topic) + query)
            if position is not None and era != position.era:
                raise EraChanged(f"list of {topic.value}: the store returned between two pages")
            try:
                page = field(body, "items", list)
                if position is None:
                    # Changes during the reading of later pages are seen again.
                    position = _position(era, body)
                more = optional(body, "HasMore", bool, False)
                names = [_name(_mapping(each)) for each in page]
            except DocumentError as error:
                raise StoreUnavailable(f"list of {topic.value}: {error}") from error
            for name, each in zip(names, page, strict=True):
                item = self._decoded(topic, name, each)
                if item is not None:
                    items[name] = item
            if not more or not names:
                return Snapshot(items=items, position=position)
            after = names[-1]

    async def watch(self, topic: Topic, position: StorePosition, wait_s: float) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``position``."""
        query = f"?Watch={position.revision}&WaitMs={round(wait_s * 1000)}"
        era, body = await self._read(_path(topic) + query, long_poll_s=wait_s)
        if era != position.era:
            # The store has given out the revision again, so changes below it are missing.
            raise EraChanged(f"watch of {topic.value}: era {era}, not {position.era}")
        try:
            events = optional(body, "events", list, [])
            following = _position(era, body)
            changes = [self._change(topic, _mapping(event)) for event in events]
        except DocumentError as error:
            raise StoreUnavailable(f"changes of {topic.value}: {error}") from error
        return ChangeBatch(changes=changes, position=following)

    async def ping(self, timeout_s: float) -> None:
        """Make the cheapest call."""
        path = _path(Topic.EVACUATIONS) + "?AllowStale=1"
        response = await self.http.read(path, total_timeout_s=timeout_s)
        self._checked_era(path, response)
        _check(path, response)

    async def register(self, entry: GatewayEntry, *, is_new: bool = False) -> None:
        """Write the entry of this gateway."""
        path = f"{_path(Topic.GATEWAYS)}/{quote(entry.vm, safe='')}"
        document = {"Metadata": {"Name": entry.vm}, "Spec": encode_gateway(entry)}
        body = msgspec.json.encode(document)
        if is_new:
            try:
                await self._write(HTTPMethod.POST, _path(Topic.GATEWAYS), body)
            except VersionConflict:
                await self._write(HTTPMethod.PUT, path, body)
            return
        response = await self._write(HTTPMethod.PUT, path, body)
        if response.status == HTTPStatus.NOT_FOUND:
            await self._write(HTTPMethod.POST, _path(Topic.GATEWAYS), body)

    async def unregister(self, vm: VmId) -> None:
        """Remove the entry of a gateway."""
        path = f"{_path(Topic.GATEWAYS)}/{quote(vm, safe='')}"
        response = await self.http.write(HTTPMethod.DELETE, path)
        self._checked_era(path, response)
        _check(path, response)

    async def close(self) -> None:
        """Close the connections."""
        await self.http.close()

    def _observe_headers(self, headers: Headers) -> None:
        era = _stated_era(headers)
        if era is not None:
            self._era_fault_logged = False
            self.record_era(era)
        elif not self._era_fault_logged and (
            self.era != UNKNOWN_ERA or get_header(headers, ERA) is not None
        ):
            self._era_fault_logged = True
            log.error("store response without a valid era", known_era=self.era)

    def _checked_era(self, path: str, response: PlatformResponse) -> Era:
        """Return the era of a response, which is the known one if it states none.

        Raises:
            StoreUnavailable: The response is from an earlier era, or states a later one that
                is not proven yet, so its content cannot be used.
        """
        stated = _stated_era(response.headers)
        if stated is not None and stated != self.era:
            raise StoreUnavailable(f"{path}: response of era {stated}, not {self.era}")
        return self.era

    async def _read(
        self, target: str, *, long_poll_s: float = 0.0
    ) -> tuple[Era, Mapping[str, Any]]:
        response = await self.http.read(target, long_poll_s=long_poll_s)
        path = target.partition("?")[0]
        era = self._checked_era(path, response)
        _check(path, response)
        try:
            return era, _mapping(msgspec.json.decode(response.body))
        except (msgspec.DecodeError, DocumentError) as error:
            raise StoreUnavailable(f"GET {path}: malformed answer: {error}") from error

    async def _write(self, method: HTTPMethod, path: str, body: bytes) -> PlatformResponse:
        response = await self.http.write(method, path, headers=JSON_HEADERS, body=body)
        self._checked_era(path, response)
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


def _stated_era(headers: Headers) -> Era | None:
    """Return the era that a response states, or None if it states none or no whole number."""
    values = {value.strip() for name, value in headers if name.lower() == ERA}
    if len(values) != 1:
        return None
    (value,) = values
    return Era(int(value)) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else None


def _position(era: Era, body: Mapping[str, Any]) -> StorePosition:
    return StorePosition(era=era, revision=Revision(field(body, "CurrentRev", int)))


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

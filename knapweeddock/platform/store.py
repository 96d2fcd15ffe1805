"""Client of the platform's store."""

from collections.abc import Callable, Mapping
from http import HTTPMethod, HTTPStatus
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
from knapweeddock.platform.answers import Answer, NamedContent, decode_events, decode_page
from knapweeddock.platform.documents import KINDS, decode, encode_gateway
from knapweeddock.platform.values import DocumentError
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
            era, page = await self._read(_path(topic) + query, decode_page)
            if position is not None and era != position.era:
                raise EraChanged(f"list of {topic.value}: the store returned between two pages")
            if position is None:
                # Changes during the reading of later pages are seen again.
                position = StorePosition(era=era, revision=Revision(page.revision))
            for each in page.objects:
                item = self._decoded(topic, each)
                if item is not None:
                    items[each.name] = item
            if not page.has_more or not page.objects:
                return Snapshot(items=items, position=position)
            after = page.objects[-1].name

    async def watch(
        self,
        topic: Topic,
        position: StorePosition,
        wait_s: float,
        *,
        answer_timeout_s: float | None = None,
    ) -> ChangeBatch:
        """Wait for changes of ``topic`` after ``position``."""
        query = f"?Watch={position.revision}&WaitMs={round(wait_s * 1000)}"
        era, batch = await self._read(
            _path(topic) + query, decode_events, wait_s=wait_s, timeout_s=answer_timeout_s
        )
        if era != position.era:
            # The store has given out the revision again, so changes below it are missing.
            raise EraChanged(f"watch of {topic.value}: era {era}, not {position.era}")
        following = StorePosition(era=era, revision=Revision(batch.revision))
        changes = [
            Change(name=each.name, item=None if each.deleted else self._decoded(topic, each))
            for each in batch.objects
        ]
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
        self,
        target: str,
        decode_answer: Callable[[bytes], Answer],
        *,
        wait_s: float = 0.0,
        timeout_s: float | None = None,
    ) -> tuple[Era, Answer]:
        response = await self.http.read(target, long_poll_s=wait_s, total_timeout_s=timeout_s)
        path = target.partition("?")[0]
        era = self._checked_era(path, response)
        _check(path, response)
        try:
            return era, decode_answer(response.body)
        except DocumentError as error:
            raise StoreUnavailable(f"GET {path}: malformed answer: {error}") from error

    async def _write(self, method: HTTPMethod, path: str, body: bytes) -> PlatformResponse:
        response = await self.http.write(method, path, headers=JSON_HEADERS, body=body)
        self._checked_era(path, response)
        _check(path, response)
        return response

    def _decoded(self, topic: Topic, content: NamedContent) -> StoreObject | None:
        try:
            return decode(topic, content.name, content.spec, self.regions)
        except DocumentError as error:
            log.warning("entry unreadable", topic=topic.value, name=content.name, reason=str(error))
            return None


def _stated_era(headers: Headers) -> Era | None:
    """Return the era that a response states, or None if it states none or no whole number."""
    values = {value.strip() for name, value in headers if name.lower() == ERA}
    if len(values) != 1:
        return None
    (value,) = values
    return Era(int(value)) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else None


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

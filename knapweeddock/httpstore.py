"""The platform's object API over its published HTTP protocol.

The protocol is in section 8.1 of ``docs/design.md``.
"""

from http import HTTPMethod
from urllib.parse import quote, urlencode

import msgspec

from knapweeddock.errors import OutcomeUnknown, StoreUnavailable, VersionConflict
from knapweeddock.ids import Version
from knapweeddock.objectstore import ABSENT, ObjectStore, StoredObject
from knapweeddock.platformhttp import (
    DEFAULT_CONNECT_TIMEOUT_S,
    DEFAULT_TOTAL_TIMEOUT_S,
    PlatformHttpClient,
    PlatformResponse,
    parse_endpoint,
)


class ObjectKeys(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /v1/objects?prefix=``."""

    keys: list[str]


class HttpObjectStore(ObjectStore):
    """Objects of the platform."""

    def __init__(
        self,
        *,
        url: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        total_timeout_s: float = DEFAULT_TOTAL_TIMEOUT_S,
    ) -> None:
        self.http = PlatformHttpClient(
            endpoint=parse_endpoint(url),
            connect_timeout_s=connect_timeout_s,
            total_timeout_s=total_timeout_s,
        )

    async def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or None when it does not exist."""
        answer = await self.http.read(_path("objects", key))
        if answer.status == 404:
            return None
        return _stored(key, answer)

    async def put(self, key: str, value: bytes, *, expected_version: Version) -> Version:
        """Write ``value`` if the object still has ``expected_version``."""
        if expected_version == ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{expected_version}"'}
        answer = await self.http.write(
            HTTPMethod.PUT, _path("objects", key), headers=headers, body=value
        )
        if answer.status == 412:
            raise VersionConflict(f"{key} does not have version {expected_version}")
        if answer.status not in (200, 201, 204):
            raise StoreUnavailable(f"PUT {key}: the platform answered {answer.status}")
        if not answer.etag.isdecimal():
            raise OutcomeUnknown(f"PUT {key}: the answer has no version")
        return Version(int(answer.etag))

    async def delete(self, key: str) -> None:
        """Remove the object at ``key``."""
        answer = await self.http.write(HTTPMethod.DELETE, _path("objects", key))
        if answer.status not in (200, 204, 404):
            raise StoreUnavailable(f"DELETE {key}: the platform answered {answer.status}")

    async def watch(self, key: str, after_version: Version, timeout: float) -> StoredObject | None:
        """Wait until the object has a version above ``after_version``."""
        query = urlencode({"after": after_version, "timeout_s": f"{timeout:g}"})
        answer = await self.http.read(f"{_path('watch', key)}?{query}", long_poll_s=timeout)
        if answer.status in (204, 404):
            return None
        found = _stored(key, answer)
        return found if found.version > after_version else None

    async def list(self, prefix: str) -> list[str]:
        """Return the names of all objects that start with ``prefix``."""
        answer = await self.http.read(f"/v1/objects?{urlencode({'prefix': prefix})}")
        if answer.status != 200:
            raise StoreUnavailable(f"GET /v1/objects: the platform answered {answer.status}")
        try:
            return sorted(msgspec.json.decode(answer.body, type=ObjectKeys).keys)
        except msgspec.MsgspecError as error:
            raise StoreUnavailable(f"GET /v1/objects: malformed answer: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def _path(collection: str, key: str) -> str:
    return f"/v1/{collection}/{quote(key, safe='/')}"


def _stored(key: str, answer: PlatformResponse) -> StoredObject:
    if answer.status != 200 or not answer.etag.isdecimal():
        raise StoreUnavailable(
            f"{key}: the platform answered {answer.status} with version {answer.etag!r}"
        )
    return StoredObject(key=key, version=Version(int(answer.etag)), value=answer.body)

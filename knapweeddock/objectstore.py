"""The platform's object API as an interface, and an in-memory implementation.

The platform keeps named values with a version that grows with every change.
An update is conditional on the version that the writer has read, which is the
only means by which processes agree (section 3 of ``docs/design.md``).
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweeddock.errors import OutcomeUnknown, RateLimited, StoreUnavailable, VersionConflict
from knapweeddock.ids import Version

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform holds."""

ABSENT = Version(0)
"""Expected version of an object that must not exist yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """A value of the object API.

    Attributes:
        key: Name of the object.
        version: Version of the object, larger after every change.
        value: The value.
    """

    key: str
    version: Version
    value: bytes


class ObjectStore(ABC):
    """Access to the platform's object API.

    Every method raises ``StoreUnavailable`` when the platform did not do what
    was asked and ``RateLimited`` when the call was over the rate limit.
    """

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or None when it does not exist."""

    @abstractmethod
    async def put(self, key: str, value: bytes, *, expected_version: Version) -> Version:
        """Write ``value`` if the object still has ``expected_version``.

        Args:
            key: Name of the object.
            value: New value, at most ``MAX_VALUE_BYTES``.
            expected_version: Version that was read; ``ABSENT`` (0) means that
                the object must not exist.

        Returns:
            The version of the written object.

        Raises:
            VersionConflict: The object has another version; nothing changed.
            OutcomeUnknown: The answer was lost; the write may have happened.
        """

    @abstractmethod
    async def delete(self, key: str) -> None:
        """Remove the object at ``key``; an object that does not exist is no error.

        Raises:
            OutcomeUnknown: The answer was lost; the object may be removed.
        """

    @abstractmethod
    async def watch(self, key: str, after_version: Version, timeout: float) -> StoredObject | None:
        """Wait until the object has a version above ``after_version``.

        Args:
            key: Name of the object.
            after_version: Version that the caller already has.
            timeout: Longest wait in seconds.

        Returns:
            The newer object, or None when the wait ended without one.
        """

    @abstractmethod
    async def list(self, prefix: str) -> list[str]:
        """Return the names of all objects that start with ``prefix``, sorted."""

    async def close(self) -> None:  # noqa: B027 - only some stores hold connections
        """Release connections."""


class MemoryObjectStore(ObjectStore):
    """Objects in memory, with switches for the platform's faults.

    Versions come from one counter for all objects, so that an object that is
    deleted and created again never repeats a version.

    Attributes:
        delay_s: Time before each call takes effect (a slow platform).
        lose_answers: Number of next writes that take effect and whose answer
            is lost.
        lose_writes: Number of next writes that are lost before they take
            effect, which the writer cannot tell from a lost answer.
        rate_limited_s: Retry-after with which every call is refused, or None.
        calls: Number of calls, each waiting watch included.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.rate_limited_s: float | None = None
        self.calls = 0
        self._down = False
        self._last_version = 0
        self._changed = asyncio.Event()

    @property
    def down(self) -> bool:
        """Whether every call fails; setting it also ends waiting watches."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        self._notify()

    async def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``."""
        await self._admit()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, *, expected_version: Version) -> Version:
        """Write ``value`` if the object has ``expected_version``."""
        await self._admit()
        if len(value) > MAX_VALUE_BYTES:
            raise StoreUnavailable(f"{key}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
        self._lose_write(key)
        found = self.objects.get(key)
        present = found.version if found else ABSENT
        if present != expected_version:
            raise VersionConflict(f"{key} has version {present}, expected {expected_version}")
        self._last_version += 1
        version = Version(self._last_version)
        self.objects[key] = StoredObject(key=key, version=version, value=bytes(value))
        self._notify()
        self._lose_answer(key)
        return version

    async def delete(self, key: str) -> None:
        """Remove the object at ``key``."""
        await self._admit()
        self._lose_write(key)
        self.objects.pop(key, None)
        self._notify()
        self._lose_answer(key)

    async def watch(self, key: str, after_version: Version, timeout: float) -> StoredObject | None:
        """Wait until the object has a version above ``after_version``."""
        await self._admit()
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while True:
            self._check_up()
            found = self.objects.get(key)
            if found is not None and found.version > after_version:
                return found
            remaining = end - loop.time()
            if remaining <= 0:
                return None
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)

    async def list(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``."""
        await self._admit()
        return sorted(key for key in self.objects if key.startswith(prefix))

    async def _admit(self) -> None:
        self.calls += 1
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        self._check_up()

    def _check_up(self) -> None:
        if self._down:
            raise StoreUnavailable("the store is down")
        if self.rate_limited_s is not None:
            raise RateLimited("over the rate limit", retry_after_s=self.rate_limited_s)

    def _lose_write(self, key: str) -> None:
        if self.lose_writes > 0:
            self.lose_writes -= 1
            raise OutcomeUnknown(f"no answer to a write of {key}")

    def _lose_answer(self, key: str) -> None:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknown(f"no answer to a write of {key}")

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

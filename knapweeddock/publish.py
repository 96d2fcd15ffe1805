"""Accepts changes of the configuration by conditional update of ``config/head``.

A change is accepted exactly when the update of the head took effect. When the
answer is lost, the writer reads the head back and looks for its own change id;
all tries of one change carry the same id and only one of them can succeed,
since the others expect an object version that no longer exists.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from knapweeddock import changes
from knapweeddock.changes import Change, Document, Head, VersionedDocument
from knapweeddock.clock import Clock, SystemClock
from knapweeddock.errors import (
    OutcomeUnknown,
    RateLimited,
    StoreError,
    StoreUnavailable,
)
from knapweeddock.headstore import StoredHead, fetch_document, read_head
from knapweeddock.ids import ChangeId, Version, new_id
from knapweeddock.objectstore import ABSENT, ObjectStore

MAX_TRIES = 10
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_RATE_LIMIT_WAIT_S = 5.0
MAX_OPERATOR_CHARS = 200

log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Current:
    """What the platform holds: the head and its document."""

    head: Head
    document: Document


Propose = Callable[[Current], Document]
"""Returns the document to publish, given the current one.

It is called again for each new head and raises to give up the change.
"""


class Companion:
    """Work on other objects that accompanies a change; this one has none."""

    async def before(self, current: Current) -> None:
        """Prepare for ``Propose``, which is called next, with the same head."""

    async def prepare(self) -> None:
        """Write what the proposed document refers to, before the head."""

    async def finish(self) -> None:
        """Remove what is no longer referred to, after the head was accepted."""


@dataclass(frozen=True, kw_only=True)
class Published:
    """Result of ``Publisher.publish``.

    Attributes:
        version: Version that holds the change.
        change_id: Id of the change, None when the document was already equal.
        patch: What the change changed.
        document: The document of ``version``.
    """

    version: Version
    change_id: ChangeId | None
    patch: Document
    document: Document


@dataclass(kw_only=True)
class _Try:
    """State of one change over its tries.

    Attributes:
        change_id: Id of the change.
        in_doubt: Object version that a write with a lost answer expected, or
            None when no write can still take effect.
        doubted: Result to report if that write turns out to have succeeded.
    """

    change_id: ChangeId
    in_doubt: Version | None = None
    doubted: Published | None = None

    def accepted_in(self, stored: StoredHead) -> Published | None:
        """Return the result when an earlier write turns out to be accepted."""
        if self.change_id in stored.head.recent_ids:
            return self.doubted
        if stored.object_version != self.in_doubt:
            # The object has moved on without the change, so no earlier write
            # of it can take effect any more.
            self.in_doubt = None
        return None


class Publisher:
    """Publishes changes of one operator.

    Attributes:
        operator: Who makes the changes.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        operator: str,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        max_tries: int = MAX_TRIES,
    ) -> None:
        self.store = store
        self.operator = operator[:MAX_OPERATOR_CHARS]
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.sleep = sleep
        self.max_tries = max_tries

    async def publish(self, propose: Propose, companion: Companion | None = None) -> Published:
        """Publish the document that ``propose`` returns.

        Args:
            propose: Returns the document.
            companion: Work on other objects, done again in each try.

        Returns:
            The accepted change, or the current version when there is no
            difference.

        Raises:
            StoreUnavailable, RateLimited, VersionConflict: Nothing changed,
                and the tries are used up.
            OutcomeUnknown: The last write's answer was lost and the head
                could not be read back; the change may be accepted.
            ConfigError: ``propose`` gave up, or the document is too large.
        """
        attempt = _Try(change_id=ChangeId(new_id()))
        last_error: StoreError | None = None
        for number in range(self.max_tries):
            if last_error is not None:
                await self.sleep(self._backoff_s(number, last_error))
            try:
                return await self._try_once(attempt, propose, companion or Companion())
            except StoreError as error:
                last_error = error
        assert last_error is not None
        return await self._give_up(attempt, last_error)

    async def _give_up(self, attempt: _Try, last_error: StoreError) -> Published:
        """Find out what became of the last write, and raise unless it was accepted."""
        if attempt.in_doubt is not None:
            try:
                stored = await read_head(self.store)
            except StoreError as error:
                raise OutcomeUnknown(
                    f"the answer to change {attempt.change_id} was lost and the head could not"
                    f" be read back: {error}"
                ) from error
            accepted = attempt.accepted_in(stored)
            if accepted is not None:
                return accepted
            if attempt.in_doubt is not None:
                raise OutcomeUnknown(
                    f"change {attempt.change_id} was sent without an answer and may still arrive"
                ) from last_error
        if isinstance(last_error, OutcomeUnknown):
            # Only the write of a snapshot is unknown, which no head refers to.
            raise StoreUnavailable(f"nothing was changed: {last_error}") from last_error
        raise last_error

    async def _try_once(self, attempt: _Try, propose: Propose, companion: Companion) -> Published:
        stored = await read_head(self.store)
        accepted = attempt.accepted_in(stored)
        if accepted is not None:
            return accepted
        base = await fetch_document(self.store, stored.head)
        current = Current(head=stored.head, document=base.document)
        await companion.before(current)
        document = propose(current)
        patch = changes.diff(base.document, document)
        if not patch:
            return Published(
                version=stored.head.version, change_id=None, patch={}, document=document
            )
        changes.check_size(document)
        await companion.prepare()
        change = Change(
            version=Version(stored.head.version + 1),
            change_id=attempt.change_id,
            operator=self.operator,
            at=self.clock.wall(),
            patch=patch,
        )
        attempt.doubted = Published(
            version=change.version, change_id=change.change_id, patch=patch, document=document
        )
        await self._write(attempt.doubted, attempt, stored, change)
        await companion.finish()
        return attempt.doubted

    async def _write(
        self, result: Published, attempt: _Try, stored: StoredHead, change: Change
    ) -> None:
        head = changes.append(stored.head, change)
        has_snapshot = changes.needs_snapshot(head)
        if has_snapshot:
            content = VersionedDocument(version=head.version, document=result.document)
            key = changes.snapshot_key(head.version)
            await self.store.put(key, changes.encode(content), expected_version=ABSENT)
            head = changes.trim(head, key)
        try:
            await self.store.put(
                changes.HEAD_KEY, changes.encode(head), expected_version=stored.object_version
            )
        except OutcomeUnknown:
            attempt.in_doubt = stored.object_version
            raise
        if has_snapshot:
            await self._delete_old_snapshots(head)

    async def _delete_old_snapshots(self, head: Head) -> None:
        """Delete snapshots that the accepted ``head`` no longer refers to.

        The one before stays for readers of the head before. A snapshot above
        the head's version may belong to a writer whose update is under way.
        """
        kept = {head.snapshot, head.previous_snapshot}
        newest = f"{changes.SNAPSHOT_PREFIX}{head.version + 1:012d}"
        try:
            for key in await self.store.list(changes.SNAPSHOT_PREFIX):
                if key not in kept and key < newest:
                    await self.store.delete(key)
        except StoreError as error:
            log.warning("old snapshots were not deleted", error=str(error), code=int(error.code))

    def _backoff_s(self, number: int, error: StoreError) -> float:
        bound = min(FIRST_BACKOFF_S * 2 ** (number - 1), MAX_BACKOFF_S)
        backoff = bound * self.rng.uniform(0.5, 1.0)
        if isinstance(error, RateLimited):
            return min(max(backoff, error.retry_after_s), MAX_RATE_LIMIT_WAIT_S)
        return backoff

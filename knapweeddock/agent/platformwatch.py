"""Watches the platform: the object ``config/head`` and the VM list.

Only the watchers of a failure domain call the platform. If it is down, slow, over
its rate limit or stops responding to a watch, the agent retries after a backoff
with jitter, and the configuration it has stays in force.
"""

import asyncio
import random
import time

import structlog

from knapweeddock.agent.core import AgentCore
from knapweeddock.changes import HEAD_KEY, VersionedDocument
from knapweeddock.confighistory import Progress
from knapweeddock.errors import (
    ConfigError,
    KnapweedError,
    RateLimited,
    StoreError,
    StoreUnavailable,
)
from knapweeddock.headstore import fetch_document, stored_head
from knapweeddock.ids import VmId
from knapweeddock.objectstore import ABSENT, ObjectStore, StoredObject
from knapweeddock.proto.knapweed_pb2 import LeavingRecord, Record
from knapweeddock.records import leaving_key
from knapweeddock.replication import select_watchers
from knapweeddock.vmlist import ListedVm, VmKind, VmList, VmState

WATCH_TIMEOUT_S = 5.0
"""Longest wait of one watch call, in seconds. Two watchers in each of 93 domains then
make 37 calls per second; the platform accepts two thousand."""

CALL_TIMEOUT_S = WATCH_TIMEOUT_S + 2.0
"""Timeout of one poll, in seconds. It ends a watch whose connection no longer responds;
the next call opens a new connection."""

VM_LIST_INTERVAL_S = 2.0
"""Time between two reads of the VM list, in seconds. A backend server that the list
reports as leaving must get no new requests after 3 s; with an interval of 5 s it did.
Two watchers in each of 93 domains then make 93 calls per second."""

MAX_WATCHES_BETWEEN_READS = 12
"""Number of calls after which the head is read instead of watched. A platform that was
restored with lower object versions would not respond to a watch with a change."""

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

UNLISTED_TIMEOUT_S = 60.0
"""Time without heartbeats after which a VM that this watcher never saw in the VM list is
marked down, in seconds. The list lags behind new VMs."""

MAX_LEAVING_IDS = 2000
"""Largest number of leaving backend servers, and of leaving entry VMs, in a record."""

log = structlog.get_logger(__name__)


class Backoff:
    """Exponential backoff with jitter and an upper bound.

    Attributes:
        delay_s: The next delay in seconds, before jitter.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.delay_s = MIN_BACKOFF_S

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self.delay_s = MIN_BACKOFF_S

    def next_delay_s(self, error: Exception) -> float:
        """Return the delay after ``error`` in seconds.

        The delay after a rate limit is the requested one plus the backoff, so that
        watchers that were rejected together do not retry together.
        """
        delay = self.delay_s * self.rng.uniform(0.5, 1.5)
        self.delay_s = min(MAX_BACKOFF_S, 2 * self.delay_s)
        if isinstance(error, RateLimited):
            delay += error.retry_after_s
        return delay


class PlatformCallLog:
    """Logs when platform calls start to fail and when they succeed again.

    Attributes:
        what: What the calls read, for the log.
        is_failing: Whether the last call failed.
    """

    def __init__(self, *, what: str) -> None:
        self.what = what
        self.is_failing = False

    def record_failure(self, error: KnapweedError) -> None:
        """Record a failed call."""
        if not self.is_failing:
            log.warning(
                "platform call failed", what=self.what, code=int(error.code), error=str(error)
            )
        self.is_failing = True

    def record_success(self) -> None:
        """Record a successful call."""
        if self.is_failing:
            log.info("platform calls succeed again", what=self.what)
        self.is_failing = False


class ConfigWatcher:
    """Reads new versions of the configuration from the platform.

    Attributes:
        object_version: Version of the head object as last read.
    """

    def __init__(self, *, core: AgentCore, store: ObjectStore) -> None:
        self.core = core
        self.store = store
        self.object_version = ABSENT
        self._must_read_head = True
        self._watches_since_read = 0

    async def poll(self) -> None:
        """Read or watch the head once and apply a new version.

        After an error the next call reads the head instead of watching it.

        Raises:
            StoreError: The platform did not respond.
            ConfigError: The head or a snapshot is malformed.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                found = await self._read_or_watch()
                if found is not None:
                    await self._apply_head(found)
        except (StoreError, ConfigError):
            self._must_read_head = True
            raise
        except TimeoutError as error:
            self._must_read_head = True
            raise StoreUnavailable(f"no response within {CALL_TIMEOUT_S} s") from error

    async def _read_or_watch(self) -> StoredObject | None:
        self._watches_since_read += 1
        if self._must_read_head or self._watches_since_read >= MAX_WATCHES_BETWEEN_READS:
            found = await self.store.get(HEAD_KEY)
            self._must_read_head = False
            self._watches_since_read = 0
            self.object_version = found.version if found else ABSENT
            return found
        found = await self.store.watch(HEAD_KEY, self.object_version, WATCH_TIMEOUT_S)
        if found is not None:
            self.object_version = found.version
        return found

    async def _apply_head(self, found: StoredObject) -> None:
        head = stored_head(found).head
        history = self.core.node.history
        previous_version = history.version
        progress = history.take_head(head)
        if progress is Progress.GAP:
            base = VersionedDocument(version=previous_version, document=history.document)
            document = await fetch_document(self.store, head, base)
            previous_version = history.version
            progress = history.take_snapshot(document)
        if progress is Progress.ADVANCED:
            log.info("configuration in force", version=history.version, source="platform")
            self.core.distribute_config(previous_version)


class VmListWatcher:
    """Publishes leaving servers and VMs, and marks down VMs that the VM list lacks."""

    def __init__(self, *, core: AgentCore, vm_list: VmList) -> None:
        self.core = core
        self.vm_list = vm_list
        self._ever_listed: set[str] = set()
        self._unlisted: set[VmId] = set()

    async def poll(self) -> None:
        """Read the VM list, publish leaving VMs and mark unlisted members down.

        Raises:
            StoreError: The platform did not respond, or the list is empty.
        """
        listed_vms = await self.vm_list.fetch()
        if not listed_vms:
            raise StoreUnavailable("the VM list is empty")
        self._publish_leaving(listed_vms)
        self._mark_unlisted_down(listed_vms)

    def _publish_leaving(self, listed_vms: list[ListedVm]) -> None:
        leaving = [vm for vm in listed_vms if vm.state is VmState.LEAVING]
        servers = sorted(vm.id for vm in leaving if vm.kind is VmKind.SERVER)
        vms = sorted(vm.id for vm in leaving if vm.kind is VmKind.ENTRY)
        content = LeavingRecord(servers=servers[:MAX_LEAVING_IDS], vms=vms[:MAX_LEAVING_IDS])
        domain = self.core.node.failure_domain
        key = leaving_key(domain)
        published = self.core.node.store.records.get(key)
        if published is None and not leaving:
            return
        if published is not None and published.leaving == content:
            return
        # Several watchers write this record, so its version stamp is the wall-clock time.
        start_ms = int(time.time() * 1000)
        if published is not None:
            start_ms = max(start_ms, published.incarnation_start_ms + 1)
        self.core.publish(
            Record(
                key=key,
                incarnation=self.core.local_member.incarnation,
                incarnation_start_ms=start_ms,
                version=1,
                failure_domain=domain,
                leaving=content,
            )
        )

    def _mark_unlisted_down(self, listed_vms: list[ListedVm]) -> None:
        """Mark down members with overdue heartbeats that two consecutive lists lack."""
        now = self.core.clock.monotonic()
        listed_ids = {listed_vm.id for listed_vm in listed_vms if listed_vm.kind is VmKind.ENTRY}
        members = self.core.node.members
        unlisted: set[VmId] = set()
        for view in members.overdue_members():
            vm = VmId(view.member.vm)
            if vm in listed_ids or not view.member.entry_incarnation:
                continue
            may_mark_down = vm in self._ever_listed or (
                members.heartbeats.heartbeat_age_s(vm, now) > UNLISTED_TIMEOUT_S
            )
            if not may_mark_down:
                continue
            unlisted.add(vm)
            if vm in self._unlisted:
                self.core.mark_down(view.member, "not in the VM list")
        self._unlisted = unlisted
        self._ever_listed |= listed_ids


def is_watcher(core: AgentCore) -> bool:
    """Return whether this agent watches the platform for its domain.

    Watchers are chosen among agents whose heartbeats arrive in time, regardless of
    the state of their entries, so that a domain whose entries are still joining gets
    its first configuration.
    """
    members = core.node.members
    vms = [*members.responsive_peers(), core.node.vm]
    return core.node.vm in select_watchers(core.node.failure_domain, vms)

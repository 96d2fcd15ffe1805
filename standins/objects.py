"""State of the platform stand-in: versioned objects, VM list, faults, call budget."""

import asyncio
from dataclasses import dataclass, field

WRITES_PER_S = 400.0
READS_PER_S = 2000.0
BURST_S = 1.0
"""Length of the burst that the call budget allows, in seconds of its rate."""


@dataclass(kw_only=True)
class PlatformFaults:
    """Faults that a test switches on.

    Attributes:
        down: Every call is answered 503.
        refuse: Every call ends with a closed connection and no answer.
        delay_s: Time added before a call is carried out.
        lose_answers: Number of following writes that take effect and whose
            connection is closed without an answer.
        silent_watches: Whether watches never answer, not even at their timeout.
        vm_lag_s: Age of the VM list that is served.
    """

    down: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False
    vm_lag_s: float = 0.0


@dataclass(kw_only=True)
class StoredValue:
    """A value and its version."""

    version: int
    body: bytes


@dataclass(kw_only=True)
class CallBudget:
    """A token bucket that counts each call as one."""

    rate_per_s: float
    tokens: float = 0.0
    refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token at ``now``; return False when the budget is used up."""
        limit = self.rate_per_s * BURST_S
        gained = (now - self.refilled_at) * self.rate_per_s
        self.tokens = min(limit, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(kw_only=True)
class PlatformState:
    """Everything that the platform stand-in holds.

    Attributes:
        objects: Values by key.
        next_version: Version of the next write; versions are unique over all keys.
        vm_lists: The VM lists so far, each with the monotonic time of its start.
        faults: Faults that are switched on.
        calls: Number of calls by kind.
        changed: Set and replaced on each write, to wake watches.
    """

    objects: dict[str, StoredValue] = field(default_factory=dict)
    next_version: int = 1
    vm_lists: list[tuple[float, list[dict[str, str]]]] = field(default_factory=list)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: dict[str, int] = field(default_factory=dict)
    reads: CallBudget = field(default_factory=lambda: CallBudget(rate_per_s=READS_PER_S))
    writes: CallBudget = field(default_factory=lambda: CallBudget(rate_per_s=WRITES_PER_S))
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def store(self, key: str, body: bytes) -> int:
        """Store a value and wake the watches; return its version."""
        version = self.next_version
        self.next_version += 1
        self.objects[key] = StoredValue(version=version, body=body)
        self.wake()
        return version

    def remove(self, key: str) -> None:
        """Remove a value if it exists and wake the watches."""
        self.objects.pop(key, None)
        self.wake()

    def wake(self) -> None:
        """Wake everything that waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def vms_at(self, moment: float) -> list[dict[str, str]]:
        """Return the VM list that was current at a monotonic time, the first one before."""
        current = self.vm_lists[0][1] if self.vm_lists else []
        for started_at, vms in self.vm_lists:
            if started_at <= moment:
                current = vms
        return current

    def version_of(self, key: str) -> int:
        """Return the version of ``key``, 0 when it does not exist."""
        stored = self.objects.get(key)
        return stored.version if stored else 0

"""Time sources: the system clock and one that tests move by hand."""

import time
from abc import ABC, abstractmethod

CLOCK_DRIFT = 0.01
"""Bound on the difference in rate between the clocks of two VMs (fraction)."""


class Clock(ABC):
    """A source of monotonic time and of wall time anchored to it."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, free of steps since construction."""


class SystemClock(Clock):
    """The machine's clock.

    Wall time is anchored once at construction and then advances with the
    monotonic clock, so that a step of the system's wall clock cannot make an
    expired idempotency key valid again.
    """

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def monotonic(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return anchored seconds since the Unix epoch."""
        return self.anchor + time.monotonic()


class ManualClock(Clock):
    """A clock for tests that only ``advance`` moves."""

    def __init__(self, *, start: float = 1000.0, epoch: float = 1_700_000_000.0) -> None:
        self.now = start
        self.offset = epoch - start

    def monotonic(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current virtual wall time in seconds."""
        return self.now + self.offset

    def advance(self, seconds: float) -> float:
        """Move the clock forward by ``seconds`` and return the new time."""
        if seconds < 0:
            raise ValueError("a clock cannot be moved backwards")
        self.now += seconds
        return self.now

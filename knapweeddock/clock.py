"""Time sources: the system clock and a manually advanced clock for tests."""

import time
from abc import ABC, abstractmethod

MAX_CLOCK_DRIFT_FRACTION = 0.01
"""Largest relative difference in rate between the clocks of two VMs, as a fraction."""


class Clock(ABC):
    """A source of monotonic time and of wall time anchored to it."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return the seconds of a clock that never steps back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, without clock steps since construction."""


class SystemClock(Clock):
    """The machine's clock.

    Wall time is anchored once at construction and then advances with the
    monotonic clock, so that a step of the system's wall clock cannot make an
    expired idempotency key valid again.
    """

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def monotonic(self) -> float:
        """Return the seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch, as anchored at construction."""
        return self.anchor + time.monotonic()


class ManualClock(Clock):
    """A clock for tests that moves only when ``advance`` is called."""

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
        """Move the clock forward by ``seconds`` and return the new monotonic time.

        Raises:
            ValueError: ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError("a clock cannot be moved backwards")
        self.now += seconds
        return self.now

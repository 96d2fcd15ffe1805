"""Open-loop load: calls start at their time, whether or not earlier ones have ended."""

import asyncio
import ipaddress
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import aiohttp

from standins.caller import Call, Caller, CallResult

MAX_OUTSTANDING = 5000
"""Calls in flight beyond which new ones are counted as not started."""


@dataclass(kw_only=True)
class LoadRun:
    """A running load and its results.

    Attributes:
        callers: Callers that take turns by chance.
        calls: Source of calls.
        rng: Source of randomness for arrivals.
        results: Calls that have ended.
        not_started: Calls that were due while too many were in flight.
        lateness_s: By how much each call started after it was due.
    """

    callers: list[Caller]
    calls: Iterator[Call]
    rng: random.Random
    results: list[CallResult] = field(default_factory=list)
    not_started: int = 0
    lateness_s: list[float] = field(default_factory=list)
    running: set[asyncio.Task] = field(default_factory=set)

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Start calls as a Poisson process, then wait until all have ended."""
        due = time.monotonic()
        end = due + duration_s
        while True:
            due += self.rng.expovariate(rate_per_s)
            if due > end:
                break
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.begin(next(self.calls), due)
        while self.running:
            await asyncio.wait(set(self.running))

    def begin(self, call: Call, due: float) -> None:
        """Start one call that was due at a monotonic time."""
        if len(self.running) >= MAX_OUTSTANDING:
            self.not_started += 1
            return
        caller = self.rng.choice(self.callers)
        task = asyncio.create_task(self.finish(caller, call, due))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def finish(self, caller: Caller, call: Call, due: float) -> None:
        """Carry one call out and keep its result."""
        late_s = max(0.0, time.monotonic() - due)
        self.lateness_s.append(late_s)
        self.results.append(await caller.run(call, late_s=late_s))


def addresses_of(document: dict, count: int, rng: random.Random) -> list[str]:
    """Return client addresses spread over the configured IPv4 blocks."""
    blocks = [
        ipaddress.ip_network(block) for block in document["client_blocks"] if ":" not in block
    ]
    found = []
    for number in range(count):
        block = blocks[number % len(blocks)]
        offset = rng.randrange(1, max(2, block.num_addresses - 1))
        found.append(str(block[offset]))
    return found


def make_callers(
    *,
    session: aiohttp.ClientSession,
    lookups: list[str],
    service: str,
    addresses: list[str],
    delay_s: float,
    seed: int,
) -> list[Caller]:
    """Return one caller for each address."""
    return [
        Caller(
            session=session,
            lookups=lookups,
            service=service,
            address=address,
            delay_s=delay_s,
            rng=random.Random(f"{seed}/{address}"),
        )
        for address in addresses
    ]

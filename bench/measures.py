"""Documents, blocks and members of the size in two years, and how measures are printed."""

import gc
import json
import random
import resource
import statistics
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from knapweeddock.ids import FailureDomainId, Incarnation, Version, VmId
from knapweeddock.model import Config
from knapweeddock.state import Member, MemberState, NodeState

BLOCKS = 3_000_000
SITES = 3_000
MEMBERS = 5_500
DOMAINS = 93
REGIONS = 43
PAGE_BYTES = resource.getpagesize()


def emit(measure: str, **figures: object) -> None:
    """Print one measure."""
    print(json.dumps({"measure": measure, **figures}), flush=True)


def median_us(call: Callable[[], object], *, repetitions: int = 5, inner: int = 1) -> float:
    """Return the median time of a call in microseconds."""
    gc.collect()
    times = []
    for _ in range(repetitions):
        begin = time.perf_counter()
        for _ in range(inner):
            call()
        times.append((time.perf_counter() - begin) / inner * 1e6)
    return round(statistics.median(times), 2)


def resident_mb() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return round(pages * PAGE_BYTES / 1e6, 1)


def peak_mb() -> float:
    """Return the largest resident memory of this process so far.

    ``ru_maxrss`` is not used: a child process inherits it from its parent.
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return round(int(line.split()[1]) * 1024 / 1e6, 1)
    return 0.0


def domain_of(number: int) -> FailureDomainId:
    """Return the failure domain of the numbered member."""
    return FailureDomainId(f"domain-{number % DOMAINS}")


def make_document() -> dict[str, object]:
    """Return a document with all regions and sites and no client blocks."""
    regions = {
        f"region-{r}": {"failure_domains": [f"domain-{d}" for d in range(r, DOMAINS, REGIONS)]}
        for r in range(REGIONS)
    }
    sites = {
        f"site-{n}": {
            "pool": f"pool-{n % 20}",
            "failure_domain": domain_of(n),
            "servers": {f"s-{n}-{k}": {"address": f"10.{n % 250}.{k}.1:80"} for k in range(4)},
        }
        for n in range(SITES)
    }
    services = {"ringbook": {"hosts": ["ringbook.example"], "classes": {}}}
    return {"regions": regions, "sites": sites, "services": services}


def make_blocks(rng: random.Random) -> Iterator[tuple[str, str]]:
    """Yield prefixes of 16 to 24 bits, nested in part, and their domains."""
    for _ in range(BLOCKS):
        value = rng.getrandbits(32)
        length = rng.choice((16, 20, 22, 23, 24, 24, 24, 24))
        value &= -1 << (32 - length)
        parts = value.to_bytes(4, "big")
        yield f"{parts[0]}.{parts[1]}.{parts[2]}.{parts[3]}/{length}", domain_of(value >> 8)


def make_member(number: int) -> Member:
    """Return a serving member."""
    return Member(
        vm=VmId(f"vm-{number}"),
        failure_domain=domain_of(number),
        incarnation=Incarnation(f"{number:032x}"),
        state=MemberState.SERVING,
        public_address=f"10.0.{number // 250}.{number % 250}:80",
        internal_address=f"10.0.{number // 250}.{number % 250}:81",
        lending_address=f"10.0.{number // 250}.{number % 250}:82",
        load=(number % 10) / 10,
    )


def make_state(config: Config) -> NodeState:
    """Return the state of a whole fleet."""
    members = {member.vm: member for member in map(make_member, range(MEMBERS))}
    return NodeState(config_version=Version(1), config=config, members=members)

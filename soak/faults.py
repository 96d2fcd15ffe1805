"""What goes wrong in a run, and when; drawn from a seed."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Any

from soak.links import LinkFault
from standins.metastore import StoreFault
from standins.platformserver import ServerFault

SHORTEST_S = 0.3
LONGEST_S = 4.0
"""Bounds on the duration of a fault in seconds."""

MOST_CHANGES = 6
"""Changes of the configuration in a storm of them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KillGateway:
    """SIGKILL, and a start after ``down_s`` seconds."""

    gateway: int
    down_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StopGateway:
    """SIGTERM, and a start ``down_s`` seconds after the end."""

    gateway: int
    down_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PauseGateway:
    """SIGSTOP, and SIGCONT after ``for_s`` seconds."""

    gateway: int
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReloadGateway:
    """SIGHUP."""

    gateway: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DisturbFront:
    """A fault between the callers and a gateway."""

    gateway: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DisturbServerLink:
    """A fault between all gateways and a server."""

    server: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DisturbStoreLink:
    """A fault between one gateway and the store."""

    gateway: int
    fault: LinkFault
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DisturbStore:
    """A fault of the store itself."""

    fault: StoreFault
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DeafStore:
    """Watches hear of nothing."""

    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ForgetHistory:
    """The store drops the changes that it has kept."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReturnStore:
    """The store is away for a moment and comes back from a copy that is ``for_s`` old."""

    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveServer:
    """A server announces in its responses only that it leaves, and starts again later."""

    server: int
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitServer:
    """A server names a limit on its request rate in its responses."""

    server: int
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashServer:
    """A server ends without a word and starts again, under its name or a new one."""

    server: int
    down_s: float
    renamed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainServer:
    """A server announces that it is leaving, and later that it stays."""

    server: int
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MisbehaveServer:
    """A server answers wrongly or not at all while its entry says ready."""

    server: int
    fault: ServerFault
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRoutes:
    """Changes of the configuration one after the other."""

    times: int
    gap_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuateDomain:
    """A failure domain is evacuated."""

    domain: int
    for_s: float


class ForeignContent(Enum):
    """Fields of an entry of another writer that differ from those of a sound one."""

    NUMBER = {"Slots": 10**20}
    ADDRESS = {"Address": "\ufffd\ufffd127.0.0.9:8080", "peer": "\ufffd:7720"}
    SURROGATE = {"Zone": "@surrogate"}
    NOT_TEXT = {"Zone": "@bytes"}
    OUT_OF_RANGE = {"Slots": "@float"}
    NESTED = {"Zone": "@nested"}


ENCODED_TEXTS = {
    "@surrogate": rb'"\udcff"',
    "@bytes": b'"\xff\xfe"',
    "@float": b"1e400",
    "@nested": b"[" * 5000 + b"]" * 5000,
}
"""What the store sends for a text of a ``ForeignContent``: JSON that is hard to decode."""


STORE_CHOICES = {
    "topic": ["config", "servers", "evacuations", "gateways"],
    "content": list(ForeignContent),
}
"""What fields of faults of the store are drawn from; ``topic`` is the kind of an entry there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForeignEntry:
    """Another writer has an entry in the store that cannot be used."""

    topic: str
    content: ForeignContent
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoseAnswers:
    """The store loses all answers to watches of one kind; those to other calls arrive."""

    topic: str
    for_s: float


Fault = (
    KillGateway
    | StopGateway
    | PauseGateway
    | ReloadGateway
    | DisturbFront
    | DisturbServerLink
    | DisturbStoreLink
    | DisturbStore
    | DeafStore
    | ForgetHistory
    | CrashServer
    | DrainServer
    | MisbehaveServer
    | ChangeRoutes
    | EvacuateDomain
    | ReturnStore
    | LeaveServer
    | LimitServer
    | ForeignEntry
    | LoseAnswers
)

LATEST_GENERATION = 4
"""Generation of the kinds of faults. A seed that was recorded before kinds were added
draws from those of its own generation, so that it stays the same run."""

ADDED_KINDS = {
    2: (ReturnStore, LeaveServer, ServerFault.PAUSE),
    3: (LimitServer,),
    4: (ForeignEntry, LoseAnswers, ServerFault.REPEAT),
}
"""Kinds of faults that a generation added, at the end of the list of kinds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """Parts of the deployment."""

    gateways: int = 4
    servers: int = 6
    domains: int = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedFault:
    """A fault and its time after the start of the round, in seconds."""

    at_s: float
    fault: Fault


def draw_round(
    rng: random.Random,
    *,
    size: Size,
    faults: int,
    length_s: float,
    generation: int = LATEST_GENERATION,
) -> list[PlannedFault]:
    """Return ``faults`` faults of a round, in the order of their times."""
    later = {kind for added, kinds in ADDED_KINDS.items() if added > generation for kind in kinds}
    times = sorted(rng.uniform(0.0, length_s) for _ in range(faults))
    return [PlannedFault(at_s=at_s, fault=_draw(rng, size, later)) for at_s in times]


def _draw(rng: random.Random, size: Size, later: Collection[Any]) -> Fault:
    kind = rng.choice([kind for kind in Fault.__args__ if kind not in later])
    return kind(**{name: _draw_field(rng, name, kind, size, later) for name in kind.__slots__})


def _draw_field(
    rng: random.Random, name: str, kind: type, size: Size, later: Collection[Any]
) -> Any:
    match name:
        case "gateway":
            return rng.randrange(size.gateways)
        case "server":
            return rng.randrange(size.servers)
        case "domain":
            return rng.randrange(size.domains)
        case "for_s" | "down_s":
            return round(rng.uniform(SHORTEST_S, LONGEST_S), 2)
        case "gap_s":
            return round(rng.uniform(0.0, 0.5), 2)
        case "times":
            return rng.randint(1, MOST_CHANGES)
        case "topic" | "content":
            return rng.choice(STORE_CHOICES[name])
        case "renamed":
            return rng.random() < 0.5
        case "fault":
            return rng.choice([fault for fault in _faults_of(kind) if fault not in later])
    raise ValueError(f"{kind.__name__} has an unknown field {name}")


def _faults_of(kind: type) -> list[Any]:
    kinds = {DisturbStore: StoreFault, MisbehaveServer: ServerFault}
    values = kinds.get(kind, LinkFault)
    return [value for value in values if value is not values.NONE]

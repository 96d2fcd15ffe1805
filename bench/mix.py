"""The mix of calls that a deployment's callers make, taken from its configuration."""

import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from standins.caller import Call

BULK_BYTES = 200_000
SHORT_BYTES = 600
DEFAULT_WEIGHTS = {"bulk": 0.05, "non-idempotent": 0.25, "idempotent": 0.70}
"""Part of the calls by kind of class."""

SERVICE_SPREAD = 0.5
"""Service times are spread evenly by this fraction around their mean."""

BULK_DEADLINE_S = 10.0
"""Time budget of bulk calls under measured load, so that overload shows within a run."""


@dataclass(frozen=True, kw_only=True)
class CallShape:
    """A request class as callers see it.

    Attributes:
        service: Name of the service.
        kind: Name of the class.
        host: Host name of the service.
        method: HTTP method.
        path: Path prefix.
        idempotent: Whether it may be repeated.
        bulk: Whether its answers are large.
        weight: Part of all calls.
        deadline_s: Time budget of a call.
        pool: Pool that serves it.
        service_ms: Mean service time to ask the server for, 0 for its own.
    """

    service: str
    kind: str
    host: str
    method: str
    path: str
    idempotent: bool
    bulk: bool
    weight: float
    deadline_s: float
    pool: str
    service_ms: float = 0.0


def group_of(entry: dict) -> str:
    """Return the kind of a request class, as in ``DEFAULT_WEIGHTS``."""
    if entry.get("streaming"):
        return "bulk"
    return "idempotent" if entry["idempotent"] else "non-idempotent"


def call_shapes(document: dict) -> list[CallShape]:
    """Return a shape for each request class of a configuration document."""
    classes = [
        (name, service, kind, entry)
        for name, service in document["services"].items()
        for kind, entry in service["classes"].items()
    ]
    groups = [group_of(entry) for _, _, _, entry in classes]
    return [
        CallShape(
            service=name,
            kind=kind,
            host=service["hosts"][0],
            method=entry["methods"][0],
            path=entry["path_prefix"],
            idempotent=entry["idempotent"],
            bulk=group == "bulk",
            weight=DEFAULT_WEIGHTS[group] / groups.count(group),
            deadline_s=entry.get("deadline_ms", 5000) / 1000,
            pool=entry["pool"],
        )
        for (name, service, kind, entry), group in zip(classes, groups, strict=True)
    ]


@dataclass(frozen=True, kw_only=True)
class ServiceTimes:
    """Mean time that backend servers take for a call.

    Attributes:
        account_ms: Of all classes but the bulk ones.
        bulk_ms: Of the bulk classes.
    """

    account_ms: float = 400.0
    bulk_ms: float = 1200.0

    def of(self, shape: CallShape) -> float:
        """Return the time of a shape's calls in milliseconds."""
        return self.bulk_ms if shape.bulk else self.account_ms


def usable_slots(document: dict) -> dict[str, int]:
    """Return the number of slots below the caps, by pool."""
    found: dict[str, int] = defaultdict(int)
    for site in document["sites"].values():
        found[site["pool"]] += site["cap"]
    return dict(found)


def loaded_shapes(document: dict, times: ServiceTimes, level: float) -> list[CallShape]:
    """Return shapes whose weights are rates per second.

    Each pool gets ``level`` times what its slots can serve. The classes of a
    pool share that in the proportions of ``DEFAULT_WEIGHTS``.
    """
    shapes = call_shapes(document)
    slots = usable_slots(document)
    weights: dict[str, float] = defaultdict(float)
    for shape in shapes:
        weights[shape.pool] += shape.weight
    return [
        replace(
            shape,
            weight=level
            * (slots[shape.pool] * 1000 / times.of(shape))
            * (shape.weight / weights[shape.pool]),
            service_ms=times.of(shape),
            deadline_s=BULK_DEADLINE_S if shape.bulk else shape.deadline_s,
        )
        for shape in shapes
    ]


def endless_calls(shapes: list[CallShape], rng: random.Random) -> Iterator[Call]:
    """Yield calls in the proportions of the shapes."""
    weights = [shape.weight for shape in shapes]
    number = 0
    while True:
        number += 1
        shape = rng.choices(shapes, weights)[0]
        size = BULK_BYTES if shape.bulk else SHORT_BYTES
        path = f"{shape.path}?n={number}&bytes={size}"
        if shape.service_ms:
            factor = rng.uniform(1 - SERVICE_SPREAD, 1 + SERVICE_SPREAD)
            path += f"&service_ms={shape.service_ms * factor:.1f}"
        yield Call(
            kind=shape.kind,
            host=shape.host,
            method=shape.method,
            path=path,
            body=b"" if shape.idempotent else f"operation {number}".encode(),
            idempotent=shape.idempotent,
            deadline_s=shape.deadline_s,
        )

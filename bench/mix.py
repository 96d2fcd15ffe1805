"""The mix of calls that a deployment's callers make, taken from its configuration."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from standins.caller import Call

BULK_BYTES = 200_000
SHORT_BYTES = 600
DEFAULT_WEIGHTS = {"bulk": 0.05, "non-idempotent": 0.25, "idempotent": 0.70}
"""Part of the calls by kind of class."""


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
        )
        for (name, service, kind, entry), group in zip(classes, groups, strict=True)
    ]


def endless_calls(shapes: list[CallShape], rng: random.Random) -> Iterator[Call]:
    """Yield calls in the proportions of the shapes."""
    weights = [shape.weight for shape in shapes]
    number = 0
    while True:
        number += 1
        shape = rng.choices(shapes, weights)[0]
        size = BULK_BYTES if shape.bulk else SHORT_BYTES
        yield Call(
            kind=shape.kind,
            host=shape.host,
            method=shape.method,
            path=f"{shape.path}?n={number}&bytes={size}",
            body=b"" if shape.idempotent else f"operation {number}".encode(),
            idempotent=shape.idempotent,
            deadline_s=shape.deadline_s,
        )

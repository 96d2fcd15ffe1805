"""Rendezvous hashing, by which all VMs make the same choice without communicating.

A hash is the xxh64 of a UTF-8 string whose parts are joined by a zero byte. Ties go
to the smaller id.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

import xxhash

SEPARATOR = "\0"
HASH_RANGE = 2.0**64

Node = TypeVar("Node", bound=str)


def hash_parts(*parts: str) -> int:
    """Return the 64-bit hash of ``parts``."""
    return xxhash.xxh64_intdigest(SEPARATOR.join(parts).encode())


def hash_parts_hex(parts: Iterable[str]) -> str:
    """Return the hash of ``parts`` as 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(SEPARATOR.join(parts).encode())


def weighted_order(key: str, weights: Mapping[Node, float]) -> list[Node]:
    """Rank nodes by weighted rendezvous hashing, the best one first.

    A node ranks first for a fraction of all keys that is proportional to its
    weight. A change of one weight moves keys only to or from that node.

    Args:
        key: The key to place.
        weights: Positive weight of each node.
    """
    scores = []
    for node, weight in weights.items():
        unit = (hash_parts(key, node) + 0.5) / HASH_RANGE
        scores.append((math.log(unit) / weight, node))
    scores.sort(key=lambda pair: (-pair[0], pair[1]))
    return [node for _, node in scores]


def assign_bounded(keys: Sequence[str], nodes: Iterable[Node]) -> list[Node]:
    """Assign each key to the node with the highest hash that has not reached its bound.

    Args:
        keys: Keys in the order in which they are assigned.
        nodes: Nodes of equal weight. The numbers of keys assigned to any two of
            them differ by at most one.

    Returns:
        The node of each key, in the order of ``keys``, or an empty list if there
        are no nodes.
    """
    node_names = sorted(nodes)
    if not node_names:
        return []
    base, remainder = divmod(len(keys), len(node_names))
    counts = dict.fromkeys(node_names, 0)
    digest = xxhash.xxh64_intdigest
    encoded = [(node_name, node_name.encode()) for node_name in node_names]
    owners = []
    for key in keys:
        prefix = (key + SEPARATOR).encode()
        _, negated_position = max(
            (digest(prefix + raw), -position) for position, (_, raw) in enumerate(encoded)
        )
        name = encoded[-negated_position][0]
        owners.append(name)
        remainder -= counts[name] == base
        counts[name] += 1
        if counts[name] >= base:
            limit = base + (remainder > 0)
            encoded = [entry for entry in encoded if counts[entry[0]] < limit]
    return owners

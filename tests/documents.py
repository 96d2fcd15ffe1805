"""Small valid documents for tests."""

import copy
import json
from pathlib import Path

DOCUMENT = {
    "regions": {
        "north": {"failure_domains": ["n1", "n2"]},
        "south": {"failure_domains": ["s1"]},
    },
    "links": {"north->south": {"caps": {"work": 4}}},
    "services": {
        "shop": {
            "hosts": ["shop.example"],
            "classes": {
                "view": {
                    "methods": ["GET"],
                    "path_prefix": "/",
                    "idempotent": True,
                    "pool": "work",
                },
                "buy": {
                    "methods": ["POST"],
                    "path_prefix": "/buy",
                    "idempotent": False,
                    "pool": "work",
                },
            },
        }
    },
    "sites": {
        "w-n1": {
            "pool": "work",
            "failure_domain": "n1",
            "servers": {
                "a": {"address": "127.0.0.1:20001"},
                "b": {"address": "127.0.0.1:20002"},
            },
            "cap": 5,
            "shift_cap": 3,
            "shares": {"n1": 2, "n2": 1, "s1": 2},
        },
        "w-s1": {
            "pool": "work",
            "failure_domain": "s1",
            "servers": {"c": {"address": "127.0.0.1:20003", "slots": 2}},
        },
    },
    "client_blocks": {"10.0.0.0/8": "north", "10.1.0.0/16": "s1"},
}


def document(*changes: tuple[str, object]) -> dict:
    """Return a copy of ``DOCUMENT`` with values set at ``/``-separated paths."""
    found = copy.deepcopy(DOCUMENT)
    for path, value in changes:
        *parents, last = path.split("/")
        target = found
        for key in parents:
            target = target.setdefault(key, {})
        target[last] = value
    return found


def write_folder(directory: Path, content: dict) -> Path:
    """Write one file per part of ``content`` and return ``directory``."""
    directory.mkdir(parents=True, exist_ok=True)
    for part, value in content.items():
        (directory / f"{part}.json").write_text(json.dumps({part: value}))
    return directory

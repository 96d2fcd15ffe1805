"""Documents of the users' platform as their writers leave them: objects, settings."""

from typing import Any

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}

ROUTE_COLUMNS = [
    "Name",
    "Host",
    "PathPrefix",
    "RouteType",
    "Timeout",
    "TargetLatency",
    "Priority",
    "WeightedServices",
    "MaxAttempts",
    "Affinity",
    "AllowedRegions",
    "Service",
]


def route_row(name: str, path: str, kind: str, **changes: Any) -> list[Any]:
    """Return a route as one row of the configuration."""
    values = {
        "Name": name,
        "Host": "ring.example",
        "PathPrefix": path,
        "RouteType": kind,
        "Timeout": "1500ms",
        "TargetLatency": "400ms",
        "Priority": 2,
        "WeightedServices": None,
        "MaxAttempts": 2,
        "Affinity": True,
        "AllowedRegions": [],
        "Service": "ledger",
    }
    return [{**values, **changes}[column] for column in ROUTE_COLUMNS]


def config(
    version: str = "00000007",
    rows: list[list[Any]] | None = None,
    services: tuple[str, ...] = ("ledger",),
) -> dict[str, Any]:
    """Return a configuration; without ``rows``, it has two routes to one service."""
    default = [
        route_row("r-read", "/read/", "safe"),
        route_row("r-book", "/book/", "unsafe"),
    ]
    return {
        "Version": version,
        "Routes": {"Columns": ROUTE_COLUMNS, "Rows": default if rows is None else rows},
        "Services": {
            "Columns": ["Name", "HealthPath", "MaxConnections", "Warmup", "WarmupPerS"],
            "Rows": [[service, "/healthz", 390, "3s", 3.5] for service in services],
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


def server(**changes: Any) -> dict[str, Any]:
    """Return the entry of a server."""
    values = {
        "Service": "ledger",
        "Address": "10.128.0.9:8080",
        "Zone": "north-a",
        "Version": "v1",
        "Slots": 3,
        "State": "ready",
        "WarmupLeft": "0ms",
        "Sequence": 4,
        "born": 1790000000000,
    }
    return {**values, **changes}


SETTINGS = """
NodeName = "{node}"
Role = "gateway"
Serves = ["front", "directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [{peer}, {peer}]
Bootstrap = true
SomethingNew = 3
[Zones]
north-a = "north"
north-b = "north"
south-a = "south"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Directory = "{ip}:{lookup}"
[Limits]
LinkMbps = 1000.0
[Bounds]
StableWindow = "3000ms"
Grace = "{grace}"
RetryBudgetRatio = 0.2
BudgetWindow = "10s"
RetryBudgetSlack = 62
ColdOver = 1.5
ColdSlack = 5
ttl_max = "5s"
ShiftMost = 0.15
[Platform]
Address = "{store}"
History = "20s"
"""


def settings_text(
    *,
    peer: int = 7720,
    front: int = 8161,
    ready: int = 8167,
    lookup: int = 8164,
    grace: str = "6s",
    store: str = "10.200.1.7:8169",
    node: str = "front-north-a-1",
    ip: str = "127.0.0.1",
    zone: str = "north-a",
) -> str:
    """Return the settings file of a gateway."""
    return SETTINGS.format(
        peer=peer,
        front=front,
        ready=ready,
        lookup=lookup,
        grace=grace,
        store=store,
        node=node,
        ip=ip,
        zone=zone,
        region=ZONES[zone],
    )

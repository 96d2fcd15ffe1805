"""An entry of another writer with a number that is too large comes beside servers that leave."""

import asyncio
from pathlib import Path

from rig.client import Clients
from rig.deployment import DRAIN_S, HOST, STABLE_WINDOW_S, Deployment, running
from rig.record import Record
from rig.server import Server
from rig.verdict import run

WORK_S = {"read": 0.15, "book": 0.25}
GATEWAY_ZONES = ["jhb-hall-a", "jhb-hall-b", "jhb-hall-a", "jhb-hall-b"]
SERVERS = 24

LEAVING = 3
"""Servers that leave: one in eight, where ``scale_in`` has a share of 0.13 in the site file."""

FOREIGN_SLOTS = 10**20
"""``Slots`` in the entry of the other writer."""

SERVES_ON_S = 15.0
"""Time in seconds for which a server serves after its entry has been removed."""


async def load(clients: Clients, for_s: float) -> None:
    """Send requests for some time."""
    async with asyncio.TaskGroup() as group:
        group.create_task(clients.send("read", per_s=14, deadline_s=3.0, for_s=for_s))
        group.create_task(clients.send("book", per_s=6, deadline_s=4.0, for_s=for_s))


async def leave(deployment: Deployment, servers: list[Server]) -> dict[str, float]:
    """Remove the entries of servers; return the times of the acknowledgements by server."""
    acknowledged = {}
    for server in servers:
        deployment.writers.discard(server.name)
        server.leaving = True
        acknowledged[server.name] = deployment.store.remove("servers", server.name)
    return acknowledged


async def case(record: Record, trouble: bool) -> str:
    """Run the case."""
    async with running(
        record, gateways=GATEWAY_ZONES, servers=GATEWAY_ZONES * (SERVERS // 4), work_s=WORK_S
    ) as deployment:
        clients = Clients(host=HOST, record=record, seed=1)
        clients.gateways = [gateway.front for gateway in deployment.gateways]
        traffic = asyncio.create_task(load(clients, 8.0 + SERVES_ON_S))
        await asyncio.sleep(2 * STABLE_WINDOW_S)
        leaving = deployment.servers[:LEAVING]
        await deployment.add_server("i-new", GATEWAY_ZONES[0], WORK_S)
        await asyncio.sleep(0.1)
        if trouble:
            entry = {**leaving[0].entry(), "Slots": FOREIGN_SLOTS}
            deployment.write_entry("i-foreign", entry)
            record.say("another writer has written an entry of kind servers")
        acknowledged = await leave(deployment, leaving)
        record.say(f"the entries of {LEAVING} servers are removed")
        await asyncio.sleep(SERVES_ON_S)
        for server in leaving:
            server.end()
        record.say(f"these {LEAVING} servers have ended")
        await traffic
        await clients.finish()
        deployment.check_running()
        late = 0
        for server in leaving:
            found = deployment.arrivals_after(server, acknowledged[server.name] + DRAIN_S)
            late += len(found)
            record.say(f"{server.name}: reached later than Drain by {len(found)} requests")
        if late:
            return f"DRAIN: {late} requests reached servers later than Drain"
        return ""


if __name__ == "__main__":
    run(Path(__file__).parent, case)

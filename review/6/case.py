"""A route that moves to a faster service, with a shorter timeout, is refused from then on."""

import asyncio
import os
import random
import sys
from pathlib import Path

from review.rig2.client import Ask, Client, Record
from review.rig2.deployment import Gateway, config, deployment, route
from review.rig2.server import Upstream
from review.rig2.store import Store

GATEWAYS = 3
KEYS = 8
RATE_PER_S = 8.0
LEARN_S = 12.0
SETTLE_S = 2.0 + 3.0 + 1.0
"""``Config`` and ``StableWindow`` after the acknowledgement, and one second more."""

WINDOWS = 3
WINDOW_S = 10.0
LEAST_SHARE = 0.25
LEAST_REQUESTS = 20

FIRST = route("first", "fast", "safe", timeout="1s")
ADDED = route("added", "slow", "safe", timeout="4s", target="2s")
MOVED = route("added", "fast", "safe", timeout="1s")


async def drive(client: Client, gateways: list[Gateway], path: str, for_s: float) -> list[Ask]:
    """Send requests at a constant rate to the gateways in turn, and return them."""
    sent = []
    for number in range(round(for_s * RATE_PER_S)):
        front = gateways[number % len(gateways)].front
        sent.append(asyncio.create_task(client.ask(front, path, key=random.randrange(KEYS))))
        await asyncio.sleep(1 / RATE_PER_S)
    return await asyncio.gather(*sent)


def share(asks: list[Ask]) -> float:
    """Return which part of requests was served."""
    return sum(ask.is_served for ask in asks) / len(asks)


async def start(store: Store, gateways: list[Gateway]) -> list[Upstream]:
    """Start the upstreams and the gateways."""
    await store.put("config", "main", config(1, [FIRST], ["fast", "slow"]))
    upstreams = [
        Upstream(name=f"i-{service}{number}", service=service, store=store, work_s=work_s)
        for service, work_s in (("fast", 0.1), ("slow", 1.2))
        for number in range(8)
    ]
    for upstream in upstreams:
        await upstream.start()
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError(f"{gateway.name} is not ready")
    return upstreams


async def play(record: Record, *, trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    client = Client()
    async with deployment(GATEWAYS) as (store, gateways):
        upstreams = await start(store, gateways)
        await store.put("config", "main", config(2, [FIRST, ADDED], ["fast", "slow"]))
        record.say("version 2 acknowledged: adds route /added/ to service slow, Timeout 4s")
        await asyncio.sleep(SETTLE_S)
        before = await asyncio.gather(
            drive(client, gateways, "/first/a", LEARN_S),
            drive(client, gateways, "/added/a", LEARN_S),
        )
        record.say("served before: /first/ {:.2f}, /added/ {:.2f}".format(*map(share, before)))
        if trouble:
            await store.put("config", "main", config(3, [FIRST, MOVED], ["fast", "slow"]))
            record.say("version 3 acknowledged: moves /added/ to service fast, Timeout 1s")
        await asyncio.sleep(SETTLE_S)
        is_broken = False
        for number in range(WINDOWS):
            first, added = await asyncio.gather(
                drive(client, gateways, "/first/a", WINDOW_S),
                drive(client, gateways, "/added/a", WINDOW_S),
            )
            record.say(
                f"window {number + 1}: /first/ {share(first):.2f} of {len(first)},"
                f" /added/ {share(added):.2f} of {len(added)} served"
            )
            enough = len(added) >= LEAST_REQUESTS
            is_broken = is_broken or (enough and share(added) < LEAST_SHARE * share(first))
        ran_by: dict[str, list[str]] = {}
        for upstream in upstreams:
            for run in upstream.runs:
                ran_by.setdefault(run.request_id, []).append(upstream.name)
            await upstream.stop()
        record.asks(client.asks, ran_by)
    record.say("CONFIG is broken" if is_broken else "CONFIG held")
    return int(is_broken)


def main() -> int:
    """Run the case; return 2 if it could not run."""
    record = Record(path=Path(__file__).with_name("record.txt"))
    try:
        return asyncio.run(play(record, trouble=os.environ.get("TROUBLE") != "0"))
    except (OSError, RuntimeError) as error:
        record.say(f"could not run: {error}")
        return 2


if __name__ == "__main__":
    sys.exit(main())

"""Latency that the proxy adds to a direct call on loopback, at half load of one domain."""

import asyncio
import time
from pathlib import Path
from statistics import mean

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.mix import ServiceTimes
from bench.run import CALLER_DELAY_S, RunPlan, prepare, running
from standins.deployment import Deployment

ROUNDS = 4
ROUND_S = 6.0
WARM_S = 2.0
HALF_LOAD = 0.5
TIMES = ServiceTimes(account_ms=20.0, bulk_ms=20.0)
"""Short service times, so that the entry's own work shows."""

US = 1e6


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, 60_000_000, 3)


async def timed_get(
    session: aiohttp.ClientSession, url: str, host: str, found: HdrHistogram, due: float
) -> bool:
    """Send one request; count its time from when it was due."""
    timeout = aiohttp.ClientTimeout(total=10)
    async with session.get(url, headers={"Host": host}, timeout=timeout) as reply:
        await reply.read()
    found.record_value(int((time.monotonic() - due) * US))
    return reply.status == 200


async def open_loop(
    session: aiohttp.ClientSession, urls: list[str], host: str, rate: float, duration_s: float
) -> tuple[HdrHistogram, int]:
    """Send requests at equal distances; return their times and the number that failed."""
    found = histogram()
    tasks = []
    started = time.monotonic()
    for number in range(int(rate * duration_s)):
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        url = f"{urls[number % len(urls)]}&n={number}"
        tasks.append(asyncio.create_task(timed_get(session, url, host, found, due)))
    answers = await asyncio.gather(*tasks)
    return found, answers.count(False)


async def measure_added(example: str, root: Path) -> dict:
    """Alternate direct calls and calls through the entries of one domain.

    The load of the domain is half of its slots' capacity both times, spread
    over its servers and its entries.
    """
    plan = RunPlan(name="added", example=example, phases=[], times=TIMES)
    deployment = prepare(plan, root)
    service = next(iter(deployment.document["services"].values()))
    request_class = next(
        entry for entry in service["classes"].values() if "GET" in entry["methods"]
    )
    host, path = service["hosts"][0], f"{request_class['path_prefix']}?bytes=600"
    domain = deployment.failure_domains()[0]
    site = next(
        entry
        for entry in deployment.document["sites"].values()
        if entry["failure_domain"] == domain and entry["pool"] == request_class["pool"]
    )
    rate = HALF_LOAD * site["cap"] / (TIMES.account_ms / 1000)
    targets = addresses(deployment, domain, request_class["pool"], path)
    async with running(deployment):
        rounds = await alternate(targets, host, rate)
    return summarize(example, rate, rounds)


def addresses(deployment: Deployment, domain: str, pool: str, path: str) -> dict[str, list[str]]:
    """Return the URLs of direct calls and of calls through entries."""
    return {
        "direct": [
            place.url + path
            for place in deployment.servers
            if place.failure_domain == domain and place.pool == pool
        ],
        "proxied": [
            vm.entry_url + path for vm in deployment.vms.values() if vm.failure_domain == domain
        ],
    }


async def alternate(
    targets: dict[str, list[str]], host: str, rate: float
) -> dict[str, list[tuple[HdrHistogram, int]]]:
    """Measure both ways in turn, after a warm-up of each."""
    found: dict[str, list] = {way: [] for way in targets}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for urls in targets.values():
            await open_loop(session, urls, host, rate, WARM_S)
        for _ in range(ROUNDS):
            for way, urls in targets.items():
                found[way].append(await open_loop(session, urls, host, rate, ROUND_S))
    return found


def summarize(example: str, rate: float, rounds: dict[str, list[tuple[HdrHistogram, int]]]) -> dict:
    """Return the percentiles of each round and the added time."""

    def percentile(way: str, value: float) -> list[float]:
        return [found.get_value_at_percentile(value) / 1000 for found, _ in rounds[way]]

    record = {
        "name": f"added-{example}",
        "rate_per_s": rate,
        "service_ms": TIMES.account_ms,
        "caller_delay_s": 0.0,
        "usual_caller_delay_s": CALLER_DELAY_S[example],
        "failed": {way: sum(failed for _, failed in found) for way, found in rounds.items()},
    }
    for value in (50.0, 99.0):
        direct, proxied = percentile("direct", value), percentile("proxied", value)
        added = [p - d for p, d in zip(proxied, direct, strict=True)]
        record[f"p{value:g}_ms"] = {
            "direct": direct,
            "proxied": proxied,
            "added": [round(item, 3) for item in added],
            "added_mean": round(mean(added), 3),
        }
    return record

"""Processor time and latency that one entry adds to a request, one JSON line per case.

Run as ``python -m bench.micro_entry [rounds [method]]``. The processes are one entry,
one with the backend servers, and this one with the callers, all on loopback.
Callers keep their connections. Each request names its own service time, and
what a call takes beyond that is its overhead; the added latency is the overhead
through the entry less that of a direct call. Direct and proxied rounds
alternate. The service times make up about 400 requests/s at any concurrency,
so that the entry isn't saturated.

The processor time of the entry per request is hardly affected by other load on
the machine, latencies are: each line has the load average.
"""

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from bench.entry_alone import HOST

SERVERS = 8
"""Of three slots each, so that 12 concurrent calls are half of the capacity."""

ROUNDS = 3
CALLS_PER_ROUND = 400
WARM_CALLS = 200
MS_PER_CALLER = 2.5
"""Mean service time for each concurrent caller."""

KEY_LIFE_MS = 60_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 600\r\n\r\n" + b"x" * 600
SERVICE_HEADER = b"x-service-us:"


class Backend(asyncio.Protocol):
    """Answers each request after the service time that it names."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        """Answer when the request, of one short body at most, is complete."""
        self.received += data
        head, end, body = self.received.partition(b"\r\n\r\n")
        lowered = head.lower()
        if not end or len(body) < int(value_of(lowered, b"content-length:")):
            return
        self.received = b""
        if lowered.startswith(b"get /health"):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + HEALTH)
            return
        delay_s = int(value_of(lowered, SERVICE_HEADER)) / 1e6
        asyncio.get_running_loop().call_later(delay_s, self.answer)

    def answer(self) -> None:
        """Write the answer unless the connection is gone."""
        if not self.transport.is_closing():
            self.transport.write(ANSWER)


HEALTH = b'{"status": "ok"}'


def value_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, 0 without it; both in lower case."""
    found = head.partition(b"\r\n" + name)[2]
    return found.partition(b"\r\n")[0].strip() or b"0"


async def serve_backends() -> None:
    """Print the addresses of the servers and serve until killed."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Backend, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    print(json.dumps([f"127.0.0.1:{port}" for port in ports]), flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


@dataclass(kw_only=True)
class Round:
    """Calls of one round.

    Attributes:
        overhead_ms: Time of each call beyond its service time.
        failed: Calls without the expected answer.
        cpu_s: Processor seconds of the entry.
        duration_s: Time that the round took.
    """

    overhead_ms: list[float] = field(default_factory=list)
    failed: int = 0
    cpu_s: float = 0.0
    duration_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Case:
    """Calls of one method at one concurrency."""

    method: str
    callers: int


@dataclass(kw_only=True)
class Entry:
    """The running entry process."""

    child: subprocess.Popen
    address: str
    incarnation: str

    def cpu_s(self) -> float:
        """Return the processor seconds that it has used."""
        self.child.stdin.write("cpu\n")
        self.child.stdin.flush()
        return float(self.child.stdout.readline())


def request_bytes(case: Case, incarnation: str, service_us: int) -> bytes:
    """Return the request of one call, with a new key if it is not idempotent."""
    lines = [
        f"{case.method} /v1/accounts/42?bytes=600 HTTP/1.1",
        f"Host: {HOST}",
        f"X-Service-Us: {service_us}",
        "Accept: */*",
        "User-Agent: micro-entry",
    ]
    body = ""
    if case.method == "POST":
        body = '{"amount": 100}'
        lines += [
            f"Idempotency-Key: {uuid.uuid4()}",
            f"Knapweed-Incarnation: {incarnation}",
            f"Knapweed-Not-After: {int(time.time() * 1000) + KEY_LIFE_MS}",
            f"Content-Length: {len(body)}",
        ]
    return "\r\n".join([*lines, "", body]).encode()


async def run_caller(
    addresses: list[str], case: Case, incarnation: str, calls: int, found: Round, seed: str
) -> None:
    """Send calls one after the other on one connection, to one of the addresses."""
    rng = random.Random(seed)
    host, _, port = rng.choice(addresses).partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    mean_us = MS_PER_CALLER * case.callers * 1000
    for _ in range(calls):
        service_us = int(rng.uniform(0.5, 1.5) * mean_us)
        content = request_bytes(case, incarnation, service_us)
        started = time.perf_counter()
        writer.write(content)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(value_of(head.lower(), b"content-length:")))
        taken_s = time.perf_counter() - started
        found.overhead_ms.append((taken_s - service_us / 1e6) * 1000)
        found.failed += not head.startswith(b"HTTP/1.1 200")
    writer.close()


async def run_round(addresses: list[str], case: Case, entry: Entry, calls: int, seed: str) -> Round:
    """Run one round of all callers."""
    found = Round()
    cpu, started = entry.cpu_s(), time.perf_counter()
    callers = [
        run_caller(
            addresses, case, entry.incarnation, calls // case.callers, found, f"{seed}/{number}"
        )
        for number in range(case.callers)
    ]
    await asyncio.gather(*callers)
    found.cpu_s, found.duration_s = entry.cpu_s() - cpu, time.perf_counter() - started
    return found


async def run_case(case: Case, backends: list[str], entry: Entry, rounds: int) -> dict:
    """Alternate direct and proxied rounds and summarize them."""
    targets = {"direct": backends, "proxied": [entry.address]}
    found: dict[str, list[Round]] = {way: [] for way in targets}
    for addresses in targets.values():
        await run_round(addresses, case, entry, WARM_CALLS, "warm")
    for number in range(rounds):
        for way, addresses in targets.items():
            found[way].append(await run_round(addresses, case, entry, CALLS_PER_ROUND, str(number)))
    return summarize(case, found)


def summarize(case: Case, found: dict[str, list[Round]]) -> dict:
    """Return the figures of a case."""
    direct, proxied = (
        [value for one in found[way] for value in one.overhead_ms] for way in ("direct", "proxied")
    )
    rounds = found["proxied"]
    per_request = [one.cpu_s / len(one.overhead_ms) * 1000 for one in rounds]

    def added(percentile: int) -> float:
        cuts = [statistics.quantiles(values, n=100)[percentile - 1] for values in (proxied, direct)]
        return round(cuts[0] - cuts[1], 3)

    return {
        "method": case.method,
        "callers": case.callers,
        "entry_cpu_ms": round(statistics.median(per_request), 3),
        "entry_cpu_ms_rounds": [round(value, 3) for value in per_request],
        "added_p50_ms": added(50),
        "added_p99_ms": added(99),
        "direct_p50_ms": round(statistics.median(direct), 3),
        "rate_per_s": round(len(proxied) / sum(one.duration_s for one in rounds)),
        "calls": len(proxied),
        "failed": sum(one.failed for way in found.values() for one in way),
        "load_average": round(os.getloadavg()[0], 1),
    }


@contextmanager
def child(*arguments: str) -> Iterator[subprocess.Popen]:
    """Run a Python module as a child process; stop it at the end."""
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        process.stdin.close()
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def main() -> None:
    """Run all cases."""
    if sys.argv[1:] == ["backends"]:
        asyncio.run(serve_backends())
        return
    rounds = int(sys.argv[1]) if sys.argv[1:] else ROUNDS
    with child("bench.micro_entry", "backends") as servers:
        backends = json.loads(servers.stdout.readline())
        with child("bench.entry_alone", *backends) as process:
            entry = Entry(child=process, **json.loads(process.stdout.readline()))
            for method in sys.argv[2:] or ("GET", "POST"):
                for callers in (1, 4, 12):
                    case = Case(method=method, callers=callers)
                    line = asyncio.run(run_case(case, backends, entry, rounds))
                    print(json.dumps(line), flush=True)
        servers.terminate()


if __name__ == "__main__":
    main()

"""What the control processes cost at rest, and what a look-up costs over HTTP.

Run as ``python -m bench.process_cost``; prints one JSON line per measure. Bytes
are those of the loopback interface, so nothing else may use it meanwhile.
"""

import asyncio
import json
import os
import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bench.machine import process_cpu_s
from bench.run import EXAMPLES
from demo.scenario import knapweed
from knapweeddock.folder import read_folder
from standins.deployment import Deployment
from standins.processes import ManagedProcess, all_stopped

VMS_PER_DOMAIN = (2, 4, 10)
SETTLE_S = 8.0
MEASURE_S = 20.0
LOOKUPS = 4000
LOOKUP_CLIENTS = 8
KIB = 1024


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Counters at one moment.

    Attributes:
        at: Monotonic time.
        cpu_s: CPU seconds of the observed processes together.
        loopback_bytes: Bytes sent over the loopback interface.
    """

    at: float
    cpu_s: float
    loopback_bytes: int


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has sent."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[8])
    return 0


def resident_mib(process: ManagedProcess) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{process.child.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / KIB / KIB


def sample(processes: list[ManagedProcess]) -> Sample:
    """Take the counters now."""
    cpu_s = sum(process_cpu_s(process.child.pid) for process in processes)
    return Sample(at=time.monotonic(), cpu_s=cpu_s, loopback_bytes=loopback_bytes())


def emit(**values: object) -> None:
    """Print one measure."""
    print(json.dumps(values), flush=True)


async def measure(name: str, vms: int, processes: list[ManagedProcess]) -> None:
    """Measure processes of one role that are at rest."""
    before = sample(processes)
    await asyncio.sleep(MEASURE_S)
    after = sample(processes)
    elapsed = after.at - before.at
    count = len(processes)
    emit(
        measure=name,
        vms=vms,
        cpu_percent_of_core=round(100 * (after.cpu_s - before.cpu_s) / elapsed / count, 3),
        resident_mib=round(max(resident_mib(process) for process in processes), 1),
        loopback_bytes_per_vm_s=round(
            (after.loopback_bytes - before.loopback_bytes) / elapsed / vms
        ),
        load_average=round(os.getloadavg()[0], 1),
    )


def deployment_in(root: Path, vms_per_domain: int) -> Deployment:
    """Describe a deployment of the first example without its entry processes."""
    config = root / "config"
    shutil.copytree(EXAMPLES / "karoo-vaal", config)
    document = read_folder(config).document
    deployment = Deployment(
        root=root, config=config, document=document, vms_per_domain=vms_per_domain
    )
    deployment.prepare()
    return deployment


async def measure_agents(vms_per_domain: int) -> None:
    """Measure agents alone, then with entries and look-up processes beside them."""
    with tempfile.TemporaryDirectory(prefix="knapweeddock-cost-") as folder:
        deployment = deployment_in(Path(folder), vms_per_domain)
        vms = list(deployment.vms.values())
        with all_stopped(deployment.processes):
            for process in [deployment.platform, *deployment.backends]:
                process.start()
            await deployment.wait_standins()
            await deployment.publish_vm_list()
            for vm in vms:
                vm.agent.start()
            await asyncio.sleep(SETTLE_S)
            await measure("agents alone", len(vms), [vm.agent for vm in vms])
            if vms_per_domain == VMS_PER_DOMAIN[0]:
                await measure_whole(deployment)


async def measure_whole(deployment: Deployment) -> None:
    """Start the other processes and measure each role at rest, then look-ups."""
    vms = list(deployment.vms.values())
    for vm in vms:
        vm.entry.start()
        vm.lookup.start()
    await knapweed(deployment, "apply", str(deployment.config))
    await deployment.wait_ready()
    await asyncio.sleep(SETTLE_S)
    await measure("agent with all roles", len(vms), [vm.agent for vm in vms])
    await measure("entry at rest", len(vms), [vm.entry for vm in vms])
    await measure("look-up process at rest", len(vms), [vm.lookup for vm in vms])
    await measure_lookups(vms[0].lookup, vms[0].lookup_url)


async def measure_lookups(process: ManagedProcess, url: str) -> None:
    """Measure the CPU time of one look-up over HTTP on a kept connection."""
    query = f"{url}/v1/lookup?service=ringbook&client=10.1.2."
    before = sample([process])
    async with aiohttp.ClientSession() as session:

        async def ask(client: int) -> None:
            for number in range(LOOKUPS // LOOKUP_CLIENTS):
                async with session.get(f"{query}{(client + number) % 250}") as reply:
                    await reply.read()

        await asyncio.gather(*(ask(client) for client in range(LOOKUP_CLIENTS)))
    after = sample([process])
    emit(
        measure="look-up over HTTP",
        lookups=LOOKUPS,
        cpu_us_per_lookup=round(1e6 * (after.cpu_s - before.cpu_s) / LOOKUPS, 1),
        lookups_per_s=round(LOOKUPS / (after.at - before.at)),
        load_average=round(os.getloadavg()[0], 1),
    )


def main() -> None:
    """Run all measures."""
    for vms_per_domain in VMS_PER_DOMAIN:
        asyncio.run(measure_agents(vms_per_domain))


if __name__ == "__main__":
    main()

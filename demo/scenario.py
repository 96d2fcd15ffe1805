"""The steps of the demonstration, run while callers go on sending."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field

from standins.deployment import Deployment

COMMAND_TIMEOUT_S = 30.0
LEAVING_BOUND_S = 3.0
"""Time after which a drained server must get no new work."""
IN_FORCE_LIMIT_S = 10
STEP_PAUSE_S = 3.0
STOP_LIMIT_S = 20.0


@dataclass(kw_only=True)
class Findings:
    """What the steps found.

    Attributes:
        broken: Promises that did not hold, in words.
        drain_s: Time from the start of the drain command to the server's last new work.
        in_force_s: Time until the change was in force on all VMs.
        stop_s: Time that the planned stop of an entry took.
    """

    broken: list[str] = field(default_factory=list)
    drain_s: float = 0.0
    in_force_s: float = 0.0
    stop_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """End of an operator's command."""

    status: int
    output: str


async def knapweed(deployment: Deployment, *arguments: str, quiet: bool = False) -> CommandResult:
    """Run the operators' command against the deployment and print it unless ``quiet``."""
    lookup = next(vm for vm in deployment.vms.values() if vm.lookup.running)
    if not quiet:
        say(f"$ knapweed {' '.join(arguments)}")
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "knapweeddock.cli",
        *arguments,
        "--platform",
        deployment.platform_url,
        "--lookup",
        lookup.lookup_url,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await asyncio.wait_for(child.communicate(), COMMAND_TIMEOUT_S)
    text = output.decode().strip()
    if not quiet:
        for line in text.splitlines()[:12]:
            say(f"  {line}")
    return CommandResult(status=child.returncode or 0, output=text)


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


async def started_at_server(deployment: Deployment, server: str) -> list[float]:
    """Return the wall times at which a server started requests."""
    logs = await deployment.server_logs()
    log = next(log for log in logs if log["server"] == server)
    return [run["started_at"] for run in log["runs"]]


async def drain_a_server(deployment: Deployment, findings: Findings) -> None:
    """Drain a busy server and check that it gets no new work after the bound."""
    server = deployment.servers[0].server
    before = len(await started_at_server(deployment, server))
    asked_at = time.time()
    result = await knapweed(deployment, "drain", "--server", server)
    if result.status != 0:
        findings.broken.append(f"drain of {server} was not accepted: {result.output}")
        return
    await asyncio.sleep(LEAVING_BOUND_S + STEP_PAUSE_S)
    starts = await started_at_server(deployment, server)
    findings.drain_s = max(0.0, max(starts, default=0.0) - asked_at)
    say(
        f"  {server}: {before} requests before the drain, {len(starts) - before} after it was "
        f"asked for, the last one {findings.drain_s:.2f} s after"
    )
    if findings.drain_s > LEAVING_BOUND_S:
        findings.broken.append(f"{server} got new work {findings.drain_s:.1f} s after its drain")
    await knapweed(deployment, "undrain", "--server", server)


async def change_the_configuration(deployment: Deployment, findings: Findings) -> None:
    """Add a file to the folder and measure the time until it is in force everywhere."""
    extra = deployment.config / "yy-shorter-lookups.json"
    extra.write_text('{\n  // Callers ask again sooner.\n  "lookup": {"lifetime_ms": 3000}\n}\n')
    started = time.monotonic()
    result = await knapweed(
        deployment, "apply", str(deployment.config), "--wait", str(IN_FORCE_LIMIT_S)
    )
    findings.in_force_s = time.monotonic() - started
    say(f"  accepted and in force on all VMs after {findings.in_force_s:.2f} s")
    if result.status != 0:
        findings.broken.append(f"the change is not in force everywhere: {result.output}")


async def kill_an_entry_vm(deployment: Deployment) -> str:
    """End all processes of an entry VM at once; return the VM."""
    vm = list(deployment.vms.values())[1]
    say(f"killing the entry VM {vm.vm}")
    for process in vm.processes:
        process.kill()
    await deployment.publish_vm_list(leaving=frozenset({vm.vm}))
    await asyncio.sleep(STEP_PAUSE_S)
    return vm.vm


async def stop_an_entry(deployment: Deployment, findings: Findings) -> None:
    """Stop the entry process of a VM as planned and measure how long it takes."""
    vm = list(deployment.vms.values())[-1]
    say(f"stopping the entry of {vm.vm} as planned")
    started = time.monotonic()
    vm.entry.send(signal.SIGTERM)
    status = await asyncio.to_thread(vm.entry.wait, STOP_LIMIT_S)
    findings.stop_s = time.monotonic() - started
    say(f"  ended with status {status} after {findings.stop_s:.1f} s")
    if status != 0:
        findings.broken.append(f"the planned stop of {vm.vm} ended with status {status}")


async def run_steps(deployment: Deployment, findings: Findings) -> None:
    """Run all steps, one after the other."""
    await asyncio.sleep(STEP_PAUSE_S)
    await change_the_configuration(deployment, findings)
    await drain_a_server(deployment, findings)
    await kill_an_entry_vm(deployment)
    await stop_an_entry(deployment, findings)

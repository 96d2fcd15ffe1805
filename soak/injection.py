"""Carries single faults out on a deployment."""

import asyncio
import time

from soak import faults
from soak.deployment import DOMAINS, LAPSE_S, WARMUP_S, Deployment, ServerHost
from soak.faults import Fault
from soak.links import Link, LinkFault
from soak.observations import ColdStart, Observations
from soak.promises import SETTLED_S
from standins.metastore import StoreFault
from standins.platformserver import ServerFault

STORE_ABSENCE_S = 0.5
"""Time in seconds for which the store is away before it comes back from a copy."""

LIMIT_PER_S = 1.5
"""Requests per second that a server in need takes from all gateways together."""

FOREIGN_NAME = "a-foreign"
"""Name of another writer's entry, which comes before the others in lists."""

REWRITE_S = 1.0
"""Time in seconds after which servers and operator have written their objects again."""


async def apply_fault(deployment: Deployment, fault: Fault) -> None:
    """Carry one fault out, from its begin to its end."""
    match fault:
        case faults.ChangeRoutes():
            await _change_routes(deployment, fault)
        case faults.EvacuateDomain():
            await _evacuate(deployment, DOMAINS[fault.domain], fault.for_s)
        case (
            faults.DisturbStore()
            | faults.DeafStore()
            | faults.ForgetHistory()
            | faults.ForeignEntry()
            | faults.LoseAnswers()
        ):
            await _apply_to_store(deployment, fault)
        case faults.ReturnStore():
            await _return_store(deployment, fault.for_s)
        case (
            faults.CrashServer()
            | faults.DrainServer()
            | faults.LeaveServer()
            | faults.LimitServer()
            | faults.MisbehaveServer()
        ):
            await _apply_to_server(deployment, deployment.servers[fault.server], fault)
        case faults.DisturbServerLink():
            host = deployment.servers[fault.server]
            await _disturb_link(deployment.seen, host.server.name, host.link, fault)
        case _:
            await _apply_to_gateway(deployment, fault)


async def _apply_to_gateway(deployment: Deployment, fault: Fault) -> None:
    gateway = deployment.gateways[fault.gateway]
    match fault:
        case faults.KillGateway():
            await gateway.kill(fault.down_s)
        case faults.StopGateway():
            await gateway.stop(fault.down_s)
        case faults.PauseGateway():
            await gateway.pause(fault.for_s)
        case faults.ReloadGateway():
            gateway.reload()
        case faults.DisturbFront():
            await _disturb_link(deployment.seen, gateway.name, gateway.front, fault)
        case faults.DisturbStoreLink():
            subject = f"store of {gateway.name}"
            await _disturb_link(deployment.seen, subject, gateway.store_link, fault)


async def _apply_to_store(deployment: Deployment, fault: Fault) -> None:
    store = deployment.store
    match fault:
        case faults.ForgetHistory():
            store.forget_history()
        case faults.DisturbStore():
            with deployment.seen.disturbed("store"):
                store.fault = fault.fault
                await asyncio.sleep(fault.for_s)
                store.fault = StoreFault.NONE
        case faults.DeafStore():
            with deployment.seen.disturbed("store"):
                store.deaf = True
                await asyncio.sleep(fault.for_s)
                store.hear_again()
        case faults.LoseAnswers():
            with deployment.seen.disturbed("store"):
                store.loses_answer = lambda request: (
                    "Watch" in request.query and request.match_info["kind"] == fault.topic
                )
                await asyncio.sleep(fault.for_s)
                store.loses_answer = lambda request: False
        case faults.ForeignEntry():
            await _write_foreign_entry(deployment, fault)


async def _apply_to_server(deployment: Deployment, host: ServerHost, fault: Fault) -> None:
    match fault:
        case faults.CrashServer():
            await _crash(deployment, host, fault)
        case faults.DrainServer():
            await _drain(deployment, host, fault.for_s)
        case faults.LeaveServer():
            await _leave_by_response(deployment, host, fault.for_s)
        case faults.LimitServer():
            await _limit(deployment.seen, host, fault.for_s)
        case faults.MisbehaveServer():
            await _misbehave(deployment.seen, host, fault)


async def _write_foreign_entry(deployment: Deployment, fault: faults.ForeignEntry) -> None:
    """Keep an entry of another writer in the store; nothing is excused by it."""
    store = deployment.store
    store.encoded_texts.update(faults.ENCODED_TEXTS)
    sound = next(iter(store.kinds.get(fault.topic, {}).values()), None)
    content = {**sound.spec, **fault.content.value} if sound is not None else fault.content.value
    store.put(fault.topic, FOREIGN_NAME, content)
    await asyncio.sleep(fault.for_s)
    store.remove(fault.topic, FOREIGN_NAME)


async def _return_store(deployment: Deployment, age_s: float) -> None:
    store = deployment.store
    copy = store.copy()
    await asyncio.sleep(age_s)
    with deployment.seen.disturbed("store"):
        store.fault = StoreFault.SILENT
        await asyncio.sleep(STORE_ABSENCE_S)
        store.return_from(copy)
        store.fault = StoreFault.NONE
        await asyncio.sleep(REWRITE_S)
        deployment.write_all()


async def _disturb_link(
    seen: Observations,
    subject: str,
    link: Link,
    fault: faults.DisturbFront | faults.DisturbStoreLink | faults.DisturbServerLink,
) -> None:
    with seen.disturbed(subject):
        link.disturb(fault.fault)
        await asyncio.sleep(fault.for_s)
        link.disturb(LinkFault.NONE)


async def _crash(deployment: Deployment, host: ServerHost, fault: faults.CrashServer) -> None:
    async with host.lock:
        with deployment.seen.disturbed(host.server.name):
            name = host.server.name
            port = host.link.target[1]
            host.link.disturb(LinkFault.RESET)
            await host.stop()
            await asyncio.sleep(min(fault.down_s, LAPSE_S))
            if fault.down_s > LAPSE_S or fault.renamed:
                host.registered = False
                deployment.store.remove("servers", name)
            await asyncio.sleep(max(0.0, fault.down_s - LAPSE_S))
            renamed = f"{name.partition('.')[0]}.{host.starts}"
            await host.start(name=renamed if fault.renamed else name, port=port)
            host.set_cold(cold=True)
            deployment.seen.cold_starts.append(_cold_start(host))
            host.link.disturb(LinkFault.NONE)
            deployment.publish_server(host)
        await asyncio.sleep(WARMUP_S)
        host.set_cold(cold=False)
        deployment.publish_server(host)


def _cold_start(host: ServerHost) -> ColdStart:
    now = time.monotonic()
    return ColdStart(
        server=host.server.name,
        arrived_at=host.server.arrived_at,
        began_at=now,
        ended_at=now + WARMUP_S,
    )


async def _leave_by_response(deployment: Deployment, host: ServerHost, for_s: float) -> None:
    async with host.lock:
        host.server.leaving = True
        await asyncio.sleep(for_s)
        with deployment.seen.disturbed(host.server.name):
            port = host.link.target[1]
            await host.stop()
            await host.start(name=host.server.name, port=port)
            deployment.publish_server(host)


async def _limit(seen: Observations, host: ServerHost, for_s: float) -> None:
    """Name a limit for ``for_s`` seconds after the gateways must keep it."""
    async with host.lock:
        server = host.server
        with seen.disturbed(server.name), seen.limited(server.name, host.starts, LIMIT_PER_S):
            server.limit = str(LIMIT_PER_S)
            await asyncio.sleep(SETTLED_S + for_s)
            server.limit = ""


async def _drain(deployment: Deployment, host: ServerHost, for_s: float) -> None:
    async with host.lock:
        deployment.publish_server(host, state="draining")
        with deployment.seen.leaving(server=host.server.name):
            await asyncio.sleep(for_s)
        deployment.publish_server(host)


async def _misbehave(seen: Observations, host: ServerHost, fault: faults.MisbehaveServer) -> None:
    server = host.server
    with seen.disturbed(server.name):
        server.fault = fault.fault
        await asyncio.sleep(fault.for_s)
        server.fault = ServerFault.NONE


async def _change_routes(deployment: Deployment, fault: faults.ChangeRoutes) -> None:
    for _ in range(fault.times):
        deployment.publish_routes()
        await asyncio.sleep(fault.gap_s)


async def _evacuate(deployment: Deployment, domain: str, for_s: float) -> None:
    async with deployment.domain_locks[domain]:
        deployment.store.put("evacuations", domain, {})
        with deployment.seen.leaving(domain=domain):
            await asyncio.sleep(for_s)
        deployment.store.remove("evacuations", domain)

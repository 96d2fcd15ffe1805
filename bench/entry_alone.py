"""One entry process without an agent, for the micro-benchmark: ``python -m bench.entry_alone``.

The arguments are the addresses of the backend servers. The process prints its
address and incarnation as one JSON line. Each line on its standard input is
answered with the processor seconds that it has used; the end of the input
stops it. With ``KNAPWEED_PROFILE=FILE`` it writes a cProfile record;
``KNAPWEED_SPARE_IDLE_S`` sets ``spare_idle_s``.
"""

import asyncio
import cProfile
import json
import os
import sys
import time

from knapweeddock.entry.service import EntryService
from knapweeddock.ids import FailureDomainId, VmId
from knapweeddock.logs import configure_logs
from knapweeddock.model import BackendServer, Config, RequestClass, Service, Site
from knapweeddock.settings import EntryLimits, EntryListen, EntrySettings
from knapweeddock.state import Member, MemberState, NodeState

HOST = "ledger.test"
DOMAIN = "d1"
DEADLINE_MS = 5000
UNUSED_AGENT = "127.0.0.1:1"


def config_of(addresses: list[str]) -> Config:
    """Return a configuration with one pool of the servers at ``addresses``."""

    def request_class(methods: list[str], *, idempotent: bool) -> RequestClass:
        return RequestClass(
            methods=methods,
            path_prefix="/",
            idempotent=idempotent,
            pool="p",
            deadline_ms=DEADLINE_MS,
        )

    classes = {
        "read": request_class(["GET"], idempotent=True),
        "write": request_class(["POST"], idempotent=False),
    }
    servers = {f"s{n}": BackendServer(address=text) for n, text in enumerate(addresses)}
    return Config(
        services={"ledger": Service(hosts=[HOST], classes=classes)},
        sites={"p-d1": Site(pool="p", failure_domain=DOMAIN, servers=servers)},
    )


def feed(service: EntryService, config: Config) -> None:
    """Hand over a snapshot with this entry as the only member."""
    member = Member(
        vm=service.settings.vm,
        failure_domain=service.settings.failure_domain,
        incarnation=service.incarnation,
        state=MemberState.SERVING,
        public_address=service.ports.public.address,
        internal_address=service.ports.internal.address,
        lending_address=service.ports.lending.address,
    )
    state = NodeState(config_version=1, config=config, members={member.vm: member})
    service.dispatch_loop.update(state)
    for listener in service.agent_link.listeners:
        listener(state)


async def run(addresses: list[str]) -> None:
    """Serve until the standard input ends."""
    settings = EntrySettings(
        vm=VmId("vm1"),
        failure_domain=FailureDomainId(DOMAIN),
        listen=EntryListen(host="127.0.0.1"),
        agent=UNUSED_AGENT,
        limits=EntryLimits(spare_idle_s=float(os.environ.get("KNAPWEED_SPARE_IDLE_S", "0"))),
    )
    service = EntryService(settings=settings, takeover_delay_s=0.0)
    await service.start()
    feed(service, config_of(addresses))
    while True:
        if service.proxy_handler.member_state is MemberState.SERVING:
            break
        await asyncio.sleep(0.01)
    found = {"address": service.ports.public.address, "incarnation": service.incarnation}
    print(json.dumps(found), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        print(time.process_time(), flush=True)
    await service.stop()


def main() -> None:
    """Run, with a profile if it is asked for."""
    configure_logs(level="error", process="knapweed-entry", vm="vm1")
    file = os.environ.get("KNAPWEED_PROFILE")
    if file is None:
        asyncio.run(run(sys.argv[1:]))
        return
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, run(sys.argv[1:]))
    profile.dump_stats(file)


if __name__ == "__main__":
    main()

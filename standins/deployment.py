"""A whole deployment on loopback: platform, backend servers and entry VMs as processes."""

import asyncio
import json
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from knapweeddock.model import decode_config
from standins.processes import ManagedProcess, PortAllocator

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_S = 0.1


@dataclass(kw_only=True)
class VmProcesses:
    """The three processes of an entry VM and where they listen."""

    vm: str
    failure_domain: str
    agent_port: int
    lookup_port: int
    public_port: int
    agent: ManagedProcess
    entry: ManagedProcess
    lookup: ManagedProcess

    @property
    def lookup_url(self) -> str:
        """Base URL of the look-up process."""
        return f"http://{HOST}:{self.lookup_port}"

    @property
    def entry_url(self) -> str:
        """Base URL of the entry for callers."""
        return f"http://{HOST}:{self.public_port}"

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes of the VM."""
        return [self.agent, self.entry, self.lookup]


@dataclass(frozen=True, kw_only=True)
class ServerPlace:
    """A backend server and where it listens."""

    server: str
    site: str
    pool: str
    failure_domain: str
    port: int

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{HOST}:{self.port}"


@dataclass(kw_only=True)
class Deployment:
    """Processes of one deployment; ``root`` holds their settings and logs.

    Attributes:
        root: Folder for settings and logs.
        config: Folder with the operators' files, changed in place.
        document: The merged configuration that the servers are taken from.
        vms_per_domain: Entry VMs in each failure domain.
        service_ms: Time that a backend server takes for a request.
        with_delays: Whether servers add the delay between the failure domains of
            the configuration; loopback alone has none.
        entry_module: Module that is run as the entry process.
        ports: Source of free ports.
    """

    root: Path
    config: Path
    document: dict
    vms_per_domain: int = 2
    service_ms: float = 20.0
    with_delays: bool = False
    entry_module: str = "knapweeddock.entry"
    ports: PortAllocator = field(default_factory=PortAllocator)
    platform: ManagedProcess | None = None
    platform_port: int = 0
    backends: list[ManagedProcess] = field(default_factory=list)
    servers: list[ServerPlace] = field(default_factory=list)
    vms: dict[str, VmProcesses] = field(default_factory=dict)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://{HOST}:{self.platform_port}"

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes, in the order of their start."""
        found = [self.platform] if self.platform else []
        found += self.backends
        for vm in self.vms.values():
            found += vm.processes
        return found

    def prepare(self) -> None:
        """Choose ports, write all settings files and the servers' addresses."""
        self.platform_port = self.ports.take()
        self.platform = self.process(
            "platform", ["-m", "standins.platform", "--port", str(self.platform_port)]
        )
        self.place_servers()
        self.place_vms()
        self.place_backends()

    def process(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Describe a process whose log is named after it."""
        return ManagedProcess(name=name, arguments=arguments, log=self.root / f"{name}.log")

    def place_servers(self) -> None:
        """Give each server a free port, by a file that is merged last."""
        sites: dict[str, dict] = {}
        for site, entry in self.document["sites"].items():
            addresses = {}
            for server in entry["servers"]:
                port = self.ports.take()
                addresses[server] = {"address": f"{HOST}:{port}"}
                self.servers.append(
                    ServerPlace(
                        server=server,
                        site=site,
                        pool=entry["pool"],
                        failure_domain=entry["failure_domain"],
                        port=port,
                    )
                )
            sites[site] = {"servers": addresses}
        override = self.config / "zz-test-addresses.json"
        override.write_text(json.dumps({"sites": sites}, indent=1))

    def place_backends(self) -> None:
        """Describe a process for the servers of each failure domain."""
        delays = self.root / "delays.json"
        delays.write_text(json.dumps(self.delays() if self.with_delays else {}))
        for domain in self.failure_domains():
            part = [place for place in self.servers if place.failure_domain == domain]
            arguments = ["-m", "standins.backend", "--service-ms", str(self.service_ms)]
            arguments += ["--delays", str(delays), "--final-log", str(self.final_log(domain))]
            for place in part:
                arguments += ["--server", f"{place.server}={place.port}"]
            self.backends.append(self.process(f"backend-{domain}", arguments))

    def final_log(self, domain: str) -> Path:
        """Return the file to which the servers of a domain write their log when they end."""
        return self.root / f"backend-{domain}-final.json"

    def delays(self) -> dict[str, dict[str, float]]:
        """Return the one-way delay in seconds from each VM's domain to each server."""
        config = decode_config(self.document)
        return {
            place.server: {
                vm.vm: config.delay_ms(vm.failure_domain, place.failure_domain) / 1000
                for vm in self.vms.values()
                if vm.failure_domain != place.failure_domain
            }
            for place in self.servers
        }

    def failure_domains(self) -> list[str]:
        """Return the failure domains in the order of the configuration."""
        regions = self.document["regions"].values()
        return [domain for region in regions for domain in region["failure_domains"]]

    def place_vms(self) -> None:
        """Choose the ports of all VMs, then describe their processes."""
        for domain in self.failure_domains():
            for number in range(1, self.vms_per_domain + 1):
                self.add_vm(f"{domain}-vm{number}", domain)

    def add_vm(self, vm: str, domain: str) -> VmProcesses:
        """Describe the processes of one VM and write their settings."""
        agent_port, lookup_port, public_port = (self.ports.take() for _ in range(3))
        seeds = [f"{HOST}:{other.agent_port}" for other in self.vms.values()]
        same_domain = [
            f"{HOST}:{other.agent_port}"
            for other in self.vms.values()
            if other.failure_domain == domain
        ]
        common = {"vm": vm, "failure_domain": domain}
        agent = common | {
            "listen": {"host": HOST, "port": agent_port},
            "platform_url": self.platform_url,
            "seeds": seeds[:3] + same_domain,
        }
        entry = common | {
            "listen": {"host": HOST, "public": public_port},
            "agent": f"{HOST}:{agent_port}",
        }
        lookup = common | {
            "listen": {"host": HOST, "port": lookup_port},
            "agents": [f"{HOST}:{agent_port}", *same_domain],
        }
        self.vms[vm] = VmProcesses(
            vm=vm,
            failure_domain=domain,
            agent_port=agent_port,
            lookup_port=lookup_port,
            public_port=public_port,
            agent=self.daemon(vm, "agent", "knapweeddock.agent", agent),
            entry=self.daemon(vm, "entry", self.entry_module, entry),
            lookup=self.daemon(vm, "lookup", "knapweeddock.lookupd", lookup),
        )
        return self.vms[vm]

    def daemon(self, vm: str, role: str, module: str, settings: dict) -> ManagedProcess:
        """Write the settings of one daemon and describe its process."""
        path = self.root / f"{vm}-{role}.json"
        path.write_text(f"// Settings of the {role} on {vm}\n{json.dumps(settings, indent=1)}\n")
        return self.process(f"{vm}-{role}", ["-m", module, "--settings", str(path)])

    def vm_list(self, leaving: frozenset[str] = frozenset()) -> list[dict[str, str]]:
        """Return the platform's VM list with the named VMs leaving."""
        entries = [
            {
                "id": vm.vm,
                "kind": "entry",
                "state": "leaving" if vm.vm in leaving else "live",
                "failure_domain": vm.failure_domain,
                "address": f"{HOST}:{vm.public_port}",
            }
            for vm in self.vms.values()
        ]
        servers = [
            {
                "id": place.server,
                "kind": "server",
                "state": "leaving" if place.server in leaving else "live",
                "failure_domain": place.failure_domain,
                "address": f"{HOST}:{place.port}",
            }
            for place in self.servers
        ]
        return entries + servers

    def start(self) -> None:
        """Start every process."""
        for process in self.processes:
            process.start()

    async def wait_standins(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until the platform and every backend server accept connections.

        Raises:
            TimeoutError: One of them did not in time.
        """
        ports = [self.platform_port, *(place.port for place in self.servers)]
        async with asyncio.timeout(timeout):
            for port in ports:
                await wait_port(port)

    async def publish_vm_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Replace the platform's VM list."""
        await post_json(f"{self.platform_url}/standin/vms", self.vm_list(leaving))

    async def set_platform_faults(self, **faults: object) -> None:
        """Replace the platform's faults; none switches all of them off."""
        await post_json(f"{self.platform_url}/standin/faults", faults)

    async def set_server_faults(self, server: str, **faults: object) -> None:
        """Replace the faults of one backend server."""
        place = next(place for place in self.servers if place.server == server)
        await post_json(f"{place.url}/standin/faults", faults)

    async def server_logs(self) -> list[dict]:
        """Return the log of each backend server, ended ones included."""
        logs = []
        async with aiohttp.ClientSession() as session:
            for place in self.servers:
                final = self.final_log(place.failure_domain)
                if final.exists():
                    kept = json.loads(final.read_text())
                    logs += [log for log in kept if log["server"] == place.server]
                else:
                    logs.append(await get_json(session, f"{place.url}/standin/log"))
        return logs

    def end_servers(self, domain: str) -> None:
        """End the servers of a domain at once; their logs stay readable."""
        for process in self.backends:
            if process.name == f"backend-{domain}":
                process.send(signal.SIGTERM)
                process.wait()

    async def status(self, vm: str) -> dict | None:
        """Return what a VM's look-up process knows, or None without an answer."""
        async with aiohttp.ClientSession() as session:
            try:
                return await get_json(session, f"{self.vms[vm].lookup_url}/v1/status")
            except (aiohttp.ClientError, TimeoutError):
                return None

    async def wait_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until every look-up process knows all VMs as serving.

        Raises:
            TimeoutError: Not all were serving in time; the message names the VMs.
        """
        deadline = time.monotonic() + timeout
        missing = set(self.vms)
        while missing:
            for vm in sorted(missing):
                status = await self.status(vm)
                if status and self.all_serving(status):
                    missing.discard(vm)
            if time.monotonic() > deadline:
                raise TimeoutError(f"not ready after {timeout} s: {sorted(missing)}")
            await asyncio.sleep(POLL_S)

    def all_serving(self, status: dict) -> bool:
        """Return whether a status names every VM as serving with a configuration."""
        serving = {
            member["vm"]
            for member in status["members"]
            if member["state"] == "serving" and not member["down"] and member["config_version"]
        }
        return serving >= set(self.vms)


async def wait_port(port: int) -> None:
    """Wait until something on loopback accepts connections at ``port``."""
    while True:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(POLL_S)
        else:
            writer.close()
            return


async def post_json(url: str, content: object) -> None:
    """Post a JSON value and check the status."""
    timeout = aiohttp.ClientTimeout(total=5)
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=content, timeout=timeout) as reply,
    ):
        reply.raise_for_status()


async def get_json(session: aiohttp.ClientSession, url: str) -> dict:
    """Get a JSON value and check the status."""
    timeout = aiohttp.ClientTimeout(total=5)
    async with session.get(url, timeout=timeout) as reply:
        reply.raise_for_status()
        return await reply.json()

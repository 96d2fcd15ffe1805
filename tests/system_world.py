"""Connections between entries, lenders and servers, as the real carrier reports their ends."""

from dataclasses import dataclass, field, replace

from knapweeddock import events
from knapweeddock.events import AttemptOutcome
from knapweeddock.slottypes import ServerHealth
from tests.capacity_simulation import DOMAINS, SERVERS
from tests.system_entries import Entries, Process, Request

CONNECT_TIMEOUT_S = 1.0
RESEND_S = 0.5
RESENDS = 10
"""TCP goes on sending what was written before a partition, also after a close."""

SERVER_SLOTS = 2
SERVER_NOTICE_S = 1.8
"""Time until a server notices that an entry was killed: within the takeover delay of 2 s."""

SERVICE_S = (0.05, 0.2, 0.3, 0.8, 2.5)


@dataclass(eq=False)
class Connection:
    """An attempt; ``version`` is the configuration that its sender knew."""

    process: Process
    send: events.SendToServer | events.SendToEntry
    request: Request
    version: int
    is_open: bool = True
    forwarded: Request | None = None
    origin: str = ""


@dataclass(eq=False)
class Server:
    name: str
    alive: bool = True
    draining: bool = False
    running: list[Connection] = field(default_factory=list)


class World(Entries):
    """The network and the backend servers."""

    def __init__(self):
        super().__init__()
        names = [server for site in SERVERS.values() for server in site]
        self.servers = {name: Server(name) for name in names}
        self.connections = {}
        self.fault_rate = 0.0

    # Attempts

    def send(self, process, action):
        request = process.requests[action.request]
        connection = Connection(process, action, request, process.config)
        connection.origin = request.forward.process.domain if request.forward else process.domain
        if not action.idempotent and request.forward is None:
            process.keyed.add(action.attempt)
        assert action.attempt not in self.connections
        self.connections[action.attempt] = connection
        self.oracle.sent(connection)
        late = process.clock.delay_until(action.deadline)
        timeout = AttemptOutcome.TIMED_OUT
        self.after(late, lambda: self.at(process, lambda: self.end(connection, timeout)))
        self.after(self.delay(), lambda: self.at(process, lambda: self.connect(connection)))

    def connect(self, connection):
        process, send = connection.process, connection.send
        if not connection.is_open:
            return
        key = connection.request.arrival.key
        if key is not None and process.clock.wall() >= key.not_after:
            self.end(connection, AttemptOutcome.CONNECT_FAILED)
            return
        if isinstance(send, events.SendToServer):
            self.connect_server(connection, self.servers[send.slot.server])
            return
        lender = self.processes.get(send.borrowed_slot.lender)
        target = DOMAINS[send.borrowed_slot.lender]
        if lender is None or self.is_cut(process.domain, target, both=True):
            delay = CONNECT_TIMEOUT_S if lender else 0.0
            refused = AttemptOutcome.CONNECT_FAILED
            self.after(delay, lambda: self.at(process, lambda: self.end(connection, refused)))
            return
        self.after(self.slow(), lambda: self.forward(connection, lender, RESENDS))

    def connect_server(self, connection, server):
        fault = self.rng.random() < self.fault_rate
        fate = self.rng.choice(["shed", "lost", "lost", "late", "silent", "run on"])
        if not server.alive:
            self.end(connection, AttemptOutcome.CONNECT_FAILED)
            return
        if len(server.running) >= SERVER_SLOTS or (fault and fate == "shed"):
            self.answer_server(connection, AttemptOutcome.SHED)
        elif fault and fate == "lost":
            self.answer_server(connection, AttemptOutcome.LOST)
        else:
            self.start(connection, server, fate if fault else "")

    def start(self, connection, server, fate):
        self.oracle.started(connection)
        server.running.append(connection)
        service_s = self.rng.choice(SERVICE_S)
        if fate == "late":
            service_s += 6.0
        if fate == "run on":
            self.answer_server(connection, AttemptOutcome.LOST)
        silent = fate in ("silent", "run on")
        self.after(service_s, lambda: self.finish(connection, server, silent))

    def finish(self, connection, server, silent):
        if connection not in server.running:
            return
        server.running.remove(connection)
        if not connection.process.alive:
            self.close(connection)
        elif not silent:
            operation = connection.request.operation
            self.answer_server(connection, AttemptOutcome.ANSWERED, operation=operation)

    def answer_server(self, connection, outcome, operation=None):
        process = connection.process

        def arrive():
            server = connection.send.slot.server
            if self.servers[server].draining and connection.is_open:
                self.observe(process, server, ServerHealth.DRAINING_ANNOUNCED)
            self.end(connection, outcome, operation=operation)

        self.after(self.delay(), lambda: self.at(process, arrive))

    def forward(self, connection, lender, tries):
        """Let a request under a grant arrive, though its borrower may be gone."""
        process = connection.process
        if self.is_cut(process.domain, lender.domain):
            if tries:
                again = tries - 1
                self.after(RESEND_S, lambda: self.forward(connection, lender, again))
            return
        if not lender.alive:
            self.answer_over(connection, lender.domain, AttemptOutcome.LOST)
            return
        borrowed = connection.send.borrowed_slot
        use = events.GrantUse(
            grant=borrowed.grant_id, incarnation=borrowed.incarnation, site=borrowed.site
        )
        budget_s = connection.send.deadline - process.clock.monotonic()
        arrival = replace(
            connection.request.arrival,
            request=f"r{next(self.numbers)}",
            timeout_s=max(0.01, budget_s),
            grant_use=use,
        )

        def arrive():
            operation = connection.request.operation
            request = self.arrive(lender, arrival, operation, forward=connection)
            connection.forwarded = request
            if not connection.is_open:
                self.caller_gone(request)

        self.at(lender, arrive)

    def send_back(self, request, outcome, code=None, operation=None):
        if request.forward is not None:
            domain = request.process.domain
            self.answer_over(request.forward, domain, outcome, code=code, operation=operation)

    def answer_over(self, connection, source, outcome, code=None, operation=None):
        process = connection.process

        def arrive():
            if not self.is_cut(source, process.domain):
                self.at(process, lambda: self.end(connection, outcome, code, operation))

        self.after(self.delay(), arrive)

    def end(self, connection, outcome, code=None, operation=None):
        """Report the end of an attempt as the carrier does."""
        if not connection.is_open:
            return
        process, attempt = connection.process, connection.send.attempt
        self.close(connection)
        if outcome is AttemptOutcome.ANSWERED:
            process.answers[attempt] = operation
        ended = events.AttemptEnded(attempt=attempt, outcome=outcome, code=code, response_bytes=1)
        self.take(process, ended)
        if attempt not in process.keyed:
            process.answers.pop(attempt, None)

    def close(self, connection):
        connection.is_open = False
        self.connections.pop(connection.send.attempt, None)
        request = connection.forwarded
        if request is not None:
            lender = request.process
            self.after(self.delay(), lambda: self.at(lender, lambda: self.caller_gone(request)))
        if isinstance(connection.send, events.SendToServer):
            running = self.servers[connection.send.slot.server].running
            # Some servers notice only when they answer that nobody waits.
            notices = not connection.process.alive or self.rng.random() < 0.7
            if connection in running and notices:
                running.remove(connection)

    def kill(self, vm):
        process = self.processes.pop(vm)
        process.alive = False
        for connection in list(self.connections.values()):
            target = connection.forwarded
            if connection.process is process:
                connection.is_open = False
                self.after(SERVER_NOTICE_S, lambda c=connection: self.close(c))
            elif target is not None and target.process is process:
                self.answer_over(connection, process.domain, AttemptOutcome.LOST)

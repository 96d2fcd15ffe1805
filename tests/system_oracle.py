"""What the system state machine allows, judged by the servers' own log and plain counts."""

from collections import Counter, defaultdict

from knapweeddock.codes import Outcome, ResultCode, outcome_of
from knapweeddock.events import SendToServer
from tests.capacity_simulation import DOMAINS, REGION_OF, SITE_DOMAIN, configured_limit

LEAVING_S = 3.0
"""A server that leaves gets no new work later than this after an entry knew it."""

NOT_FINAL = (ResultCode.KEY_TABLE_FULL,)
"""Refusals after which a copy of the request may be accepted (docs/dispatch.md)."""


class Oracle:
    """Counts starts and open requests; knows nothing of the entries' own accounts."""

    def __init__(self, world):
        self.world = world
        self.starts = Counter()
        self.denied = set()
        self.seen = Counter()

    def started(self, connection):
        """A server accepted a request."""
        request = connection.request
        operation = request.operation
        self.starts[operation] += 1
        request.starts += 1
        assert operation not in self.denied, f"{operation} started after it was answered not run"
        assert not request.denied, f"{request.arrival.request} started after it was refused"
        if request.arrival.key is not None:
            number = sum(count for name, count in self.starts.items() if name[0] == operation[0])
            assert number == 1, f"{operation} started {number} times"
            self.seen["keyed starts"] += 1

    def replied(self, request, code):
        """A process answered a request with a code."""
        self.seen[code.name] += 1
        if outcome_of(code) is not Outcome.NOT_RUN:
            return
        assert request.starts == 0, f"{request.arrival.request} was run, but answered {code!r}"
        request.denied = True
        if request.forward is None and code not in NOT_FINAL:
            self.deny(request.operation, code)

    def deny(self, operation, code):
        assert self.starts[operation] == 0, f"{operation} was run, but answered {code!r}"
        self.denied.add(operation)

    def delivered(self, request, operation):
        """A process passed an answer on."""
        self.seen["delivered forwarded" if request.forward else "delivered"] += 1
        assert operation == request.operation, f"{request.operation} got that of {operation}"
        assert self.starts[operation] > 0, f"{operation} was answered, but never run"

    def sent(self, connection):
        """A process opened a connection to a server or a lender."""
        if isinstance(connection.send, SendToServer):
            self.check_leaving(connection)
            self.check_limits()
            self.seen["remote"] += connection.origin != connection.process.domain

    def check_leaving(self, connection):
        process, server = connection.process, connection.send.slot.server
        for (name, source), since in process.leaving_since.items():
            known = self.world.time - since
            late = name == server and known > LEAVING_S
            assert not late, f"{server} got work {known:.1f} s after {process.vm} knew ({source})"

    def check_limits(self):
        """Compare the open requests with the limits of their senders' configurations."""
        groups = defaultdict(list)
        for connection in self.world.connections.values():
            if not isinstance(connection.send, SendToServer):
                continue
            slot, origin = connection.send.slot, connection.origin
            home = SITE_DOMAIN[slot.site]
            names = [("site", slot.site), ("server", slot.server)]
            names.append(("slot", (slot.server, slot.index)))
            if origin != home:
                names.append(("shift", slot.site))
            if REGION_OF[origin] != REGION_OF[home]:
                names.append(("link", f"{REGION_OF[origin]}->{REGION_OF[home]}"))
            for name in names:
                groups[name].append(connection.version)
        for (kind, name), versions in groups.items():
            limit = max(configured_limit(self.world.configs[v], kind, name) for v in set(versions))
            count = len(versions)
            assert count <= limit, f"{kind} {name}: {count} requests, limit {limit}"
            self.seen[kind, "full"] += count == limit

    def check_end(self):
        """After the faults have ended, nothing waits and every domain serves."""
        for process in self.world.processes.values():
            assert not process.open, f"{process.vm} never answered {list(process.open)}"
            queues = process.dispatcher.queues.values()
            assert not any(len(queue) for queue in queues), "work waits in a queue"
        serving = {process.domain for process in self.world.processes.values()}
        assert serving == set(DOMAINS.values())

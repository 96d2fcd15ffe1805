"""Keeps requests that end servers from running again, with the evidence of all gateways."""

import asyncio
import time
from collections.abc import Callable, Collection
from contextlib import AbstractContextManager

from knapweeddock.gateway.evidence.probing import Prober
from knapweeddock.gateway.evidence.quarantine import Unsuspected, Verdict, judge
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.evidence.suspect import ServerEnd
from knapweeddock.gateway.evidence.suspectboard import SuspectBoard
from knapweeddock.gateway.placement.fleet import Fleet, ServerState
from knapweeddock.gateway.records import ServerPhase
from knapweeddock.gateway.requests.attempt import OutgoingRequest
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.ids import VmId
from knapweeddock.rendezvous import hash_parts

REPORTER_NUMBERS = 1 << 16
"""Number of values by which gateways are told apart in reports; two that share one are compared
without a margin for the time that reports are on their way."""


class RequestGuard:
    """Judges requests before they run, and learns from how they end.

    Attributes:
        vm: VM of this gateway.
        board: Requests under which servers have ended.
        fleet: Backend servers.
        prober: Finds out whether a server has ended.
        gateway_vms: Returns all gateways, among which trials are shared out.
        reach_board: Whether this gateway reaches servers; if it does not, lost connections say
            nothing of the servers.
        decision_log: Log of decisions about requests.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        board: SuspectBoard,
        fleet: Fleet,
        prober: Prober,
        gateway_vms: Callable[[], Collection[VmId]],
        reach_board: ReachBoard,
        decision_log: DecisionLog,
    ) -> None:
        self.vm = vm
        self.board = board
        self.fleet = fleet
        self.prober = prober
        self.gateway_vms = gateway_vms
        self.reach_board = reach_board
        self.decision_log = decision_log

    def judge(self, outgoing: OutgoingRequest, now: float) -> Verdict:
        """Decide whether a request may run. The digest is only made if any is suspected."""
        if self.board.is_empty:
            return Unsuspected()
        suspect = self.board.find(outgoing.digest, now)
        if suspect is None:
            return Unsuspected()
        return judge(outgoing.digest, suspect, vm=self.vm, gateway_vms=self.gateway_vms(), now=now)

    def running(self, outgoing: OutgoingRequest) -> AbstractContextManager[None]:
        """Count a run of a suspect while the block runs."""
        return self.board.running(outgoing.digest)

    def record_lost_connection(
        self, outgoing: OutgoingRequest, server: ServerState, *, sent_at: float
    ) -> None:
        """Find out whether a server ended while it ran a request, and remember that.

        A server that was leaving may end under any request.

        Args:
            outgoing: The request.
            server: The server whose connection was just lost.
            sent_at: Monotonic time at which the request was sent there.
        """
        check = self.prober.check_for_end(server)
        if server.entry.phase is not ServerPhase.READY or server.is_leaving:
            return
        now = time.monotonic()
        end = ServerEnd(
            server=server.entry.server,
            at=now,
            ran_s=now - sent_at,
            reporter=hash_parts("reporter", self.vm) % REPORTER_NUMBERS,
        )
        check.add_done_callback(lambda done: self._record_end(done, outgoing, server, end))

    def _record_end(
        self,
        check: asyncio.Task[bool],
        outgoing: OutgoingRequest,
        server: ServerState,
        end: ServerEnd,
    ) -> None:
        is_registered = self.fleet.servers.get(end.server) is server
        if check.cancelled() or not check.result() or not is_registered:
            return

        def share() -> None:
            self.board.record_end(outgoing.digest, end)
            self.decision_log.record_server_end(outgoing, end.server)

        self.reach_board.of(server.entry.service).withhold(share, time.monotonic())

    def record_response(self, outgoing: OutgoingRequest, now: float) -> None:
        """Record that a request ran to a response."""
        if not self.board.is_empty:
            self.board.record_response(outgoing.digest, now)

"""Round robin over all servers of a pool in all failure domains."""

import itertools

from knapweeddock.attemptfailures import classify_failure
from knapweeddock.attempts import Attempt
from knapweeddock.capacity import Capacity
from knapweeddock.capacityindex import ConfigIndex
from knapweeddock.codes import ResultCode
from knapweeddock.dispatcher import Dispatcher
from knapweeddock.entry.service import EntryService
from knapweeddock.events import AttemptEnded
from knapweeddock.ids import (
    FailureDomainId,
    GrantId,
    Incarnation,
    PoolId,
    ServerId,
    SiteId,
    ViewId,
)
from knapweeddock.slottypes import (
    BorrowedSlot,
    BorrowRequest,
    Grant,
    LenderCandidate,
    Refusal,
    ServerReport,
    Slot,
    SlotOutcome,
)
from knapweeddock.state import NodeState

REFUSED_S = 60.0


class RoundRobinCapacity(Capacity):
    """Gives out every server in turn, however busy it is.

    Attributes:
        marked_down: Always false: the baseline owns nothing that could be taken over.
        in_flight: Requests that run now.
    """

    marked_down = False

    def __init__(self, *, failure_domain: FailureDomainId) -> None:
        self.failure_domain = failure_domain
        self.index: ConfigIndex | None = None
        self.servers: dict[PoolId, list[Slot]] = {}
        self.turns = itertools.count()
        self.in_flight = 0

    def update(self, state: NodeState, now: float) -> None:
        """Take the servers that are neither drained nor leaving."""
        self.index = ConfigIndex(state.config, self.failure_domain)
        closed = state.leaving_servers | self.index.drained_servers
        self.servers = {}
        for site_id, site in sorted(state.config.sites.items()):
            if self.index.is_drained(site_id):
                continue
            pool = self.servers.setdefault(site.pool, [])
            pool += [
                Slot(site=site_id, server=name, index=0, rank=0, address=server.address)
                for name, server in sorted(site.servers.items())
                if name not in closed
            ]

    def observe(self, report: ServerReport, now: float) -> None:
        """Ignore measurements."""

    def tick(self, now: float) -> None:
        """Do nothing; there are no terms."""

    def acquire(
        self, pool: PoolId, now: float, *, exclude: frozenset[ServerId] = frozenset()
    ) -> Slot | None:
        """Return the next server in turn that is not excluded."""
        servers = [slot for slot in self.servers.get(pool, []) if slot.server not in exclude]
        if not servers:
            return None
        self.in_flight += 1
        return servers[next(self.turns) % len(servers)]

    def release(self, slot: Slot, outcome: SlotOutcome, now: float) -> None:
        """Count the end of a request."""
        self.in_flight -= 1

    def grant(self, request: BorrowRequest, now: float) -> Grant | Refusal:
        """Lend nothing."""
        return Refusal(code=ResultCode.SHED, retry_after_s=REFUSED_S)

    def acquire_lent_slot(
        self,
        grant_id: GrantId,
        incarnation: Incarnation,
        now: float,
        *,
        exclude: frozenset[ServerId] = frozenset(),
    ) -> Slot | ResultCode:
        """Refuse; there are no grants."""
        return ResultCode.GRANT_LAPSED

    def lender_candidates(self, pool: PoolId, now: float) -> list[LenderCandidate]:
        """Return no lenders."""
        return []

    def accept_grant(self, grant: Grant, asked_at: float, now: float) -> None:
        """Ignore grants; none is asked for."""

    def back_off_lender(self, lender: LenderCandidate, retry_after_s: float, now: float) -> None:
        """Ignore refusals; no lender is asked."""

    def acquire_borrowed_slot(self, pool: PoolId, now: float) -> BorrowedSlot | None:
        """Return no borrowed slot."""
        return None

    def release_borrowed_slot(self, borrowed: BorrowedSlot, now: float) -> None:
        """Ignore borrowed slots; there are none."""

    def drop_grant(self, grant_id: GrantId) -> None:
        """Ignore grants; there are none."""

    def has_site(self, pool: PoolId) -> bool:
        """Whether any server serves ``pool``."""
        return bool(self.servers.get(pool))

    def settled_reports(self) -> dict[SiteId, ViewId]:
        """Return no views; nothing is owned."""
        return {}

    def load(self) -> float:
        """Return 0, so that look-ups spread callers evenly."""
        return 0.0


class RetryingDispatcher(Dispatcher):
    """Retries after any error, without a budget and whatever the class is."""

    def _on_attempt_failed(self, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        operation = attempt.operation
        if operation.attempt_count >= self.settings.max_attempts or operation.start_by <= now:
            super()._on_attempt_failed(attempt, event, now)
            return
        failure = classify_failure(attempt, event)
        if not failure.not_run:
            operation.unknown_outcome_code = failure.code
        operation.tried_servers.add(attempt.reservation.server)
        self._retry(operation, now)


class BaselineService(EntryService):
    """The entry process with the baseline's decisions."""

    def _build_dispatch(self) -> None:
        super()._build_dispatch()
        usual = self.dispatch_loop.dispatcher
        self.capacity = RoundRobinCapacity(failure_domain=self.settings.failure_domain)
        self.dispatch_loop.dispatcher = RetryingDispatcher(
            settings=usual.settings,
            capacity=self.capacity,
            key_table=usual.key_table,
            rng=self.rng,
            vm=self.settings.vm,
            failure_domain=self.settings.failure_domain,
        )

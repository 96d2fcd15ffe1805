"""Log lines and counts of the decisions about requests."""

import time
from collections import Counter
from typing import TYPE_CHECKING

import structlog

from knapweeddock.codes import ResultCode
from knapweeddock.gateway.attempt import AttemptResult
from knapweeddock.gateway.placement import Placed
from knapweeddock.gateway.wire import RequestFacts

if TYPE_CHECKING:
    from knapweeddock.gateway.forward import Run

log = structlog.get_logger(__name__)

LINES_PER_S = 50
"""Lines about requests that are written per second; more are counted only."""


class DecisionLog:
    """Writes a bounded number of lines; every decision is counted."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.left_out = 0
        self._second = 0
        self._lines = 0

    def ended(self, run: "Run", how: str, status: int | None) -> None:
        """Note the end of a request that was sent to servers."""
        self.counts[str(run.route.route), how.partition(":")[0]] += 1
        if how == "delivered" and status is not None and status < 500:
            return
        if self._may_write():
            log.info(
                "request ended",
                request=run.facts.request_id,
                route=run.route.route,
                servers=run.tried,
                how=how,
                status=status,
            )

    def refused(
        self,
        facts: RequestFacts,
        code: ResultCode,
        retry_after_s: float,
        *,
        run: "Run | None" = None,
        best: Placed | None = None,
    ) -> None:
        """Note a request that has not run, with what the refusal follows from."""
        self.counts["refused", code.name.lower()] += 1
        if self._may_write():
            log.info(
                "request refused",
                request=facts.request_id,
                code=int(code),
                reason=code.name.lower(),
                retry_after_s=round(retry_after_s, 3),
                **_inputs(run, best),
            )

    def failed(self, facts: RequestFacts, status: int, code: ResultCode) -> None:
        """Note a request that was answered with an error."""
        self.counts["failed", code.name.lower()] += 1
        if self._may_write():
            log.info(
                "request failed",
                request=facts.request_id,
                status=int(status),
                code=int(code),
                reason=code.name.lower(),
            )

    def retried(self, run: "Run", placed: Placed, result: AttemptResult, *, allowed: bool) -> None:
        """Note an attempt without success and whether another one follows."""
        self.counts["attempt", result.end.value] += 1
        if self._may_write():
            log.info(
                "attempt without success",
                request=run.facts.request_id,
                server=placed.server.entry.server,
                end=result.end.value,
                status=result.head.status if result.head else None,
                reason=result.reason,
                retried=allowed,
            )

    def _may_write(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        if self._lines >= LINES_PER_S:
            self.left_out += 1
            return False
        self._lines += 1
        return True


def _inputs(run: "Run | None", best: Placed | None) -> dict[str, object]:
    """Return the facts about a request and the best server for it."""
    fields: dict[str, object] = {}
    if run is not None:
        fields["route"] = run.route.route
        fields["service"] = run.service
        fields["object"] = run.facts.object_key
        fields["remaining_s"] = round(run.deadline - time.monotonic(), 3)
    if best is not None:
        fields["server"] = best.server.entry.server
        fields["wait_s"] = round(best.wait_s, 3)
        fields["work_s"] = round(best.work_s, 3)
    return fields

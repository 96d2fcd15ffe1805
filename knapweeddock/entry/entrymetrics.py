"""Metrics of the entry daemon."""

from knapweeddock.codes import ResultCode
from knapweeddock.events import AttemptOutcome
from knapweeddock.ids import VmId
from knapweeddock.metrics import ProcessMetrics


class EntryMetrics:
    """The collectors of one entry process."""

    def __init__(self, *, vm: VmId) -> None:
        self.process = ProcessMetrics(process="knapweed-entry", vm=vm)
        self.requests = self.process.counter(
            "knapweed_requests_total", "Answered requests by port and result code."
        )
        self.request_seconds = self.process.seconds(
            "knapweed_request_seconds", "Time from the request's arrival to its answer."
        )
        self.attempts = self.process.counter(
            "knapweed_attempts_total", "Attempts by kind of receiver and outcome."
        )
        self.faults = self.process.counter(
            "knapweed_dispatch_faults_total", "Events that the dispatcher failed on."
        )
        self.pending = self.process.gauge(
            "knapweed_pending_requests", "Requests that have no answer yet."
        )
        self.kept = self.process.gauge("knapweed_kept_answers", "Answers kept for repeated keys.")
        self.load = self.process.gauge("knapweed_load", "Busy fraction of the entry's own slots.")

    def answered(self, port: str, code: ResultCode, seconds: float) -> None:
        """Count an answered request."""
        self.requests.inc({"port": port, "code": str(int(code))})
        self.request_seconds.observe({"port": port}, seconds)

    def attempted(self, receiver: str, outcome: AttemptOutcome) -> None:
        """Count an attempt that ended."""
        self.attempts.inc({"receiver": receiver, "outcome": outcome.value})

    def observe_loop(self, *, pending: int, kept: int, load: float) -> None:
        """Take in the state of the dispatch loop."""
        self.pending.set({}, pending)
        self.kept.set({}, kept)
        self.load.set({}, load)

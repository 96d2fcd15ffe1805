"""Metrics of the entry daemon.

The collectors validate and encode labels at each call. Requests are therefore counted
here and added to the collectors when the metrics are read, and the histogram of each
port is cached.
"""

from collections import Counter

from aioprometheus.histogram import Histogram

from knapweeddock.codes import ResultCode
from knapweeddock.events import AttemptOutcome
from knapweeddock.ids import VmId
from knapweeddock.metrics import ProcessMetrics


class EntryMetrics:
    """Metrics of one entry process.

    Attributes:
        process: Collectors of the process.
        response_counts: Responses since the last flush, by port and result code.
        attempt_counts: Attempts since the last flush, by receiver and outcome.
        histograms: Histogram of request durations by port.
    """

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
        self.pending_requests = self.process.gauge(
            "knapweed_pending_requests", "Requests that have no answer yet."
        )
        self.stored_responses = self.process.gauge(
            "knapweed_kept_answers", "Answers kept for repeated keys."
        )
        self.load = self.process.gauge("knapweed_load", "Busy fraction of the entry's own slots.")

        self.response_counts: Counter[tuple[str, ResultCode]] = Counter()
        self.attempt_counts: Counter[tuple[str, AttemptOutcome]] = Counter()
        self.histograms: dict[str, Histogram] = {}
        self.process.before_reading = self.flush

    def record_response(self, port: str, code: ResultCode, seconds: float) -> None:
        """Count a response and the duration of its request."""
        self.response_counts[port, code] += 1
        histogram = self.histograms.get(port)
        if histogram is not None:
            histogram.observe(seconds)
            return
        labels = {"port": port}
        self.request_seconds.observe(labels, seconds)
        self.histograms[port] = self.request_seconds.get_value(labels)

    def record_attempt(self, receiver: str, outcome: AttemptOutcome) -> None:
        """Count an attempt that ended."""
        self.attempt_counts[receiver, outcome] += 1

    def flush(self) -> None:
        """Add the counts since the last flush to the collectors."""
        for (port, code), count in self.response_counts.items():
            self.requests.add({"port": port, "code": str(int(code))}, count)
        for (receiver, outcome), count in self.attempt_counts.items():
            self.attempts.add({"receiver": receiver, "outcome": outcome.value}, count)
        self.response_counts.clear()
        self.attempt_counts.clear()

    def set_gauges(self, *, pending: int, stored: int, load: float) -> None:
        """Set the gauges that describe the dispatch loop."""
        self.pending_requests.set({}, pending)
        self.stored_responses.set({}, stored)
        self.load.set({}, load)

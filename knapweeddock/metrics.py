"""Prometheus metrics of a process."""

from collections.abc import Callable, Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

METRICS_PATH = "/metrics"

SECONDS_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]
"""Upper bounds of the histograms of durations, in seconds."""


class ProcessMetrics:
    """The registry of one process and the collectors in it.

    Each process has a registry of its own rather than the library's global
    one, so that two processes' parts can run in one test.

    Attributes:
        before_reading: Brings the collectors up to date.
    """

    def __init__(self, *, process: str, vm: str) -> None:
        self.registry = Registry()
        self.labels = {"process": process, "vm": vm}
        self.before_reading: Callable[[], None] = lambda: None

    def counter(self, name: str, meaning: str) -> Counter:
        """Return a new counter."""
        return Counter(name, meaning, const_labels=self.labels, registry=self.registry)

    def gauge(self, name: str, meaning: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(name, meaning, const_labels=self.labels, registry=self.registry)

    def seconds(self, name: str, meaning: str) -> Histogram:
        """Return a new histogram of durations in seconds."""
        return Histogram(
            name,
            meaning,
            const_labels=self.labels,
            registry=self.registry,
            buckets=SECONDS_BUCKETS,
        )

    def render(self, accept: Sequence[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics as text, and the headers that describe it.

        Args:
            accept: Values of the ``Accept`` header of the request.
        """
        self.before_reading()
        return render(self.registry, list(accept))

"""What a load run showed: latency by class, outcomes, broken promises."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from standins.caller import CallOutcome, CallResult

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(kw_only=True)
class ClassSummary:
    """Results of one request class.

    Attributes:
        latency_us: Latency of complete answers in microseconds.
        outcomes: Number of calls by outcome.
        sends: Number of sends of all calls.
    """

    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )
    outcomes: Counter = field(default_factory=Counter)
    sends: int = 0

    def add(self, result: CallResult) -> None:
        """Count one call."""
        self.outcomes[result.outcome] += 1
        self.sends += result.sends
        if result.outcome is CallOutcome.COMPLETE:
            self.latency_us.record_value(int(result.latency_s * 1e6))

    def record(self) -> dict:
        """Return the summary as a JSON value."""
        latency = {
            f"p{percentile:g}_ms": self.latency_us.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        return {
            "outcomes": {outcome.value: count for outcome, count in self.outcomes.items()},
            "sends": self.sends,
            **latency,
        }


@dataclass(frozen=True, kw_only=True)
class BrokenPromises:
    """Cases in which the servers' logs contradict what callers were told.

    Attributes:
        doubled: Keys that ran more than once.
        false_not_run: Keys that ran although an answer said "not run".
        lost: Keys that were reported complete and never ran.
        wrong: Calls whose answer was not their own or not whole.
        overrun: Servers that ran more requests at a time than they have slots.
        refused_at_servers: Requests that servers shed for want of a slot.
    """

    doubled: tuple[str, ...]
    false_not_run: tuple[str, ...]
    lost: tuple[str, ...]
    wrong: int
    overrun: tuple[str, ...]
    refused_at_servers: int

    @property
    def count(self) -> int:
        """Number of promises broken; requests that servers shed are none."""
        lists = (self.doubled, self.false_not_run, self.lost, self.overrun)
        return sum(len(found) for found in lists) + self.wrong


def by_class(results: Iterable[CallResult]) -> dict[str, ClassSummary]:
    """Return a summary for each request class."""
    found: dict[str, ClassSummary] = {}
    for result in results:
        found.setdefault(result.call.kind, ClassSummary()).add(result)
    return found


def compare_with_logs(results: Iterable[CallResult], logs: list[dict]) -> BrokenPromises:
    """Compare what callers were told with what the servers ran.

    Args:
        results: Calls that have ended.
        logs: Logs of all backend servers.
    """
    runs = Counter(run["key"] for log in logs for run in log["runs"] if run["key"])
    results = list(results)
    said_not_run = [key for result in results for key in result.not_run_keys]
    said_not_run += [
        result.key for result in results if result.key and result.outcome is CallOutcome.NOT_RUN
    ]
    complete = [
        result.key for result in results if result.key and result.outcome is CallOutcome.COMPLETE
    ]
    return BrokenPromises(
        doubled=tuple(key for key, count in runs.items() if count > 1),
        false_not_run=tuple(key for key in said_not_run if runs[key]),
        lost=tuple(key for key in complete if not runs[key]),
        wrong=sum(result.outcome is CallOutcome.WRONG for result in results),
        overrun=tuple(log["server"] for log in logs if log["peak"] > log["slots"]),
        refused_at_servers=sum(log["shed"] for log in logs),
    )

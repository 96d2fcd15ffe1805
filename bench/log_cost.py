"""Measures what a log line costs: ``python -m bench.log_cost``.

Lines about requests are bounded per second and process, so their cost has a bound:
the cost of one line times that number.
"""

import argparse
import io
import time

import structlog

from knapweeddock.gateway.requests.decisionlog import MAX_LINES_PER_S
from knapweeddock.logs import configure_logs

LINES = 20_000
REFUSAL = {
    "request": "c8294b5ff1ea5fa3",
    "code": 112,
    "reason": "wait_too_long",
    "retry_after_s": 0.49,
    "route": "r-read",
    "service": "ledger",
    "object": "17",
    "config_version": 18,
    "servers": ["i-f03d87c53d"],
    "remaining_s": 1.158,
    "server": "i-f03d87c53d",
    "wait_s": 0.322,
    "work_s": 0.335,
    "load_age_s": 0.015,
    "cold": False,
}


def line_cost_s(lines: int) -> float:
    """Return the processor time of one line about a refused request, in seconds."""
    log = structlog.get_logger("bench")
    began_s = time.process_time()
    for _ in range(lines):
        log.info("request refused", **REFUSAL)
    return (time.process_time() - began_s) / lines


def main() -> None:
    """Print the cost of a line and its bound per process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lines", type=int, default=LINES)
    options = parser.parse_args()
    sink = io.StringIO()
    configure_logs(level="info", vm="front-1", process="gateway", stream=sink)
    cost_s = line_cost_s(options.lines)
    size = len(sink.getvalue()) / options.lines
    print(f"a line: {cost_s * 1e6:.1f} us, {size:.0f} bytes")
    print(f"at most {MAX_LINES_PER_S} lines/s: {cost_s * MAX_LINES_PER_S:.2%} of a core")


if __name__ == "__main__":
    main()

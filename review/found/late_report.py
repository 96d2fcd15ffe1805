"""A gateway never refuses a request that another one refuses, since a report was late.

Run as ``PYTHONPATH=. .venv/bin/python review/found/late_report.py``; exits with 1 if so.

Three servers end under a request that a client repeats 5 ms after each failure. One gateway sees
it and reports each end to another one, the first with ``DELAY_S`` more on the way than the next.
"""

import sys

from knapweeddock.gateway.evidence.duekeys import Direction, Source
from knapweeddock.gateway.evidence.suspect import ServerEnd
from knapweeddock.gateway.evidence.suspectboard import SuspectBoard
from knapweeddock.ids import RequestDigest, ServerId

DIGEST = RequestDigest(b"digest of the request")
RUN_S = 0.25
REPEATED_AFTER_S = 0.005
LATER_S = (1.0, 5.0, 30.0, 59.0)
"""Times after the last end at which the first gateway announces what it refuses."""


def is_refused(delay_s: float) -> tuple[bool, bool]:
    """Return whether the gateway that saw the ends, and the other one, refuse the request."""
    near, far = SuspectBoard(), SuspectBoard()
    now = 1000.0
    for number in range(3):
        now += RUN_S
        near.record_end(
            DIGEST, ServerEnd(server=ServerId(f"i-{number}"), at=now, ran_s=RUN_S, reporter=1)
        )
        reports = near.take(Direction.TO_OTHER_REGIONS, now)
        far.merge(reports, now + (delay_s if number == 0 else 0.0), Source.OTHER_REGION)
        now += REPEATED_AFTER_S
    near.update(now)
    for later_s in LATER_S:
        near.announce(now + later_s)
        far.merge(
            near.take(Direction.TO_OTHER_REGIONS, now + later_s),
            now + later_s,
            Source.OTHER_REGION,
        )
        far.update(now + later_s)
    return near.suspects[DIGEST].is_quarantined, far.suspects[DIGEST].is_quarantined


def main() -> int:
    """Show what both gateways decide for several delays."""
    is_different = False
    for delay_s in (0.0, 0.004, 0.02, 0.06):
        near, far = is_refused(delay_s)
        is_different = is_different or near != far
        print(f"first report {delay_s:.3f} s late: refused there {near}, at the other {far}")
    return int(is_different)


if __name__ == "__main__":
    sys.exit(main())

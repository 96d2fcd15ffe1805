"""Runs an entry with the baseline's decisions: ``--settings FILE``, as ``knapweed-entry``."""

import sys

from bench.baseline.roundrobin import BaselineService
from knapweeddock.entry import __main__ as entry

if __name__ == "__main__":
    entry.SERVICE = BaselineService
    sys.exit(entry.app())

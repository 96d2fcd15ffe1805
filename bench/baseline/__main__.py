"""Runs the baseline as an entry process: ``python -m bench.baseline --settings FILE``."""

import argparse
import sys
from pathlib import Path

from bench.baseline.roundrobin import BaselineService
from knapweeddock.entry.__main__ import run_with_settings


def main() -> int:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    return run_with_settings(parser.parse_args().settings, BaselineService)


if __name__ == "__main__":
    sys.exit(main())

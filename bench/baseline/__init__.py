"""Baseline for comparisons: round robin over all servers, without slots or lending."""

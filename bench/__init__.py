"""Load and experiment tool: open-loop load on real processes over loopback."""

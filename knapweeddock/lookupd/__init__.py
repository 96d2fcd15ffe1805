"""Look-up daemon: tells callers which entry VMs to use."""

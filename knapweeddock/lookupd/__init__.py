"""The look-up daemon: answers which entry VMs a caller should use."""

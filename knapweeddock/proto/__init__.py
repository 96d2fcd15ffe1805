"""Messages and service stubs generated from ``knapweed.proto``."""

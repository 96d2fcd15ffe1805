"""Which server runs a request, and which requests are rejected."""

"""Stand-ins of the platform, its servers and its clients, and gateway processes beside them."""

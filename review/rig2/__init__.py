"""Stand-ins of the review: store, upstreams, clients, and the gateway as separate processes."""

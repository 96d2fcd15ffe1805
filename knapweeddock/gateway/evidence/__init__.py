"""What gateways learn of servers and requests from failures, and tell each other."""

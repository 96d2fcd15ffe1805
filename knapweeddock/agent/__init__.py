"""Agent process: membership, distribution of configuration and watching the platform."""

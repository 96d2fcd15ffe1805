"""The agent: membership, distribution of configuration and the platform watch."""

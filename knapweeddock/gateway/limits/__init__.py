"""Limits that all gateways keep together, each with its part."""

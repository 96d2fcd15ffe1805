"""Requests that a gateway without servers lets a peer serve."""

"""Demonstration: a whole deployment on loopback with failures and a closing summary."""

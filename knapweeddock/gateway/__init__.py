"""The gateway: an HTTP proxy, one process per VM, that also answers look-ups.

It keeps no durable state. Configuration, backend servers and the list of gateways
come from the platform's store; see ``docs/platform.md``.
"""

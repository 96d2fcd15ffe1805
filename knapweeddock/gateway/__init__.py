"""The gateway: one process per VM that answers look-ups and forwards requests.

It keeps no state that must last. Configuration, backend servers and the list of
gateways come from the platform's store; see ``docs/platform.md``.
"""

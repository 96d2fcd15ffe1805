"""The gateway: an HTTP reverse proxy, one process per VM.

It also answers look-ups, in which clients ask which gateways they can connect to. It
keeps no durable state. Configuration, backend servers and the list of gateways come
from the platform's store; see ``docs/platform.md``.
"""

"""The entry daemon: an HTTP proxy between callers and backend servers.

One task owns the dispatcher. The HTTP servers, the clients, the prober, the
lending service and the link to the agent send events to that task and carry out
the actions that the dispatcher returns.
"""

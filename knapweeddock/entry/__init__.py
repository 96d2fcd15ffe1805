"""The entry daemon: takes callers' requests and has backend servers run them.

One task owns the dispatcher. The HTTP servers, the clients, the prober, the
lending service and the link to the agent hand it events and carry out the
actions that it gives out.
"""

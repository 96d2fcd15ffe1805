"""Stand-ins for what surrounds the system: platform, backend servers and callers.

Nothing in the product imports this package. Tests, the demo and the load tool
use it in place of the outside systems that an operator already runs.
"""

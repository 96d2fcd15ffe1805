"""Server sockets that are bound before the components that publish their addresses."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundPort:
    """A bound socket that does not listen yet, so connections are refused.

    Attributes:
        socket: The socket.
        address: ``host:port`` to publish, with the actual port.
    """

    socket: socket.socket
    address: str


def bind_port(host: str, port: int) -> BoundPort:
    """Bind a TCP port.

    Args:
        host: IP address to bind to.
        port: The port, or 0 for any free port.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    display_host = f"[{host}]" if ":" in host else host
    return BoundPort(socket=listener, address=f"{display_host}:{listener.getsockname()[1]}")

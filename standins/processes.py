"""Start, signal and stop the processes of a test deployment."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

FIRST_PORT = 23_000
LAST_PORT = 32_000
"""Ports below the kernel's ephemeral range, so that no outgoing connection takes one."""
PORTS_PER_PROCESS = 300
STOP_TIMEOUT_S = 15.0


@dataclass(kw_only=True)
class PortAllocator:
    """Hands out loopback ports that nothing listens on.

    Each test process starts at another offset, so that parallel test workers
    do not take each other's ports between the check and the use.
    """

    next_port: int = field(
        default_factory=lambda: (
            FIRST_PORT
            + (os.getpid() * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT - PORTS_PER_PROCESS)
        )
    )

    def take(self) -> int:
        """Return the next free port."""
        while True:
            port = self.next_port
            self.next_port = port + 1 if port < LAST_PORT else FIRST_PORT
            if port_is_free(port):
                return port


def port_is_free(port: int) -> bool:
    """Return whether ``port`` can be bound on loopback."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass(kw_only=True)
class ManagedProcess:
    """A child process whose output goes to a file."""

    name: str
    arguments: list[str]
    log: Path
    child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self, timeout: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the end; return the exit status, None on timeout."""
        if self.child is None:
            return None
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.child is not None and self.child.poll() is None


@contextmanager
def all_stopped(processes: list[ManagedProcess]) -> Iterator[None]:
    """Kill every process of the list at the end, paused ones included."""
    try:
        yield
    finally:
        for process in processes:
            process.send(signal.SIGKILL)
        for process in processes:
            process.wait()

"""Deduplicated logging, so that a faulty peer cannot flood the log."""

from typing import Any

from knapweeddock.errors import KnapweedError

MAX_REMEMBERED_PROBLEMS = 1000
"""Number of problems remembered. The oldest is forgotten first and logged again if it recurs."""


class OnceLog:
    """Logs only the first problem of each kind from each source."""

    def __init__(self, *, log: Any) -> None:
        self.log = log
        self._logged: dict[tuple[str, str], None] = {}

    def peer_error(self, source: str, error: KnapweedError) -> None:
        """Log an error caused by a peer, unless one with the same code was logged for it before.

        Args:
            source: Address or VM of the peer.
            error: The error.
        """
        if self._is_new(source, str(int(error.code))):
            self.log.warning(
                "message of peer rejected", peer=source, code=int(error.code), error=str(error)
            )

    def warn_once(self, kind: str, message: str) -> None:
        """Log ``message`` unless a message of the same kind was logged before."""
        if self._is_new("", kind):
            self.log.warning(message, kind=kind)

    def _is_new(self, source: str, kind: str) -> bool:
        key = (source, kind)
        if key in self._logged:
            return False
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED_PROBLEMS:
            del self._logged[next(iter(self._logged))]
        return True

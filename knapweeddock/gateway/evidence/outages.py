"""Which servers this gateway cannot reach, and what it tells the other gateways of them."""

from knapweeddock.gateway.evidence.coldreports import ColdBoard
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.placement.fleet import ServerState


class Outages:
    """Records failures to connect, and shares them once they say something of the server.

    Attributes:
        reach_board: Whether this gateway reaches servers.
        cold_board: Shares which servers may have started again with the other gateways.
    """

    def __init__(self, *, reach_board: ReachBoard, cold_board: ColdBoard) -> None:
        self.reach_board = reach_board
        self.cold_board = cold_board

    def record_unreachable(self, server: ServerState, now: float) -> None:
        """Record that no connection to a server could be opened."""
        server.health.record_unreachable(now)

        def share() -> None:
            if server.health.needs_probe:
                self.cold_board.record_unreachable(server, now)

        self.reach_board.of(server.entry.service).withhold(share, now)

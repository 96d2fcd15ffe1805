"""Which services this gateway reaches servers of."""

import random
from collections.abc import Callable

from knapweeddock.gateway.evidence.reach import Reach
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.ids import ServiceId


class ReachBoard:
    """The reach of each service.

    Attributes:
        fleet: Backend servers.
        rng: Source of randomness.
        on_change: Called with the reach of a service when its state has changed.
    """

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.on_change: Callable[[Reach], None] = lambda reach: None
        self._reaches: dict[ServiceId, Reach] = {}

    def of(self, service: ServiceId) -> Reach:
        """Return the reach of a service."""
        reach = self._reaches.get(service)
        if reach is None:
            reach = Reach(
                service=service,
                fleet=self.fleet,
                rng=self.rng,
                on_change=lambda: self._handle_change(service),
            )
            self._reaches[service] = reach
        return reach

    def all(self) -> list[Reach]:
        """Return the reach of each service that has servers."""
        return [self.of(service) for service in self.fleet.services()]

    @property
    def reaches_servers(self) -> bool:
        """Whether servers of any service are reached, as far as is known."""
        reaches = self.all()
        return not reaches or any(reach.reaches_servers for reach in reaches)

    def update(self, now: float) -> None:
        """Give out evidence that was withheld for long enough."""
        for reach in self._reaches.values():
            reach.update(now)

    def _handle_change(self, service: ServiceId) -> None:
        changed = self.of(service)
        if not changed.reaches_servers:
            for reach in self.all():
                if reach is not changed and reach.reaches_servers:
                    reach.request_check()
        self.on_change(changed)

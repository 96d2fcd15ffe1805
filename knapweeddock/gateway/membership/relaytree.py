"""Which gateway of a region takes the store's changes from which other one.

Load pattern: a large change has to reach all gateways of a region within seconds, and many
gateways that start together need the whole state, while the link of a relay is not much wider
than that of any other VM. One relay for a whole region would need a time that grows with the
region. So the widest links come first: one gateway, the root, watches the store; a few relays
subscribe to it; every other gateway subscribes to one of these. A relay has about
``RELAY_FAN_OUT`` subscribers in a region of any size.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from knapweeddock.ids import RegionId, VmId
from knapweeddock.rendezvous import hash_parts

RELAY_FAN_OUT = 10
"""Number of gateways that a relay sends changes to, on average; up to so many subscribe to
the root itself."""

MIN_GATEWAYS_FOR_RELAYS = 3
"""Size of a region below which each of its gateways watches the store itself."""

MIN_RELAYS = 2
"""Smallest number of relays, the root included; the second one takes its place."""

MAX_RELAY_DEPTH = 1
"""Largest number of relays between the store and a relay, so that no gateway is more than two
away from the store and no circle of relays lasts."""


def relay_order(region: RegionId, links_mbps: Mapping[VmId, float]) -> list[VmId]:
    """Return gateways of ``region`` in the order in which they are preferred as relays.

    Gateways that know different sets of gateways still agree on the order of any two of
    them.

    Args:
        region: The region.
        links_mbps: Bandwidth in Mbit/s of each gateway's link.
    """
    return sorted(links_mbps, key=lambda vm: (-links_mbps[vm], hash_parts("relay", region, vm), vm))


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayTree:
    """The relays of a region as one gateway sees them.

    Attributes:
        order: Live gateways of the region, the best relay first.
    """

    order: list[VmId]

    @property
    def relays(self) -> list[VmId]:
        """The root and the relays that subscribe to it, the root first."""
        others = len(self.order) - 1
        if len(self.order) < MIN_GATEWAYS_FOR_RELAYS:
            return []
        if others <= RELAY_FAN_OUT:
            return self.order[:MIN_RELAYS]
        return self.order[: 1 + math.ceil(others / (RELAY_FAN_OUT + 1))]

    def is_relay(self, vm: VmId) -> bool:
        """Whether others are to subscribe to ``vm``."""
        return vm in self.relays

    def sources(self, vm: VmId) -> list[VmId]:
        """Return the gateways to which ``vm`` may subscribe, the best one first.

        A relay subscribes to those before it only, so no two relays subscribe to each other.
        """
        relays = self.relays
        if vm in relays:
            return relays[: relays.index(vm)]
        if len(self.order) - 1 <= RELAY_FAN_OUT:
            return relays
        root, *others = relays
        return [*sorted(others, key=lambda relay: hash_parts(vm, relay)), root]

"""Selects the gateways that a look-up response names to a client."""

import random
from collections.abc import Iterable, Mapping
from http import HTTPStatus

from knapweeddock.gateway.membership.heartbeats import GatewayPhase, Member
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.ids import FailureDomainId, RegionId, VmId

MAX_GATEWAYS_PER_RESPONSE = 64
"""Limit on the gateways that one look-up response names."""


def choose_gateways(
    *,
    region: RegionId,
    failure_domain: FailureDomainId,
    gateways: Mapping[VmId, GatewayEntry],
    members: Iterable[Member],
    rng: random.Random,
) -> list[GatewayEntry]:
    """Return the gateways that a client may use, those of its failure domain first.

    Clients pick one of the named gateways at random, whatever the order. All serving
    gateways of the client's region are candidates, so that the clients of a gateway
    that fails spread over all failure domains; if the region has none, all serving
    gateways are. Of more than ``MAX_GATEWAYS_PER_RESPONSE`` candidates a random sample
    is named, in which the client's failure domain has no preference. Gateways that reach no
    server are left out while others of the same candidates do: they would forward all requests.

    Args:
        region: Region of the client; any when "".
        failure_domain: Failure domain of the client.
        gateways: Registered gateways.
        members: Gateways that are alive.
        rng: Random source of the sample.
    """
    members = list(members)
    serving = [
        gateways[member.vm]
        for member in members
        if member.phase is GatewayPhase.SERVING
        and member.vm in gateways
        and gateways[member.vm].incarnation == member.incarnation
    ]
    candidates = [entry for entry in serving if entry.region == region]
    if not candidates:
        candidates = serving
    reaching = {member.vm for member in members if member.reaches_servers}
    candidates = [entry for entry in candidates if entry.vm in reaching] or candidates
    if len(candidates) > MAX_GATEWAYS_PER_RESPONSE:
        candidates = rng.sample(candidates, MAX_GATEWAYS_PER_RESPONSE)
    candidates.sort(key=lambda entry: (entry.failure_domain != failure_domain, entry.vm))
    return candidates


def response_status(entries: list[GatewayEntry]) -> HTTPStatus:
    """Return the HTTP status of a look-up response that names ``entries``."""
    return HTTPStatus.OK if entries else HTTPStatus.SERVICE_UNAVAILABLE

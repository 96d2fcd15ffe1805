"""Answers to clients that ask which gateways to use."""

import random
from collections.abc import Iterable, Mapping
from http import HTTPStatus

from knapweeddock.gateway.peers import GatewayPhase, Heartbeat
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.ids import FailureDomainId, RegionId, VmId

MAX_GATEWAYS_PER_RESPONSE = 64
"""Gateways in one answer."""


def choose_gateways(
    *,
    region: RegionId,
    failure_domain: FailureDomainId,
    gateways: Mapping[VmId, GatewayEntry],
    heartbeats: Iterable[Heartbeat],
    rng: random.Random,
) -> list[GatewayEntry]:
    """Return the gateways for a client.

    Clients pick one of the named gateways at random, so all of the client's
    region are named: the loss of one is then spread over all domains.

    Args:
        region: Region of the client; any when "".
        failure_domain: Failure domain of the client.
        gateways: Registered gateways.
        heartbeats: Latest heartbeats of the gateways that live.
        rng: Source of the choice among many.
    """
    serving = [
        gateways[heartbeat.vm]
        for heartbeat in heartbeats
        if heartbeat.phase is GatewayPhase.SERVING
        and heartbeat.vm in gateways
        and gateways[heartbeat.vm].incarnation == heartbeat.incarnation
    ]
    candidates = [entry for entry in serving if entry.region == region]
    if not candidates:
        candidates = serving
    if len(candidates) > MAX_GATEWAYS_PER_RESPONSE:
        candidates = rng.sample(candidates, MAX_GATEWAYS_PER_RESPONSE)
    candidates.sort(key=lambda entry: (entry.failure_domain != failure_domain, entry.vm))
    return candidates


def response_status(entries: list[GatewayEntry]) -> HTTPStatus:
    """Return the status of an answer that names ``entries``."""
    return HTTPStatus.OK if entries else HTTPStatus.SERVICE_UNAVAILABLE

"""The gateway's state from the store: configuration, servers, evacuations, gateways."""

import time
from collections.abc import Callable

import structlog

from knapweeddock.gateway.fleet import Fleet
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.gateway.routes import RouteSplits, RoutingConfig
from knapweeddock.gateway.storecache import Update, to_changes
from knapweeddock.gateway.storeclient import Change, StoreObject, Topic
from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import RegionId, VmId

log = structlog.get_logger(__name__)

CONFIGURATION_NAME = "main"
"""Name of the store's object that holds the configuration."""


class RoutingState:
    """Latest known state of the store, in the form in which requests need it.

    Attributes:
        config: Configuration in force; None before the first one is read.
        fleet: Backend servers and evacuated failure domains.
        gateways: Registered gateways by VM.
        splits: Weighted splits of the routes among services.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, *, fleet: Fleet, clock: Callable[[], float] = time.monotonic) -> None:
        self.config: RoutingConfig | None = None
        self.fleet = fleet
        self.gateways: dict[VmId, GatewayEntry] = {}
        self.splits = RouteSplits()
        self.clock = clock
        self._evacuations: dict[str, StoreObject] = {}

    @property
    def is_complete(self) -> bool:
        """Whether the gateway has all that it needs to forward requests."""
        return self.config is not None and self.fleet.is_loaded

    def client_limits(self) -> ClientLimits:
        """Return the limits on clients' requests and connections."""
        return self.config.limits if self.config is not None else ClientLimits()

    def gateways_in(self, region: RegionId) -> list[VmId]:
        """Return the gateways that are registered in ``region``."""
        return [vm for vm, entry in self.gateways.items() if entry.region == region]

    def apply(self, update: Update) -> None:
        """Apply changed objects of one topic."""
        if update.whole:
            self._replace_all(update)
            return
        for change in to_changes(update):
            self._apply_change(update.topic, change, grace_s=update.grace_s)

    def _replace_all(self, update: Update) -> None:
        items = update.items
        match update.topic:
            case Topic.CONFIGURATION:
                self._apply_config(items.get(CONFIGURATION_NAME))
            case Topic.SERVERS:
                self.fleet.replace_all(items.values(), self.clock(), grace_s=update.grace_s)
            case Topic.EVACUATIONS:
                self._evacuations = dict(items)
                self._apply_evacuations()
            case Topic.GATEWAYS:
                self.gateways = {item.vm: item for item in items.values()}

    def _apply_change(self, topic: Topic, change: Change, *, grace_s: float) -> None:
        match topic:
            case Topic.CONFIGURATION if change.name == CONFIGURATION_NAME:
                self._apply_config(change.item)
            case Topic.SERVERS if change.item is None:
                self.fleet.deregister(change.name, self.clock(), grace_s=grace_s)
            case Topic.SERVERS:
                self.fleet.upsert(change.item, self.clock())
            case Topic.EVACUATIONS if change.item is None:
                self._evacuations.pop(change.name, None)
                self._apply_evacuations()
            case Topic.EVACUATIONS:
                self._evacuations[change.name] = change.item
                self._apply_evacuations()
            case Topic.GATEWAYS if change.item is None:
                self.gateways.pop(VmId(change.name), None)
            case Topic.GATEWAYS:
                self.gateways[change.item.vm] = change.item

    def _apply_config(self, config: StoreObject | None) -> None:
        if config is None:
            log.warning("configuration missing or unreadable; keeping the last one")
            return
        if self.config is not None and config.version <= self.config.version:
            if config.version < self.config.version:
                log.warning(
                    "older configuration ignored",
                    version=config.version,
                    in_force=self.config.version,
                )
            return
        self.config = config
        self.fleet.warmup_s = {
            service: policy.warmup_s for service, policy in config.services.items()
        }
        log.info("configuration in force", version=config.version, routes=len(config.routes))

    def _apply_evacuations(self) -> None:
        self.fleet.set_evacuated_domains(frozenset(self._evacuations.values()), self.clock())

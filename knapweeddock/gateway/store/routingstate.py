"""The gateway's state from the store: configuration, servers, evacuations, gateways."""

import time
from collections.abc import Callable

import structlog

from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.records import GatewayEntry
from knapweeddock.gateway.routes import RouteSplits, RoutingConfig
from knapweeddock.gateway.store.storecache import Update, to_changes
from knapweeddock.gateway.store.storeclient import Change, StoreObject, Topic
from knapweeddock.gateway.store.storereturn import (
    ReturnHolds,
    find_changed_objects,
    find_outdated_servers,
)
from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import Era, VmId

log = structlog.get_logger(__name__)

DEFAULT_RETURN_HOLD_S = 6.5

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
        return_hold_s: Time in seconds for which known objects hold against an older copy
            from which the store came back; by its end the registrations of servers that
            are gone have expired in the store.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Callable[[], float] = time.monotonic,
        return_hold_s: float = DEFAULT_RETURN_HOLD_S,
    ) -> None:
        self.config: RoutingConfig | None = None
        self.fleet = fleet
        self.gateways: dict[VmId, GatewayEntry] = {}
        self.splits = RouteSplits()
        self.clock = clock
        self.return_hold_s = return_hold_s
        self._evacuations: dict[str, StoreObject] = {}
        self._eras: dict[Topic, Era] = {}
        self._holds = ReturnHolds()

    @property
    def is_complete(self) -> bool:
        """Whether the gateway has all that it needs to forward requests."""
        return self.config is not None and self.fleet.is_loaded

    def client_limits(self) -> ClientLimits:
        """Return the limits on clients' requests and connections."""
        return self.config.limits if self.config is not None else ClientLimits()

    def apply(self, update: Update) -> None:
        """Apply changed objects of one topic."""
        if update.whole:
            self._replace_all(update, self._reconcile(update))
            return
        self._holds.confirm_changes(update.topic, update.items)
        for change in to_changes(update):
            self._apply_change(update.topic, change, grace_s=update.grace_s)

    def maintain(self) -> None:
        """Remove servers and end holds whose time is over."""
        now = self.clock()
        self.fleet.remove_expired(now)
        for topic, change in self._holds.end_expired(now):
            log.info("store's copy in force", topic=topic.value, name=change.name)
            self._apply_change(topic, change, grace_s=0.0)

    def _reconcile(self, update: Update) -> dict[str, StoreObject]:
        """Return the objects in force after a full update.

        They differ from its own if the store came back from an older copy.
        """
        topic = update.topic
        listed = {name: item for name, item in update.items.items() if item is not None}
        known_era = self._eras.get(topic)
        self._eras[topic] = update.position.era
        if known_era is None or known_era == update.position.era:
            self._holds.confirm_list(topic, listed)
        else:
            held = self._find_held(topic, listed)
            log.info("known objects outlive the store's return", topic=topic.value, held=len(held))
            self._holds.begin(topic, held, listed, self.clock() + self.return_hold_s)
        return self._holds.overlay(topic, listed)

    def _find_held(
        self, topic: Topic, listed: dict[str, StoreObject]
    ) -> dict[str, StoreObject | None]:
        match topic:
            case Topic.SERVERS:
                known = {name: state.entry for name, state in self.fleet.servers.items()}
                return find_outdated_servers(known, listed, self.fleet.departed, self.clock())
            case Topic.EVACUATIONS:
                return {
                    name: item for name, item in self._evacuations.items() if name not in listed
                }
            case Topic.GATEWAYS:
                return find_changed_objects(self.gateways, listed)
            case Topic.CONFIGURATION:
                # The store cache keeps the latest version.
                return {}

    def _replace_all(self, update: Update, items: dict[str, StoreObject]) -> None:
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
            log.warning("no readable configuration")
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.fleet.warmup_s = {
            service: policy.warmup_s for service, policy in config.services.items()
        }
        log.info("configuration in force", version=config.version, routes=len(config.routes))

    def _apply_evacuations(self) -> None:
        self.fleet.set_evacuated_domains(frozenset(self._evacuations.values()), self.clock())

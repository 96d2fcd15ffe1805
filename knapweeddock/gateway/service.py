"""The gateway process: builds its components, runs them and shuts them down gracefully."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections import Counter
from collections.abc import AsyncIterator

import structlog

from knapweeddock.gateway.background import background
from knapweeddock.gateway.endpoints import Endpoints, serving_endpoints
from knapweeddock.gateway.evidence.notices import make_notice_board
from knapweeddock.gateway.evidence.outages import Outages
from knapweeddock.gateway.evidence.probing import Prober
from knapweeddock.gateway.evidence.reach import Reach
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.evidence.reachcheck import ReachChecker
from knapweeddock.gateway.evidence.serverreports import ReportBoard
from knapweeddock.gateway.limits.quotamembers import QuotaMembers
from knapweeddock.gateway.limits.serverquotas import ServerQuotas
from knapweeddock.gateway.membership.heartbeats import GatewayPhase, Heartbeat, Member
from knapweeddock.gateway.membership.peers import Peers, listen_for_heartbeats
from knapweeddock.gateway.membership.regionfeed import RegionFeed
from knapweeddock.gateway.membership.relay import RelayServer, listen_for_subscribers
from knapweeddock.gateway.membership.updatesource import UpdateSource
from knapweeddock.gateway.metrics import GatewayMetrics, GaugeValues
from knapweeddock.gateway.peering.forwardedrequests import ForwardedRequests
from knapweeddock.gateway.peering.peerattempts import PeerAttempts
from knapweeddock.gateway.peering.peerchoice import PeerChoice, PeerView, view_peers
from knapweeddock.gateway.peering.peerforwarder import PeerForwarder
from knapweeddock.gateway.placement.demand import SpilloverController
from knapweeddock.gateway.placement.fleet import Fleet
from knapweeddock.gateway.placement.processingtimes import ProcessingTimes
from knapweeddock.gateway.placement.serverselection import ServerSelector
from knapweeddock.gateway.placement.shiftlimit import ShiftLimit
from knapweeddock.gateway.records import GatewayEntry, ServerEntry
from knapweeddock.gateway.requests.attempt import AttemptRunner
from knapweeddock.gateway.requests.attempttracker import AttemptTracker
from knapweeddock.gateway.requests.connectionpool import ConnectionPool
from knapweeddock.gateway.requests.decisionlog import DecisionLog
from knapweeddock.gateway.requests.forward import Forwarder
from knapweeddock.gateway.requests.requestguard import RequestGuard
from knapweeddock.gateway.requests.responder import Responder
from knapweeddock.gateway.requests.serverconnector import ServerConnector
from knapweeddock.gateway.settings import GatewaySettings
from knapweeddock.gateway.shutdown import Departure, close_in_time
from knapweeddock.gateway.store.registrations import Registrations
from knapweeddock.gateway.store.routingstate import RoutingState
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import StoreClient, Topic
from knapweeddock.gateway.store.storewatcher import StoreWatcher
from knapweeddock.gateway.wire import WireFormat
from knapweeddock.http1.listener import HttpListener, listening, listening_if
from knapweeddock.ids import Incarnation, RegionId, ServiceId, VmId, new_id
from knapweeddock.stalls import watch_from_now

log = structlog.get_logger(__name__)

MAINTENANCE_INTERVAL_S = 0.25
"""Interval in seconds of the periodic tasks, such as updating the region shares,
starting probes and removing expired servers."""


class Gateway:
    """A gateway process and its components.

    Attributes:
        phase: Whether the gateway starts, serves or shuts down.
        departure: What it still begins while it shuts down.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store_client: StoreClient,
        wire: WireFormat,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.store_client = store_client
        self.wire = wire
        self.rng = rng or random.Random()
        self.incarnation = Incarnation(new_id())
        self.phase = GatewayPhase.STARTING
        self.departure = Departure()
        self.routing_state = RoutingState(
            fleet=Fleet(), return_hold_s=settings.limits.return_hold_s
        )
        self.processing_times = ProcessingTimes()
        self.reach_board = ReachBoard(fleet=self.routing_state.fleet, rng=self.rng)
        self.reach_board.on_change = self._handle_reach_change
        self.server_connector = ServerConnector(reach_board=self.reach_board)
        self.reach_checker = ReachChecker(board=self.reach_board, connector=self.server_connector)
        self.server_connector.on_failure = self.reach_checker.start_due_checks
        self.connection_pool = ConnectionPool(
            connect=self.server_connector.connect, get_max_idle=self._max_idle_connections
        )
        self.metrics = GatewayMetrics(vm=settings.vm)
        self.metrics.process_metrics.before_reading = self._update_metrics
        self.decision_log = DecisionLog(metrics=self.metrics)
        self.notice_board = make_notice_board(self.routing_state.fleet)
        self.outages = Outages(reach_board=self.reach_board, cold_board=self.notice_board.cold)
        self.prober = Prober(
            connector=self.server_connector,
            routing_state=self.routing_state,
            wire=wire,
            outages=self.outages,
        )
        self.stall_watch = watch_from_now(MAINTENANCE_INTERVAL_S)
        self._pruned_revision = -1
        self._build_store_sync()
        self._build_coordination()
        self._build_attempts()
        self._build_forwarding()
        self._build_listeners()

    def _build_store_sync(self) -> None:
        limits = self.settings.limits
        self.store_cache = StoreCache()
        self.store_cache.listeners.append(self.routing_state.apply)
        self.store_watcher = StoreWatcher(
            store_client=self.store_client,
            store_cache=self.store_cache,
            outage_detection_s=limits.outage_detection_s,
            reregistration_s=limits.reregistration_s,
            history_retention_s=self.settings.store.history_retention_s,
            rng=self.rng,
        )
        self.report_board = ReportBoard(fleet=self.routing_state.fleet)
        self.feed = RegionFeed(
            vm=self.settings.vm,
            region=self.settings.region,
            report_board=self.report_board,
            notice_board=self.notice_board,
            own_heartbeat=self._current_heartbeat,
            region_sizes=self._region_sizes,
        )
        self.peers = Peers(
            entry=self._registration_entry(),
            feed=self.feed,
            gateways=lambda: self.routing_state.gateways,
            is_subscribed=lambda: self.update_source.is_subscribed,
            is_relay=lambda: self.update_source.is_relay,
        )
        self._build_relay()

    def _build_relay(self) -> None:
        self.relay = RelayServer(
            store_cache=self.store_cache,
            feed=self.feed,
            is_source_reachable=lambda: self.update_source.source_reachable,
            depth=lambda: self.update_source.depth,
            server_removal_grace_s=self._server_removal_grace_s,
        )
        self.update_source = UpdateSource(
            own_entry=self._registration_entry(),
            store_cache=self.store_cache,
            store_watcher=self.store_watcher,
            relay=self.relay,
            feed=self.feed,
            live_gateways=self._live_gateways,
            heard_gateways=self._heard_gateways,
            registered_gateways=lambda: self.routing_state.gateways,
            address_of=self.peers.address_of,
            rng=self.rng,
        )

    def _server_removal_grace_s(self) -> float:
        """Return the seconds for which subscribers keep servers that the store does not list.

        A relay that takes its changes from another one knows of the store's return only by
        the servers that it keeps itself.
        """
        kept_s = self.routing_state.fleet.remaining_grace_s(time.monotonic())
        return max(kept_s, self.store_watcher.server_removal_grace_s())

    def _build_coordination(self) -> None:
        self.registrations = Registrations(
            own_entry=self._registration_entry(),
            store_client=self.store_client,
            gateways=lambda: self.routing_state.gateways,
            live_gateways=self._live_gateways,
            watches_store=lambda: (
                self.update_source.watches_store and self.update_source.source_reachable
            ),
            is_new=self.settings.first_start,
            kept_suspects=lambda: self.notice_board.kept_suspects(time.monotonic()),
            rng=self.rng,
        )
        self.store_cache.listeners.append(self.registrations.handle_update)
        self.quota_members = QuotaMembers(vm=self.settings.vm)
        self.store_cache.listeners.append(self._handle_update)
        self.spillover_controller = SpilloverController(
            region=self.settings.region,
            fleet=self.routing_state.fleet,
            processing_times=self.processing_times,
            shift_limit=self.settings.limits.max_region_shift,
            region_demands=lambda: self.feed.region_demands(time.monotonic()),
        )

    def _registration_entry(self) -> GatewayEntry:
        settings = self.settings
        return GatewayEntry(
            vm=settings.vm,
            incarnation=self.incarnation,
            failure_domain=settings.failure_domain,
            region=settings.region,
            front_address=settings.front,
            peer_address=settings.peer,
            forwarding_address=settings.forwarding,
            link_mbps=settings.link_mbps,
        )

    def _build_attempts(self) -> None:
        limits = self.settings.limits
        self.attempt_tracker = AttemptTracker(
            processing_times=self.processing_times,
            limits=limits,
            spillover_controller=self.spillover_controller,
            fleet=self.routing_state.fleet,
            report_board=self.report_board,
            outages=self.outages,
            gateway_count=self.quota_members.count,
            now=time.monotonic,
        )
        self.server_selector = ServerSelector(
            fleet=self.routing_state.fleet,
            processing_times=self.processing_times,
            failure_domain=self.settings.failure_domain,
            region=self.settings.region,
            quotas=ServerQuotas(
                vm=self.settings.vm,
                members=self.quota_members,
                cold_rate_per_s=self._cold_rate_per_s,
            ),
            shift_limit=ShiftLimit(max_shift=limits.max_region_shift),
            shares_by_service=self.spillover_controller.shares_by_service,
            rng=self.rng,
        )
        self.attempt_runner = AttemptRunner(wire=self.wire, pool=self.connection_pool)

    def _build_forwarding(self) -> None:
        self.peer_forwarder = PeerForwarder(
            vm=self.settings.vm,
            wire=self.wire,
            attempt_runner=self.attempt_runner,
            choice=PeerChoice(own=self._registration_entry(), rng=self.rng),
            view=self._view_peers,
        )
        self.responder = Responder(
            wire=self.wire,
            decision_log=self.decision_log,
            active_requests=self._active_requests,
        )
        self.forwarder = Forwarder(
            routing_state=self.routing_state,
            wire=self.wire,
            attempt_runner=self.attempt_runner,
            server_selector=self.server_selector,
            attempt_tracker=self.attempt_tracker,
            decision_log=self.decision_log,
            request_guard=self._request_guard(),
            responder=self.responder,
            reach_board=self.reach_board,
            reach_checker=self.reach_checker,
            peer_attempts=self._peer_attempts(),
            departure=self.departure,
        )
        self.forwarded_requests = ForwardedRequests(
            routing_state=self.routing_state,
            wire=self.wire,
            reach_board=self.reach_board,
            responder=self.responder,
            decision_log=self.decision_log,
            run=self.forwarder.run,
            is_leaving=lambda: self.phase is not GatewayPhase.SERVING,
        )

    def _peer_attempts(self) -> PeerAttempts:
        return PeerAttempts(
            forwarder=self.peer_forwarder,
            reach_board=self.reach_board,
            attempt_tracker=self.attempt_tracker,
            responder=self.responder,
            decision_log=self.decision_log,
            departure=self.departure,
        )

    def _request_guard(self) -> RequestGuard:
        return RequestGuard(
            vm=self.settings.vm,
            board=self.notice_board.suspects,
            fleet=self.routing_state.fleet,
            prober=self.prober,
            gateway_vms=self.quota_members.all_vms,
            reach_board=self.reach_board,
            decision_log=self.decision_log,
        )

    def _build_listeners(self) -> None:
        self.front_listener = HttpListener(
            handler=self.forwarder.handle, get_limits=self.routing_state.client_limits
        )
        self.forwarding_listener = HttpListener(
            handler=self.forwarded_requests.handle,
            get_limits=self.forwarded_requests.limits,
            accepts=self._is_gateway,
        )
        self.endpoints = Endpoints(
            wire=self.wire,
            routing_state=self.routing_state,
            feed=self.feed,
            metrics=self.metrics,
            phase=lambda: self.phase,
            max_lookup_ttl_s=lambda: self.settings.limits.max_lookup_ttl_s,
            rng=self.rng,
        )

    def _view_peers(self) -> PeerView:
        members = self.feed.live_members(time.monotonic())
        return view_peers(self._registration_entry(), self.routing_state.gateways, members)

    def _is_gateway(self, host: str) -> bool:
        """Whether a gateway runs at ``host``, as far as is known."""
        return any(entry.peer_address[0] == host for entry in self.routing_state.gateways.values())

    def _active_requests(self) -> int:
        return self.front_listener.active_request_count + self.forwarded_requests.active

    def _handle_reach_change(self, reach: Reach) -> None:
        """Tell the other gateways at once whether this one reaches servers."""
        if not reach.reaches_servers:
            for server, state in self.routing_state.fleet.servers.items():
                if state.entry.service == reach.service:
                    self.connection_pool.close_idle(server)
        self._announce_phase()

    def _max_idle_connections(self, entry: ServerEntry) -> int:
        """Return how many idle connections to a server the pool keeps.

        This is the gateway's share of the connections that the server accepts.
        Connections in use are not limited.
        """
        config = self.routing_state.config
        policy = config.services.get(entry.service) if config is not None else None
        if policy is None:
            return 1
        return max(1, policy.max_connections // self.quota_members.count())

    def _handle_update(self, update: Update) -> None:
        if update.topic is not Topic.GATEWAYS:
            return
        now = time.monotonic()
        self._update_quota_members(now)
        entries = [entry for entry in update.items.values() if entry is not None]
        self.notice_board.restore_suspects(entries, now, own_vm=self.settings.vm)

    def _update_quota_members(self, now: float) -> None:
        live = self.feed.liveness.live_members(now).values()
        self.quota_members.update(self.routing_state.gateways, live, now)

    def _cold_rate_per_s(self, service: ServiceId) -> float:
        """Return the requests per second that a cold server of ``service`` may get."""
        config = self.routing_state.config
        policy = config.services.get(service) if config is not None else None
        if policy is None:
            return 0.0
        limits = self.settings.limits
        return policy.warmup_rate * limits.warmup_rate_factor + limits.warmup_extra_per_s

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the limits of reloaded settings; all other changes need a restart."""
        if settings == self.settings:
            log.info("settings unchanged")
            return
        self.settings = dataclasses.replace(self.settings, limits=settings.limits)
        self.store_watcher.outage_detection_s = settings.limits.outage_detection_s
        self.store_watcher.reregistration_s = settings.limits.reregistration_s
        self.routing_state.return_hold_s = settings.limits.return_hold_s
        self.attempt_tracker.apply_limits(settings.limits)
        self.spillover_controller.apply_shift_limit(settings.limits.max_region_shift)
        self.forwarder.server_selector.shift_limit.max_shift = settings.limits.max_region_shift
        log.info("settings reloaded", needs_restart=self.settings != settings)

    # Running

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully."""
        async with self._listen():
            log.info("gateway started", vm=self.settings.vm, incarnation=self.incarnation)
            async with background(
                self.update_source.run,
                self.relay.run,
                self.peers.run,
                self.registrations.run,
                self._maintain,
            ):
                await stop.wait()
                await self.drain()
        self.connection_pool.close()
        self.peer_forwarder.pool.close()
        await self.store_client.close()
        log.info("gateway stopped", requests_unfinished=self.front_listener.active_request_count)

    @contextlib.asynccontextmanager
    async def _listen(self) -> AsyncIterator[None]:
        settings = self.settings
        async with (
            serving_endpoints(self.endpoints, settings),
            listening(self.front_listener, settings.front),
            listening_if(self.forwarding_listener, settings.forwarding),
            listen_for_heartbeats(self.peers, settings.peer),
            listen_for_subscribers(self.relay, settings.peer),
        ):
            yield

    async def _maintain(self) -> None:
        while True:
            now = time.monotonic()
            self.stall_watch.check()
            if self.phase is GatewayPhase.STARTING and self.routing_state.is_complete:
                self.phase = GatewayPhase.SERVING
                log.info("serving", version=self.routing_state.config.version)
                self._announce_phase()
            fleet = self.routing_state.fleet
            self.routing_state.maintain()
            self.feed.liveness.drop_silent(now)
            self._update_quota_members(now)
            self.notice_board.update(now)
            self.registrations.update_suspects()
            self.reach_board.update(now)
            self.reach_checker.start_due_checks()
            unreached = [
                reach.service for reach in self.reach_board.all() if not reach.reaches_servers
            ]
            self.spillover_controller.update_shares(now, unreached=unreached)
            self.prober.start_due_probes(now)
            if fleet.revision != self._pruned_revision:
                self._pruned_revision = fleet.revision
                self.connection_pool.retain_servers(fleet.servers)
                self.forwarder.server_selector.quotas.forget_idle(now)
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def drain(self) -> None:
        """Announce the shutdown, stop accepting, and wait until all connections are closed.

        Returns after ``SHUTDOWN_FRACTION`` of the shutdown timeout at the latest.
        """
        self.phase = GatewayPhase.LEAVING
        self.departure.begin(time.monotonic(), timeout_s=self.settings.limits.shutdown_timeout_s)
        self.front_listener.draining = True
        self.forwarding_listener.draining = True
        self.relay.close()
        self._announce_phase()
        log.info(
            "stopping",
            active=self.front_listener.active_request_count,
            connections=len(self.front_listener.connections),
        )
        await close_in_time(
            self.front_listener,
            self.departure,
            has_other_work=lambda: self.forwarded_requests.active > 0,
        )

    # Heartbeats and metrics

    def _live_gateways(self) -> list[VmId]:
        return self.feed.live_gateways(time.monotonic())

    def _heard_gateways(self) -> list[VmId]:
        members = [
            member
            for member in self.feed.live_members(time.monotonic())
            if member.vm != self.settings.vm and member.phase is GatewayPhase.SERVING
        ]
        members.sort(key=lambda member: (member.region != self.settings.region, member.vm))
        return [member.vm for member in members]

    def _region_sizes(self) -> Counter[RegionId]:
        return Counter(entry.region for entry in self.routing_state.gateways.values())

    def _announce_phase(self) -> None:
        """Tell the other gateways at once that the phase has changed."""
        self.feed.announce()
        self.peers.send()

    def _current_heartbeat(self) -> Heartbeat:
        member = Member(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            phase=self.phase,
            region=self.settings.region,
            reaches_servers=self.reach_board.reaches_servers,
        )
        return Heartbeat(
            member=member,
            work=self.spillover_controller.offered_load(time.monotonic()),
            objects=self.spillover_controller.object_counts(time.monotonic()),
            shares=self.spillover_controller.shares(),
        )

    def _update_metrics(self) -> None:
        """Update the metrics with the current state."""
        now = time.monotonic()
        config = self.routing_state.config
        self.metrics.update(
            GaugeValues(
                config_version=config.version if config is not None else 0,
                store_age_s=self.update_source.age_s(),
                store_calls=self.store_client.calls,
                active_requests=self.front_listener.active_request_count,
                client_connections=len(self.front_listener.connections),
                servers=self.routing_state.fleet.counts(now),
                gateways_alive=len(self.feed.liveness.live_members(now)),
                server_connections_opened=self.connection_pool.connections_opened,
                probes_sent=self.prober.probes_sent,
                suspects=self.notice_board.suspects.counts(),
                retries_left=self.attempt_tracker.remaining_retries(),
                suppressed_lines=self.decision_log.suppressed_lines,
                stalled_s=self.stall_watch.stalled_s,
                reaches_servers=self.reach_board.reaches_servers,
            )
        )

"""Composition and life cycle of an entry instance."""

from __future__ import annotations

import asyncio
from asyncio import get_running_loop
from asyncio import Task
from asyncio import TimerHandle
from collections.abc import Mapping
from logging import getLogger
from random import Random
from typing import Any

from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import Server
from aiohttp.web import StreamResponse
from aiomisc import entrypoint
from aiomisc import Service

from azurewick.entry.backend_client import BackendClient
from azurewick.entry.backend_client import MAX_FIELD_BYTES
from azurewick.entry.cold_budget import ColdShares
from azurewick.entry.cold_budget import ColdTolerance
from azurewick.entry.cold_servers import ColdServers
from azurewick.entry.conviction_store import ConvictionStore
from azurewick.entry.crash_guard import CrashGuard
from azurewick.entry.drain import Drain
from azurewick.entry.exchange import record_failure
from azurewick.entry.filters import BodyFilter
from azurewick.entry.filters import CrashFilter
from azurewick.entry.filters import CustomerFilter
from azurewick.entry.filters import DrainFilter
from azurewick.entry.filters import QuotaFilter
from azurewick.entry.filters import RouteFilter
from azurewick.entry.gossip import PeerGossip
from azurewick.entry.handler import EntryHandler
from azurewick.entry.instances import InstanceDirectory
from azurewick.entry.instances import PeerInstance
from azurewick.entry.metrics import EntryMetrics
from azurewick.entry.move_writer import MoveWriter
from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.peers import CACHE_TTL_S
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.processor_share import ProcessorShare
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.quota import QuotaLimiter
from azurewick.entry.quota import QuotaTolerance
from azurewick.entry.reload import SettingsFile
from azurewick.entry.reload import SettingsReloader
from azurewick.entry.report_codec import OUTCOME_UNIT
from azurewick.entry.request_body import BodyMemory
from azurewick.entry.server_learning import ServerLearning
from azurewick.entry.services import ServicePools
from azurewick.entry.settings import EntrySettings
from azurewick.entry.slot_grants import build_slot_grants
from azurewick.entry.speeds import SpeedSample
from azurewick.entry.state import DocumentDecoder
from azurewick.entry.state import FleetState
from azurewick.entry.version_moves import ExposureLimits
from azurewick.entry.version_moves import VersionMoves
from azurewick.entry.watches import FleetWatches
from azurewick.entry.watches import StoreKinds
from azurewick.helpers.caller_server import CallerServer
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.filter_chain import FilterChain
from azurewick.helpers.listener import Listener
from azurewick.helpers.stop_signal import StopSignal
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.poison.culprits import Conviction
from azurewick.replication.models import PeerAddress
from azurewick.replication.peer_api import PeerApi
from azurewick.replication.replicator import ConfigurationReplicator
from azurewick.store.protocols import StatusStore

_LOGGER = getLogger(__name__)

# Time between the close of the listeners and of the connections. Requests that
# are on their way are refused with an error instead of a closed connection.
LINGER_S = 0.05
# Time that running handlers get to finish when the HTTP servers close.
CLOSE_TIMEOUT_S = 0.2
# Peers that are told of a configuration that a peer has provided.
ANNOUNCED_PEERS = 4
# Exponent of an instance's cores in its weight as a broker of slots.
BROKER_CORES_EXPONENT = 2.0
# Connections on which no request arrives within this time are closed.
FIRST_REQUEST_TIMEOUT_S = 15.0
# Connections at the address of the health checks.
MAX_READY_CONNECTIONS = 32


class EntryInstance:
    """HTTP servers and background tasks of one entry instance."""

    def __init__(
        self,
        settings: EntrySettings,
        *,
        store: StatusStore,
        kinds: StoreKinds,
        decoder: DocumentDecoder,
        protocol: WireProtocol,
        random: Random,
    ) -> None:
        self.settings = settings
        self.state = FleetState(
            decoder,
            monotonic_s,
            follows_evacuations=settings.follows_evacuations,
        )
        self.metrics = EntryMetrics()
        self._client = BackendClient(protocol)
        self._drain = Drain(settings.grace_s)
        self._body_memory = BodyMemory(
            settings.body_memory_bytes, settings.body_customer_share
        )
        self._peers = PeerView(settings.name)
        self._watches = FleetWatches(
            store,
            kinds,
            self.state,
            random,
            peers_list_age_s=lambda: self._peers.list_age_s(monotonic_s()),
            own_rank=lambda: self._peers.own_rank[0],
            on_trouble=lambda: self._replicator.interrupt(),
        )
        self._replicator = ConfigurationReplicator(
            store,
            kinds.configuration,
            settings.name,
            random,
            link_mbit_per_s=settings.link_mbit_per_s,
            apply=lambda item: self.state.update_configuration(
                {item.name: item}
            ),
            on_news=self._announce_configuration,
        )
        self._peer_api = PeerApi(
            self._replicator.history,
            self._replicator.peers.is_peer,
            settings.peer_connections,
        )
        self._random = random
        self._peer_instances: Mapping[str, PeerInstance] = {}
        self._incarnation = random.getrandbits(48)
        self._crash_guard = CrashGuard(monotonic_s)
        self._convictions = ConvictionStore(
            store,
            random,
            lambda trait: self._crash_guard.record_conviction(
                Conviction(trait=trait, age_s=0.0), source="store"
            ),
        )
        self._crash_guard.on_convicted.append(
            self._convictions.record_convicted
        )
        self._crash_guard.on_crash.append(self._eject_crashed)
        self._crash_guard.on_acquitted.append(
            self._convictions.record_acquitted
        )
        self._moves = VersionMoves(
            self.state,
            _build_exposure_limits(settings),
            lambda: self._peers.own_rank,
            random,
            monotonic_s(),
        )
        self.state.on_change.append(lambda: self._moves.update(monotonic_s()))
        self.cold_servers = ColdServers(
            ColdShares(settings.name),
            tolerance=_build_cold_tolerance(settings),
            peers=self._peers,
            find_service=self.state.find_service,
        )
        # Registered before the pools, which use it at each change.
        self.state.on_change.append(self._update_cold_servers)
        self.cold_servers.on_news.append(lambda: self._gossip.announce())
        self.state.evacuations.on_evacuation_end.append(
            self.cold_servers.end_evacuation
        )
        self.state.on_change.append(self._forget_absent)
        self._move_writer = MoveWriter(
            store, kinds.moves, self._moves, monotonic_s
        )
        self._learning = ServerLearning(settings, self._peers)
        self.pools = ServicePools(
            settings=settings,
            state=self.state,
            client=self._client,
            protocol=protocol,
            peers=self._peers,
            crash_guard=self._crash_guard,
            moves=self._moves,
            send_limits=self.cold_servers,
            learning=self._learning,
            clock=monotonic_s,
            random=random,
            on_home_refusal=self.metrics.count_home_refusal,
        )
        self._grants = build_slot_grants(
            settings,
            incarnation=self._incarnation,
            state=self.state,
            moves=self._moves,
            peers=self._peers,
            placement=self.pools.placement,
            withheld=self.cold_servers.withheld_names,
            random=random,
            send=lambda name, message: self._gossip.send_message(
                name, message
            ),
            clock=monotonic_s,
            count=self.metrics.count_slot_ask,
        )
        self.pools.grants = self._grants
        self._processor_share = ProcessorShare(self._set_processor_share)
        self._set_processor_share(self._processor_share.value)
        self._share_task: Task[None] | None = None
        limiter = QuotaLimiter(
            _build_tolerance(settings),
            self._peers.usable_quota_fraction,
            monotonic_s(),
        )
        own = PeerInstance(
            address=settings.peer_address, region=settings.region
        )
        self._gossip = PeerGossip(
            own,
            self._build_report,
            self._handle_report,
            own_name=settings.name,
            on_message=self._grants.handle,
        )
        self._store = store
        self._directory = InstanceDirectory(
            store,
            settings.name,
            own,
            random,
            self.set_peers,
        )
        self._limiter = limiter
        drain_filter = DrainFilter(
            self._drain, self.pools.max_run_s, monotonic_s
        )
        self.handler = EntryHandler(
            protocol=protocol,
            filters=FilterChain(
                (
                    RouteFilter(self.state),
                    drain_filter,
                    CustomerFilter(),
                    BodyFilter(self._body_memory, monotonic_s),
                    # The body may have taken long to arrive.
                    drain_filter,
                    CrashFilter(self._crash_guard),
                    QuotaFilter(limiter, monotonic_s),
                )
            ),
            pools=self.pools,
            drain=self._drain,
            drain_filter=drain_filter,
            limiter=limiter,
            body_memory=self._body_memory,
            metrics=self.metrics,
            clock=monotonic_s,
            random=random,
        )
        self._caller_server: CallerServer | None = None
        self.state.on_change.append(self._apply_caller_limits)
        self.state.evacuations.on_change.append(
            lambda: self.metrics.set_evacuated(self.state.evacuations.domains)
        )
        self._listeners: list[Listener] = []
        self._dispatch_timer: TimerHandle | None = None

    async def async_start(self) -> None:
        """Start the background tasks, then listen for callers."""
        settings = self.settings
        await self._client.async_start()
        self._watches.start()
        self._replicator.start()
        await self._peer_api.async_start(settings.peer_address)
        await self._gossip.async_start()
        self._directory.start()
        self._convictions.start()
        self._move_writer.start()
        self._share_task = create_supervised_task(
            "processor share", self._processor_share.async_measure
        )
        await self.metrics.async_start(settings.metrics_address)
        await self._async_listen(
            CallerServer(
                self._async_ready,
                header_timeout_s=FIRST_REQUEST_TIMEOUT_S,
                max_connections=MAX_READY_CONNECTIONS,
            ),
            settings.ready_address,
        )
        self._caller_server = CallerServer(
            self.handler.async_handle,
            header_timeout_s=FIRST_REQUEST_TIMEOUT_S,
            max_connections=settings.max_connections,
            max_field_bytes=MAX_FIELD_BYTES,
            limits=settings.caller_limits,
        )
        self._caller_server.memory.on_close = self.metrics.count_closed_caller
        self._apply_caller_limits()
        await self._async_listen(self._caller_server, settings.address)
        _LOGGER.info(
            "entry instance started",
            extra={"instance": settings.name, "address": settings.address},
        )

    async def async_drain(self) -> None:
        """Report not ready, but serve until no request is active.

        Ends after the grace time at the latest.
        """
        drain = self._drain
        drain.start(monotonic_s())
        # Askers use another broker from the next report on.
        self._processor_share.stop()
        _LOGGER.info(
            "entry instance draining",
            extra={"active": len(self.handler.open_requests)},
        )
        await asyncio.sleep(drain.balancer_notice_ends_s() - monotonic_s())
        try:
            async with asyncio.timeout(
                drain.stop_deadline_s() - monotonic_s()
            ):
                await self.handler.open_requests.async_wait_idle()
                # Requests that arrive from now on are refused. Those that
                # arrived after the first wait still get their answers.
                drain.close()
                await self.handler.open_requests.async_wait_idle()
        except TimeoutError:
            _LOGGER.warning("the drain has ended before its requests")

    async def async_stop(self) -> None:
        """Answer the open requests, close the HTTP servers and stop."""
        self._drain.close()
        self.handler.open_requests.end_all(monotonic_s())
        if self._share_task is not None:
            await async_cancel(self._share_task)
        await asyncio.gather(
            self._directory.async_stop(),
            self._convictions.async_stop(),
            self._move_writer.async_stop(),
            self._gossip.async_stop(),
            self._watches.async_stop(),
            self._replicator.async_stop(),
            self._peer_api.async_stop(),
            self._async_close_servers(),
        )
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        await self._store.async_close()
        await self._crash_guard.async_stop()
        await self._client.async_stop()
        await self.metrics.async_stop()
        _LOGGER.info(
            "entry instance stopped", extra={"instance": self.settings.name}
        )

    async def _async_close_servers(self) -> None:
        """Refuse new connections, then requests, and close the connections."""
        for listener in self._listeners:
            await listener.async_stop_listening()
        await asyncio.sleep(LINGER_S)
        await asyncio.gather(
            *(listener.async_close() for listener in self._listeners)
        )

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply new limits; changed addresses need a restart."""
        if settings == self.settings:
            _LOGGER.info("settings are unchanged")
            return
        self.settings = settings
        self._drain.grace_s = settings.grace_s
        self._body_memory.limit_bytes = settings.body_memory_bytes
        self._body_memory.customer_share = settings.body_customer_share
        if self._caller_server is not None:
            self._caller_server.memory.limits = settings.caller_limits
        self._limiter.tolerance = _build_tolerance(settings)
        self._moves.limits = _build_exposure_limits(settings)
        self.cold_servers.tolerance = _build_cold_tolerance(settings)
        self._grants.is_enabled = settings.uses_slot_grants
        self._set_processor_share(self._processor_share.value)
        self.pools.apply_settings(settings)
        _LOGGER.info("settings reloaded", extra={"instance": settings.name})

    def set_peers(self, peers: Mapping[str, PeerInstance]) -> None:
        """Set the other live instances, by name."""
        self._peer_instances = peers
        self._peers.set_members(peers)
        self._replicator.peers.set_peers(
            {
                name: PeerAddress(
                    address=peer.address,
                    is_same_region=peer.region == self.settings.region,
                )
                for name, peer in peers.items()
            }
        )
        self._gossip.set_peers(peers)
        self._grants.election.set_peers(
            {name: peer.region for name, peer in peers.items()}
        )
        self._forget_absent()
        self.pools.split_retry_budgets()

    def _forget_absent(self) -> None:
        """Forget what was learned of servers and peers that have left."""
        self._learning.forget(
            (backend.name for backend in self.state.registry),
            self._peer_instances,
        )

    def _announce_configuration(self, is_from_store: bool) -> None:
        """Tell peers at once that this instance has a new configuration.

        One that has read it from the store tells all; the others tell a few
        of their region, which then needn't all ask the first one.
        """
        self.state.has_peer_copy = not is_from_store
        document = self._replicator.history.newest
        if document is not None:
            self.metrics.count_configuration(
                "store" if is_from_store else "peer", document.revision
            )
        if is_from_store:
            self._gossip.announce()
            return
        near = [
            name
            for name, peer in self._peer_instances.items()
            if peer.region == self.settings.region
        ]
        self._gossip.announce(
            self._random.sample(near, min(ANNOUNCED_PEERS, len(near)))
        )

    def _set_processor_share(self, share: float) -> None:
        """Report a share; 0 without slot grants, as a broker needs them.

        A large instance counts for more than its part: a broker handles the
        messages of all instances, and is late on a small one in a burst.
        """
        weight = self.settings.processor_cores**BROKER_CORES_EXPONENT
        share = weight * share if self.settings.uses_slot_grants else 0.0
        self._grants.election.own_share = share
        self._grants.election.expire()
        self.metrics.processor_share.set({}, share)

    def _build_report(self, sequence: int) -> PeerReport:
        configuration = self.state.configuration
        now_s = monotonic_s()
        self._refresh_cold_servers(now_s)
        notice = self._replicator.notice(now_s)
        if notice is not None:
            self.metrics.configuration_age_s.set({}, notice.age_s)
        self.metrics.broker_waiting.set({}, self._grants.broker.waiting)
        if self._caller_server is not None:
            self.metrics.caller_bytes.set(
                {}, self._caller_server.memory.held_bytes
            )
        self._learning.update_metrics(self.metrics)
        return PeerReport(
            name=self.settings.name,
            incarnation=self._incarnation,
            sequence=sequence,
            work_per_s=self._peers.demand.per_s(now_s),
            in_flight={
                backend.name: backend.in_flight
                for backend in self.state.registry
                if backend.in_flight
            },
            outcomes=self._recent_outcomes(now_s),
            speeds=self._recent_speeds(now_s),
            capacity=self._learning.capacity_report(now_s),
            engine_times=self._learning.times_report(now_s),
            quota_used=self._limiter.used(),
            suspicions=self._crash_guard.suspicions(),
            convictions=self._crash_guard.convictions(),
            moves=self._moves.reports(now_s),
            departures=self.state.departures.news(now_s),
            has_lost_store=self.state.outage.is_recent(now_s),
            list_age_s=self.state.servers_age_s,
            configuration=notice,
            evacuations=self.state.evacuations.news(now_s),
            restarts=self.cold_servers.claims(now_s),
            processor_share=self._grants.election.own_share,
            age_s=self._limiter.age_s(now_s),
            wants_levels=not self._limiter.is_settled(now_s),
            quota_levels=(
                {}
                if configuration is None or not self._peers.wants_levels(now_s)
                else self._limiter.levels(configuration.customers, now_s)
            ),
        )

    def _update_cold_servers(self) -> None:
        if self.state.has_servers:
            self.cold_servers.update_servers(
                (backend.entry for backend in self.state.registry),
                monotonic_s(),
            )

    def _refresh_cold_servers(self, now_s: float) -> None:
        """Find the servers that are no longer cold.

        Those that still are may have room for a request again.
        """
        before = self.cold_servers.count
        self.cold_servers.refresh(self._directory.registered_s, now_s)
        self.metrics.record_cold_servers(
            self.cold_servers.count, self.cold_servers.withheld
        )
        if before:
            # A report may be built in the midst of a failure's handling.
            get_running_loop().call_soon(self.pools.dispatch_waiting)

    def _recent_outcomes(self, now_s: float) -> dict[str, OutcomeCount]:
        counts = {
            backend.name: backend.outcomes.count(now_s)
            for backend in self.state.registry
        }
        return {
            name: count
            for name, count in counts.items()
            if count.ended >= OUTCOME_UNIT
        }

    def _recent_speeds(self, now_s: float) -> dict[str, SpeedSample]:
        samples = {
            backend.name: backend.speeds.sample(now_s)
            for backend in self.state.registry
        }
        return {
            name: sample
            for name, sample in samples.items()
            if sample.count >= OUTCOME_UNIT
        }

    def _eject_crashed(self, server_run: str) -> None:
        """Send nothing to a server that has crashed at another instance."""
        now_s = monotonic_s()
        for backend in self.state.registry:
            if backend.entry.run_name == server_run:
                record_failure(backend, now_s, is_unreachable=True)

    def _handle_report(self, report: PeerReport) -> None:
        now_s = monotonic_s()
        previous = self._peers.record_report(report, now_s)
        if previous is None:
            if report.is_leaving:
                self._grants.record_left(report.name, now_s)
            return
        self._grants.record_report(report, now_s)
        self._replicator.record_notice(
            report.name, report.configuration, now_s
        )
        self.state.evacuations.record_peer(
            report.evacuations, report.name, now_s
        )
        if report.departures:
            has_lost_store = self.state.outage.is_recent(now_s)
            self.state.record_peer_departures(
                report.departures,
                trusts_removals=not self._peers.most_have_lost_store(
                    has_lost_store, now_s
                ),
            )
        self.cold_servers.record_claims(report.restarts, now_s)
        self._learning.record_report(report, self.state.registry.find, now_s)
        self._crash_guard.record_peer(report.suspicions, report.convictions)
        self._moves.record_peer(
            report.name, report.incarnation, report.moves, now_s
        )
        configuration = self.state.configuration
        if configuration is not None:
            customers = configuration.customers
            self._limiter.adopt_levels(
                customers, report.quota_levels, report.age_s, now_s
            )
            self._limiter.apply_peer_usage(
                customers,
                previous.quota_used,
                report.quota_used,
                now_s,
            )
        self._dispatch_after_report()

    def _dispatch_after_report(self) -> None:
        """Dispatch waiting requests to slots that peers have freed.

        In a large fleet this is done for several reports at once.
        """
        if not self._peers.is_large_fleet:
            self.pools.dispatch_waiting()
        elif self._dispatch_timer is None:
            self._dispatch_timer = get_running_loop().call_later(
                CACHE_TTL_S, self._dispatch_now
            )

    def _dispatch_now(self) -> None:
        self._dispatch_timer = None
        self.pools.dispatch_waiting()

    def _apply_caller_limits(self) -> None:
        configuration = self.state.configuration
        if configuration is not None and self._caller_server is not None:
            limits = configuration.limits
            self._caller_server.set_idle_timeout(limits.idle_timeout_s)
            # The limit is that of the fields; the request line comes on top.
            self._caller_server.max_head_bytes = (
                limits.max_head_bytes + MAX_FIELD_BYTES
            )

    async def _async_ready(self, request: BaseRequest) -> StreamResponse:
        server = self._caller_server
        ready = (
            self.state.is_ready
            and not self._drain.is_active
            and server is not None
            and not server.is_full
        )
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def _async_listen(self, server: Server, address: str) -> None:
        listener = Listener(
            server, CLOSE_TIMEOUT_S, self.settings.listen_backlog
        )
        self._listeners.append(listener)
        await listener.async_start(address)


def _build_tolerance(settings: EntrySettings) -> QuotaTolerance:
    return QuotaTolerance(
        window_s=settings.quota_window_s,
        overage=settings.quota_overage,
        allowance=settings.quota_allowance,
    )


def _build_cold_tolerance(settings: EntrySettings) -> ColdTolerance:
    return ColdTolerance(
        overage=settings.cold_overage, allowance=settings.cold_allowance
    )


def _build_exposure_limits(settings: EntrySettings) -> ExposureLimits:
    return ExposureLimits(
        share=settings.exposure_share, allowance=settings.exposure_allowance
    )


class EntryService(Service):
    """aiomisc service that runs an entry instance until SIGTERM."""

    def __init__(
        self,
        instance: EntryInstance,
        settings_file: SettingsFile,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._instance = instance
        self._reloader = SettingsReloader(
            settings_file, instance.apply_settings
        )
        self.stop_signal = StopSignal()

    async def start(self) -> None:
        """Start the instance."""
        self.stop_signal.install()
        self._reloader.start()
        await self._instance.async_start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the instance and stop it."""
        await self._reloader.async_stop()
        await self._instance.async_drain()
        await self._instance.async_stop()


def run_entry(instance: EntryInstance, settings_file: SettingsFile) -> int:
    """Run an entry instance until it is stopped; return the exit code."""
    service = EntryService(instance, settings_file)
    try:
        with entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.stop_signal.async_wait())
    except OSError as err:
        _LOGGER.error("entry instance can't start: %s", err)
        return 1
    return 0

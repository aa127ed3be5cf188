"""State of the cluster as one process knows it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from logging import getLogger
from random import Random
from typing import Any
from uuid import uuid4

from grpclib._typing import IServable
from grpclib.server import Server

from azurewick.configuration.snapshot import build_snapshot
from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.control import control_pb2 as pb
from azurewick.control.channels import open_listener
from azurewick.control.documents import DocumentName
from azurewick.control.documents import join_configuration
from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.control.models import PoisonNotice
from azurewick.control.replica import Replica
from azurewick.control.replica import ROLE_AGENT
from azurewick.control.sync import SyncNode
from azurewick.control.sync import SyncTransport
from azurewick.control.topology import Place
from azurewick.errors import AzurewickError
from azurewick.membership.neighbours import Neighbours
from azurewick.membership.prober import Prober
from azurewick.membership.store_source import StoreSource
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import BackendServer
from azurewick.models import GatewayInstance
from azurewick.models import LoadReport
from azurewick.settings.models import AgentSettings
from azurewick.settings.models import GatewaySettings
from azurewick.store.protocols import ObjectStore

_LOGGER = getLogger(__name__)

# A gateway that no peer has answered for this long reads the store itself.
ISOLATION_TIMEOUT_S = 10.0
EXPIRY_INTERVAL_S = 5.0


class ClusterState:
    """Configuration, moves, live instances and digest, for one process.

    The digest holds load reports, rollout counts, version cuts and poison
    notices, which processes exchange with the Sync call. A gateway serves
    Sync on its control address; the two relays of each failure domain also
    watch the store. An agent only calls gateways. The snapshot never goes
    back to a smaller revision. With a transport given, no socket is opened
    and calls come in through async_answer.
    """

    def __init__(
        self,
        settings: GatewaySettings | AgentSettings,
        store: ObjectStore,
        clock: Callable[[], float],
        *,
        incarnation: str = "",
        transport: SyncTransport | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = Random(f"{settings.name}/{incarnation or uuid4()}")
        self.incarnation = incarnation or uuid4().hex[:12]
        self._view = MembershipView()
        self._neighbours = Neighbours(
            name=settings.name,
            region=settings.region,
            failure_domain=settings.failure_domain,
            is_agent=settings.role == ROLE_AGENT,
            view=self._view,
            clock=clock,
            random=self._random,
        )
        self._replica = Replica(
            settings.name,
            settings.role,
            self.incarnation,
            self._validate_document,
            self._observe_load,
        )
        self._store_source = StoreSource(
            store, self._accept_stored_document, clock, self._random
        )
        self._transport = transport
        self._sync: SyncNode | None = None
        self._server: Server | None = None
        self._bootstrapped = False
        self._validated_snapshot: ConfigurationSnapshot | None = None
        self._listeners: list[Callable[[], None]] = []
        self._load_listeners: list[Callable[[LoadReport], None]] = []
        self._contact_listeners: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._services: list[IServable] = []
        self.control_port = 0
        self.snapshot: ConfigurationSnapshot | None = None
        self.moves: tuple[dict[str, Any], ...] = ()

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force.

        A starting process first queries several peers, so that it doesn't
        begin with the old configuration of a single one that is behind.
        """
        return self._bootstrapped and self.snapshot is not None

    @property
    def is_relay(self) -> bool:
        """Return whether this process watches the store's configuration."""
        return DocumentName.CONFIGURATION in self._store_source.watched

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the servers of a pool that may get new work."""
        return self._view.backend_servers(pool)

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return the live gateways."""
        return self._view.gateways()

    def record_failure(
        self, name: str, now_s: float, *, refused: bool = False
    ) -> None:
        """Count a failed offer or probe.

        refused says that the connection was refused, which ejects the
        instance at once.
        """
        self._view.record_failure(name, now_s, refused=refused)

    def record_success(self, name: str, now_s: float) -> None:
        """Count an answered offer or probe."""
        self._view.record_success(name, now_s)

    def record_leaving(self, name: str, now_s: float) -> None:
        """Record that an instance has announced that it is leaving."""
        self._view.record_leaving(name, now_s)

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Record and share a load report from an agent's answer.

        An agent also records its own reports.
        """
        self._observe_load(report, now_s)
        self._merge_into_digest(DigestPart(loads=(report,)), now_s)

    def record_evidence(
        self, counts: Iterable[EvidenceCount], now_s: float
    ) -> None:
        """Share this process's rollout counts, taken since its start."""
        self._merge_into_digest(DigestPart(evidence=tuple(counts)), now_s)

    def record_cut(self, cut: CutNotice, now_s: float) -> None:
        """Share that a version gets no more requests of a class."""
        self._merge_into_digest(DigestPart(cuts=(cut,)), now_s)

    def record_poison(self, notice: PoisonNotice, now_s: float) -> None:
        """Share the crashes that requests with a fingerprint caused."""
        self._merge_into_digest(DigestPart(poison=(notice,)), now_s)

    def non_load_entries(self, now_s: float) -> DigestPart:
        """Return the merged rollout counts, cuts and poison notices."""
        return self._replica.digest.non_load_entries(now_s)

    @property
    def non_load_changes(self) -> int:
        """Return a counter that grows with each change of shared entries."""
        return self._replica.digest.non_load_changes

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Register a listener for changes and return its removal function.

        It is called after each change of a document and after urgent changes
        of the digest.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def async_add_load_listener(
        self, listener: Callable[[LoadReport], None]
    ) -> None:
        """Register a listener for each load report that arrives."""
        self._load_listeners.append(listener)

    def async_add_contact_listener(self, listener: Callable[[], None]) -> None:
        """Register a listener for each Sync that a gateway answered."""
        self._contact_listeners.append(listener)

    def add_service(self, service: IServable) -> None:
        """Add a gRPC service to the control address, before async_start."""
        self._services.append(service)

    async def async_start(self) -> None:
        """Listen on the control address of a gateway and start syncing.

        Raises OSError when the address is not free.
        """
        self._sync = SyncNode(
            self._replica,
            self,
            peers=[
                peer
                for peer in self._settings.peers
                if peer != self._settings.control_address
            ],
            interval_s=self._settings.sync_interval_s,
            clock=self._clock,
            random=self._random,
            transport=self._transport,
        )
        if self._settings.role != ROLE_AGENT and self._transport is None:
            await self._async_listen(self._sync)
        self._tasks.append(asyncio.create_task(self._async_run(self._sync)))

    async def async_answer(self, request: pb.SyncRequest) -> pb.SyncReply:
        """Answer a Sync.

        Raises ValueError when the request is not valid and
        ConnectionRefusedError before the start.
        """
        if self._sync is None:
            raise ConnectionRefusedError(self._settings.name)
        return await self._sync.async_answer(request)

    async def async_stop(self) -> None:
        """Stop all tasks, answer held Sync calls and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        await self._store_source.async_stop()
        if self._sync is not None:
            self._sync.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def _async_listen(self, sync: SyncNode) -> None:
        listener = open_listener(self._settings.control_address)
        self.control_port = listener.getsockname()[1]
        self._server = Server([sync, *self._services])
        await self._server.start(sock=listener)

    async def _async_run(self, sync: SyncNode) -> None:
        await sync.async_bootstrap()
        self._bootstrapped = True
        self._notify_listeners()
        loops = [
            sync.async_run_rounds,
            sync.async_run_pushes,
            sync.async_run_pulls,
            self._async_maintain,
        ]
        if self._settings.role != ROLE_AGENT:
            prober = Prober(
                self._settings.name, self._view, self._clock, self.record_load
            )
            loops.append(prober.async_run)
        await asyncio.gather(
            *(self._async_run_supervised(loop) for loop in loops)
        )

    async def _async_run_supervised(
        self, loop: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a loop until cancelled; restart it after an exception."""
        while True:
            try:
                await loop()
            except Exception:
                _LOGGER.exception(
                    "background loop %s failed; restarting it",
                    loop.__qualname__,
                )
            await asyncio.sleep(self._settings.sync_interval_s)

    async def _async_maintain(self) -> None:
        """Update the store watches and drop expired entries periodically."""
        # The random delay keeps processes that start together from reading
        # the store at the same moment.
        interval_s = self._settings.sync_interval_s
        await asyncio.sleep(self._random.uniform(0.0, interval_s / 2))
        last_expiry_s = self._clock()
        while True:
            now_s = self._clock()
            self._store_source.update_watches(self._choose_watches(now_s))
            if now_s - last_expiry_s > EXPIRY_INTERVAL_S:
                last_expiry_s = now_s
                moves = self._replica.documents[DocumentName.MOVES]
                digest = self._replica.digest
                digest.remove_stale(
                    now_s, set(moves.items) if moves.revision else None
                )
                self._view.record_overdue_reports(
                    digest.publish_period_s, now_s
                )
            await asyncio.sleep(interval_s / 2)

    def _choose_watches(self, now_s: float) -> Collection[DocumentName]:
        if self._settings.role == ROLE_AGENT:
            return ()
        if not self._replica.documents[DocumentName.INSTANCES].revision:
            # Without the list a gateway can't know whether it is a relay.
            return (DocumentName.INSTANCES,)
        is_isolated = (
            now_s - self._neighbours.last_contact_s > ISOLATION_TIMEOUT_S
        )
        if self.place().is_relay or is_isolated:
            return tuple(DocumentName)
        return ()

    def place(self) -> Place:
        """Return this node's Sync role and the gateways that it calls."""
        return self._neighbours.place()

    def choose_cross_check(self, is_due: bool) -> GatewayInstance | None:
        """Return a gateway outside the usual ones for a Sync, if any.

        It is an ejected gateway that may be back or, when is_due, a random
        live one.
        """
        return self._neighbours.choose_cross_check(is_due)

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return a listed gateway."""
        return self._neighbours.find_gateway(name)

    def record_contact(self, peer: str) -> None:
        """Record that a gateway answered a Sync."""
        self._neighbours.record_contact(peer)
        for listener in tuple(self._contact_listeners):
            listener()

    def record_no_contact(self, peer: str) -> None:
        """Record that a gateway didn't answer a Sync."""
        self._neighbours.record_no_contact(peer)

    def record_changes(self, changed: set[DocumentName]) -> None:
        """Put changed documents in force and call the listeners."""
        for name in changed:
            self._activate_document(name)
        self._notify_listeners()

    def _accept_stored_document(
        self, name: DocumentName, items: Mapping[str, Any], revision: int
    ) -> None:
        """Accept a document that was read from the store."""
        document = self._replica.documents[name]
        # The version of a list grows with each write to the store. Unchanged
        # content keeps its revision, so that it isn't sent to peers again.
        is_list = name is not DocumentName.CONFIGURATION
        if is_list and document.revision and items == document.items:
            return
        if not self._replica.accept(name, items, revision):
            return
        self.record_changes({name})
        if self._sync is not None:
            self._sync.notify(push=True)

    def _validate_document(
        self, name: DocumentName, items: Mapping[str, Any], revision: int
    ) -> bool:
        """Return whether a document is valid; keep a valid snapshot."""
        if name is not DocumentName.CONFIGURATION:
            return True
        try:
            self._validated_snapshot = build_snapshot(
                join_configuration(items), revision
            )
        except (AzurewickError, KeyError) as err:
            _LOGGER.error(
                "configuration revision %d is invalid and ignored: %s",
                revision,
                err,
            )
            return False
        return True

    def _activate_document(self, name: DocumentName) -> None:
        document = self._replica.documents[name]
        if name is DocumentName.CONFIGURATION:
            self.snapshot = self._validated_snapshot
            _LOGGER.info(
                "configuration revision %d is in force", document.revision
            )
        elif name is DocumentName.MOVES:
            items = document.items
            self.moves = tuple(items[key] for key in sorted(items))
        else:
            self._view.update_list(
                parse_instances(document.items, self._view.instances),
                document.revision,
                self._clock(),
            )

    def _merge_into_digest(self, part: DigestPart, now_s: float) -> None:
        digest = self._replica.digest
        urgent_before = digest.urgent_position
        digest.merge(part, self._settings.name, now_s)
        if digest.urgent_position == urgent_before:
            return
        self._notify_listeners()
        if self._sync is not None:
            self._sync.notify(push=True)

    def _observe_load(self, report: LoadReport, now_s: float) -> None:
        self._view.record_load(report, now_s)
        for listener in tuple(self._load_listeners):
            listener(report)

    def _notify_listeners(self) -> None:
        for listener in tuple(self._listeners):
            listener()

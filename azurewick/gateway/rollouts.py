"""Version moves in a gateway.

A version move shifts the requests of a class to another version step by
step. Gateways count the results of both versions and share these counts as
evidence. When the new version fails, they share a cut: an urgent entry that
stops the use of the new version at once.
"""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import Task
from collections.abc import Collection
from contextlib import suppress
from logging import getLogger
from typing import Final

from azurewick.control.models import CutNotice
from azurewick.control.models import EvidenceCount
from azurewick.errors import AzurewickError
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.clock import wall_clock_s
from azurewick.lease.coordinator import LeaseCoordinator
from azurewick.membership.coordinator import ClusterState
from azurewick.poison.detector import PoisonDetector
from azurewick.rollout.coordinator import MoveCoordinator
from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.decisions import VersionCut
from azurewick.rollout.decisions import VersionSelector
from azurewick.rollout.models import LEASE_VERSION_MOVES
from azurewick.rollout.models import parse_move
from azurewick.rollout.models import VersionMove
from azurewick.rollout.planner import FleetSize
from azurewick.store.protocols import ObjectStore

_LOGGER = getLogger(__name__)

# Longest wait of new evidence until it is added to a Sync exchange.
EXCHANGE_INTERVAL_S: Final = 0.5
MOVE_STEP_INTERVAL_S: Final = 1.0


class MonotonicLease:
    """Adapter of a lease for controllers that use wall-clock time."""

    def __init__(self, lease: LeaseCoordinator) -> None:
        self._lease = lease

    def fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is held, or None.

        now_s is wall-clock time and is ignored: the lease uses the monotonic
        clock.
        """
        return self._lease.fencing_number(monotonic_s())


class RolloutService:
    """Applies version moves, shares evidence and advances moves.

    Only the gateway that holds the lease advances moves.
    """

    def __init__(
        self,
        cluster: ClusterState,
        store: ObjectStore,
        selector: VersionSelector,
        poison: PoisonDetector,
        gateway: str,
    ) -> None:
        self._cluster = cluster
        self._selector = selector
        self._poison = poison
        self._gateway = gateway
        self._lease = LeaseCoordinator(
            store,
            LEASE_VERSION_MOVES,
            f"{gateway}/{cluster.incarnation}",
            monotonic_s,
            is_candidate=self._has_progressing_move,
        )
        self._coordinator = MoveCoordinator(
            store, MonotonicLease(self._lease), self, self
        )
        self._moves: tuple[VersionMove, ...] = ()
        self._other_gateway_rows: list[EvidenceRow] = []
        self._applied_changes = -1
        self._tasks: list[Task[None]] = []

    async def async_start(self) -> None:
        """Listen to cluster changes and start the background tasks."""
        self._cluster.async_add_listener(self._on_cluster_change)
        self._tasks = [
            create_task(self._lease.async_run()),
            create_task(self._async_run_steps()),
            create_task(self._async_run_exchange()),
        ]

    async def async_stop(self) -> None:
        """Stop the tasks and release the lease for another gateway."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)
        with suppress(AzurewickError):
            await self._lease.async_release()

    def evidence(self) -> Collection[EvidenceRow]:
        """Return the counts of all gateways."""
        return (*self._selector.evidence(), *self._other_gateway_rows)

    def cuts(self) -> Collection[VersionCut]:
        """Return the cuts of all gateways."""
        return self._selector.cuts()

    def fleet_size(self, move: VersionMove) -> FleetSize:
        """Return the number of live servers of the new and old version."""
        snapshot = self._cluster.snapshot
        request_class = (
            snapshot.classes.get(move.request_class) if snapshot else None
        )
        if request_class is None:
            return FleetSize(new_servers=0, old_servers=0)
        versions = [
            server.version
            for server in self._cluster.backend_servers(
                request_class.pool, monotonic_s()
            )
        ]
        old = _choose_old_version(move, request_class.version, versions)
        return FleetSize(
            new_servers=versions.count(move.version),
            old_servers=versions.count(old),
            old_version=old,
        )

    def _has_progressing_move(self) -> bool:
        return any(move.is_progressing for move in self._moves)

    async def _async_run_steps(self) -> None:
        while True:
            await sleep(MOVE_STEP_INTERVAL_S)
            await self._coordinator.async_step(wall_clock_s())

    async def _async_run_exchange(self) -> None:
        while True:
            await sleep(EXCHANGE_INTERVAL_S)
            self._exchange_entries(monotonic_s())

    def _exchange_entries(self, now_s: float) -> None:
        """Publish own evidence and cuts; apply those of other gateways."""
        if self._has_progressing_move():
            self._publish_entries(now_s)
        if self._cluster.non_load_changes != self._applied_changes:
            self._apply_non_load_entries(now_s)

    def _publish_entries(self, now_s: float) -> None:
        cluster = self._cluster
        cluster.record_evidence(
            map(_build_count, self._selector.evidence()), now_s
        )
        for cut in self._selector.cuts():
            notice = CutNotice(
                request_class=cut.request_class,
                version=cut.version,
                move_id=cut.move_id,
                reason=cut.reason,
            )
            cluster.record_cut(notice, now_s)

    def _apply_non_load_entries(self, now_s: float) -> None:
        self._applied_changes = self._cluster.non_load_changes
        non_load_entries = self._cluster.non_load_entries(now_s)
        self._other_gateway_rows = [
            _build_row(count)
            for count in non_load_entries.evidence
            if count.gateway != self._gateway
        ]
        self._selector.update_evidence(self._other_gateway_rows, now_s)
        for notice in non_load_entries.cuts:
            self._selector.record_cut(
                VersionCut(
                    request_class=notice.request_class,
                    version=notice.version,
                    move_id=notice.move_id,
                    reason=notice.reason,
                )
            )
        for crash in non_load_entries.poison:
            self._poison.record_crash(
                crash.source, crash.incarnation, (crash.fingerprint,), now_s
            )

    def _on_cluster_change(self) -> None:
        """Apply changed moves, and urgent entries such as cuts."""
        moves = []
        for stored in self._cluster.moves:
            try:
                moves.append(parse_move(stored))
            except AzurewickError as err:
                _LOGGER.debug("ignored an invalid version move: %s", err)
        self._moves = tuple(moves)
        self._selector.update_moves(moves)
        self._apply_non_load_entries(monotonic_s())


def _choose_old_version(
    move: VersionMove, configured: str | None, versions: Collection[str]
) -> str:
    """Return the version that the class had before the move."""
    if move.previous_version:
        return move.previous_version
    if configured in versions and configured != move.version:
        return configured or ""
    others = [version for version in versions if version != move.version]
    return max(others, default="")


def _build_row(count: EvidenceCount) -> EvidenceRow:
    key = EvidenceKey(
        count.request_class, count.version, count.route, count.backend_server
    )
    counts = Counts(
        count.requests,
        count.failures,
        count.slow,
        count.broken,
        count.crashes,
    )
    return EvidenceRow(count.gateway, count.incarnation, key, counts)


def _build_count(row: EvidenceRow) -> EvidenceCount:
    key = row.key
    counts = row.counts
    return EvidenceCount(
        gateway=row.gateway,
        incarnation=row.incarnation,
        request_class=key.request_class,
        version=key.version,
        route=key.route,
        backend_server=key.backend_server,
        requests=counts.requests,
        failures=counts.failures,
        slow=counts.slow,
        broken=counts.broken,
        crashes=counts.crashes,
    )

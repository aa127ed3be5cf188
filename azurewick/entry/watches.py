"""Watches that keep an entry instance up to date with the store."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from logging import getLogger
from random import Random

from azurewick.entry.state import FleetState
from azurewick.entry.store_health import CALM_WATCH_S
from azurewick.entry.store_health import StoreHealth
from azurewick.entry.store_health import TROUBLED_WATCH_S
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.membership.watcher import EARLY_END_PAUSE_S
from azurewick.membership.watcher import StoreWatcher
from azurewick.replication.models import ObjectName
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

# A watch may have lost its answer although the store answers other calls.
# Stale reads, which cost little, show within this time that it has.
CHECK_INTERVAL_S = 2.0
# The best informed instance has read the list of the servers within this
# time. Watches may lose their answers, and a stale read may be 3 s behind;
# a server gets no new work 2.5 s after the store has confirmed that it leaves.
MAX_LIST_AGE_S = 1.5
# Instances of a higher rank wait longer, so that one of them reads the list;
# the others learn from its reports which servers have left.
LIST_AGE_RANK_STEP_S = 0.25
MAX_LIST_AGE_RANK = 3
# Pause after a read of the list that has failed or shown a change.
LIST_CHECK_PAUSE_S = 0.3
# Changes of the servers within this time cost one call to the store. A
# draining server must get no new work 2.5 s after it was announced.
SERVERS_PAUSE_S = 0.5
# Instances whose watches of the evacuations always wait shortly, so that one
# notices a lost answer in time and tells the others in its reports. The second
# one covers the end of the first.
EVACUATION_READERS = 2
# With this limit the servers are read again within a second of the store's
# return.
MAX_BACKOFF_S = 0.6
# Margin for timers of the event loop, which may fire a millisecond early.
TIMER_SLACK_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreKinds:
    """Names under which the store keeps each kind of object."""

    configuration: ObjectName
    servers: str
    moves: str
    evacuations: str


class FleetWatches:
    """Keeps servers, version moves and evacuations of a FleetState current.

    While the store is calm, watches wait long, and stale reads check that
    they haven't missed a change. When a call fails, all watches start again
    and wait shortly until the store is calm; on_trouble is called then.
    """

    def __init__(
        self,
        store: StatusStore,
        kinds: StoreKinds,
        state: FleetState,
        random: Random,
        *,
        peers_list_age_s: Callable[[], float | None] = lambda: None,
        own_rank: Callable[[], int] = lambda: 0,
        on_trouble: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_trouble = on_trouble
        self._peers_list_age_s = peers_list_age_s
        self._own_rank = own_rank
        self._store = store
        self._state = state
        self._random = random
        self._health = StoreHealth()
        # These must be up to date within seconds.
        servers = self._build_watcher(
            kinds.servers,
            self._update_servers,
            on_reachability_change=state.set_servers_reachable,
            early_end_pause_s=SERVERS_PAUSE_S,
            polls_after_failure=True,
        )
        self._servers = servers
        servers.on_confirmed = state.record_servers_read
        self._watchers: tuple[StoreWatcher, ...] = (
            servers,
            self._build_watcher(
                kinds.moves, lambda items, _: state.update_moves(items)
            ),
        )
        self._evacuations: StoreWatcher | None = None
        if state.evacuations.is_followed:
            self._evacuations = self._build_evacuation_watcher(
                kinds.evacuations
            )
            self._watchers += (self._evacuations,)
        self._tasks: list[Task[None]] = []
        store.on_trouble = self._handle_trouble
        store.on_answer = lambda: state.outage.record_answer(monotonic_s())

    def start(self) -> None:
        """Start the watches."""
        self._tasks = [
            create_supervised_task("watch of the store", watcher.async_run)
            for watcher in self._watchers
        ]
        self._tasks.append(
            create_supervised_task("check of the watches", self._async_check)
        )
        self._tasks.append(
            create_supervised_task(
                "check of the list of servers", self._async_bound_list_age
            )
        )

    async def async_stop(self) -> None:
        """Stop the watches."""
        await async_cancel(*self._tasks)

    def _build_watcher(
        self,
        kind: str,
        on_change: Callable[[Mapping[str, StoredObject], int], None],
        *,
        early_end_pause_s: float = EARLY_END_PAUSE_S,
        on_reachability_change: Callable[[bool], None] | None = None,
        polls_after_failure: bool = False,
    ) -> StoreWatcher:
        return StoreWatcher(
            self._store,
            kind,
            on_change,
            monotonic_s,
            self._random,
            watch_timeout_s=CALM_WATCH_S,
            max_backoff_s=MAX_BACKOFF_S,
            early_end_pause_s=early_end_pause_s,
            on_reachability_change=on_reachability_change,
            polls_after_failure=polls_after_failure,
        )

    def _build_evacuation_watcher(self, kind: str) -> StoreWatcher:
        evacuations = self._state.evacuations
        watcher = self._build_watcher(
            kind,
            lambda items, version: None,
            on_reachability_change=lambda readable: evacuations.set_readable(
                readable, monotonic_s()
            ),
            polls_after_failure=True,
        )
        # A removal in a watch has the revision of the removed object. The
        # revision of the whole answer tells which list is newer.
        watcher.on_synced = lambda items, version: (
            evacuations.update_from_store(items, version, monotonic_s())
        )
        # Until this instance's rank is known.
        watcher.watch_timeout_s = TROUBLED_WATCH_S
        return watcher

    def _handle_trouble(self, code: ErrorCode, unanswered_s: float) -> None:
        """Start all watches again: their answers may be lost too."""
        now_s = monotonic_s()
        if code is ErrorCode.STORE_UNAVAILABLE:
            self._state.outage.record_failure(now_s, unanswered_s)
        if not self._health.record_trouble(now_s):
            return
        _LOGGER.info("store is in trouble, watches start again")
        self._set_watch_timeouts()
        for watcher in self._watchers:
            watcher.interrupt()
        self._on_trouble()

    def _set_watch_timeouts(self) -> None:
        timeout_s = self._health.watch_timeout_s(monotonic_s())
        for watcher in self._watchers:
            watcher.watch_timeout_s = timeout_s
        if (
            self._evacuations is not None
            and self._own_rank() < EVACUATION_READERS
        ):
            self._evacuations.watch_timeout_s = TROUBLED_WATCH_S

    async def _async_check(self) -> None:
        while True:
            await asyncio.sleep(
                CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2)
            )
            self._set_watch_timeouts()
            if not self._health.is_calm(monotonic_s()):
                # Short watches show by themselves whether they get answers.
                continue
            for watcher in self._watchers:
                await self._async_check_watch(watcher)

    async def _async_check_watch(
        self, watcher: StoreWatcher, *, allow_stale: bool = True
    ) -> bool:
        """Start a watch again that has missed a change.

        Returns whether the watch is known to be up to date.
        """
        version = watcher.version
        if version is None:
            return False
        try:
            has_missed = await self._store.async_has_changes(
                watcher.plural, version, allow_stale=allow_stale
            )
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_WATCH_EXPIRED:
                _LOGGER.info("check of a store watch failed: %s", err)
                return False
            has_missed = True
        if has_missed and watcher.version == version:
            _LOGGER.info("store watch of %s missed a change", watcher.plural)
            watcher.interrupt()
        return not has_missed and not allow_stale

    async def _async_bound_list_age(self) -> None:
        """Read the list of the servers when no instance has for long."""
        while True:
            wait_s = self._list_read_wait_s()
            if wait_s > 0:
                await asyncio.sleep(max(wait_s, TIMER_SLACK_S))
            elif self._servers.is_reachable and await self._async_check_watch(
                self._servers, allow_stale=False
            ):
                self._state.record_servers_read()
            else:
                await asyncio.sleep(LIST_CHECK_PAUSE_S)

    def _list_read_wait_s(self) -> float:
        """Return how long the list of the servers is recent enough."""
        own_age_s = self._state.servers_age_s
        if own_age_s is None:
            return 0.0
        peers_age_s = self._peers_list_age_s()
        age_s = (
            own_age_s if peers_age_s is None else min(own_age_s, peers_age_s)
        )
        rank = min(self._own_rank(), MAX_LIST_AGE_RANK)
        return MAX_LIST_AGE_S + rank * LIST_AGE_RANK_STEP_S - age_s

    def _update_servers(
        self, items: Mapping[str, StoredObject], version: int
    ) -> None:
        self._state.update_servers(items, version)
        wait_s = self._state.expiry_wait_s()
        if wait_s is not None:
            asyncio.get_running_loop().call_later(
                wait_s + TIMER_SLACK_S, self._state.drop_expired_servers
            )

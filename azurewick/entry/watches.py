"""Watches that keep an entry instance up to date with the store."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from azurewick.entry.backends import EXPIRED_SERVER_GRACE_S
from azurewick.entry.state import FleetState
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.membership.watcher import EARLY_END_PAUSE_S
from azurewick.membership.watcher import StoreWatcher
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

# A dead connection is noticed when the watch times out. A change of the
# configuration has to be in force 2.5 s after the store has confirmed it.
WATCH_TIMEOUT_S = 2.0
# Version moves take minutes and calls to the store are billed, so this watch
# is longer: half of the shortest time for which the store keeps its history.
MOVES_WATCH_TIMEOUT_S = 10.0
# Changes of the servers within this time cost one call to the store. A
# draining server must get no new work 2.5 s after it was announced.
SERVERS_PAUSE_S = 0.5
# With this limit the configuration is read again within a second of the
# store's return.
MAX_BACKOFF_S = 0.6
# Margin for timers of the event loop, which may fire a millisecond early.
TIMER_SLACK_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreKinds:
    """Names under which the store keeps each kind of object."""

    configuration: str
    servers: str
    moves: str


class FleetWatches:
    """Keeps a FleetState up to date with the store."""

    def __init__(
        self,
        store: StatusStore,
        kinds: StoreKinds,
        state: FleetState,
        random: Random,
    ) -> None:
        self._store = store
        self._state = state
        self._random = random
        self._watchers = (
            self._build_watcher(
                kinds.configuration, state.update_configuration
            ),
            self._build_watcher(
                kinds.servers,
                state.update_servers,
                on_reachability_change=self._set_servers_reachable,
                early_end_pause_s=SERVERS_PAUSE_S,
            ),
            self._build_watcher(
                kinds.moves,
                state.update_moves,
                watch_timeout_s=MOVES_WATCH_TIMEOUT_S,
            ),
        )
        self._tasks: list[Task[None]] = []

    def start(self) -> None:
        """Start the watches."""
        self._tasks = [
            create_supervised_task("watch of the store", watcher.async_run)
            for watcher in self._watchers
        ]

    async def async_stop(self) -> None:
        """Stop the watches."""
        await async_cancel(*self._tasks)

    def _build_watcher(
        self,
        kind: str,
        on_change: Callable[[Mapping[str, StoredObject]], None],
        *,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        early_end_pause_s: float = EARLY_END_PAUSE_S,
        on_reachability_change: Callable[[bool], None] | None = None,
    ) -> StoreWatcher:
        return StoreWatcher(
            self._store,
            kind,
            lambda items, _version: on_change(items),
            monotonic_s,
            self._random,
            watch_timeout_s=watch_timeout_s,
            max_backoff_s=MAX_BACKOFF_S,
            early_end_pause_s=early_end_pause_s,
            on_reachability_change=on_reachability_change,
        )

    def _set_servers_reachable(self, reachable: bool) -> None:
        self._state.set_servers_reachable(reachable)
        if reachable:
            asyncio.get_running_loop().call_later(
                EXPIRED_SERVER_GRACE_S + TIMER_SLACK_S,
                self._state.drop_expired_servers,
            )

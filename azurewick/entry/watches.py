"""Watches of the store's kinds that an entry instance follows."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from azurewick.entry.backends import LAPSE_GRACE_S
from azurewick.entry.state import FleetState
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.membership.watcher import PAUSE_S
from azurewick.membership.watcher import StoreWatcher
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

# A connection that has gone silent is noticed after one wait. A change of
# the configuration has to be in force 2.5 s after its confirmation.
WATCH_WAIT_S = 2.0
# An order to move a version names minutes, and a call to the store is paid
# for. Half of the store's shortest history.
MOVES_WAIT_S = 10.0
# Changes of the servers within this time cost one call. A leaving server
# must get no new work 2.5 s after its notice.
SERVERS_PAUSE_S = 0.5
# The configuration is read again within a second of the store's return.
MAX_BACKOFF_S = 0.6
# The event loop's timers fire up to a millisecond early.
TIMER_SLACK_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreKinds:
    """Names of the kinds in the store."""

    configuration: str
    servers: str
    moves: str


class FleetWatches:
    """Keeps the state up to date with the store."""

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
            self._build(kinds.configuration, state.take_configuration),
            self._build(
                kinds.servers,
                state.take_servers,
                on_reachable=self._set_servers_reachable,
                pause_s=SERVERS_PAUSE_S,
            ),
            self._build(kinds.moves, state.take_moves, wait_s=MOVES_WAIT_S),
        )
        self._tasks: list[Task[None]] = []

    def start(self) -> None:
        """Start to watch."""
        self._tasks = [
            create_supervised_task("watch of the store", watcher.async_run)
            for watcher in self._watchers
        ]

    async def async_stop(self) -> None:
        """Stop to watch."""
        await async_cancel(*self._tasks)

    def _build(
        self,
        kind: str,
        take: Callable[[Mapping[str, StoredObject]], None],
        *,
        wait_s: float = WATCH_WAIT_S,
        pause_s: float = PAUSE_S,
        on_reachable: Callable[[bool], None] | None = None,
    ) -> StoreWatcher:
        return StoreWatcher(
            self._store,
            kind,
            lambda items, _version: take(items),
            monotonic_s,
            self._random,
            watch_timeout_s=wait_s,
            max_backoff_s=MAX_BACKOFF_S,
            pause_s=pause_s,
            on_reachable=on_reachable,
        )

    def _set_servers_reachable(self, reachable: bool) -> None:
        self._state.set_servers_reachable(reachable)
        if reachable:
            asyncio.get_running_loop().call_later(
                LAPSE_GRACE_S + TIMER_SLACK_S, self._state.expire_lapsed
            )

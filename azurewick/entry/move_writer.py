"""Writes the statuses of version moves to the store."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from logging import getLogger

from azurewick.entry.models import MoveState
from azurewick.entry.models import VersionMove
from azurewick.entry.version_moves import VersionMoves
from azurewick.errors import AzurewickError
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

CHECK_INTERVAL_S = 0.1
# Pause after a failed write: calls to the store are billed, failed ones too.
RETRY_PAUSE_S = 0.4
ATTR_STATE = "state"
ATTR_TARGET = "target"


class MoveWriter:
    """Writes what the instances have decided, each decision once.

    A status is written under the condition that the order hasn't changed, so
    that the first instance decides.
    """

    def __init__(
        self,
        store: StatusStore,
        kind: str,
        moves: VersionMoves,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._kind = kind
        self._moves = moves
        self._clock = clock
        # Last written state by service and target version.
        self._written: dict[tuple[str, str], MoveState] = {}
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Start to write statuses."""
        self._task = create_supervised_task("version moves", self._async_run)

    async def async_stop(self) -> None:
        """Stop writing."""
        if self._task is not None:
            await async_cancel(self._task)

    async def _async_run(self) -> None:
        while True:
            for service in self._moves.services():
                order = self._moves.order(service)
                state = self._moves.due_status(service, self._clock())
                if order is not None and state is not None:
                    await self._async_write(order, state)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _async_write(self, order: VersionMove, state: MoveState) -> None:
        key = (order.service, order.target_version)
        if self._written.get(key) is state:
            # The watch of the store hasn't shown it yet.
            return
        details = self._moves.describe(order.service)
        try:
            await self._store.async_update_status(
                StoredObject(
                    plural=self._kind,
                    name=order.service,
                    version=order.revision,
                    status={
                        ATTR_STATE: state.value,
                        ATTR_TARGET: order.target_version,
                    },
                )
            )
        except AzurewickError as err:
            _LOGGER.warning("can't write the status of a move: %s", err)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self._written[key] = state
        _LOGGER.info("version move %s", state.value, extra=dict(details))
